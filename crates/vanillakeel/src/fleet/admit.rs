//! Load shedding: decides whether a request is sent now or refused, and when its caller may retry.
//!
//! An engine schedules more urgent requests first, so a request waits for the prefill of those that
//! are at least as urgent. A prefill that has started is not preempted and delays every later
//! request. The queue that a request may join is therefore bounded by its own target and, if its
//! prompt is long, by tighter targets of other requests with long prompts; [`Fleet::admit`] gives
//! the exact rule. A refusal is immediate and counts as not run; it carries the time after which
//! the queue should be short enough.

use super::{
    request::{
        Pick,
        RequestInfo, //
    },
    state::Fleet, //
};
use crate::Millis;

/// prompts are queued for {wait_ms} ms, at most {limit_ms} ms are allowed; room is expected in {retry_after_ms} ms
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct Overload {
    /// Time after which the caller may retry, in ms.
    pub retry_after_ms: u64,
    /// Expected wait at the chosen upstream, in ms.
    pub wait_ms: u64,
    /// Longest wait for which the request is admitted, in ms.
    pub limit_ms: u64,
}

impl Fleet {
    /// Admits a request to the chosen upstream or to the one with the shortest wait, or refuses it.
    ///
    /// A request without a prompt or a target is always admitted. For any other, the expected wait
    /// is limited in two ways:
    ///
    /// - to a multiple of its own target, and
    /// - for a long prompt, to a multiple of the tightest target among recent long prompts that are
    ///   at least as urgent, if that is tighter than its own.
    ///
    /// If the wait at the chosen upstream is above the limit, the request is refused. The exception
    /// is a request to which only the first limit applies: it goes to the upstream with the
    /// shortest wait if that wait is within the limit.
    ///
    /// # Errors
    ///
    /// Returns the wait and its limit, and the time after which the caller may retry: that by which
    /// the wait exceeds the limit, but at least `Settings::min_retry_after_ms`.
    pub fn admit(
        &mut self,
        now: Millis,
        request: &RequestInfo<'_>,
        pick: Pick,
    ) -> Result<Pick, Overload> {
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
        let tightest = self.targets().tightest_up_to(now, rank, request.target_ms);
        let urgent_target_ms = tightest.filter(|_| !is_short_prompt);
        let limit = urgent_target_ms.map_or(own_limit, |ms| {
            own_limit.min(ms as f64 * cfg.urgent_target_factor)
        });
        let excess = pick.wait_ms as f64 - limit;
        if excess <= 0.0 {
            return Ok(pick);
        }
        // Recomputing a cached prefix elsewhere costs other requests time, so a request limited by
        // the tighter target of others is refused rather than sent to an upstream without the prefix.
        let other = urgent_target_ms
            .is_none()
            .then(|| self.shortest_wait(now, request))
            .flatten();
        match other {
            Some(other) if other.wait_ms as f64 <= limit => Ok(other),
            _ => Err(Overload {
                retry_after_ms: (excess as u64).max(cfg.min_retry_after_ms),
                wait_ms: pick.wait_ms,
                limit_ms: limit as u64,
            }),
        }
    }
}
