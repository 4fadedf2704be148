//! Load shedding: decides whether a request is sent now or refused, and when its caller may retry.
//!
//! An engine schedules more urgent requests first, so a request waits for the prefill of those that
//! are at least as urgent. A prefill that has started is not preempted and delays every later
//! request. The queue that a request may join is therefore bounded by its own target and by the
//! tightest target of the long-prompt requests that are served before it. A refusal is immediate
//! and counts as not run; it carries the time after which the queue should be short enough.

use super::{
    choose::{
        Pick,
        RequestInfo, //
    },
    state::Fleet,
    upstream::RANK_COUNT, //
};
use crate::Millis;

/// Time for which the target of a request counts after that rank was last seen, in ms.
const TARGET_TTL_MS: u64 = 10_000;

/// Tightest targets of recent requests with long prompts in ms, by rank, with the time of the last
/// one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentTargets([Option<(Millis, u64)>; RANK_COUNT]);

impl RecentTargets {
    pub(super) const EMPTY: Self = Self([None; RANK_COUNT]);

    fn record(&mut self, now: Millis, rank: usize, target_ms: u64) {
        let is_old = |seen: Millis| now.since(seen) > TARGET_TTL_MS;
        let known = self.0[rank].filter(|(seen, _)| !is_old(*seen));
        let least = known.map_or(target_ms, |(_, ms)| ms.min(target_ms));
        self.0[rank] = Some((now, least));
    }

    /// Returns the tightest target of the requests that are served before one of this rank and
    /// target: more urgent ones, and equally urgent ones with a tighter target.
    fn tightest_more_urgent(&self, now: Millis, rank: usize, target_ms: u64) -> Option<u64> {
        self.0[..=rank]
            .iter()
            .flatten()
            .filter(|(seen, _)| now.since(*seen) <= TARGET_TTL_MS)
            .map(|(_, ms)| *ms)
            .filter(|ms| *ms < target_ms)
            .min()
    }
}

impl Fleet {
    /// Admits a request to the chosen upstream, or to the one with the shortest wait.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry, in ms, if the queue is too long.
    pub fn admit(
        &mut self,
        now: Millis,
        request: &RequestInfo<'_>,
        pick: Pick,
    ) -> Result<Pick, u64> {
        if request.prompt_tokens == 0 || request.target_ms == 0 {
            return Ok(pick);
        }
        let rank = request.rank_index();
        let is_short_prompt = self.is_short_prompt(request);
        if !is_short_prompt {
            self.targets_mut().record(now, rank, request.target_ms);
        }
        let cfg = self.settings();
        let own_limit = request.target_ms as f64 * cfg.own_target_factor;
        let tightest = self
            .targets()
            .tightest_more_urgent(now, rank, request.target_ms);
        let more_urgent = tightest.filter(|_| !is_short_prompt);
        let limit = more_urgent.map_or(own_limit, |ms| {
            own_limit.min(ms as f64 * cfg.urgent_target_factor)
        });
        let excess = pick.wait_ms as f64 - limit;
        if excess <= 0.0 {
            return Ok(pick);
        }
        // Recomputing a cached prefix elsewhere costs other requests time, so only requests with no
        // more urgent ones before them leave the upstreams that have it cached.
        let other = more_urgent
            .is_none()
            .then(|| self.shortest_wait(now, request))
            .flatten();
        match other {
            Some(other) if other.wait_ms as f64 <= limit => Ok(other),
            _ => Err((excess as u64).max(cfg.min_retry_after_ms)),
        }
    }
}
