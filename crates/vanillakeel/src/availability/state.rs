//! What one instance knows of one process of an upstream.

use super::Notice;
use crate::Millis;

/// Largest part of a pause by which its end is delayed at random, as a divisor.
const SPREAD_DIVISOR: u64 = 10;

/// Longest random delay of the end of a pause, in ms.
const MAX_SPREAD_MS: u64 = 500;

/// Whether requests may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Requests may be sent.
    #[default]
    Open,
    /// No request may be sent until this time; the first one after it is a test.
    Paused(Millis),
    /// A request that was sent at this time tests whether the upstream takes requests again.
    Testing(Millis),
}

/// A change of what is known of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityChange {
    /// It has said that it leaves.
    Leaves,
    /// It has asked for a pause that holds for this time, in ms.
    Paused(u64),
    /// It takes requests again after a pause.
    Open,
}

/// Whether a process of an upstream takes requests of this instance, by what its answers say.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    is_leaving: bool,
    state: State,
}

impl Availability {
    /// Records what the head of an answer says; returns what has changed.
    ///
    /// `sent` is the time at which the request was sent, and `random` a random number. An answer without a pause
    /// ends an earlier one only if its request was the test: answers overtake each other.
    pub fn on_answer(
        &mut self,
        now: Millis,
        sent: Millis,
        notice: Notice,
        random: u64,
    ) -> Option<AvailabilityChange> {
        let pause_change = match notice.pause_ms {
            Some(pause_ms) => self.pause(now, pause_ms, random),
            None => self.end_test(sent),
        };
        let is_news = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        if is_news {
            return Some(AvailabilityChange::Leaves);
        }
        pause_change.filter(|_| !self.is_leaving)
    }

    fn pause(&mut self, now: Millis, pause_ms: u64, random: u64) -> Option<AvailabilityChange> {
        let max_spread_ms = (pause_ms / SPREAD_DIVISOR).min(MAX_SPREAD_MS);
        let until = now.plus(pause_ms.saturating_add(random % (max_spread_ms + 1)));
        let previous = match self.state {
            State::Paused(previous) => previous,
            State::Open | State::Testing(_) => now,
        };
        if until <= previous {
            return None;
        }
        self.state = State::Paused(until);
        // Requests that were in flight extend a pause by a little; only its start is news.
        (previous <= now).then(|| AvailabilityChange::Paused(until.since(now)))
    }

    fn end_test(&mut self, sent: Millis) -> Option<AvailabilityChange> {
        let State::Testing(since) = self.state else {
            return None;
        };
        if sent < since {
            return None;
        }
        self.state = State::Open;
        Some(AvailabilityChange::Open)
    }

    /// Records that a request is sent.
    pub fn on_send(&mut self, now: Millis) {
        if let State::Paused(_) = self.state {
            self.state = State::Testing(now);
        }
    }

    /// Records that a call has ended whose request was sent at `sent`; a test without an answer is repeated.
    pub fn on_end(&mut self, now: Millis, sent: Millis) {
        match self.state {
            State::Testing(since) if sent >= since => self.state = State::Paused(now),
            _ => {}
        }
    }

    /// Records that the process leaves.
    pub const fn on_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether the process has said that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether a pause has not ended.
    #[must_use]
    pub fn is_paused(&self, now: Millis) -> bool {
        matches!(self.state, State::Paused(until) if now < until)
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn takes_request(&self, now: Millis) -> bool {
        let is_open = match self.state {
            State::Open => true,
            State::Paused(until) => now >= until,
            State::Testing(_) => false,
        };
        is_open && !self.is_leaving
    }

    /// Returns the time until the end of a pause, in ms; `None` if there is none.
    #[must_use]
    pub fn wait_ms(&self, now: Millis) -> Option<u64> {
        match self.state {
            State::Paused(until) if now < until => Some(until.since(now)),
            _ => None,
        }
    }
}
