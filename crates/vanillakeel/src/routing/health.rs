//! Whether an upstream is used, ejected or probed.

use crate::Millis;

/// First time of an ejection, in ms.
const FIRST_EJECTION_MS: u64 = 1_000;

/// Longest time of an ejection, in ms.
const LONGEST_EJECTION_MS: u64 = 30_000;

/// Calls in flight that a returning upstream starts with.
const RETURN_SLOTS: u32 = 2;

/// State of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// It is used without limit.
    #[default]
    Good,
    /// It is not used until a time.
    Ejected(Millis),
    /// One call shows whether it is back.
    Probing,
    /// It is back and used up to a number of calls, which doubles with each success.
    Returning(u32),
}

/// Health of one upstream, learnt from calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: State,
    /// Whether the last ejection was for slow steps, not for a failure.
    is_straggler: bool,
    ejections: u32,
}

impl Health {
    /// Most calls in flight that the state allows.
    pub(crate) fn allowance(&self, now: Millis) -> u32 {
        match self.state {
            State::Good => u32::MAX,
            State::Ejected(until) if now < until => 0,
            State::Ejected(_) | State::Probing => 1,
            State::Returning(slots) => slots,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected(_) | State::Probing)
    }

    pub(crate) fn on_send(&mut self) {
        if let State::Ejected(_) = self.state {
            self.state = State::Probing;
        }
    }

    /// Whether it is ejected for slow steps.
    pub(crate) fn is_ejected_straggler(&self) -> bool {
        self.is_ejected() && self.is_straggler
    }

    pub(crate) fn eject_straggler(&mut self, now: Millis) {
        self.eject(now);
        self.is_straggler = true;
    }

    pub(crate) fn eject(&mut self, now: Millis) {
        self.is_straggler = false;
        let doublings = self.ejections.min(10);
        let ms = (FIRST_EJECTION_MS << doublings).min(LONGEST_EJECTION_MS);
        self.ejections = self.ejections.saturating_add(1);
        self.state = State::Ejected(now.plus(ms));
    }

    /// A call that was neither a success nor a failure of the upstream has ended.
    pub(crate) fn on_neutral(&mut self, now: Millis) {
        if self.state == State::Probing {
            self.state = State::Ejected(now);
        }
    }

    pub(crate) fn on_success(&mut self, slots: u32) {
        self.state = match self.state {
            State::Good => State::Good,
            State::Ejected(until) => State::Ejected(until),
            State::Probing => State::Returning(RETURN_SLOTS),
            State::Returning(n) if n >= slots => {
                self.ejections = 0;
                State::Good
            }
            State::Returning(n) => State::Returning(n.saturating_mul(2)),
        };
    }
}
