//! The membership view, from instance lists, peers and calls.

use rstest::rstest;
use vanillakeel::{
    Millis,
    membership::{
        Kind,
        Member,
        Membership,
        State, //
    },
};

fn member(name: &str, generation: u64, state: State) -> Member {
    Member {
        name: name.into(),
        kind: Kind::Upstream,
        generation,
        state,
        ..Member::default()
    }
}

/// Guards against new work for a leaving member after an outdated statement about it.
#[rstest]
#[case::leaving_wins(&[(1, State::Live), (1, State::Leaving)], State::Leaving)]
#[case::leaving_stays(&[(1, State::Leaving), (1, State::Live)], State::Leaving)]
#[case::started_anew(&[(1, State::Leaving), (2, State::Live)], State::Live)]
#[case::older_generation(&[(2, State::Live), (1, State::Leaving)], State::Live)]
fn merged_state(#[case] statements: &[(u64, State)], #[case] expected: State) {
    let mut view = Membership::default();
    for (generation, state) in statements {
        view.merge(&member("r", *generation, *state));
    }
    assert_eq!(view.iter().next().map(|m| m.state), Some(expected));
}

/// Guards against an empty view while the instance list is unavailable.
#[test]
fn outage_keeps_view() {
    let mut view = Membership::default();
    view.on_list(Millis::ZERO, &[member("r", 1, State::Live)]);
    assert_eq!(view.live(Kind::Upstream).count(), 1);
    assert_eq!(view.list_age_ms(Millis::new(60_000)), Some(60_000));
}

/// Guards against members that stay in the view although the list no longer shows them, and against
/// dropping them as soon as one list omits them.
#[rstest]
#[case::soon(9_999, 1)]
#[case::later(10_000, 0)]
fn unlisted_dropped(#[case] ms: u64, #[case] left: usize) {
    let mut view = Membership::default();
    view.on_list(Millis::ZERO, &[member("r", 1, State::Live)]);
    view.on_list(Millis::new(ms), &[]);
    assert_eq!(view.iter().count(), left);
}

/// Guards against dropping a member that still sends messages but is missing from the list.
#[test]
fn sending_member_kept() {
    let mut view = Membership::default();
    view.on_list(Millis::ZERO, &[member("r", 1, State::Live)]);
    view.on_message(Millis::new(9_000), "r");
    view.on_list(Millis::new(12_000), &[]);
    assert_eq!(view.iter().count(), 1);
}
