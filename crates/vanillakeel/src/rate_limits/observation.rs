//! What one answer says of the rate of its upstream, and in which order answers count.

use super::Rate;
use crate::Millis;

/// Longest time that a message between instances is assumed to take, in ms. Ages that it holds are larger by up
/// to that time when it arrives.
pub(super) const MAX_MESSAGE_MS: u64 = 1_000;

/// What the head of an answer says, and when that was so: at some time between the two.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Observation {
    /// The rate that is named, or `None` if none is.
    pub(super) rate: Option<Rate>,
    /// Time at which the request was sent.
    pub(super) sent: Millis,
    /// Time at which the head was seen.
    pub(super) seen: Millis,
    /// Whether another instance has seen it.
    pub(super) is_told: bool,
}

impl Observation {
    /// Returns whether this replaces what is known.
    pub(super) fn replaces(&self, known: &Self) -> bool {
        if self.sent >= known.seen {
            return true;
        }
        if known.sent >= self.seen {
            return false;
        }
        if self.rate == known.rate {
            // What others tell comes back by way of them, later by the time that messages take.
            let margin_ms = if self.is_told { MAX_MESSAGE_MS } else { 0 };
            return self.seen >= known.seen.plus(margin_ms);
        }
        self.is_lower_than(known)
    }

    fn is_lower_than(&self, other: &Self) -> bool {
        match (self.rate, other.rate) {
            (Some(own), Some(other)) => own < other,
            (own, _) => own.is_some(),
        }
    }
}
