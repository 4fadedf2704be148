//! The division of a service between short and long prompts in a burst of long ones.
//!
//! The load behind these tests: twice the usual number of long prompts for ten seconds. The upstreams
//! for long prompts have to refuse a third of them, while those reserved for short prompts are half
//! empty.

mod fleets;

use fleets::{
    fleet,
    listed,
    ranked_request, //
};
use rstest::rstest;
use std::collections::BTreeSet;
use vanillakeel::{
    Millis,
    fleet::{
        Fleet,
        PromptSegment, //
    },
    mesh::{
        Load,
        Loads, //
    },
    order,
};

const NOW: Millis = Millis::new(100_000);

const UPSTREAMS: usize = 30;

/// Calls with short prompts in flight at all instances.
const SHORT_PROMPT_CALLS: u32 = 200;

/// Reports after which moving averages have settled.
const REPORTS: u32 = 60;

/// Returns the load of other instances: short prompts, and queued prefill at each upstream.
fn remote_load(short_prompt_calls: u32, queued_tokens: u64) -> Loads {
    let mut loads = Loads::with_short_prompt_calls(short_prompt_calls);
    for at in 0..UPSTREAMS {
        loads.add(Load {
            upstream: order::hash(&listed(at).name) as u32,
            rank: 2,
            calls: 4,
            prefill_tokens: queued_tokens,
        });
    }
    loads
}

/// Returns how many upstreams long prompts do not use.
fn reserved(fleet: &mut Fleet) -> usize {
    let mut used = BTreeSet::new();
    for prefix in 0..600 {
        let shared = PromptSegment {
            id: 1_000 + prefix,
            tokens: 8_000,
        };
        let own = PromptSegment {
            id: 9_000 + prefix,
            tokens: 2_000,
        };
        let segments = [shared, own];
        let request = ranked_request(&segments, 2, 2_000);
        let pick = fleet.choose(NOW, &request).expect("an upstream");
        used.insert(pick.name);
    }
    UPSTREAMS - used.len()
}

/// Guards against refused long prompts while reserved upstreams have room, and against short prompts
/// that are crowded where no long prompt waits.
///
/// Of 48 slots, the short prompts fill half where there is room, and up to 0.8 where prefill is
/// queued for longer than 200 ms; sizes grow in steps of a third.
#[rstest]
#[case::nothing_queued(0, 12)]
#[case::short_queues(3_000, 12)]
#[case::long_queues(20_000, 7)]
fn room_for_long_prompts(#[case] queued_tokens: u64, #[case] expected: usize) {
    let mut fleet = fleet(UPSTREAMS, 1);
    for _ in 0..REPORTS {
        fleet.set_remote(&remote_load(SHORT_PROMPT_CALLS, queued_tokens));
    }
    assert_eq!(reserved(&mut fleet), expected);
}

/// Guards against a division that jumps with each report: a single report of long queues changes
/// nothing.
#[test]
fn single_report() {
    let mut fleet = fleet(UPSTREAMS, 1);
    for _ in 0..REPORTS {
        fleet.set_remote(&remote_load(SHORT_PROMPT_CALLS, 0));
    }
    fleet.set_remote(&remote_load(SHORT_PROMPT_CALLS, 20_000));
    assert_eq!(reserved(&mut fleet), 12);
}

/// Guards against a different division at an instance that is cut off from most of the others and
/// sees only a part of the load.
#[test]
fn partial_view() {
    let mut fleet = fleet(UPSTREAMS, 1);
    for _ in 0..REPORTS {
        fleet.set_remote(&remote_load(SHORT_PROMPT_CALLS / 4, 5_000));
    }
    fleet.set_extrapolation_factor(4.0);
    assert_eq!(reserved(&mut fleet), 7);
}
