//! One holder at a time of the tasks that a platform wants from one instance, with fencing tokens.
//!
//! All tasks share one lease. Its records stand on a topic of the platform's log, and each is written
//! under the condition that the topic still ends where its writer knows it to end, so that two
//! takers can't both succeed and a former holder finds out with its next write. The fencing token
//! is made of the era of the log and the offset of the record that acquired the lease: no two
//! holders ever have the same one, and it only rises.
//!
//! Clocks are not compared between instances. A holder may make calls until the lease has passed
//! since it *sent* its last successful write, less the time limit of a call. Another instance waits
//! for the lease plus a margin from when it first saw the end of the topic.
//!
//! ```
//! use vanillakeel::{duty::{Candidate, Outcome, Settings, Step, View}, Millis};
//!
//! let mut candidate = Candidate::new("a", 1, Settings::default());
//! let empty = View::default();
//! assert_eq!(candidate.step(Millis::ZERO, true), Some(Step::Read));
//! candidate.on_read(Millis::ZERO, Some(&empty));
//! let Some(Step::Write(write)) = candidate.step(Millis::ZERO, true) else { panic!("no write") };
//! assert!(candidate.on_written(Millis::ZERO, Outcome::Appended { era: 0, end_offset: 1 }));
//! assert_eq!(candidate.step(Millis::ZERO, true), Some(Step::Read));
//! let view = View { era: 0, end_offset: 1, record: Some(write.record) };
//! candidate.on_read(Millis::ZERO, Some(&view));
//! assert_eq!(candidate.token(Millis::new(100)), Some(1));
//! ```

mod candidate;

pub use self::candidate::Candidate;

use std::sync::Arc;

/// Settings of a [`Candidate`], all times in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time that the lease lasts without a renewal.
    pub lease_ms: u64,
    /// Additional time that others wait before a takeover.
    ///
    /// It allows for clocks that run at different speeds.
    pub margin_ms: u64,
    /// Time limit of a call that the holder makes.
    pub call_ms: u64,
    /// Pause after a call to the log that failed; it doubles with each further failure.
    pub retry_ms: u64,
    /// Longest pause after a failed call to the log.
    pub max_retry_ms: u64,
    /// Whether a holder stops when its lease has passed.
    ///
    /// Turned off only to show that the checks for two holders can fail.
    pub expires: bool,
    /// Whether a released lease stays free until it has lasted for its time.
    ///
    /// Turned off only to show that the checks for a lease that goes to and fro can fail.
    pub keeps_released: bool,
}

impl Settings {
    /// Part of the lease, as a divisor, that others wait in addition before a takeover.
    const MARGIN_DIVISOR: u64 = 10;

    /// Part of the lease, as a divisor, after which it is renewed.
    const RENEWAL_DIVISOR: u64 = 2;

    /// Part of the lease, as a divisor, that a call takes at most.
    const CALL_DIVISOR: u64 = 6;

    /// Creates the settings for a lease of `lease_ms`.
    #[must_use]
    pub fn for_lease(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            margin_ms: lease_ms / Self::MARGIN_DIVISOR,
            call_ms: lease_ms / Self::CALL_DIVISOR,
            ..Self::default()
        }
    }

    /// Returns the time after the last successful write at which the lease is renewed.
    #[must_use]
    pub const fn renewal_ms(&self) -> u64 {
        self.lease_ms / Self::RENEWAL_DIVISOR
    }

    /// Returns the time for which the end of the topic has to be known before a takeover.
    #[must_use]
    pub const fn takeover_ms(&self) -> u64 {
        self.lease_ms + self.margin_ms
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            margin_ms: 300,
            call_ms: 500,
            retry_ms: 200,
            max_retry_ms: 4_000,
            expires: true,
            keeps_released: true,
        }
    }
}

/// The newest record of the lease on the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Name of the instance that holds the lease.
    pub holder: Arc<str>,
    /// Identifies the process of the holder.
    pub writer: u64,
    /// Number of the write, unique for its writer.
    pub write_id: u64,
    /// Era of the log as the writer knew it.
    pub era: u64,
    /// Fencing token of the holder.
    pub token: u64,
    /// If the holder gives the lease up: the time after which others may take it, in ms.
    pub free_after_ms: Option<u64>,
}

/// What a read of the topic shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Era of the log.
    pub era: u64,
    /// Offset after the last record of the topic.
    pub end_offset: u64,
    /// The newest record of the lease, if there is any.
    pub record: Option<Record>,
}

/// Where the topic ends, as instances tell each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Era of the log.
    pub era: u64,
    /// Offset after the last record of the topic.
    pub end_offset: u64,
    /// If the lease was given up: the time after which it may be taken, in ms.
    pub free_after_ms: Option<u64>,
}

/// What a write does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Acquires the lease, or gives its holder a higher fencing token.
    Acquire,
    /// Renews the lease.
    Renew,
    /// Gives the lease up.
    Release,
}

/// A write to the topic under a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Offset at which the topic has to end for the write to be carried out.
    pub at: u64,
    /// What the write does.
    pub purpose: Purpose,
    /// The record, which has to be the first of the write.
    pub record: Record,
}

/// A call to the log that the embedding program has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the newest records of the topic, then call [`Candidate::on_read`].
    Read,
    /// Append a record under a condition, then call [`Candidate::on_written`].
    Write(Write),
}

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out.
    Appended {
        /// Era of the log.
        era: u64,
        /// Offset after the last record of the topic.
        end_offset: u64,
    },
    /// It was not carried out, as the topic ends elsewhere.
    Moved {
        /// Era of the log.
        era: u64,
        /// Offset after the last record of the topic.
        end_offset: u64,
    },
    /// It was refused and not carried out.
    Refused,
    /// It was not answered and may still be carried out if its condition holds.
    Unknown,
}

/// Reason why an instance no longer holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It could not be renewed in time.
    Expired,
    /// Another instance has written to the topic.
    Taken,
    /// The log has come back from an earlier copy.
    EraRisen,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// It was given up.
    Released,
}

impl Loss {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Taken => "taken",
            Self::EraRisen => "era_risen",
            Self::Fenced => "fenced",
            Self::Released => "released",
        }
    }
}

/// A change of the lease at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was acquired, under this fencing token.
    Acquired(u64),
    /// Its holder has a higher fencing token.
    TokenRaised(u64),
    /// It is no longer held, under this fencing token and for this reason.
    Lost(u64, Loss),
}

/// Returns the fencing token of a record that acquires the lease.
#[must_use]
pub const fn token_of(era: u64, offset: u64) -> u64 {
    (era << 32) + offset + 1
}
