//! The choice of an upstream for one request.
//!
//! [`Fleet::choose`] proceeds in three steps:
//!
//! 1. It selects the upstreams that may take the request, those of its [group](super::groups).
//! 2. It sorts them by rendezvous hashing of the shared prompt prefix, which gives the same order
//!    at every instance. The first upstream is the preferred one and is taken to have the prefix
//!    cached. Without a shared prefix the order is random.
//! 3. It visits them in this order up to the first free one, at least
//!    [`Settings::min_candidates`](super::Settings::min_candidates) of them, and takes the cheapest
//!    of those visited. An upstream counts as free if its wait is short or not much above the mean.
//!    The cost is the wait, the time for computing shared tokens again or a part of it for fetching
//!    them from a [source](super::cache_source), and a surcharge for another data centre.
//!
//! A hot prefix thus spreads over the first few upstreams of its order, and different prefixes
//! overflow to different upstreams, although all instances see the same outdated load.
//!
//! Waits are those at the [speed](super::Speed) of the upstream, and the cost includes a part of the time by which it
//! takes longer than the others for the request itself, so that a slow one gets what it can finish.

use super::{
    cache_source::CacheSources,
    request::{
        CacheSource,
        Pick,
        RequestInfo, //
    },
    state::Fleet,
    upstream::Upstream, //
};
use crate::{
    Millis,
    order, //
};
use std::{
    cmp::Reverse,
    sync::Arc, //
};

/// Position for an upstream outside the rendezvous order, where none is preferred.
const NOT_PREFERRED: usize = usize::MAX;

/// Weight of the time by which an upstream takes longer for the request itself, relative to a wait of that length.
const OWN_WORK_WEIGHT: f64 = 0.3;

/// An upstream under consideration, with its cost.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Expected wait until the prefill can start, in ms.
    wait_ms: f64,
    /// Tokens of other prompts whose prefill comes first.
    tokens_ahead: u64,
    /// Prompt tokens that need prefill.
    prefill_tokens: u32,
    /// Shared prompt tokens that are probably cached there.
    cached_tokens: u32,
    /// Shared prompt tokens that are fetched from another upstream.
    fetched_tokens: u32,
    cost: f64,
}

impl Candidate<'_> {
    fn pick(&self, cache_source: Option<CacheSource>) -> Pick {
        let listed = &self.upstream.listed;
        Pick {
            name: Arc::clone(&listed.name),
            incarnation: listed.incarnation,
            address: listed.address,
            software: listed.software.clone(),
            prefill_tokens: self.prefill_tokens,
            cached_tokens: self.cached_tokens,
            fetched_tokens: self.fetched_tokens,
            cache_source,
            tokens_ahead: self.tokens_ahead,
            wait_ms: self.wait_ms as u64,
        }
    }
}

impl Fleet {
    /// Returns the upstream for a request, or `None` if no upstream accepts a call now.
    ///
    /// It is the cheapest of those visited up to the first free one, see the module
    /// [`choose`](super::choose).
    #[must_use]
    pub fn choose(&mut self, now: Millis, request: &RequestInfo<'_>) -> Option<Pick> {
        let random = self.next_random();
        let group = self.eligible_group(now, request);
        let ordered = Self::rendezvous_order(request, &group, random);
        let sources = self.cache_sources(request, None);
        let free_wait_limit = self.free_wait_limit_ms(request, &group);
        self.cheapest_until_free(request, &ordered, &sources, free_wait_limit)
            .map(|best| self.pick(request, &best))
    }

    /// Returns whether any upstream accepts a request now.
    #[must_use]
    pub fn has_upstream(&self, now: Millis, request: &RequestInfo<'_>) -> bool {
        !self.eligible_group(now, request).is_empty()
    }

    /// Returns the upstream with the shortest wait, whether or not it has the prompt cached, if that wait
    /// is within a limit in ms.
    ///
    /// It is one of the request's own group, or else any that may run it.
    pub(super) fn shortest_wait_within(
        &self,
        now: Millis,
        request: &RequestInfo<'_>,
        limit: f64,
    ) -> Option<Pick> {
        let sources = self.cache_sources(request, None);
        let shortest = |upstreams: Vec<&Upstream>| {
            let candidates = upstreams
                .into_iter()
                .map(|u| self.candidate(request, u, &sources, NOT_PREFERRED));
            candidates
                .min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms))
                .filter(|best| best.wait_ms <= limit)
                .map(|best| self.pick(request, &best))
        };
        shortest(self.eligible_group(now, request)).or_else(|| shortest(self.usable(now, request)))
    }

    /// Returns the pick of a candidate, with the source from which it fetches what it lacks.
    ///
    /// A source is named even if the upstream is believed to have all segments, since it may have
    /// evicted them; it fetches only what it lacks.
    fn pick(&self, request: &RequestInfo<'_>, best: &Candidate<'_>) -> Pick {
        let listed = &best.upstream.listed;
        let sources = self.cache_sources(request, Some(&listed.name));
        best.pick(sources.of(listed.software.as_deref()).cloned())
    }

    /// Sorts a group by rendezvous weight for the shared prefix, which gives the same order at all
    /// instances; for a request without a shared prefix the order is random.
    fn rendezvous_order<'a>(
        request: &RequestInfo<'_>,
        group: &[&'a Upstream],
        random: u64,
    ) -> Vec<&'a Upstream> {
        let affinity_key = request.affinity_key();
        let key = if affinity_key == 0 {
            random
        } else {
            affinity_key
        };
        let mut ordered = group.to_vec();
        ordered.sort_by_cached_key(|u| Reverse(rendezvous_weight(key, u.hash)));
        ordered
    }

    /// Returns the wait up to which an upstream counts as free, in ms: a multiple of the mean wait
    /// of its group, but at least a fixed time.
    fn free_wait_limit_ms(&self, request: &RequestInfo<'_>, group: &[&Upstream]) -> f64 {
        let cfg = self.settings();
        let total: f64 = group.iter().map(|u| self.wait_ms(request, u)).sum();
        let mean = total / group.len().max(1) as f64;
        (mean * cfg.free_wait_factor).max(cfg.free_wait_ms)
    }

    /// Visits upstreams in order up to the first free one, but at least `Settings::min_candidates`,
    /// and returns the cheapest of them.
    fn cheapest_until_free<'a>(
        &self,
        request: &RequestInfo<'_>,
        ordered: &[&'a Upstream],
        sources: &CacheSources<'_>,
        free_wait_limit: f64,
    ) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate<'a>> = None;
        for (position, upstream) in ordered.iter().enumerate() {
            let candidate = self.candidate(request, upstream, sources, position);
            let is_free = candidate.wait_ms <= free_wait_limit;
            if best.as_ref().is_none_or(|b| candidate.cost < b.cost) {
                best = Some(candidate);
            }
            if is_free && position + 1 >= self.settings().min_candidates {
                break;
            }
        }
        best
    }

    fn candidate<'a>(
        &self,
        request: &RequestInfo<'_>,
        upstream: &'a Upstream,
        sources: &CacheSources<'_>,
        position: usize,
    ) -> Candidate<'a> {
        let cfg = self.settings();
        let cached_tokens = Self::cached_tokens(request, upstream, position);
        let fetched_tokens = sources
            .of(upstream.listed.software.as_deref())
            .filter(|s| s.name != upstream.listed.name)
            .map_or(0, |s| s.cached_tokens.saturating_sub(cached_tokens));
        let available_tokens = cached_tokens + fetched_tokens;
        let recomputed_tokens = request.shared_tokens().saturating_sub(available_tokens);
        let prefill_tokens = request.prompt_tokens.saturating_sub(available_tokens);
        let priced_tokens =
            f64::from(recomputed_tokens) + f64::from(fetched_tokens) * cfg.fetch_weight;
        let is_other_data_centre = upstream.listed.data_centre != cfg.data_centre;
        let wait_ms = self.wait_ms(request, upstream);
        Candidate {
            upstream,
            wait_ms,
            tokens_ahead: upstream.prefill_tokens_up_to(request.rank_index()),
            prefill_tokens,
            cached_tokens,
            fetched_tokens,
            cost: wait_ms
                + self.slowness_cost_ms(request, upstream, prefill_tokens)
                + priced_tokens * self.prefill_ms_per_token() * cfg.recompute_weight
                + if is_other_data_centre {
                    cfg.cross_data_centre_cost_ms
                } else {
                    0.0
                },
        }
    }

    /// Returns the shared prompt tokens that an upstream probably has cached; the preferred upstream
    /// is taken to have every shared segment.
    fn cached_tokens(request: &RequestInfo<'_>, upstream: &Upstream, position: usize) -> u32 {
        let is_preferred = position == 0 && request.tried.is_empty();
        if is_preferred {
            request.shared_tokens()
        } else {
            upstream.cached.prefix(request.shared()).tokens
        }
    }

    /// Returns the expected wait at an upstream until a new prompt's prefill can start, in ms.
    ///
    /// Only calls that are at least as urgent count. The wait is the sum of the prefill of their
    /// prompts, a cost for the share of slots that they occupy, the mean time until a slot is free if
    /// such calls go on arriving, and, if they fill all slots, the time until their queue is gone. A slot
    /// that a more urgent call frees goes to the next one of these, so only the other slots count for
    /// that queue.
    fn wait_ms(&self, request: &RequestInfo<'_>, upstream: &Upstream) -> f64 {
        let cfg = self.settings();
        let rank = request.rank_index();
        let calls = f64::from(upstream.calls_up_to(rank));
        let more_urgent = f64::from(upstream.calls_above(rank));
        let slots = f64::from(upstream.listed.slots.max(1));
        let queued = (calls + 1.0 - slots).max(0.0);
        let left_slots = (slots - more_urgent).max(1.0);
        let call_ms = self.call_ms(request, upstream);
        let prefill_ms = upstream.prefill_tokens_up_to(rank) as f64 * self.prefill_ms_per_token();
        (prefill_ms + calls * cfg.occupancy_cost_ms / slots) * upstream.slowness
            + queueing_factor(calls.min(slots - 1.0), slots) * call_ms
            + queued * call_ms / left_slots
    }

    /// Returns the mean duration of a call at an upstream, in ms.
    ///
    /// Calls without a prompt take about the same work, so that their mean over the service, together with how slow
    /// the upstream is, tells more than the few that this instance has sent there.
    fn call_ms(&self, request: &RequestInfo<'_>, upstream: &Upstream) -> f64 {
        let of_service = self.service_speeds.mean_call_ms(request.service);
        match of_service.filter(|_| request.prompt_tokens == 0) {
            Some(ms) => ms * upstream.slowness,
            None => upstream.mean_call_ms,
        }
    }

    /// Returns a part of the time by which the work for the request itself takes longer at an upstream than on
    /// average, in ms.
    ///
    /// With all of it, fast upstreams would get queues for which each later request waits as well.
    fn slowness_cost_ms(
        &self,
        request: &RequestInfo<'_>,
        upstream: &Upstream,
        prefill_tokens: u32,
    ) -> f64 {
        let excess = (upstream.slowness - 1.0) * OWN_WORK_WEIGHT;
        if excess == 0.0 {
            return 0.0;
        }
        let own_ms = if request.prompt_tokens == 0 {
            self.service_speeds
                .mean_call_ms(request.service)
                .unwrap_or(0.0)
        } else {
            f64::from(prefill_tokens) * self.prefill_ms_per_token()
        };
        own_ms * excess
    }
}

/// Returns the mean wait for a slot in multiples of the mean duration of a call, while `calls` slots are
/// occupied on average: Sakasegawa's approximation for a queue with several servers.
fn queueing_factor(calls: f64, slots: f64) -> f64 {
    let utilisation = calls / slots;
    utilisation.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) / (slots - calls)
}

/// Returns the rendezvous weight of an upstream for a shared prefix.
fn rendezvous_weight(affinity_key: u64, upstream: u32) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&affinity_key.to_le_bytes());
    bytes[8..].copy_from_slice(&upstream.to_le_bytes());
    order::hash_bytes(&bytes)
}
