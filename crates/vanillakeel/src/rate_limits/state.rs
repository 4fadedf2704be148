//! The rate limit of one upstream, as one instance knows it.

use super::{
    Rate,
    bucket::Bucket,
    observation::{
        MAX_MESSAGE_MS,
        Observation, //
    },
};
use crate::{
    Millis,
    division::{
        RatePart,
        Roster, //
    },
};
use std::sync::Arc;

/// Time for which the end of a limit is told to other instances, in ms.
const END_TOLD_MS: u64 = 10_000;

/// Most rate limits that are told at a time: those seen last, and as many of the others in turn.
const MAX_TOLD: usize = 64;

/// Time after which the next ones of the others are told, in ms.
const TOLD_TURN_MS: u64 = 100;

/// What an instance tells others of the rate limit of an upstream. All times are ages, as their clocks differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldRate {
    /// Id of the upstream's process.
    pub upstream: u32,
    /// Rate that an answer named, or `None` if it named none any more.
    pub rate: Option<Rate>,
    /// Time since the request of that answer was sent, in ms.
    pub sent_age_ms: u64,
    /// Time since the head of that answer was seen, in ms.
    pub seen_age_ms: u64,
}

/// A change of an upstream's rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct RateChange {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// The service or pool that it belongs to.
    pub service: Arc<str>,
    /// Rate that it names now.
    pub rate: Option<Rate>,
    /// Rate that it named before.
    pub previous: Option<Rate>,
    /// Part of the rate that this instance may use.
    pub part: RatePart,
}

/// The rate limits of several upstreams together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateTotals {
    /// Upstreams that name a rate.
    pub upstreams: u32,
    /// Requests a second that they take from all instances.
    pub per_second: f64,
    /// Requests a second that they take from this instance.
    pub own_per_second: f64,
}

impl RateTotals {
    /// Adds the limit of one upstream, if it names one.
    pub fn add(&mut self, limit: &RateLimit) {
        if let Some(rate) = limit.rate() {
            self.upstreams += 1;
            self.per_second += rate.per_second();
            self.own_per_second += limit.part().per_second;
        }
    }
}

/// Returns what other instances should know of several upstreams: a bounded number at a time.
#[must_use]
pub fn told_rates<'a>(limits: impl Iterator<Item = &'a RateLimit>, now: Millis) -> Vec<ToldRate> {
    let mut told: Vec<_> = limits.filter_map(|l| l.told(now)).collect();
    if told.len() <= MAX_TOLD {
        return told;
    }
    told.sort_by_key(|t| (t.seen_age_ms, t.upstream));
    let others = &mut told[MAX_TOLD / 2..];
    others.sort_by_key(|t| t.upstream);
    let turn = now.get() / TOLD_TURN_MS;
    let first = turn as usize * (MAX_TOLD / 2) % others.len();
    others.rotate_left(first);
    told.truncate(MAX_TOLD);
    told
}

/// The rate limit of one upstream, as one instance knows it.
#[derive(Clone, Debug)]
pub struct RateLimit {
    id: u32,
    known: Option<Observation>,
    part: RatePart,
    bucket: Bucket,
    /// Whether the last answer named a rate that can't be read.
    is_unreadable: bool,
}

impl RateLimit {
    /// Creates the state of an upstream that has named no rate; `id` identifies its process.
    #[must_use]
    pub fn new(id: u32) -> Self {
        Self {
            id,
            known: None,
            part: RatePart::default(),
            bucket: Bucket::default(),
            is_unreadable: false,
        }
    }

    /// Returns the id of the upstream's process.
    #[must_use]
    pub const fn id(&self) -> u32 {
        self.id
    }

    /// Returns the rate that the upstream names.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.known.and_then(|k| k.rate)
    }

    /// Returns the part of the rate that this instance may use.
    #[must_use]
    pub const fn part(&self) -> RatePart {
        self.part
    }

    /// Records what the head of an answer says; returns whether the rate has changed.
    pub fn on_answer(&mut self, now: Millis, sent: Millis, rate: Option<Rate>) -> bool {
        self.is_unreadable = false;
        self.on_observation(Observation {
            rate,
            sent,
            seen: now,
            is_told: false,
        })
    }

    /// Records an answer that names a rate that can't be read, which changes nothing; returns whether it is the
    /// first one in a row.
    pub const fn on_unreadable(&mut self) -> bool {
        let was_unreadable = self.is_unreadable;
        self.is_unreadable = true;
        !was_unreadable
    }

    /// Records what another instance tells; returns whether the rate has changed.
    pub fn on_told(&mut self, now: Millis, told: &ToldRate) -> bool {
        self.on_observation(Observation {
            rate: told.rate,
            sent: now.minus(told.sent_age_ms.saturating_add(MAX_MESSAGE_MS)),
            seen: now.minus(told.seen_age_ms),
            is_told: true,
        })
    }

    fn on_observation(&mut self, observation: Observation) -> bool {
        let is_new = match &self.known {
            None => observation.rate.is_some(),
            Some(known) => observation.replaces(known),
        };
        let previous = self.rate();
        if is_new {
            self.known = Some(observation);
        }
        self.rate() != previous
    }

    /// Returns what other instances should know, if there is anything.
    #[must_use]
    pub fn told(&self, now: Millis) -> Option<ToldRate> {
        let known = self.known?;
        let is_told = known.rate.is_some() || now.since(known.seen) < END_TOLD_MS;
        is_told.then(|| ToldRate {
            upstream: self.id,
            rate: known.rate,
            sent_age_ms: now.since(known.sent),
            seen_age_ms: now.since(known.seen),
        })
    }

    /// Sets the part of the rate that this instance may use; without a limit it is ignored.
    pub fn set_part(&mut self, now: Millis, part: RatePart) {
        let part = if self.rate().is_some() {
            part
        } else {
            RatePart::default()
        };
        if part.per_second != self.part.per_second {
            self.bucket.set_rate(now, part.per_second);
        }
        self.part = part;
    }

    /// Works out anew which part of the rate this instance may use.
    pub fn divide(&mut self, now: Millis, roster: &Roster) {
        let part = self.rate().map(|rate| roster.rate_part(self.id, rate));
        self.set_part(now, part.unwrap_or_default());
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn has_room(&self, now: Millis) -> bool {
        self.rate().is_none() || self.bucket.wait_ms(now) == Some(0)
    }

    /// Returns the time until a request may be sent, in ms; `None` if this instance has no part of the rate.
    #[must_use]
    pub fn wait_ms(&self, now: Millis) -> Option<u64> {
        if self.rate().is_none() {
            return Some(0);
        }
        self.bucket.wait_ms(now)
    }

    /// Counts a request that is sent.
    pub fn on_send(&mut self, now: Millis) {
        if self.rate().is_some() {
            self.bucket.take(now);
        }
    }
}
