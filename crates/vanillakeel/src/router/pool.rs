//! State of one pool: its queue, routing table, capacity share and retry budget.

use super::Settings;
use crate::{
    Millis,
    admission::Queue,
    attempt::Budget,
    routing::Table,
    share::Share,
    subset, //
};
use std::sync::Arc;

/// Weight of the newest sample in the moving average of the service time.
const EWMA_WEIGHT: f64 = 0.1;

/// Shortest `Retry-After` given to a refused caller.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Longest `Retry-After` given to a refused caller.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Requests that may be in flight at other groups at the start.
const INITIAL_OVERFLOW_LIMIT: f64 = 4.0;

/// Upper bound of the requests that may be in flight at other groups.
const MAX_OVERFLOW_LIMIT: f64 = 4_096.0;

/// Fraction of the target latency within which a first token from another group shows that the
/// group has spare capacity.
const OVERFLOW_TARGET_FRACTION: f64 = 0.25;

/// What an instance keeps for one pool.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) name: Arc<str>,
    pub(super) queue: Queue,
    pub(super) table: Table,
    pub(super) share: Share,
    pub(super) budget: Budget,
    /// Whether the upstreams, the instances or the pool's rank have changed since the groups were
    /// computed.
    pub(super) needs_regroup: bool,
    /// Moving average of the time from sending a request to the end of its answer.
    service_ms: f64,
    /// Requests that may be in flight at other groups; adapted to the latency of their first tokens.
    overflow_limit: f64,
    /// Whether no first token from another group has been late yet; until then the limit grows by
    /// one for each timely first token and so doubles in about a round trip.
    overflow_in_slow_start: bool,
}

impl Pool {
    pub(super) fn new(name: &str, me: &str, settings: &Settings) -> Self {
        Self {
            name: Arc::from(name),
            queue: Queue::new(settings.admission),
            table: Table::new(settings.routing),
            share: Share::new(me, settings.share),
            budget: Budget::new(settings.attempt.budget),
            needs_regroup: true,
            service_ms: 0.0,
            overflow_limit: INITIAL_OVERFLOW_LIMIT,
            overflow_in_slow_start: true,
        }
    }

    /// Recomputes the groups from the sorted names of the live instances and the pool's rank among
    /// all pools.
    pub(super) fn regroup(
        &mut self,
        me: &str,
        instances: &[Arc<str>],
        pool_rank: usize,
        settings: &Settings,
    ) {
        self.needs_regroup = false;
        let count = subset::group_count(settings.subset, self.table.len(), instances.len());
        let rank = instances.partition_point(|p| **p < *me);
        let group = subset::group_of(rank, count);
        self.table.set_group(group, count);
        let group_members = instances
            .iter()
            .enumerate()
            .filter(|(rank, _)| subset::group_of(*rank, count) == group);
        self.share.set_peers(group_members.map(|(_, name)| &**name));
        self.share.set_rank(pool_rank);
    }

    /// Returns whether one more request may be sent to another group.
    pub(super) fn may_overflow(&self, settings: &Settings) -> bool {
        settings.subset.overflow
            && f64::from(self.table.in_flight_in_other_groups()) < self.overflow_limit
    }

    /// Adapts the overflow limit to a first token from another group, which took `ms` of
    /// `target_ms`: additive increase if it came early, multiplicative decrease otherwise.
    pub(super) fn on_overflow_first_token(&mut self, ms: u64, target_ms: u64) {
        if ms as f64 <= target_ms as f64 * OVERFLOW_TARGET_FRACTION {
            let step = if self.overflow_in_slow_start {
                1.0
            } else {
                1.0 / self.overflow_limit
            };
            self.overflow_limit = (self.overflow_limit + step).min(MAX_OVERFLOW_LIMIT);
        } else {
            self.overflow_limit = (self.overflow_limit * 0.9).max(1.0);
            self.overflow_in_slow_start = false;
        }
    }

    pub(super) fn on_service_time(&mut self, ms: u64) {
        if self.service_ms == 0.0 {
            self.service_ms = ms as f64;
        }
        self.service_ms += EWMA_WEIGHT * (ms as f64 - self.service_ms);
    }

    /// Estimates the time until all requests now in the queue are served, in ms.
    pub(super) fn retry_after_ms(&self, now: Millis) -> u64 {
        let slots = self.share.limit(now, self.table.available_slots());
        let rounds = self.queue.len() as f64 / f64::from(slots.max(1));
        let by_slots_ms = rounds * self.service_ms;
        let queued = self.queue.len() as f64;
        let rates = self.table.limited_rates();
        let by_rate_ms = rates.map_or(0.0, |(own, _)| queued / own * 1_000.0);
        let ms = by_slots_ms.max(by_rate_ms) as u64;
        ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Returns how many requests this instance may have in flight in its own group; protected
    /// requests get a higher limit.
    pub(super) fn limit(&self, now: Millis, protected: bool) -> u32 {
        let slots = self.table.available_slots().max(1);
        if protected {
            self.share.protected_limit(now, slots)
        } else {
            self.share.limit(now, slots)
        }
    }

    /// Returns how many requests this instance may have in flight at one upstream.
    ///
    /// It is twice an even split of the limit over the upstreams of the own group, plus one.
    pub(super) fn limit_per_upstream(&self, now: Millis, protected: bool) -> u32 {
        let limit = self.limit(now, protected);
        if limit == u32::MAX {
            return limit;
        }
        let upstreams = self.table.own_group_len().max(1) as u32;
        limit
            .div_ceil(upstreams)
            .saturating_mul(2)
            .saturating_add(1)
    }
}
