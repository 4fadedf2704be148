//! Fleets and requests that several tests of the pass-through daemon's decisions use.

use std::sync::Arc;
use vanillakeel::fleet::{
    Fleet,
    ListedUpstream,
    PromptSegment,
    RequestInfo,
    Settings, //
};

/// Service of all upstreams and requests.
const SERVICE: &str = "deeds";

/// Returns the upstream with number `at` as discovery lists it.
pub fn listed(at: usize) -> ListedUpstream {
    ListedUpstream {
        name: Arc::from(format!("runner-{at}")),
        service: Arc::from(SERVICE),
        slots: 48,
        ..ListedUpstream::default()
    }
}

/// Returns the fleet as one of several instances sees it; the seed tells the instances apart.
pub fn fleet(upstreams: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(Settings::default(), seed);
    for at in 0..upstreams {
        fleet.on_listed(&listed(at));
    }
    fleet
}

/// Returns a request for a prompt of these segments.
pub fn ranked_request(segments: &[PromptSegment], rank: u8, target_ms: u64) -> RequestInfo<'_> {
    RequestInfo {
        service: SERVICE,
        segments,
        prompt_tokens: segments.iter().map(|s| s.tokens).sum(),
        rank,
        target_ms,
        ..RequestInfo::default()
    }
}
