//! Load shedding: decides whether a request is sent now or refused, and when its caller may retry.
//!
//! An engine schedules more urgent requests first, so a request waits for the prefill of those that
//! are at least as urgent. A prefill that has started is not preempted and delays every later
//! request. The queue that a request may join is therefore bounded by its own target and by tighter
//! targets of more urgent requests; [`Fleet::admit`] gives the exact rule. A refusal is immediate and
//! counts as not run; it carries the time after which the queue should be short enough.
//!
//! A request is refused only if every less urgent one of its size or longer would be refused as well, by
//! what the instance knows at that time:
//!
//! - its expected wait at an upstream is at most theirs, since it waits for fewer others,
//! - its limit is at least theirs, and
//! - it is tried at each upstream that would take them.

use super::{
    request::{
        Pick,
        RequestInfo, //
    },
    state::Fleet, //
};
use crate::Millis;

/// prompts are queued for {wait_ms} ms, at most {limit_ms} ms are allowed ({limit_percent} % of the limit, by the share of the workspace); room is expected in {retry_after_ms} ms
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct Overload {
    /// Time after which the caller may retry, in ms.
    pub retry_after_ms: u64,
    /// Expected wait at the chosen upstream, in ms.
    pub wait_ms: u64,
    /// Longest wait for which the request is admitted, in ms.
    pub limit_ms: u64,
    /// Part of the limit that the workspace of the request keeps by its share, in percent.
    pub limit_percent: u32,
    /// Whether it would be admitted with the whole limit.
    pub is_over_share: bool,
}

impl Fleet {
    /// Admits a request to the chosen upstream or to the one with the shortest wait, or refuses it.
    ///
    /// A request without a prompt or a target is always admitted. For any other, the expected wait
    /// is limited to the least of:
    ///
    /// - a multiple of its own target,
    /// - that of the tightest target among recent requests that are more urgent, and
    /// - for a long prompt, a smaller multiple of the tightest target among recent long prompts that
    ///   are at least as urgent, if that is tighter than its own.
    ///
    /// While the service refuses requests, a workspace that has got more than others keeps a
    /// [part](super::shares) of the limit.
    ///
    /// If the wait at the chosen upstream is above the limit, the request goes to the upstream with the
    /// shortest wait if that is within the limit: one of its own group, or else any. The exception is a
    /// request to which the last limit applies while no less urgent ones with long prompts arrive:
    /// computing its cached prefix elsewhere would only cost more urgent requests time.
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
        self.targets_mut()
            .record(now, rank, request.target_ms, is_short_prompt);
        let limit_share = self.limit_share(now, request);
        let cfg = self.settings();
        let targets = self.targets();
        let target_ms = targets
            .tightest_above(now, rank)
            .map_or(request.target_ms, |ms| ms.min(request.target_ms));
        let own_limit = target_ms as f64 * cfg.own_target_factor;
        let tightest = targets.tightest_long_up_to(now, rank, request.target_ms);
        let urgent_target_ms = tightest.filter(|_| !is_short_prompt);
        let limit = urgent_target_ms.map_or(own_limit, |ms| {
            own_limit.min(ms as f64 * cfg.urgent_target_factor)
        });
        let whole_limit = limit;
        let limit = whole_limit * limit_share;
        let excess = pick.wait_ms as f64 - limit;
        if excess <= 0.0 {
            return Ok(pick);
        }
        let may_go_elsewhere = urgent_target_ms.is_none() || targets.has_long_below(now, rank);
        let other = may_go_elsewhere
            .then(|| self.shortest_wait_within(now, request, limit))
            .flatten();
        match other {
            Some(other) => Ok(other),
            None => Err(Overload {
                retry_after_ms: (excess as u64).max(cfg.min_retry_after_ms),
                wait_ms: pick.wait_ms,
                limit_ms: limit as u64,
                limit_percent: (limit_share * 100.0) as u32,
                is_over_share: pick.wait_ms as f64 <= whole_limit,
            }),
        }
    }
}
