//! Token bucket that holds an instance to its part of a rate.

use crate::Millis;

/// Most requests that can accumulate at low rates.
const MIN_CAPACITY: f64 = 1.5;

/// Time at whose rate requests can accumulate, in seconds.
const CAPACITY_S: f64 = 0.25;

/// Requests that may be sent, refilled with time; it starts empty.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    per_second: f64,
    tokens: f64,
    updated: Millis,
}

impl Bucket {
    /// Sets the rate at which it is refilled; without one it is emptied.
    pub(super) fn set_rate(&mut self, now: Millis, per_second: f64) {
        self.tokens = if per_second > 0.0 {
            self.tokens_at(now)
        } else {
            0.0
        };
        self.updated = now;
        self.per_second = per_second;
    }

    /// Takes a request from the bucket, which is not checked for room.
    pub(super) fn take(&mut self, now: Millis) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated = now;
    }

    /// Returns the time until there is room for a request, in ms; `None` if it is not refilled.
    pub(super) fn wait_ms(&self, now: Millis) -> Option<u64> {
        let lacking = 1.0 - self.tokens_at(now);
        if lacking <= 0.0 {
            return Some(0);
        }
        (self.per_second > 0.0).then(|| (lacking / self.per_second * 1_000.0).ceil() as u64)
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let refilled = self.per_second * now.since(self.updated) as f64 / 1_000.0;
        let capacity = (self.per_second * CAPACITY_S).max(MIN_CAPACITY);
        (self.tokens + refilled).min(capacity)
    }
}
