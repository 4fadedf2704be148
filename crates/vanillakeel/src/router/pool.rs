//! What an instance keeps for each pool.

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

/// Smoothing of the time that a call takes, share of the newest.
const SMOOTHING: f64 = 0.1;

/// Shortest advice on when to come back, in ms.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Longest advice on when to come back, in ms.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Calls at other groups that an instance starts with.
const SPILL_START: f64 = 4.0;

/// Most calls at other groups.
const MAX_SPILL: f64 = 4_096.0;

/// Part of its target within which a first token of another group shows that it has room.
const SPILL_IN_TIME: f64 = 0.25;

/// State of one pool.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) name: Arc<str>,
    pub(super) queue: Queue,
    pub(super) table: Table,
    pub(super) share: Share,
    pub(super) budget: Budget,
    /// Whether upstreams or instances have changed since the groups were made.
    pub(super) is_stale: bool,
    service_ms: f64,
    /// Calls that may be in flight at other groups, learnt from their first tokens.
    spill: f64,
    /// Whether no first token of another group has been late yet, so that the limit doubles.
    spill_is_fresh: bool,
}

impl Pool {
    pub(super) fn new(name: &str, me: &str, settings: &Settings) -> Self {
        Self {
            name: Arc::from(name),
            queue: Queue::new(settings.admission),
            table: Table::new(settings.routing),
            share: Share::new(me, settings.share),
            budget: Budget::new(settings.attempt.budget),
            is_stale: true,
            service_ms: 0.0,
            spill: SPILL_START,
            spill_is_fresh: true,
        }
    }

    /// Divides the pool into groups anew, given the sorted names of the live instances and the
    /// pool's rank among all.
    pub(super) fn regroup(
        &mut self,
        me: &str,
        instances: &[Arc<str>],
        pool_rank: usize,
        settings: &Settings,
    ) {
        self.is_stale = false;
        let count = subset::count(settings.subset, self.table.len(), instances.len());
        let rank = instances.partition_point(|p| **p < *me);
        let group = subset::group_of(rank, count);
        self.table.set_group(group, count);
        let mates = instances
            .iter()
            .enumerate()
            .filter(|(rank, _)| subset::group_of(*rank, count) == group);
        self.share.set_peers(mates.map(|(_, name)| &**name));
        self.share.set_rank(pool_rank);
    }

    /// Whether one more call may go to another group.
    pub(super) fn may_spill(&self, settings: &Settings) -> bool {
        settings.subset.spill && f64::from(self.table.foreign_in_flight()) < self.spill
    }

    /// Learns from the first token of another group, which took `ms` of a target.
    pub(super) fn on_foreign_first_token(&mut self, ms: u64, target_ms: u64) {
        if ms as f64 <= target_ms as f64 * SPILL_IN_TIME {
            let step = if self.spill_is_fresh {
                1.0
            } else {
                1.0 / self.spill
            };
            self.spill = (self.spill + step).min(MAX_SPILL);
        } else {
            self.spill = (self.spill * 0.9).max(1.0);
            self.spill_is_fresh = false;
        }
    }

    pub(super) fn on_service(&mut self, ms: u64) {
        if self.service_ms == 0.0 {
            self.service_ms = ms as f64;
        }
        self.service_ms += SMOOTHING * (ms as f64 - self.service_ms);
    }

    /// When the queue as it stands will have been served, in ms.
    pub(super) fn retry_after_ms(&self, now: Millis) -> u64 {
        let slots = self.share.limit(now, self.table.total_slots());
        let turns = self.queue.len() as f64 / f64::from(slots.max(1));
        let ms = (turns * self.service_ms) as u64;
        ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Calls that this instance may have in flight for a request.
    pub(super) fn limit(&self, now: Millis, protected: bool) -> u32 {
        let slots = self.table.total_slots().max(1);
        if protected {
            self.share.protected_limit(now, slots)
        } else {
            self.share.limit(now, slots)
        }
    }

    /// Calls that this instance may have in flight at one upstream.
    pub(super) fn limit_per_upstream(&self, now: Millis, protected: bool) -> u32 {
        let limit = self.limit(now, protected);
        if limit == u32::MAX {
            return limit;
        }
        let upstreams = self.table.own_len().max(1) as u32;
        limit
            .div_ceil(upstreams)
            .saturating_mul(2)
            .saturating_add(1)
    }
}
