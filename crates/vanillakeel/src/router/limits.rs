//! Rate limits that upstreams name: what the router learns of them and tells other instances.

use super::Router;
use crate::{
    Millis, Reason, Refusal, Verdict,
    availability::AvailabilityChange,
    division::instance_id,
    rate_limits::{
        Rate,
        RateChange,
        RateLimit,
        RateTotals,
        ToldRate,
        told_rates, //
    },
    routing::{
        ChangedRate,
        Table, //
    },
};
use std::sync::Arc;

impl Router {
    /// Records the rate that the head of an answer names, if it names one; returns what has changed.
    ///
    /// `sent` is the time at which the request was sent.
    pub fn on_rate_answer(
        &mut self,
        now: Millis,
        upstream: &str,
        sent: Millis,
        rate: Option<Rate>,
    ) -> Option<RateChange> {
        let pool_index = self.pool_of_upstream(|table| table.rate_limit(upstream).is_some())?;
        let table = &mut self.pools[pool_index].table;
        let changed = table.on_rate_answer(now, upstream, sent, rate, &self.roster)?;
        Some(self.on_rate_changed(now, pool_index, changed))
    }

    /// Records the pause that the head of an answer asks for, or that it asks for none; returns what has changed.
    ///
    /// `sent` is the time at which the request was sent.
    pub fn on_pause(
        &mut self,
        now: Millis,
        upstream: &str,
        sent: Millis,
        pause_ms: Option<u64>,
    ) -> Option<AvailabilityChange> {
        let pool_index = self.pool_of_upstream(|table| table.rate_limit(upstream).is_some())?;
        let random = self.random.below(u64::from(u32::MAX));
        let table = &mut self.pools[pool_index].table;
        let change = table.on_pause(now, upstream, sent, pause_ms, random)?;
        self.dispatch(now, pool_index);
        Some(change)
    }

    /// Applies what another instance tells of the rate of an upstream; returns what has changed.
    pub fn on_told_rate(&mut self, now: Millis, told: &ToldRate) -> Option<RateChange> {
        let is_named = |limit: &RateLimit| limit.id() == told.upstream;
        let pool_index = self.pool_of_upstream(|table| table.rate_limits().any(is_named))?;
        let table = &mut self.pools[pool_index].table;
        let changed = table.on_told_rate(now, told, &self.roster)?;
        Some(self.on_rate_changed(now, pool_index, changed))
    }

    fn pool_of_upstream(&self, is_there: impl Fn(&Table) -> bool) -> Option<usize> {
        self.pools.iter().position(|p| is_there(&p.table))
    }

    /// Sends queued requests for which there may be room now.
    fn on_rate_changed(
        &mut self,
        now: Millis,
        pool_index: usize,
        changed: ChangedRate,
    ) -> RateChange {
        self.dispatch(now, pool_index);
        let pool = &self.pools[pool_index];
        let limit = pool.table.rate_limit(&changed.upstream);
        RateChange {
            rate: limit.and_then(RateLimit::rate),
            part: limit.map(RateLimit::part).unwrap_or_default(),
            previous: changed.previous,
            upstream: changed.upstream,
            service: Arc::clone(&pool.name),
        }
    }

    /// Returns what other instances should know of the rates of upstreams.
    #[must_use]
    pub fn told_rates(&self, now: Millis) -> Vec<ToldRate> {
        told_rates(self.rate_limits(), now)
    }

    /// Returns the rate limits of all upstreams together.
    #[must_use]
    pub fn rate_totals(&self) -> RateTotals {
        let mut totals = RateTotals::default();
        self.rate_limits().for_each(|limit| totals.add(limit));
        totals
    }

    fn rate_limits(&self) -> impl Iterator<Item = &RateLimit> {
        self.pools.iter().flat_map(|p| p.table.rate_limits())
    }

    /// Refuses a request that has arrived if all upstreams name rates of which this instance has no part;
    /// returns whether it did.
    pub(super) fn refuse_without_part(&mut self, pool_index: usize, request: u64) -> bool {
        let Some(retry_after_ms) = self.pools[pool_index].table.without_part_ms() else {
            return false;
        };
        self.counts.refused += 1;
        let refusal = Refusal {
            retry_after_ms,
            ..Refusal::new(Verdict::NotRun, Reason::RateLimited)
        };
        self.refuse(request, refusal);
        true
    }

    /// Works out anew which part of each rate this instance may use.
    pub(super) fn divide_rates(&mut self, now: Millis) {
        let live: Vec<u32> = self.peers.iter().map(|p| instance_id(p)).collect();
        self.roster.on_heard(now, &live);
        self.roster.tick(now);
        for pool in &mut self.pools {
            pool.table.divide_rates(now, &self.roster);
        }
    }
}
