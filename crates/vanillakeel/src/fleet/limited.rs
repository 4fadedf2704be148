//! Upstreams that say how much they take, by [rate limits](crate::rate_limits) or
//! [pauses](crate::availability): who may use it.
//!
//! An upstream without room for this instance, or that has asked it for a pause, is not chosen. Once a request has found no room at the upstreams
//! of its service, less urgent ones leave them to those of its rank for a while, so that the more urgent get
//! what there is.

use super::{
    request::{
        Pick,
        RequestInfo, //
    },
    state::Fleet,
    upstream::{
        ListedUpstream,
        RANK_COUNT,
        Upstream, //
    },
};
use crate::{
    Millis,
    division::{
        RatePart,
        Roster, //
    },
    rate_limits::{
        self,
        Rate,
        RateChange,
        RateLimit,
        RateTotals,
        ToldRate, //
    },
};
use std::sync::Arc;

/// Time for which less urgent requests leave limited upstreams to those that have found no room there, in ms.
const STAND_BACK_MS: u64 = 1_000;

/// The upstreams that could take the request have no room: {paused} want none for now, {upstreams} take {per_second} requests a second from all instances and {own_per_second} from this one, room is expected in {wait_ms} ms
#[derive(Clone, Copy, Debug, PartialEq, displaydoc::Display)]
pub struct NoRoom {
    /// Upstreams that could take the request but have asked for a pause.
    pub paused: u32,
    /// Upstreams that could take the request but for their rate limits.
    pub upstreams: u32,
    /// Requests a second that they take from all instances.
    pub per_second: f64,
    /// Requests a second that they take from this instance.
    pub own_per_second: f64,
    /// Whether a request tests whether one of them takes requests after its pause.
    pub is_tested: bool,
    /// Time until there is room at one of them: here, or at some instance if this one has no part.
    pub wait_ms: u64,
    /// Time after which the caller may retry, in ms.
    pub retry_after_ms: u64,
}

impl NoRoom {
    /// Returns the time until there is room for this instance, in ms; `None` if it has no part of any rate and no
    /// pause ends.
    #[must_use]
    pub fn own_wait_ms(&self) -> Option<u64> {
        (self.own_per_second > 0.0 || self.paused > 0).then_some(self.wait_ms)
    }
}

/// Times at which requests of a service found no room last, by rank.
#[derive(Clone, Debug)]
pub(super) struct RoomSought {
    service: Arc<str>,
    by_rank: [Option<Millis>; RANK_COUNT],
}

impl Fleet {
    /// Returns whether an upstream may run a request now: it is usable, and its answers do not say otherwise.
    pub(super) fn may_take(&self, now: Millis, request: &RequestInfo<'_>, u: &Upstream) -> bool {
        u.is_usable(now, request) && self.has_room(now, request, u)
    }

    /// Returns whether an upstream takes a request by what its answers say: it has not asked for a pause, and has
    /// room under its rate limit if it names one.
    pub(super) fn has_room(&self, now: Millis, request: &RequestInfo<'_>, u: &Upstream) -> bool {
        u.availability.takes_request(now) && self.has_rate_room(now, request, u)
    }

    fn has_rate_room(&self, now: Millis, request: &RequestInfo<'_>, u: &Upstream) -> bool {
        let limit = &u.rate_limit;
        limit.rate().is_none() || (limit.has_room(now) && self.stand_back_ms(now, request) == 0)
    }

    /// Returns for how long a request leaves limited upstreams to more urgent ones, in ms.
    fn stand_back_ms(&self, now: Millis, request: &RequestInfo<'_>) -> u64 {
        let of_service = self
            .room_sought()
            .iter()
            .find(|s| *s.service == *request.service);
        let sought = of_service.map_or(&[][..], |s| &s.by_rank[..request.rank_index()]);
        let last = sought.iter().flatten().max();
        last.map_or(0, |at| STAND_BACK_MS.saturating_sub(now.since(*at)))
    }

    /// Returns why no upstream may take a request, if that is because of their rate limits or pauses, and keeps the
    /// room of limited ones for requests of its rank.
    pub fn no_room(&mut self, now: Millis, request: &RequestInfo<'_>) -> Option<NoRoom> {
        let stand_back_ms = self.stand_back_ms(now, request);
        let min_retry_after_ms = self.settings().min_retry_after_ms;
        let mut found = NoRoom {
            paused: 0,
            upstreams: 0,
            per_second: 0.0,
            own_per_second: 0.0,
            is_tested: false,
            wait_ms: u64::MAX,
            retry_after_ms: 0,
        };
        let mut service = None;
        for u in self.of_service(request.service) {
            if !u.is_usable(now, request) || self.has_room(now, request, u) {
                continue;
            }
            if !u.availability.takes_request(now) {
                found.paused += 1;
                let wait_ms = u.availability.wait_ms(now);
                found.is_tested |= wait_ms.is_none();
                found.wait_ms = found.wait_ms.min(wait_ms.unwrap_or(min_retry_after_ms));
                continue;
            }
            let Some(rate) = u.rate_limit.rate() else {
                continue;
            };
            found.upstreams += 1;
            found.per_second += rate.per_second();
            found.own_per_second += u.rate_limit.part().per_second;
            let wait_ms = u.rate_limit.wait_ms(now).unwrap_or(u64::MAX);
            found.wait_ms = found.wait_ms.min(wait_ms.max(stand_back_ms));
            service = Some(Arc::clone(&u.listed.service));
        }
        if let Some(service) = service {
            self.record_sought(now, service, request.rank_index());
        }
        if found.upstreams + found.paused == 0 {
            return None;
        }
        if found.wait_ms == u64::MAX {
            found.wait_ms = (1_000.0 / found.per_second) as u64;
        }
        found.retry_after_ms = found.wait_ms.max(min_retry_after_ms);
        Some(found)
    }

    fn record_sought(&mut self, now: Millis, service: Arc<str>, rank: usize) {
        let sought = self.room_sought_mut();
        let at = match sought.binary_search_by(|s| s.service.cmp(&service)) {
            Ok(at) => at,
            Err(at) => {
                let by_rank = [None; RANK_COUNT];
                sought.insert(at, RoomSought { service, by_rank });
                at
            }
        };
        sought[at].by_rank[rank] = Some(now);
    }

    /// Records the rate that the head of an answer names, if it names one; returns what has changed.
    ///
    /// `sent` is the time at which the request was sent.
    pub fn on_rate_answer(
        &mut self,
        now: Millis,
        pick: &Pick,
        sent: Millis,
        rate: Option<Rate>,
        roster: &Roster,
    ) -> Option<RateChange> {
        if let Some(upstream) = self.find_incarnation(&pick.name, pick.incarnation) {
            let previous = upstream.rate_limit.rate();
            let has_changed = upstream.rate_limit.on_answer(now, sent, rate);
            return has_changed.then(|| upstream.rate_change(now, previous, roster));
        }
        let absent = self.find_absent(pick)?;
        let previous = absent.rate_limit.rate();
        let has_changed = absent.rate_limit.on_answer(now, sent, rate);
        let service = Arc::clone(&absent.service);
        has_changed.then(|| {
            let limit = &mut absent.rate_limit;
            rate_change(&pick.name, &service, limit, now, previous, roster)
        })
    }

    /// Records an answer that names a rate that can't be read; returns whether it is the first one in a row of
    /// its upstream.
    pub fn on_unreadable_rate(&mut self, pick: &Pick) -> bool {
        self.find_incarnation(&pick.name, pick.incarnation)
            .is_some_and(|u| u.rate_limit.on_unreadable())
    }

    /// Applies what another instance tells of the rate of an upstream; returns what has changed.
    pub fn on_told_rate(
        &mut self,
        now: Millis,
        told: &ToldRate,
        roster: &Roster,
    ) -> Option<RateChange> {
        let upstream = self
            .iter_mut()
            .find(|u| u.rate_limit.id() == told.upstream)?;
        let previous = upstream.rate_limit.rate();
        let has_changed = upstream.rate_limit.on_told(now, told);
        has_changed.then(|| upstream.rate_change(now, previous, roster))
    }

    /// Returns what other instances should know of the rates of upstreams.
    #[must_use]
    pub fn told_rates(&self, now: Millis) -> Vec<ToldRate> {
        rate_limits::told_rates(self.upstreams().map(|u| &u.rate_limit), now)
    }

    /// Works out anew which part of each rate this instance may use; returns the totals.
    pub fn divide_rates(&mut self, now: Millis, roster: &Roster) -> RateTotals {
        let mut totals = RateTotals::default();
        for upstream in self.iter_mut() {
            upstream.rate_limit.divide(now, roster);
            totals.add(&upstream.rate_limit);
        }
        totals
    }

    /// Returns the rate that an upstream names, and the part of this instance.
    #[must_use]
    pub fn rate_of(&self, name: &str) -> Option<(Rate, RatePart)> {
        let limit = &self.named(name)?.rate_limit;
        limit.rate().map(|rate| (rate, limit.part()))
    }
}

impl Upstream {
    fn rate_change(&mut self, now: Millis, previous: Option<Rate>, roster: &Roster) -> RateChange {
        let ListedUpstream { name, service, .. } = &self.listed;
        rate_change(name, service, &mut self.rate_limit, now, previous, roster)
    }
}

/// Works out the part of this instance anew after a change of a rate.
fn rate_change(
    upstream: &Arc<str>,
    service: &Arc<str>,
    limit: &mut RateLimit,
    now: Millis,
    previous: Option<Rate>,
    roster: &Roster,
) -> RateChange {
    limit.divide(now, roster);
    RateChange {
        upstream: Arc::clone(upstream),
        service: Arc::clone(service),
        rate: limit.rate(),
        previous,
        part: limit.part(),
    }
}
