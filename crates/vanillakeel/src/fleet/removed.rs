//! Upstreams that have been removed a short time ago.

use super::ListedUpstream;
use crate::Millis;
use std::sync::Arc;

/// Time for which a removed upstream is remembered, in ms: longer than a copy from which the log comes
/// back is old.
const REMEMBERED_MS: u64 = 60_000;

/// Upstreams that have been removed a short time ago.
///
/// An entry that lists one of them comes from an earlier copy of the log and is out of date.
///
/// ```
/// use vanillakeel::{Millis, fleet::{ListedUpstream, RemovedUpstreams}};
///
/// let listed = ListedUpstream { name: "u-1".into(), incarnation: 4, ..ListedUpstream::default() };
/// let mut removed = RemovedUpstreams::default();
/// removed.on_removed(Millis::ZERO, &listed);
/// assert!(removed.contains(&listed));
/// assert!(!removed.contains(&ListedUpstream { incarnation: 5, ..listed }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RemovedUpstreams {
    removed: Vec<Removed>,
}

#[derive(Clone, Debug)]
struct Removed {
    name: Arc<str>,
    incarnation: u64,
    at: Millis,
}

impl RemovedUpstreams {
    /// Creates an empty collection.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            removed: Vec::new(),
        }
    }

    /// Records that an upstream has been removed.
    pub fn on_removed(&mut self, now: Millis, listed: &ListedUpstream) {
        self.removed.retain(|r| now.since(r.at) < REMEMBERED_MS);
        self.removed.push(Removed {
            name: Arc::clone(&listed.name),
            incarnation: listed.incarnation,
            at: now,
        });
    }

    /// Returns whether this incarnation of an upstream has been removed.
    #[must_use]
    pub fn contains(&self, listed: &ListedUpstream) -> bool {
        self.removed
            .iter()
            .any(|r| r.name == listed.name && r.incarnation == listed.incarnation)
    }
}
