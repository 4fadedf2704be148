//! The choice of upstreams for pass-through requests under typical production loads.

mod fleets;

use fleets::{
    fleet,
    listed,
    ranked_request, //
};
use rstest::rstest;
use vanillakeel::{
    Millis,
    fleet::{
        CallOutcome,
        Fleet,
        InFlightCall,
        ListedUpstream,
        Pick,
        PromptSegment,
        RequestInfo, //
    },
    membership::State,
};

const NOW: Millis = Millis::new(100_000);

fn long_prompt(prefix: u64, own: u64) -> [PromptSegment; 2] {
    let shared = PromptSegment {
        id: prefix,
        tokens: 13_000,
    };
    [
        shared,
        PromptSegment {
            id: own,
            tokens: 2_000,
        },
    ]
}

fn request(segments: &[PromptSegment]) -> RequestInfo<'_> {
    ranked_request(segments, 2, 2_000)
}

fn send(fleet: &mut Fleet, now: Millis, request: &RequestInfo<'_>) -> (Pick, InFlightCall) {
    let pick = fleet.choose(now, request).expect("an upstream");
    let call = fleet.on_send(now, &pick, request);
    (pick, call)
}

/// Guards against computing a shared prefix at several upstreams: all instances prefer the same one
/// without any exchange between them.
#[test]
fn same_preferred() {
    for prefix in 1..40 {
        let segments = long_prompt(prefix, 1_000);
        let preferred: Vec<_> = (0..8)
            .map(|seed| {
                fleet(9, seed)
                    .choose(NOW, &request(&segments))
                    .expect("a preferred upstream")
            })
            .collect();
        assert!(preferred.iter().all(|p| p.name == preferred[0].name));
        assert!(preferred.iter().all(|p| p.prefill_tokens == 2_000));
    }
}

/// Guards against an overloaded preferred upstream when one shared prefix gets much of the traffic.
///
/// Its requests spread over several upstreams, but far fewer than all, and no queue outgrows the
/// others.
#[test]
fn hot_prefix() {
    let mut fleet = fleet(30, 1);
    let mut used = Vec::new();
    for own in 0..60 {
        let segments = long_prompt(7, 1_000 + own);
        let (pick, _) = send(&mut fleet, NOW, &request(&segments));
        used.push(pick.name);
    }
    used.sort();
    used.dedup();
    assert!((3..=15).contains(&used.len()), "{} upstreams", used.len());
}

/// Guards against herding in a burst of many prefixes at once.
///
/// Instances with the same outdated view of the load must not all send to the same upstream.
#[test]
fn burst_of_prefixes() {
    let mut busiest = [0; 30];
    for seed in 0..20 {
        let mut fleet = fleet(30, seed);
        for prefix in 0..15 {
            let segments = long_prompt(seed * 100 + prefix, 9_000 + prefix);
            let (pick, _) = send(&mut fleet, NOW, &request(&segments));
            let at: usize = pick.name["runner-".len()..].parse().expect("a number");
            busiest[at] += 1;
        }
    }
    let most = busiest.iter().max().copied().unwrap_or(0);
    assert!(most <= 25, "one upstream of 30 got {most} of 300");
}

/// Guards against needless overflow in a burst of many prefixes.
///
/// Computing a prefix again at another upstream delays all requests that wait there, so a prefix
/// stays at its preferred upstream while the wait there costs less than computing it elsewhere.
#[test]
fn preferred_in_burst() {
    let segments = long_prompt(7, 70);
    let mut fleet = fleet(9, 1);
    let (preferred, _) = send(&mut fleet, NOW, &request(&segments));
    for n in 0..25 {
        // 50,000 tokens of other prefixes make a caller wait for a second.
        let other = [PromptSegment {
            id: 1_000 + n,
            tokens: 2_000,
        }];
        fleet.on_send(
            NOW,
            &preferred,
            &RequestInfo {
                segments: &other,
                ..request(&other)
            },
        );
    }
    let pick = fleet.choose(NOW, &request(&segments)).expect("an upstream");
    assert!(pick.wait_ms >= 900, "{pick:?}");
    assert_eq!(pick.name, preferred.name);
}

/// Guards against long prompts at the upstreams reserved for short ones, where their prefill would
/// delay the tokens of many short requests.
#[test]
fn short_prompts_reserved() {
    let mut fleet = fleet(12, 1);
    let mut short = Vec::new();
    for own in 0..60 {
        let segments = [PromptSegment {
            id: 50_000 + own,
            tokens: 900,
        }];
        let (pick, _) = send(&mut fleet, NOW, &request(&segments));
        short.push(pick.name);
    }
    let settled = short.split_off(20);
    let mut long = Vec::new();
    for prefix in 1..40 {
        let segments = long_prompt(prefix, 1_000 + prefix);
        let (pick, _) = send(&mut fleet, NOW, &request(&segments));
        long.push(pick.name);
    }
    assert!(long.iter().all(|name| !settled.contains(name)));
}

/// Guards against requests to removed upstreams after half of the service was removed.
#[test]
fn half_gone() {
    let mut fleet = fleet(10, 1);
    for at in 0..5 {
        fleet.on_removed(Millis::ZERO, &format!("runner-{at}"));
    }
    for prefix in 1..50 {
        let segments = long_prompt(prefix, 1_000);
        let pick = fleet.choose(NOW, &request(&segments)).expect("an upstream");
        assert!(*pick.name >= *"runner-5");
    }
}

/// Guards against a service without usable upstreams when all of them fail some requests.
///
/// Only a bounded share is ejected, and the rest continues to serve.
#[test]
fn all_failing() {
    let mut fleet = fleet(6, 1);
    for n in 0..100 {
        let segments = long_prompt(n, 1_000);
        let (_, call) = send(&mut fleet, NOW, &request(&segments));
        fleet.on_end(NOW, call, CallOutcome::Failed);
    }
    assert!(fleet.choose(NOW, &request(&long_prompt(1, 2))).is_some());
}

/// Guards against further requests to an upstream that refuses connections: it is ejected at once,
/// and probed after the ejection.
#[test]
fn unreachable_ejected() {
    let mut fleet = fleet(6, 1);
    let segments = long_prompt(1, 2);
    let (first, call) = send(&mut fleet, NOW, &request(&segments));
    fleet.on_end(NOW, call, CallOutcome::ConnectFailed);
    let second = fleet.choose(NOW, &request(&segments)).expect("another");
    assert_ne!(first.name, second.name);
    let later = NOW.plus(5_000);
    let third = fleet.choose(later, &request(&segments)).expect("a probe");
    assert_eq!(first.name, third.name);
}

/// Guards against new requests to an upstream that is leaving: an older record of the same incarnation
/// may arrive after the newer one.
#[rstest]
#[case::older_record(0, State::Live, false)]
#[case::new_incarnation(1, State::Live, true)]
fn leaving_for_good(#[case] incarnation: u64, #[case] state: State, #[case] is_used: bool) {
    let mut fleet = fleet(1, 1);
    fleet.on_listed(&ListedUpstream {
        state: State::Leaving,
        ..listed(0)
    });
    fleet.on_listed(&ListedUpstream {
        incarnation,
        state,
        ..listed(0)
    });
    assert_eq!(fleet.choose(NOW, &request(&[])).is_some(), is_used);
}

/// Guards against state that outlives a restart.
///
/// A new incarnation has nothing cached and nothing in flight, and the end of a call to the old one
/// changes nothing.
#[test]
fn restarted_upstream() {
    let mut fleet = fleet(1, 1);
    let segments = long_prompt(1, 2);
    let (_, call) = send(&mut fleet, NOW, &request(&segments));
    fleet.on_listed(&ListedUpstream {
        incarnation: 9,
        ..listed(0)
    });
    assert_eq!(fleet.loads().iter().count(), 0);
    fleet.on_end(NOW, call, CallOutcome::Failed);
    let (_, call) = send(&mut fleet, NOW, &request(&segments));
    fleet.on_end(NOW, call, CallOutcome::Success);
    assert_eq!(fleet.loads().iter().count(), 0);
}

/// Guards against ignored cache notices: an instance learns from one that an upstream other than the
/// preferred one has computed a prefix.
#[test]
fn cache_notice_applied() {
    let mut sender = fleet(4, 1);
    let mut other = fleet(4, 2);
    // The preferred upstream was already tried, so another one computes the prefix.
    let segments = long_prompt(5, 6);
    let preferred = sender
        .choose(NOW, &request(&segments))
        .expect("a preferred upstream")
        .name;
    let tried = [preferred];
    let again = RequestInfo {
        tried: &tried,
        ..request(&segments)
    };
    let before = other.choose(NOW, &again).expect("another");
    assert_eq!(before.prefill_tokens, 15_000);
    let (_, mut call) = send(&mut sender, NOW, &again);
    assert_eq!(sender.cache_notices(NOW).count(), 0, "not computed yet");
    sender.on_first_event(NOW, &mut call);
    for notice in sender.cache_notices(NOW) {
        other.on_cache_notice(NOW, notice.segment, notice.upstream);
    }
    let after = other.choose(NOW, &again).expect("the same upstream");
    assert_eq!((after.name, after.prefill_tokens), (before.name, 2_000));
}

/// Guards against one overloaded upstream when an instance is partitioned from the others and sends
/// short prompts.
///
/// It uses as many upstreams for them as all instances together do, not only the first one.
#[test]
fn cut_off_instance() {
    let mut used = Vec::new();
    let mut fleet = fleet(30, 1);
    fleet.set_extrapolation_factor(40.0);
    for own in 0..30 {
        let segments = [PromptSegment {
            id: 50_000 + own,
            tokens: 900,
        }];
        let (pick, _) = send(&mut fleet, NOW, &request(&segments));
        used.push(pick.name);
    }
    used.sort();
    used.dedup();
    assert!(used.len() >= 10, "{} upstreams", used.len());
}
