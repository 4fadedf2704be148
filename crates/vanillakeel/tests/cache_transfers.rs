//! Transfers of cached prompt segments between upstreams, when a prefix is needed where it is not
//! cached.
//!
//! The load behind these tests: a burst of long prompts with a few hundred shared prefixes overflows
//! from the preferred upstreams to others, each of which would compute the prefixes again.

mod fleets;

use fleets::{
    fleet,
    listed,
    ranked_request, //
};
use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    fleet::{
        CallOutcome,
        Fleet,
        ListedUpstream,
        Pick,
        PromptSegment,
        RequestInfo, //
    },
    membership::State,
};

const NOW: Millis = Millis::new(100_000);

/// Length of the shared prefix of each request, in tokens.
const SHARED_TOKENS: u32 = 5_000;

fn segments(prefix: u64, own: u64) -> [PromptSegment; 2] {
    let shared = PromptSegment {
        id: prefix,
        tokens: SHARED_TOKENS,
    };
    let own = PromptSegment {
        id: own,
        tokens: 1_500,
    };
    [shared, own]
}

fn request(segments: &[PromptSegment]) -> RequestInfo<'_> {
    ranked_request(segments, 2, 2_000)
}

/// Computes the prefix of a request at the upstream that the fleet chooses.
fn compute(fleet: &mut Fleet, request: &RequestInfo<'_>) -> Pick {
    let pick = fleet.choose(NOW, request).expect("an upstream");
    let mut call = fleet.on_send(NOW, &pick, request);
    fleet.on_first_event(NOW, &mut call);
    fleet.on_end(NOW, call, CallOutcome::Success);
    pick
}

/// Returns the pick for a request that may not go to `tried`.
fn choose_without(fleet: &mut Fleet, segments: &[PromptSegment], tried: &[Arc<str>]) -> Pick {
    let again = RequestInfo {
        tried,
        ..request(segments)
    };
    fleet.choose(NOW, &again).expect("an upstream")
}

/// Queues prefill at an upstream, so that requests overflow from it.
fn fill(fleet: &mut Fleet, upstream: &Pick) {
    for n in 0..25 {
        let other = segments(1_000 + n, 2_000 + n);
        let request = request(&other);
        let pick = Pick {
            prefill_tokens: request.prompt_tokens,
            ..upstream.clone()
        };
        fleet.on_send(NOW, &pick, &request);
    }
}

fn source_name(pick: &Pick) -> Option<&str> {
    pick.cache_source.as_ref().map(|s| &*s.name)
}

/// Guards against a prefix that is computed again at each upstream to which requests overflow.
#[test]
fn overflow_fetches() {
    let mut fleet = fleet(9, 1);
    let first = segments(7, 70);
    let preferred = compute(&mut fleet, &request(&first));
    assert_eq!(preferred.cache_source, None);
    fill(&mut fleet, &preferred);
    let second = segments(7, 71);
    let pick = fleet.choose(NOW, &request(&second)).expect("an upstream");
    assert_ne!(pick.name, preferred.name);
    assert_eq!(source_name(&pick), Some(&*preferred.name));
    assert_eq!((pick.fetched_tokens, pick.prefill_tokens), (5_000, 1_500));
}

/// Guards against a transfer of a prefix whose prefill is not done: there would be nothing to fetch.
#[test]
fn pending_prefill() {
    let mut fleet = fleet(9, 1);
    let first = segments(7, 70);
    let preferred = fleet.choose(NOW, &request(&first)).expect("an upstream");
    let mut call = fleet.on_send(NOW, &preferred, &request(&first));
    // Other requests fill the preferred upstream so much that computing the prefix elsewhere is
    // cheaper than the wait there.
    for _ in 0..8 {
        fill(&mut fleet, &preferred);
    }
    let second = segments(7, 71);
    let pick = fleet.choose(NOW, &request(&second)).expect("an upstream");
    assert_ne!(pick.name, preferred.name);
    assert_eq!((pick.cache_source, pick.prefill_tokens), (None, 6_500));
    fleet.on_first_event(NOW, &mut call);
    let pick = fleet.choose(NOW, &request(&second)).expect("an upstream");
    assert_eq!(source_name(&pick), Some(&*preferred.name));
}

/// Guards against a transfer that waits for an upstream which leaves, crashed or starts anew.
#[test]
fn lost_source() {
    let mut fleet = fleet(9, 1);
    let first = segments(7, 70);
    let source = compute(&mut fleet, &request(&first));
    fill(&mut fleet, &source);
    let second = segments(7, 71);
    let request = request(&second);
    let source_of_next = |fleet: &mut Fleet| {
        let pick = fleet.choose(NOW, &request).expect("an upstream");
        pick.cache_source.map(|s| s.name)
    };
    assert_eq!(source_of_next(&mut fleet).as_ref(), Some(&source.name));

    let listed = fleet
        .iter()
        .find(|u| u.name == source.name)
        .cloned()
        .expect("listed");
    let leaving = ListedUpstream {
        state: State::Leaving,
        ..listed.clone()
    };
    let restarted = ListedUpstream {
        incarnation: 1,
        ..listed
    };
    for change in [leaving, restarted] {
        let mut fleet = fleet.clone();
        fleet.on_listed(&change);
        assert_eq!(source_of_next(&mut fleet), None, "{change:?}");
    }
    let call = fleet.on_send(NOW, &source, &request);
    fleet.on_end(NOW, call, CallOutcome::ConnectFailed);
    assert_eq!(source_of_next(&mut fleet), None, "ejected");
}

/// Guards against prefixes that are computed again at an upstream which has just been added and is
/// now the preferred one of some of them.
#[test]
fn added_upstream_fetches() {
    let mut fleet = fleet(9, 1);
    let holders: Vec<_> = (0..60)
        .map(|prefix| compute(&mut fleet, &request(&segments(prefix, 1_000 + prefix))).name)
        .collect();
    fleet.on_listed(&listed(9));
    let mut moved = 0;
    for (prefix, holder) in (0..60).zip(holders) {
        let again = segments(prefix, 2_000 + prefix);
        let pick = compute(&mut fleet, &request(&again));
        if pick.name == holder {
            assert_eq!(pick.cache_source, None);
        } else {
            assert_eq!(source_name(&pick), Some(&*holder));
            moved += 1;
        }
    }
    assert!((1..=20).contains(&moved), "{moved} of 60 prefixes moved");
}

/// Guards against a prefix that is computed again where it was evicted without the instance knowing,
/// while another upstream still has it: the other one is named even so.
#[test]
fn second_holder_named() {
    let mut fleet = fleet(9, 1);
    let first = segments(7, 70);
    let preferred = compute(&mut fleet, &request(&first));
    let second = segments(7, 71);
    let tried = [Arc::clone(&preferred.name)];
    let copy = choose_without(&mut fleet, &second, &tried);
    let mut call = fleet.on_send(NOW, &copy, &request(&second));
    fleet.on_first_event(NOW, &mut call);
    fleet.on_end(NOW, call, CallOutcome::Success);
    let third = segments(7, 72);
    let pick = fleet.choose(NOW, &request(&third)).expect("an upstream");
    assert_eq!(pick.name, preferred.name);
    assert_eq!(
        (source_name(&pick), pick.fetched_tokens),
        (Some(&*copy.name), 0)
    );
}

/// Guards against notices that arrive at other instances before there is anything to fetch, and
/// against instances that don't learn of a copy.
#[test]
fn peers_learn_copies() {
    let mut sender = fleet(9, 1);
    let mut other = fleet(9, 1);
    let prefix = segments(7, 70);
    let preferred = sender.choose(NOW, &request(&prefix)).expect("an upstream");
    let mut call = sender.on_send(NOW, &preferred, &request(&prefix));
    assert_eq!(sender.cache_notices(NOW).count(), 0);
    sender.on_first_event(NOW, &mut call);
    for notice in sender.cache_notices(NOW) {
        other.on_cache_notice(NOW, notice.segment, notice.upstream);
    }
    let tried = [Arc::clone(&preferred.name)];
    let elsewhere = choose_without(&mut other, &prefix, &tried);
    // A tried upstream has failed this request, so it is no source for it either.
    assert_eq!(elsewhere.cache_source, None);
    fill(&mut other, &preferred);
    let pick = other.choose(NOW, &request(&prefix)).expect("an upstream");
    assert_eq!(source_name(&pick), Some(&*preferred.name));
}

/// A prefix is fetched only between upstreams with the same version of the software.
///
/// Guards against cached segments that another version has written in its own form.
#[rstest]
#[case::same_version(Some("v1"), true)]
#[case::other_version(Some("v2"), false)]
#[case::unknown_version(None, false)]
fn version_of_source(#[case] software: Option<&str>, #[case] is_named: bool) {
    let mut fleet = fleet(0, 1);
    fleet.on_listed(&ListedUpstream {
        software: Some(Arc::from("v1")),
        ..listed(0)
    });
    let segments = segments(1, 2);
    let source = compute(&mut fleet, &request(&segments));
    fleet.on_listed(&ListedUpstream {
        software: software.map(Arc::from),
        ..listed(1)
    });
    // Requests overflow from the upstream that has the prefix.
    fill(&mut fleet, &source);
    let overflow = choose_without(&mut fleet, &segments, &[]);
    assert_eq!(&*overflow.name, "runner-1");
    assert_eq!(source_name(&overflow), is_named.then_some("runner-0"));
    let fetched_tokens = if is_named { SHARED_TOKENS } else { 0 };
    assert_eq!(overflow.fetched_tokens, fetched_tokens);
}
