//! Outlier ejection: whether an upstream is used, ejected or probed.

use crate::Millis;

/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECTION_MS: u64 = 1_000;

/// Longest duration of an ejection.
const MAX_EJECTION_MS: u64 = 30_000;

/// Requests that may be in flight at an upstream right after its probe has succeeded.
const SLOW_START_REQUESTS: u32 = 2;

/// Health state of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// The upstream is used without a limit.
    #[default]
    Healthy,
    /// The upstream is not used until this time.
    Ejected(Millis),
    /// A single request in flight tests whether the upstream has recovered.
    Probing,
    /// The upstream has recovered; this many requests may be in flight, doubled on each success.
    SlowStart(u32),
}

/// Health of one upstream, as observed from its requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: State,
    /// Whether the last ejection was for slow decode steps and not for a failure.
    ejected_as_straggler: bool,
    /// Ejections since the upstream was last healthy.
    ejections: u32,
}

impl Health {
    /// Returns how many requests the state allows in flight.
    ///
    /// After the end of an ejection, this is the single request of the probe.
    pub(crate) fn max_in_flight(&self, now: Millis) -> u32 {
        match self.state {
            State::Healthy => u32::MAX,
            State::Ejected(until) if now < until => 0,
            State::Ejected(_) | State::Probing => 1,
            State::SlowStart(slots) => slots,
        }
    }

    /// Returns whether the upstream is ejected or still being probed.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected(_) | State::Probing)
    }

    pub(crate) fn on_send(&mut self) {
        if let State::Ejected(_) = self.state {
            self.state = State::Probing;
        }
    }

    /// Returns whether the upstream is ejected for slow decode steps.
    pub(crate) fn is_ejected_straggler(&self) -> bool {
        self.is_ejected() && self.ejected_as_straggler
    }

    pub(crate) fn eject_straggler(&mut self, now: Millis) {
        self.eject(now);
        self.ejected_as_straggler = true;
    }

    pub(crate) fn eject(&mut self, now: Millis) {
        self.ejected_as_straggler = false;
        let doublings = self.ejections.min(10);
        let ms = (MIN_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejections = self.ejections.saturating_add(1);
        self.state = State::Ejected(now.plus(ms));
    }

    /// Handles a request that ended as neither a success nor a failure of the upstream.
    ///
    /// Such an end of a probe does not show whether the upstream has recovered, so the next request
    /// is a probe again.
    pub(crate) fn on_neutral(&mut self, now: Millis) {
        if self.state == State::Probing {
            self.state = State::Ejected(now);
        }
    }

    /// Handles a success; slow start ends once its limit has reached the upstream's `slots`.
    pub(crate) fn on_success(&mut self, slots: u32) {
        self.state = match self.state {
            State::Healthy => State::Healthy,
            State::Ejected(until) => State::Ejected(until),
            State::Probing => State::SlowStart(SLOW_START_REQUESTS),
            State::SlowStart(n) if n >= slots => {
                self.ejections = 0;
                State::Healthy
            }
            State::SlowStart(n) => State::SlowStart(n.saturating_mul(2)),
        };
    }
}
