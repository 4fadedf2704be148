//! Who uses upstreams that name rate limits.

mod fleets;

use fleets::{
    fleet,
    listed,
    ranked_request, //
};
use rstest::rstest;
use vanillakeel::{
    Millis,
    division::{
        Roster,
        Settings, //
    },
    fleet::{
        Fleet,
        Pick,
        PromptSegment, //
    },
    rate_limits::Rate,
};

const START: Millis = Millis::new(100_000);

const SEGMENTS: [PromptSegment; 1] = [PromptSegment { id: 1, tokens: 100 }];

/// Returns the roster of an instance that is alone.
fn roster() -> Roster {
    let mut roster = Roster::new("a", Settings::default());
    roster.on_list_read();
    roster
}

/// Records that upstreams have named a rate.
fn limit(fleet: &mut Fleet, upstreams: std::ops::Range<usize>, per_second: f64) {
    for at in upstreams {
        let pick = pick_of(at);
        let rate = Rate::new(per_second);
        let change = fleet.on_rate_answer(START, &pick, START.minus(100), rate, &roster());
        assert_eq!(change.and_then(|c| c.rate), rate);
    }
}

fn pick_of(at: usize) -> Pick {
    let upstream = listed(at);
    Pick {
        name: upstream.name,
        incarnation: upstream.incarnation,
        address: upstream.address,
        software: None,
        prefill_tokens: 0,
        cached_tokens: 0,
        fetched_tokens: 0,
        cache_source: None,
        tokens_ahead: 0,
        wait_ms: 0,
    }
}

/// Sends a request of a rank if there is an upstream; returns its name.
fn offer(fleet: &mut Fleet, now: Millis, rank: u8) -> Option<String> {
    let request = ranked_request(&SEGMENTS, rank, 600);
    let Some(pick) = fleet.choose(now, &request) else {
        fleet.no_room(now, &request).expect("a limit is the reason");
        return None;
    };
    let call = fleet.on_send(now, &pick, &request);
    fleet.on_end(now, call, vanillakeel::fleet::CallOutcome::Success);
    Some(pick.name.to_string())
}

/// Guards against a rate that is forgotten because the entry of its upstream was missing, when the rate was named or
/// afterwards.
#[rstest]
#[case::named_before(false)]
#[case::named_while_missing(true)]
fn missing_entry(#[case] is_named_while_missing: bool) {
    let mut fleet = fleet(0, 1);
    fleet.on_listed(&listed(0));
    if is_named_while_missing {
        fleet.on_removed(START, "runner-0");
        limit(&mut fleet, 0..1, 2.0);
    } else {
        limit(&mut fleet, 0..1, 2.0);
        fleet.on_removed(START, "runner-0");
    }
    fleet.on_listed(&listed(0));
    assert_eq!(
        fleet.rate_of("runner-0").map(|(rate, _)| rate),
        Rate::new(2.0)
    );
}

/// Guards against requests beyond the rate, and against others that suffer from it: they go elsewhere at once.
#[test]
fn others_take_over() {
    let mut fleet = fleet(3, 1);
    limit(&mut fleet, 0..1, 2.0);
    let mut limited = 0;
    for n in 0..400 {
        let chosen = offer(&mut fleet, START.plus(n * 10), 3).expect("two have no limit");
        limited += usize::from(chosen == "runner-0");
    }
    assert!(limited <= 9, "{limited} in four seconds");
}

/// Urgent and less urgent requests ask for more than all upstreams take.
///
/// Guards against less urgent requests that take the room for which more urgent ones wait.
#[test]
fn urgent_first() {
    let mut fleet = fleet(2, 1);
    limit(&mut fleet, 0..2, 1.0);
    let (mut urgent, mut others) = (0, 0);
    for n in 0..2_000 {
        let now = START.plus(n * 10);
        others += usize::from(offer(&mut fleet, now, 5).is_some());
        if n % 10 == 0 {
            urgent += usize::from(offer(&mut fleet, now, 1).is_some());
        }
    }
    assert!(urgent >= 36, "{urgent} urgent ones in 20 s at 2 a second");
    assert!(others <= 2, "{others} less urgent ones");
}

/// Guards against room that nobody uses since urgent requests have asked for it once.
#[test]
fn room_is_used() {
    let mut fleet = fleet(1, 1);
    limit(&mut fleet, 0..1, 2.0);
    assert_eq!(offer(&mut fleet, START, 0), None);
    assert_eq!(offer(&mut fleet, START.plus(900), 5), None);
    assert!(offer(&mut fleet, START.plus(1_000), 5).is_some());
}

/// Guards against a refusal that does not say when there is room.
#[test]
fn truthful_wait() {
    let mut fleet = fleet(2, 1);
    limit(&mut fleet, 0..2, 0.4);
    let request = ranked_request(&SEGMENTS, 3, 600);
    assert_eq!(fleet.choose(START, &request), None);
    let no_room = fleet
        .no_room(START, &request)
        .expect("a limit is the reason");
    assert_eq!((no_room.upstreams, no_room.wait_ms), (2, 2_500));
    assert_eq!(no_room.retry_after_ms, 2_500);
    assert!(fleet.choose(START.plus(2_499), &request).is_none());
    assert!(fleet.choose(START.plus(2_500), &request).is_some());
}

/// Guards against requests that are held at an instance that will never have room for them.
#[test]
fn no_wait_without_part() {
    let mut fleet = fleet(1, 1);
    let unread = Roster::new("a", Settings::default());
    fleet.on_rate_answer(START, &pick_of(0), START, Rate::new(4.0), &unread);
    let request = ranked_request(&SEGMENTS, 3, 600);
    let no_room = fleet
        .no_room(START, &request)
        .expect("a limit is the reason");
    assert_eq!(no_room.own_wait_ms(), None);
    assert_eq!((no_room.wait_ms, no_room.retry_after_ms), (250, 1_000));
}

/// Guards against a limit that outlives the process that named it, and against one that ends and leaves a
/// backlog.
#[test]
fn limit_ends() {
    let mut fleet = fleet(1, 1);
    limit(&mut fleet, 0..1, 1.0);
    assert_eq!(offer(&mut fleet, START, 3), None);
    let now = START.plus(1_500);
    let change = fleet.on_rate_answer(now, &pick_of(0), now.minus(10), None, &roster());
    assert_eq!(change.map(|c| c.rate), Some(None));
    assert!((0..20).all(|n| offer(&mut fleet, now.plus(n), 3).is_some()));
    let later = now.plus(100);
    fleet.on_rate_answer(
        later,
        &pick_of(0),
        later.minus(10),
        Rate::new(1.0),
        &roster(),
    );
    assert_eq!(offer(&mut fleet, later, 3), None);
    let mut successor = listed(0);
    successor.incarnation += 1;
    fleet.on_listed(&successor);
    assert!(offer(&mut fleet, later, 3).is_some());
}

/// Guards against a limited upstream that is taken for a failed one.
#[test]
fn not_unhealthy() {
    let mut fleet = fleet(1, 1);
    limit(&mut fleet, 0..1, 1.0);
    for n in 1..50 {
        assert!(offer(&mut fleet, START.plus(n * 1_000), 3).is_some(), "{n}");
    }
}
