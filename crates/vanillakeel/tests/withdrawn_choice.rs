//! Upstreams that say in their answers that they want no requests: who is chosen instead, and when they are chosen
//! again.

mod fleets;

use fleets::{
    fleet,
    listed,
    ranked_request, //
};
use rstest::rstest;
use vanillakeel::{
    Millis,
    availability::{
        AvailabilityChange,
        BadPause,
        Notice,
        Pause, //
    },
    fleet::{
        CallOutcome,
        Fleet,
        InFlightCall,
        ListedUpstream,
        Pick,
        PromptSegment, //
    },
    membership::State,
};

const START: Millis = Millis::new(100_000);

const SEGMENTS: [PromptSegment; 1] = [PromptSegment { id: 1, tokens: 100 }];

const LEAVES: Notice = Notice {
    is_leaving: true,
    pause_ms: None,
};

/// Largest random delay of the end of a pause, as a part of it.
const SPREAD: f64 = 0.1;

const fn pause(ms: u64) -> Notice {
    Notice {
        is_leaving: false,
        pause_ms: Some(ms),
    }
}

/// Sends a request if there is an upstream.
fn send(fleet: &mut Fleet, now: Millis) -> Option<(Pick, InFlightCall)> {
    let request = ranked_request(&SEGMENTS, 3, 600);
    let pick = fleet.choose(now, &request)?;
    let call = fleet.on_send(now, &pick, &request);
    Some((pick, call))
}

/// Sends a request that is answered at once; returns the number of the upstream.
fn offer(fleet: &mut Fleet, now: Millis, notice: Notice) -> Option<String> {
    let (pick, call) = send(fleet, now)?;
    fleet.on_notice(now, &pick, now, notice);
    fleet.on_end(now, call, CallOutcome::Success);
    Some(pick.name.to_string())
}

/// Guards against a leaving upstream that is chosen again, by any later word of the list on the same process, also
/// if its entry was removed meanwhile; another process under its name is free of it.
#[rstest]
#[case::heartbeat(false, 0, false)]
#[case::removed_and_listed_by_old_copy(true, 0, false)]
#[case::older_process(false, -1, false)]
#[case::next_process(false, 1, true)]
#[case::next_process_after_removal(true, 1, true)]
fn leaving_is_final(
    #[case] is_removed: bool,
    #[case] incarnation_change: i64,
    #[case] is_chosen: bool,
) {
    let mut fleet = fleet(0, 1);
    let entry = ListedUpstream {
        incarnation: 7,
        ..listed(0)
    };
    fleet.on_listed(&entry);
    assert!(offer(&mut fleet, START, LEAVES).is_some());
    assert_eq!(offer(&mut fleet, START, LEAVES), None);
    if is_removed {
        fleet.on_removed(START, "runner-0");
    }
    let incarnation = entry.incarnation.saturating_add_signed(incarnation_change);
    fleet.on_listed(&ListedUpstream {
        incarnation,
        ..entry
    });
    let later = START.plus(60_000);
    assert_eq!(offer(&mut fleet, later, LEAVES).is_some(), is_chosen);
}

/// Guards against what an upstream has said that is forgotten because its entry was missing, when it was said or
/// afterwards, and against an upstream that is listed as live by an older list after it was listed as leaving.
#[rstest]
#[case::leaves(LEAVES, State::Live, 60_000)]
#[case::pauses(pause(3_000), State::Live, 2_900)]
#[case::listed_as_leaving(Notice::default(), State::Leaving, 60_000)]
fn missing_entry(
    #[case] notice: Notice,
    #[case] state: State,
    #[case] later_ms: u64,
    #[values(false, true)] is_said_while_missing: bool,
) {
    let mut fleet = fleet(0, 1);
    fleet.on_listed(&listed(0));
    let (pick, call) = send(&mut fleet, START).expect("it is live");
    fleet.on_listed(&ListedUpstream { state, ..listed(0) });
    if is_said_while_missing {
        fleet.on_removed(START, "runner-0");
        fleet.on_notice(START, &pick, START, notice);
    } else {
        fleet.on_notice(START, &pick, START, notice);
        fleet.on_removed(START, "runner-0");
    }
    fleet.on_end(START, call, CallOutcome::Neutral);
    fleet.on_listed(&listed(0));
    assert!(send(&mut fleet, START.plus(later_ms)).is_none());
}

/// Guards against a request that is sent to an upstream that was taken off the list, or listed as leaving, while a
/// connection to it was opened.
#[rstest]
#[case::listed(State::Live, false, false)]
#[case::leaves(State::Leaving, false, true)]
#[case::removed(State::Live, true, true)]
fn chosen_before(#[case] state: State, #[case] is_removed: bool, #[case] is_withdrawn: bool) {
    let mut fleet = fleet(2, 1);
    let (pick, _) = send(&mut fleet, START).expect("two are live");
    let entry = [listed(0), listed(1)]
        .into_iter()
        .find(|e| e.name == pick.name);
    let entry = entry.expect("one of them");
    fleet.on_listed(&ListedUpstream { state, ..entry });
    if is_removed {
        fleet.on_removed(START, &pick.name);
    }
    assert_eq!(fleet.is_withdrawn(START, &pick), is_withdrawn);
}

/// Guards against an instance that reads the log itself for as long as an upstream leaves that is still listed: what
/// an upstream says to one instance is no difference between their views of the list.
#[test]
fn same_list() {
    let (mut told, untold) = (fleet(3, 1), fleet(3, 2));
    assert!(offer(&mut told, START, LEAVES).is_some());
    assert_eq!(told.digest(), untold.digest());
    assert_eq!(told.withdrawn_counts(START).leaving, 1);
}

/// Guards against a leaving upstream from which others are to fetch cached segments: it may be gone by then.
#[test]
fn no_source_that_leaves() {
    let segments = [
        PromptSegment {
            id: 1,
            tokens: 9_000,
        },
        PromptSegment { id: 2, tokens: 10 },
    ];
    let request = ranked_request(&segments, 3, 600);
    let mut fleet = fleet(2, 1);
    let pick = fleet.choose(START, &request).expect("two are free");
    let mut call = fleet.on_send(START, &pick, &request);
    fleet.on_first_event(START, &mut call);
    let tried = [pick.name.clone()];
    let next = vanillakeel::fleet::RequestInfo {
        tried: &[],
        ..request
    };
    // All calls that the upstream can take are in flight, so that the other one is chosen and fetches.
    for _ in 0..60 {
        let _ = fleet.on_send(START, &pick, &request);
    }
    let source = |fleet: &mut Fleet| fleet.choose(START, &next).and_then(|p| p.cache_source);
    assert_eq!(source(&mut fleet).map(|s| s.name), Some(tried[0].clone()));
    fleet.on_notice(START, &pick, START, LEAVES);
    assert_eq!(source(&mut fleet), None);
}

/// Guards against requests within a pause, against callers that suffer from it, and against an upstream that is not
/// used again soon after it.
#[test]
fn others_take_over() {
    let mut fleet = fleet(3, 1);
    let (pick, call) = send(&mut fleet, START).expect("three are free");
    let paused = pick.name.to_string();
    let change = fleet.on_notice(START, &pick, START.minus(20), pause(3_000));
    assert!(matches!(
        change,
        Some(AvailabilityChange::Paused(3_000..=3_300))
    ));
    fleet.on_end(START, call, CallOutcome::Refused);
    let mut used_again = None;
    for ms in (0..4_000).step_by(10) {
        let now = START.plus(ms);
        let chosen = offer(&mut fleet, now, Notice::default()).expect("two have no pause");
        if chosen == paused {
            used_again.get_or_insert(ms);
        }
    }
    let used_again = used_again.expect("it is used again");
    let latest = 3_000 + (3_000.0 * SPREAD) as u64 + 500;
    assert!((3_000..latest).contains(&used_again), "{used_again} ms");
}

/// Guards against a rush at the end of a pause: an instance that has held requests back sends one, and the others
/// once it is answered.
#[test]
fn one_test_after_pause() {
    let mut fleet = fleet(1, 1);
    offer(&mut fleet, START, pause(1_000));
    let after = START.plus(1_200);
    let (pick, call) = send(&mut fleet, after).expect("the pause is over");
    assert!(send(&mut fleet, after.plus(5)).is_none());
    // An answer to a request from before the pause does not end the test.
    let older = fleet.on_notice(after, &pick, START.minus(50), Notice::default());
    assert_eq!(older, None);
    assert!(send(&mut fleet, after.plus(10)).is_none());
    let change = fleet.on_notice(after, &pick, after, Notice::default());
    assert_eq!(change, Some(AvailabilityChange::Open));
    assert!((0..20).all(|n| send(&mut fleet, after.plus(20 + n)).is_some()));
    fleet.on_end(after, call, CallOutcome::Success);
}

/// Guards against an upstream that is lost for good since the request after its pause got no answer.
#[rstest]
#[case::caller_left(CallOutcome::Neutral)]
#[case::broke_off(CallOutcome::Failed)]
fn test_is_repeated(#[case] outcome: CallOutcome) {
    let mut fleet = fleet(1, 1);
    offer(&mut fleet, START, pause(1_000));
    let after = START.plus(1_200);
    let (_, call) = send(&mut fleet, after).expect("the pause is over");
    fleet.on_end(after.plus(100), call, outcome);
    assert!(send(&mut fleet, after.plus(101)).is_some());
}

/// Guards against a pause that a later answer shortens: each answer binds for the whole of its own time.
#[rstest]
#[case::shorter(pause(500))]
#[case::none(Notice::default())]
fn longest_pause_holds(#[case] later: Notice) {
    let mut fleet = fleet(1, 1);
    let (pick, first) = send(&mut fleet, START).expect("it is free");
    let second = fleet.on_send(START, &pick, &ranked_request(&SEGMENTS, 3, 600));
    fleet.on_notice(START, &pick, START, pause(2_000));
    assert_eq!(fleet.on_notice(START.plus(100), &pick, START, later), None);
    fleet.on_end(START, first, CallOutcome::Refused);
    fleet.on_end(START.plus(100), second, CallOutcome::Refused);
    assert!(fleet.is_withdrawn(START.plus(1_999), &pick));
    assert!(send(&mut fleet, START.plus(1_999)).is_none());
}

/// Guards against refusals that do not name the time at which the first upstream wants work again.
#[test]
fn truthful_wait() {
    let mut fleet = fleet(3, 1);
    let mut ends: Vec<u64> = Vec::new();
    for pause_ms in [4_000, 2_000, 8_000] {
        let (pick, call) = send(&mut fleet, START).expect("one is left");
        match fleet.on_notice(START, &pick, START, pause(pause_ms)) {
            Some(AvailabilityChange::Paused(ms)) => ends.push(ms),
            change => panic!("{change:?}"),
        }
        fleet.on_end(START, call, CallOutcome::Refused);
    }
    let request = ranked_request(&SEGMENTS, 3, 600);
    let no_room = fleet
        .no_room(START, &request)
        .expect("pauses are the reason");
    assert_eq!((no_room.paused, no_room.upstreams), (3, 0));
    assert_eq!(Some(no_room.wait_ms), ends.iter().min().copied());
    assert_eq!(no_room.retry_after_ms, no_room.wait_ms);
    assert_eq!(no_room.own_wait_ms(), Some(no_room.wait_ms));
}

/// Guards against values that are taken for a time which they do not name.
#[rstest]
#[case::whole("3", Ok((3_000, false)))]
#[case::fraction(" 1.5 ", Ok((1_500, false)))]
#[case::part_of_ms("0.0001", Ok((1, false)))]
#[case::zero("0", Ok((0, false)))]
#[case::longest("60", Ok((60_000, false)))]
#[case::cut("60.001", Ok((60_000, true)))]
#[case::beyond_type("99999999999999999999999999999999", Ok((60_000, true)))]
#[case::negative("-1", Err(BadPause::NotDecimal))]
#[case::exponent("1e3", Err(BadPause::NotDecimal))]
#[case::infinite("inf", Err(BadPause::NotDecimal))]
#[case::no_number("NaN", Err(BadPause::NotDecimal))]
#[case::date("Fri, 04 Dec 2026 17:00:00 GMT", Err(BadPause::NotDecimal))]
#[case::empty("", Err(BadPause::NotDecimal))]
#[case::dot(".", Err(BadPause::NotDecimal))]
#[case::long("000000000000000000000000000000001", Err(BadPause::TooLong))]
fn read_pause(#[case] text: &str, #[case] expected: Result<(u64, bool), BadPause>) {
    let read = Pause::parse(text, 60_000).map(|p| (p.ms, p.is_cut));
    assert_eq!(read, expected);
}

/// Guards against one of several values that hides a longer one or one that can't be read.
#[test]
fn longest_value() {
    let longest = |values: &[&str]| {
        let bytes = values.iter().map(|v| v.as_bytes());
        Pause::longest_of(bytes, 60_000).map(|p| p.map(|p| p.ms))
    };
    assert_eq!(longest(&["1", "3", "2"]), Ok(Some(3_000)));
    assert_eq!(longest(&[]), Ok(None));
    assert_eq!(longest(&["1", "x"]), Err(BadPause::NotDecimal));
}
