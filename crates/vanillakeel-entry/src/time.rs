//! The monotonic clock and the wall clock of a running instance.

use rustix::time::{
    ClockId,
    clock_gettime, //
};
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};
use vanillakeel::Millis;

/// A monotonic clock whose origin is the start of the instance.
///
/// It includes the time during which the machine was suspended, so that information from before a
/// suspension has the same age here as on other machines.
#[derive(Clone, Copy, Debug)]
pub struct Clock(u64);

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self(boot_ms())
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::new(boot_ms().saturating_sub(self.0))
    }
}

/// Returns the time since the machine was booted, in ms.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the wall-clock time, in ms since 1970.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
