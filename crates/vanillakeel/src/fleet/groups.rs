//! The division of a service's upstreams between short and long prompts.
//!
//! During the prefill of a long prompt, each token of the other calls at that upstream takes as long
//! as a chunk of the prompt. Some upstreams are therefore reserved for short prompts. Their number
//! follows the load of all instances in coarse steps, so that instances with slightly different views
//! reserve the same ones: the first ones by the hash of the name.

use super::{
    request::RequestInfo,
    state::Fleet,
    upstream::Upstream, //
};
use crate::Millis;

/// Factor between two consecutive sizes of the group for short prompts.
const GROUP_SIZE_STEP: f64 = 1.35;

/// Fewest upstreams of a service that are split into groups.
const MIN_UPSTREAMS_TO_SPLIT: usize = 3;

impl Fleet {
    /// Returns whether the prompt of a request counts as short.
    pub(super) fn is_short_prompt(&self, request: &RequestInfo<'_>) -> bool {
        request.prompt_tokens > 0
            && request.prompt_tokens <= self.settings().short_prompt_max_tokens
    }

    /// Returns the upstreams that may take this request: the usable ones of its group.
    ///
    /// If no upstream of the own group is usable, those of the other group are returned. A request that
    /// continues a stream can only go to upstreams with the same software; if none of these is usable,
    /// ejected ones are returned.
    pub(super) fn eligible_group(&self, now: Millis, request: &RequestInfo<'_>) -> Vec<&Upstream> {
        let group = self.usable_group(now, request);
        if group.is_empty() && request.software.is_some() {
            let of_service = self.of_service(request.service);
            let may_take = |u: &&Upstream| u.may_run(request) && self.has_room(now, request, u);
            return of_service.filter(may_take).collect();
        }
        group
    }

    /// Returns the upstreams of all groups that may take this request.
    pub(super) fn usable(&self, now: Millis, request: &RequestInfo<'_>) -> Vec<&Upstream> {
        let of_service = self.of_service(request.service);
        of_service
            .filter(|u| self.may_take(now, request, u))
            .collect()
    }

    fn usable_group(&self, now: Millis, request: &RequestInfo<'_>) -> Vec<&Upstream> {
        let usable = |u: &&Upstream| self.may_take(now, request, u);
        let all: Vec<_> = self
            .of_service(request.service)
            .filter(|u| u.is_live())
            .collect();
        let group_size = self.short_prompt_group_size(request, &all);
        if group_size == 0 {
            return all.into_iter().filter(usable).collect();
        }
        let mut by_hash = all;
        by_hash.sort_unstable_by_key(|u| u.hash);
        let (short_prompt_group, long_prompt_group) = by_hash.split_at(group_size);
        let (own, other) = if self.is_short_prompt(request) {
            (short_prompt_group, long_prompt_group)
        } else {
            (long_prompt_group, short_prompt_group)
        };
        let own: Vec<_> = own.iter().copied().filter(usable).collect();
        if own.is_empty() {
            return other.iter().copied().filter(usable).collect();
        }
        own
    }

    /// Returns how many upstreams are reserved for short prompts, or zero if there are no groups.
    ///
    /// There are enough of them that the short-prompt calls in flight take only a share of their
    /// slots, `Settings::short_prompt_occupancy`. Where queues of prefill show that long prompts need
    /// more upstreams, that share rises up to `Settings::max_short_prompt_occupancy`. At most
    /// `Settings::max_short_prompt_share` of all are reserved.
    fn short_prompt_group_size(&self, request: &RequestInfo<'_>, all: &[&Upstream]) -> usize {
        let cfg = self.settings();
        let short_prompt_calls = self.total_short_prompt_calls();
        if request.prompt_tokens == 0
            || short_prompt_calls == 0.0
            || all.len() < MIN_UPSTREAMS_TO_SPLIT
        {
            return 0;
        }
        let mean_slots =
            all.iter().map(|u| f64::from(u.listed.slots)).sum::<f64>() / all.len() as f64;
        let size_at = |occupancy: f64| short_prompt_calls / (mean_slots * occupancy).max(1.0);
        let left = all.len() as f64 - self.needed_by_prefill(all);
        let wanted = size_at(cfg.short_prompt_occupancy)
            .min(left)
            .max(size_at(cfg.max_short_prompt_occupancy));
        // Geometric steps keep the groups equal at all instances although their views differ
        // slightly.
        let step = (wanted.max(1.0).ln() / GROUP_SIZE_STEP.ln()).ceil();
        let max_size = all.len() as f64 * cfg.max_short_prompt_share;
        GROUP_SIZE_STEP
            .powf(step)
            .ceil()
            .clamp(1.0, max_size.max(1.0)) as usize
    }

    /// Returns how many upstreams the queued prefill needs, nearly all of which is that of long
    /// prompts.
    fn needed_by_prefill(&self, all: &[&Upstream]) -> f64 {
        let reported: f64 = all.iter().map(|u| u.mean_prefill_tokens).sum();
        let queued_tokens = reported * self.extrapolation_factor();
        queued_tokens * self.prefill_ms_per_token() / self.settings().queued_prefill_ms
    }
}
