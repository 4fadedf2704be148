//! Upstreams of a pool that name [rate limits](crate::rate_limits) or want [pauses](crate::availability).

use super::table::{
    Table,
    Upstream, //
};
use crate::{
    Millis,
    availability::{
        AvailabilityChange,
        Notice, //
    },
    division::Roster,
    rate_limits::{
        Rate,
        RateLimit,
        ToldRate, //
    },
};
use std::sync::Arc;

/// An upstream that names another rate than before.
pub(crate) struct ChangedRate {
    pub(crate) upstream: Arc<str>,
    /// Rate that it named before.
    pub(crate) previous: Option<Rate>,
}

impl Upstream {
    /// Returns whether it takes a request by what its answers say: it has not asked for a pause, and has room under its
    /// rate limit.
    pub(super) fn has_room(&self, now: Millis) -> bool {
        self.rate_limit.has_room(now) && self.availability.takes_request(now)
    }
}

impl Table {
    /// Records the pause that the head of an answer asks for, or that it asks for none; returns what has changed.
    ///
    /// `sent` is the time at which the request was sent, and `random` a random number.
    pub(crate) fn on_pause(
        &mut self,
        now: Millis,
        upstream: &str,
        sent: Millis,
        pause_ms: Option<u64>,
        random: u64,
    ) -> Option<AvailabilityChange> {
        let index = self.find(upstream)?;
        let notice = Notice {
            is_leaving: false,
            pause_ms,
        };
        let availability = &mut self.upstreams_mut()[index].availability;
        availability.on_answer(now, sent, notice, random)
    }

    /// Records the rate that the head of an answer names, if it names one; returns what has changed.
    ///
    /// `sent` is the time at which the request was sent.
    pub(crate) fn on_rate_answer(
        &mut self,
        now: Millis,
        upstream: &str,
        sent: Millis,
        rate: Option<Rate>,
        roster: &Roster,
    ) -> Option<ChangedRate> {
        let index = self.find(upstream)?;
        self.update(now, index, roster, |limit| limit.on_answer(now, sent, rate))
    }

    /// Applies what another instance tells of the rate of an upstream; returns what has changed.
    pub(crate) fn on_told_rate(
        &mut self,
        now: Millis,
        told: &ToldRate,
        roster: &Roster,
    ) -> Option<ChangedRate> {
        let mut limits = self.rate_limits();
        let index = limits.position(|limit| limit.id() == told.upstream)?;
        drop(limits);
        self.update(now, index, roster, |limit| limit.on_told(now, told))
    }

    fn update(
        &mut self,
        now: Millis,
        index: usize,
        roster: &Roster,
        update: impl FnOnce(&mut RateLimit) -> bool,
    ) -> Option<ChangedRate> {
        let upstream = &mut self.upstreams_mut()[index];
        let previous = upstream.rate_limit.rate();
        let has_changed = update(&mut upstream.rate_limit);
        upstream.rate_limit.divide(now, roster);
        has_changed.then(|| ChangedRate {
            upstream: Arc::clone(&upstream.name),
            previous,
        })
    }

    /// Works out anew which part of each rate this instance may use.
    pub(crate) fn divide_rates(&mut self, now: Millis, roster: &Roster) {
        for upstream in self.upstreams_mut() {
            upstream.rate_limit.divide(now, roster);
        }
    }

    pub(crate) fn rate_limits(&self) -> impl Iterator<Item = &RateLimit> {
        self.upstreams().iter().map(|u| &u.rate_limit)
    }

    /// Returns the rate limit of an upstream.
    pub(crate) fn rate_limit(&self, upstream: &str) -> Option<&RateLimit> {
        let index = self.find(upstream)?;
        Some(&self.upstreams()[index].rate_limit)
    }

    /// Returns whether an upstream of the own group has room by what its answers say.
    pub(crate) fn has_rate_room(&self, now: Millis) -> bool {
        let mut usable = self
            .upstreams()
            .iter()
            .filter(|u| !u.leaving && !u.is_in_other_group);
        usable.any(|u| u.has_room(now))
    }

    /// Returns the requests a second that this instance may send, and all of them, if every upstream names a
    /// limit.
    pub(crate) fn limited_rates(&self) -> Option<(f64, f64)> {
        let mut rates = None;
        for upstream in self.upstreams().iter().filter(|u| !u.leaving) {
            let limit = &upstream.rate_limit;
            let rate = limit.rate()?.per_second();
            let (own, all) = rates.unwrap_or((0.0, 0.0));
            rates = Some((own + limit.part().per_second, all + rate));
        }
        rates
    }

    /// Returns the time after which some instance has room, in ms, if no upstream takes requests from this one.
    pub(crate) fn without_part_ms(&self) -> Option<u64> {
        let (own, all) = self.limited_rates()?;
        (own == 0.0).then(|| (1_000.0 / all).ceil() as u64)
    }
}
