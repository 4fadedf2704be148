//! How often an instance asks a log that does not serve it.
//!
//! Hundreds of instances that each ask a failing log several times a second keep it from coming back, and pay for
//! calls that show nothing new. The pauses between two calls therefore grow from failure to failure, up to a limit
//! that depends on who asks:
//!
//! - a [`Asker::Hub`] asks for the other instances of its data centre, which learn from it that the log is back, so
//!   that it pauses for a short time only;
//! - a [`Asker::Member`], whose hub is heard and asks as well, finds out by its own calls only whether the log serves
//!   it while it turns its hub away, and has time for that.
//!
//! A pause counts from the start of the call that failed, so that a log that does not answer at all is asked as often as
//! one that refuses. Each pause is drawn at random from the upper half of its length, so that instances that have lost
//! the log in the same moment do not ask again in the same moment.
//!
//! ```
//! use vanillakeel::{Millis, ask_pace::{AskPace, Asker, Settings}};
//!
//! let mut pace = AskPace::new(Settings::default());
//! let now = Millis::new(1_000);
//! assert_eq!(pace.wait_ms(now), 0);
//! pace.on_failure(now, Asker::Member, 0);
//! assert!(pace.wait_ms(now) > 0);
//! pace.on_answer();
//! assert_eq!(pace.wait_ms(now), 0);
//! ```

use crate::Millis;

/// Pauses of an [`AskPace`], from the start of one call to that of the next, all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest pause after the first failure; it doubles with each further one.
    pub first_pause_ms: u64,
    /// Longest pause of an instance on whose calls others rely.
    pub max_hub_pause_ms: u64,
    /// Longest pause of an instance whose hub asks as well.
    pub max_member_pause_ms: u64,
    /// Longest time that a call takes.
    pub max_answer_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            first_pause_ms: 250,
            max_hub_pause_ms: 500,
            max_member_pause_ms: 1_700,
            max_answer_ms: 1_500,
        }
    }
}

/// Who asks the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    /// A hub, an instance that hears none, or one that can't serve without an answer.
    Hub,
    /// An instance whose hub is heard and asks as well.
    Member,
}

/// When an instance asks the log again after calls have failed.
#[derive(Clone, Debug, Default)]
pub struct AskPace {
    settings: Settings,
    /// Failures since the last answer.
    failures: u32,
    next_at: Millis,
}

impl AskPace {
    /// Creates a pace without failures.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            failures: 0,
            next_at: Millis::ZERO,
        }
    }

    /// Records that the log has served a call.
    pub const fn on_answer(&mut self) {
        self.failures = 0;
        self.next_at = Millis::ZERO;
    }

    /// Records that a call has failed or was refused that was made at `asked_at`; `random` is a random number.
    pub fn on_failure(&mut self, asked_at: Millis, asker: Asker, random: u64) {
        let cfg = &self.settings;
        let max_ms = match asker {
            Asker::Hub => cfg.max_hub_pause_ms,
            Asker::Member => cfg.max_member_pause_ms,
        };
        let doublings = self.failures.min(16);
        let pause_ms = (cfg.first_pause_ms << doublings).min(max_ms);
        let at_least_ms = pause_ms.div_ceil(2);
        self.failures = self.failures.saturating_add(1);
        self.next_at = asked_at.plus(at_least_ms + random % (pause_ms - at_least_ms + 1));
    }

    /// Returns whether the log may be asked now, and keeps others of this instance from asking it until the answer,
    /// or for the longest time that one takes.
    pub fn take_turn(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_at;
        if is_due && self.is_failing() {
            self.next_at = now.plus(self.settings.max_answer_ms);
        }
        is_due
    }

    /// Returns whether the last call has failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the time until the next call, in ms.
    #[must_use]
    pub const fn wait_ms(&self, now: Millis) -> u64 {
        self.next_at.since(now)
    }
}
