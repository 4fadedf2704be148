//! The clocks of a running instance.

use std::time::{
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};
use vanillakeel::Millis;

/// A monotonic clock whose origin is the start of the instance.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Millis {
        let ms = self.0.elapsed().as_millis();
        Millis::new(u64::try_from(ms).unwrap_or(u64::MAX))
    }
}

/// The wall clock, in ms since 1970.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
