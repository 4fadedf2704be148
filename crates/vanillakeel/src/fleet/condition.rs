//! What decides about an upstream beside its load, for operators.

use super::{
    service_speeds::SLOW_FACTOR,
    state::Fleet, //
};

/// What is known of an upstream beside its load; `None` where it decides nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// Time that it takes for its work over that which its service takes on average.
    pub slowness: Option<f64>,
}

/// Number of upstreams in an unusual condition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConditionCounts {
    /// Take clearly longer than their service on average.
    pub slow: u32,
}

impl Fleet {
    /// Returns what decides about an upstream beside its load.
    #[must_use]
    pub fn condition_of(&self, name: &str) -> Condition {
        self.named(name)
            .map_or(Condition::default(), |u| Condition {
                slowness: Some(u.slowness).filter(|s| *s != 1.0),
            })
    }

    /// Returns how many upstreams are in an unusual condition.
    #[must_use]
    pub fn condition_counts(&self) -> ConditionCounts {
        let mut counts = ConditionCounts::default();
        for upstream in self.upstreams() {
            counts.slow += u32::from(upstream.slowness >= SLOW_FACTOR);
        }
        counts
    }
}
