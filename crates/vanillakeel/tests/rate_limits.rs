//! What an instance knows of the rate that an upstream names, and how many requests it sends.

use rstest::rstest;
use vanillakeel::{
    Millis,
    division::RatePart,
    rate_limits::{
        Rate,
        RateLimit,
        told_rates, //
    },
};

const START: Millis = Millis::new(100_000);

/// An answer: times at which its request was sent and its head was seen, in ms, and the rate that it names.
type Answer = (u64, u64, Option<f64>);

fn rate(per_second: f64) -> Option<Rate> {
    Rate::new(per_second)
}

fn part(per_second: f64) -> RatePart {
    RatePart {
        per_second,
        holders: 1,
        instances: 1,
    }
}

/// Returns what is known after some answers.
fn known(answers: &[Answer]) -> Option<f64> {
    let mut limit = RateLimit::new(1);
    for (sent, seen, named) in answers {
        limit.on_answer(
            START.plus(*seen),
            START.plus(*sent),
            named.and_then(Rate::new),
        );
    }
    limit.rate().map(Rate::per_second)
}

/// Guards against an answer that was under way before another one and counts as newer: a limit must not end
/// because a long answer began before it was named, and a lower rate counts at once.
#[rstest]
#[case::named(&[(0, 10, Some(2.0))], Some(2.0))]
#[case::never_named(&[(0, 10, None)], None)]
#[case::ended(&[(0, 10, Some(2.0)), (20, 30, None)], None)]
#[case::sent_before(&[(0, 10, Some(2.0)), (5, 30, None)], Some(2.0))]
#[case::lowered(&[(0, 10, Some(2.0)), (5, 30, Some(1.0))], Some(1.0))]
#[case::raised(&[(0, 10, Some(2.0)), (20, 30, Some(5.0))], Some(5.0))]
#[case::raised_sent_before(&[(0, 10, Some(2.0)), (5, 30, Some(5.0))], Some(2.0))]
#[case::confirmed_since(&[(0, 10, Some(2.0)), (5, 30, Some(2.0)), (20, 40, None)], Some(2.0))]
#[case::named_again(&[(0, 10, Some(2.0)), (20, 30, None), (25, 40, Some(2.0))], Some(2.0))]
fn answer_order(#[case] answers: &[Answer], #[case] expected: Option<f64>) {
    assert_eq!(known(answers), expected);
}

/// Guards against values that can't be read and change what is known, and against a line for each of them.
#[test]
fn unreadable_value() {
    let mut limit = RateLimit::new(1);
    limit.on_answer(START, START, rate(2.0));
    assert!(limit.on_unreadable());
    assert!(!limit.on_unreadable());
    assert_eq!(limit.rate(), rate(2.0));
    limit.on_answer(START.plus(10), START.plus(5), rate(2.0));
    assert!(limit.on_unreadable());
}

/// Guards against an instance that sends to an upstream what others were told not to, or goes on to hold a limit
/// whose end others have seen.
#[test]
fn told_by_peers() {
    let (mut own, mut other) = (RateLimit::new(1), RateLimit::new(1));
    assert!(own.on_answer(START, START.minus(50), rate(2.0)));
    let told = own.told(START.plus(10)).expect("a limit is told");
    assert!(other.on_told(START.plus(30), &told));
    assert_eq!(other.rate(), rate(2.0));
    // The end counts although the clocks and the time of the message are not known.
    assert!(own.on_answer(START.plus(3_000), START.plus(2_900), None));
    let told = own.told(START.plus(3_010)).expect("the end is told");
    assert!(other.on_told(START.plus(3_030), &told));
    assert_eq!(other.rate(), None);
    assert_eq!(own.told(START.plus(60_000)), None);
}

/// What two instances tell each other again and again.
///
/// Guards against a limit that never ends because its age is lost on the way: an old observation must not come
/// back as a new one.
#[test]
fn echo_grows_old() {
    let (mut a, mut b) = (RateLimit::new(1), RateLimit::new(1));
    a.on_answer(START, START.minus(50), rate(2.0));
    let mut now = START;
    for _ in 0..100 {
        let told = a.told(now).expect("a limit is told");
        now = now.plus(40);
        b.on_told(now, &told);
        let told = b.told(now).expect("a limit is told");
        now = now.plus(40);
        a.on_told(now, &told);
    }
    assert!(a.on_answer(now.plus(20), now.minus(1_000), None));
}

/// Guards against a bucket that starts full, that fills up while nothing is sent, or that is refilled by a change
/// of the part.
#[rstest]
#[case::at_once(0, 2.0, 0)]
#[case::half_a_second(500, 2.0, 1)]
#[case::long_after(60_000, 2.0, 1)]
#[case::high_part(60_000, 40.0, 10)]
#[case::no_part(60_000, 0.0, 0)]
fn bucket_holds_little(#[case] after_ms: u64, #[case] per_second: f64, #[case] expected: usize) {
    let mut limit = RateLimit::new(1);
    limit.on_answer(START, START, rate(2.0));
    limit.set_part(START, part(per_second));
    let now = START.plus(after_ms);
    let sent = std::iter::repeat_with(|| {
        let has_room = limit.has_room(now);
        if has_room {
            limit.on_send(now);
        }
        has_room
    });
    assert_eq!(sent.take_while(|has_room| *has_room).count(), expected);
}

/// The part changes twice a second between two values while requests wait all the time.
///
/// Guards against room that a change of the part gives.
#[test]
fn changing_part() {
    let mut limit = RateLimit::new(1);
    limit.on_answer(START, START, rate(2.0));
    let mut sent = 0;
    for step in 0..4_000 {
        let now = START.plus(step * 10);
        let per_second = if step / 50 % 2 == 0 { 0.5 } else { 2.0 };
        limit.set_part(now, part(per_second));
        if limit.has_room(now) {
            limit.on_send(now);
            sent += 1;
        }
    }
    // 40 s at 1.25 a second in the mean.
    assert!((45..=51).contains(&sent), "{sent}");
}

/// Guards against limits that are never told since many others are told again and again.
#[test]
fn many_told_in_turn() {
    let mut limits: Vec<RateLimit> = (0..400).map(RateLimit::new).collect();
    for limit in &mut limits {
        limit.on_answer(START, START, rate(2.0));
    }
    let mut told: Vec<u32> = Vec::new();
    for turn in 0..20 {
        let now = START.plus(turn * 100);
        let at_once = told_rates(limits.iter(), now);
        assert_eq!(at_once.len(), 64);
        told.extend(at_once.iter().map(|t| t.upstream));
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 400);
}

/// Guards against an upstream that can't be used for good: the wait is the truth.
#[test]
fn wait_ends() {
    let mut limit = RateLimit::new(1);
    assert_eq!(limit.wait_ms(START), Some(0));
    limit.on_answer(START, START, rate(0.5));
    assert_eq!(limit.wait_ms(START), None);
    limit.set_part(START, part(0.5));
    let wait_ms = limit.wait_ms(START).expect("there is a part");
    assert!(!limit.has_room(START.plus(wait_ms - 1)));
    assert!(limit.has_room(START.plus(wait_ms)));
}
