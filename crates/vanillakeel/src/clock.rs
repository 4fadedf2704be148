//! Points in time in whole milliseconds, used by both daemons.
//!
//! Every module takes the time as an argument and never reads a clock, so that a daemon can pass
//! the time of a monotonic clock and a benchmark that of a virtual one.
//!
//! ```
//! use vanillakeel::Millis;
//!
//! let start = Millis::new(1_000);
//! assert_eq!(start.plus(500).since(start), 500);
//! ```

use std::fmt;

/// A point in time, in milliseconds from an origin that the embedding program chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(u64);

impl Millis {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// The latest time that can be represented.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time from milliseconds since the origin.
    #[must_use]
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the origin.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time `ms` milliseconds later, saturating at [`Millis::MAX`].
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the time `ms` milliseconds earlier, saturating at the origin.
    #[must_use]
    pub const fn minus(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the time `ms` milliseconds earlier, or `None` if that is before the origin.
    #[must_use]
    pub fn checked_minus(self, ms: u64) -> Option<Self> {
        self.0.checked_sub(ms).map(Self)
    }

    /// Returns the milliseconds that have passed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
