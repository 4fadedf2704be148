//! The choice of an upstream for one request.
//!
//! [`Fleet::choose`] proceeds in three steps:
//!
//! 1. It selects the upstreams that may take the request. While there are short prompts in flight,
//!    some upstreams are reserved for them, and long prompts use the others.
//! 2. It sorts them by rendezvous hashing of the shared prompt prefix, which gives the same order
//!    at every instance. The first upstream is the preferred one and is taken to have the prefix
//!    cached. Without a shared prefix the order is random.
//! 3. It visits them in this order up to the first free one, at least
//!    [`Settings::min_candidates`](super::Settings::min_candidates) of them, and takes the cheapest
//!    of those visited. An upstream counts as free if its wait is short or not much above the mean.
//!    The cost is the wait, the time for computing shared tokens again, and a surcharge for another
//!    data centre.
//!
//! A hot prefix thus spreads over the first few upstreams of its order, and different prefixes
//! overflow to different upstreams, although all instances see the same outdated load.

use super::{
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

/// Factor between two consecutive sizes of the group for short prompts.
const GROUP_SIZE_STEP: f64 = 1.35;

/// Fewest upstreams of a service that are split into groups.
const MIN_UPSTREAMS_TO_SPLIT: usize = 3;

/// Position for an upstream outside the rendezvous order, where none is preferred.
const NOT_PREFERRED: usize = usize::MAX;

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
        let source = self.cache_source(request, None);
        let free_wait_limit = self.free_wait_limit_ms(request, &group);
        self.cheapest_until_free(request, &ordered, source.as_ref(), free_wait_limit)
            .map(|best| self.pick(request, &best))
    }

    /// Returns the upstream with the shortest wait, whether or not it has the prompt cached.
    pub(super) fn shortest_wait(&self, now: Millis, request: &RequestInfo<'_>) -> Option<Pick> {
        let group = self.eligible_group(now, request);
        let source = self.cache_source(request, None);
        let candidates = group
            .iter()
            .map(|u| self.candidate(request, u, source.as_ref(), NOT_PREFERRED));
        candidates
            .min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms))
            .map(|best| self.pick(request, &best))
    }

    /// Returns the pick of a candidate, with the source from which it fetches what it lacks.
    ///
    /// A source is named even if the upstream is believed to have all segments, since it may have
    /// evicted them; it fetches only what it lacks.
    fn pick(&self, request: &RequestInfo<'_>, best: &Candidate<'_>) -> Pick {
        best.pick(self.cache_source(request, Some(&best.upstream.listed.name)))
    }

    /// Returns whether the prompt of a request counts as short.
    pub(super) fn is_short_prompt(&self, request: &RequestInfo<'_>) -> bool {
        request.prompt_tokens > 0
            && request.prompt_tokens <= self.settings().short_prompt_max_tokens
    }

    /// Returns the upstreams that may take this request: the usable ones of its group.
    ///
    /// During the prefill of a long prompt, each token of the other calls at that upstream takes as
    /// long as a chunk of the prompt. Some upstreams are therefore reserved for short prompts, and
    /// long prompts use the others. If no upstream of the own group is usable, those of the other
    /// group are returned.
    fn eligible_group(&self, now: Millis, request: &RequestInfo<'_>) -> Vec<&Upstream> {
        let usable = |u: &&Upstream| {
            let has_room = u.load.total_calls() < u.health.max_in_flight(now);
            u.is_live() && has_room && !request.tried.contains(&u.listed.name)
        };
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
        source: Option<&CacheSource>,
        free_wait_limit: f64,
    ) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate<'a>> = None;
        for (position, upstream) in ordered.iter().enumerate() {
            let candidate = self.candidate(request, upstream, source, position);
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
        source: Option<&CacheSource>,
        position: usize,
    ) -> Candidate<'a> {
        let cfg = self.settings();
        let cached_tokens = Self::cached_tokens(request, upstream, position);
        let fetched_tokens = source
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
    /// prompts, a cost for the share of slots that they occupy, and, if they fill all slots, the
    /// time until one is free.
    fn wait_ms(&self, request: &RequestInfo<'_>, upstream: &Upstream) -> f64 {
        let cfg = self.settings();
        let calls = f64::from(upstream.calls_up_to(request.rank_index()));
        let slots = f64::from(upstream.listed.slots.max(1));
        let queued = (calls + 1.0 - slots).max(0.0);
        upstream.prefill_tokens_up_to(request.rank_index()) as f64 * self.prefill_ms_per_token()
            + calls * cfg.occupancy_cost_ms / slots
            + queued * upstream.mean_call_ms / slots
    }
}

/// Returns the rendezvous weight of an upstream for a shared prefix.
fn rendezvous_weight(affinity_key: u64, upstream: u32) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&affinity_key.to_le_bytes());
    bytes[8..].copy_from_slice(&upstream.to_le_bytes());
    order::hash_bytes(&bytes)
}
