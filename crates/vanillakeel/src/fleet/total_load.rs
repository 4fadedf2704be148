//! Load on each upstream of a service, of all instances.

use super::{
    state::Fleet,
    upstream::{
        ListedUpstream,
        RANK_COUNT, //
    },
};

/// Load of all instances on one upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLoad<'a> {
    /// The upstream.
    pub listed: &'a ListedUpstream,
    /// Whether it accepts new work.
    pub is_live: bool,
    /// Calls in flight.
    pub calls: u32,
    /// Prompt tokens that await prefill.
    pub prefill_tokens: u64,
}

impl Fleet {
    /// Returns the load of all instances on the upstreams of a service, extrapolated to instances that do not report.
    pub fn upstream_loads(&self, service: &str) -> impl Iterator<Item = UpstreamLoad<'_>> {
        let factor = self.extrapolation_factor();
        self.of_service(service).map(move |u| {
            let calls = u.calls_up_to(RANK_COUNT - 1);
            let tokens = u.prefill_tokens_up_to(RANK_COUNT - 1);
            UpstreamLoad {
                listed: &u.listed,
                is_live: u.is_live(),
                calls: (f64::from(calls) * factor).round() as u32,
                prefill_tokens: (tokens as f64 * factor).round() as u64,
            }
        })
    }

    /// Returns the learnt prefill time per prompt token, in ms.
    #[must_use]
    pub const fn learnt_prefill_ms_per_token(&self) -> f64 {
        self.prefill_ms_per_token()
    }
}
