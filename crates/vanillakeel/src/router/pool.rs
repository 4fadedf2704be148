//! What an instance keeps for each pool.

use super::Settings;
use crate::{
    Millis,
    admission::Queue,
    attempt::Budget,
    routing::Table,
    share::Share, //
};
use std::sync::Arc;

/// Smoothing of the time that a call takes, share of the newest.
const SMOOTHING: f64 = 0.1;

/// Shortest advice on when to come back, in ms.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Longest advice on when to come back, in ms.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// State of one pool.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) name: Arc<str>,
    pub(super) queue: Queue,
    pub(super) table: Table,
    pub(super) share: Share,
    pub(super) budget: Budget,
    service_ms: f64,
}

impl Pool {
    pub(super) fn new(name: &str, me: &str, settings: &Settings) -> Self {
        Self {
            name: Arc::from(name),
            queue: Queue::new(settings.admission),
            table: Table::new(settings.routing),
            share: Share::new(name, me, settings.share),
            budget: Budget::new(settings.attempt.budget),
            service_ms: 0.0,
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
        let upstreams = self.table.names().count().max(1) as u32;
        limit
            .div_ceil(upstreams)
            .saturating_mul(2)
            .saturating_add(1)
    }
}
