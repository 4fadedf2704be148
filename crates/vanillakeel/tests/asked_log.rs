//! How often instances ask a log that does not serve them.

use rstest::rstest;
use vanillakeel::{
    Millis,
    ask_pace::{
        AskPace,
        Asker,
        Settings, //
    },
    order::hash_bytes,
};

const START: Millis = Millis::new(50_000);

/// Returns the times at which an instance asks a log that fails until `end`, and the first time after it.
fn calls(asker: Asker, seed: u64, end: Millis) -> (Vec<Millis>, Millis) {
    let mut pace = AskPace::new(Settings::default());
    let mut calls = Vec::new();
    let mut now = START;
    for n in 0_u64.. {
        if now >= end {
            break;
        }
        calls.push(now);
        pace.on_failure(now, asker, hash_bytes(&(seed * 1_000 + n).to_le_bytes()));
        now = now.plus(pace.wait_ms(now));
        assert!(pace.take_turn(now));
    }
    (calls, now)
}

/// A log fails for eight seconds.
///
/// Guards against instances that ask it many times a second, and against ones that learn late that it is back.
#[rstest]
#[case::hub(Asker::Hub, 40, 500)]
#[case::member(Asker::Member, 16, 1_700)]
fn outage(#[case] asker: Asker, #[case] most: usize, #[case] latest_ms: u64) {
    let end = START.plus(8_000);
    for seed in 0..100 {
        let (calls, next) = calls(asker, seed, end);
        assert!(calls.len() <= most, "{} calls", calls.len());
        assert!(next.since(end) <= latest_ms, "{} ms", next.since(end));
    }
}

/// 195 instances lose the log in the same moment.
///
/// Guards against a rush: that they ask again in the same moment each time.
#[test]
fn spread() {
    let mut times: Vec<Millis> = (0..195)
        .flat_map(|seed| calls(Asker::Member, seed, START.plus(8_000)).0)
        .filter(|at| at.since(START) >= 2_000)
        .collect();
    times.sort_unstable();
    let within = |from: Millis| {
        let is_within = |t: &&Millis| **t >= from && t.since(from) < 100;
        times.iter().filter(is_within).count()
    };
    let most = times.iter().map(|from| within(*from)).max();
    // Evenly spread there would be 195 in 1.1 s.
    assert!(most <= Some(50), "{most:?} in 100 ms");
}

/// Several tasks of an instance want to ask.
///
/// Guards against calls of all of them for one answer, and against a task that waits for good for one that has ended.
#[test]
fn one_asks() {
    let mut pace = AskPace::new(Settings::default());
    pace.on_failure(START, Asker::Hub, 0);
    let due = START.plus(pace.wait_ms(START));
    assert!(!pace.take_turn(due.minus(1)));
    assert!(pace.take_turn(due));
    assert!(!pace.take_turn(due));
    assert!(!pace.take_turn(due.plus(1_499)));
    assert!(pace.take_turn(due.plus(1_500)));
    pace.on_answer();
    assert!(!pace.is_failing());
    assert_eq!(pace.wait_ms(due), 0);
    assert!(pace.take_turn(due) && pace.take_turn(due));
}
