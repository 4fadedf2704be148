//! Who is refused first when a service can't take every request.
//!
//! The load behind these tests: several times the usual number of urgent requests with short prompts,
//! beside long, less urgent ones. The upstreams for short prompts are full before the others.

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
        Fleet,
        InFlightCall,
        PromptSegment,
        RequestInfo, //
    },
    mesh::{
        Load,
        Loads, //
    },
    order,
};

const UPSTREAMS: usize = 12;

/// Kind of request: rank, prompt tokens and target in ms.
type Kind = (u8, u32, u64);

/// Time between two requests, in ms.
const PAUSE_MS: u64 = 2;

fn segments(tokens: u32, own: u64) -> [PromptSegment; 2] {
    let shared = PromptSegment {
        id: own % 50,
        tokens: 1,
    };
    [
        shared,
        PromptSegment {
            id: 1_000 + own,
            tokens,
        },
    ]
}

/// Sends a request if it is admitted.
fn offer(fleet: &mut Fleet, now: Millis, request: &RequestInfo<'_>) -> Option<InFlightCall> {
    let pick = fleet.choose(now, request)?;
    let pick = fleet.admit(now, request, pick).ok()?;
    Some(fleet.on_send(now, &pick, request))
}

/// Requests of several kinds arrive in turn, and none of them ends.
///
/// Guards against urgent requests that are refused because their own group of upstreams is full or
/// their own target is tight, while a less urgent and longer one would still be admitted.
#[rstest]
#[case::short_prompts(&[(0, 800, 300), (1, 2_400, 400), (2, 12_000, 1_500)], &[1, 20, 1])]
#[case::shortest_prompts(&[(0, 800, 300), (1, 2_400, 400), (2, 12_000, 1_500)], &[20, 1, 1])]
#[case::loose_targets(&[(0, 1_000, 400), (2, 17_000, 2_000)], &[12, 1])]
#[case::three_long(&[(0, 5_000, 300), (1, 9_000, 900), (2, 20_000, 2_000)], &[1, 4, 1])]
fn less_urgent_refused_too(#[case] kinds: &[Kind], #[case] shares: &[u64]) {
    let mut fleet = fleet(UPSTREAMS, 1);
    let (mut now, mut refused) = (Millis::new(100_000), 0);
    for n in 0..600 {
        for (at, (kind, share)) in kinds.iter().zip(shares).enumerate() {
            for i in 0..*share {
                now = now.plus(PAUSE_MS);
                let own = (n * 64 + i) * 8 + at as u64;
                let (rank, tokens, target_ms) = *kind;
                let prompt = segments(tokens, own);
                let request = ranked_request(&prompt, rank, target_ms);
                if offer(&mut fleet, now, &request).is_some() {
                    continue;
                }
                refused += 1;
                for (rank, tokens, target_ms) in &kinds[at + 1..] {
                    let prompt = segments(*tokens, own);
                    let less_urgent = ranked_request(&prompt, *rank, *target_ms);
                    let admitted = offer(&mut fleet.clone(), now, &less_urgent);
                    assert!(
                        admitted.is_none(),
                        "{less_urgent:?} is admitted while {request:?} is refused"
                    );
                }
            }
        }
    }
    assert!(refused > 100, "{refused} requests refused");
}

/// Urgent calls occupy nearly all slots of an upstream, while another one has half of its slots free and
/// a short queue of prefill.
///
/// Guards against less urgent requests that all go where a slot is free at that moment: the urgent ones
/// that arrive meanwhile take it, and they wait there until their deadline.
#[test]
fn nearly_full_upstream() {
    let mut fleet = fleet(2, 1);
    let mut loads = Loads::default();
    for (at, calls, prefill_tokens) in [(0, 46, 0), (1, 24, 6_000)] {
        loads.add(Load {
            upstream: order::hash(&listed(at).name) as u32,
            rank: 0,
            calls,
            prefill_tokens,
        });
    }
    fleet.set_remote(&loads);
    let prompt = segments(800, 1);
    let request = ranked_request(&prompt, 1, 400);
    let pick = fleet.choose(Millis::new(100_000), &request);
    assert_eq!(pick.map(|p| p.name), Some(listed(1).name));
}
