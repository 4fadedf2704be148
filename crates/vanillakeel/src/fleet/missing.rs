//! Upstreams whose entries have disappeared from the list.

use super::Fleet;
use crate::Millis;
use std::sync::Arc;

/// Largest fraction of the known upstreams that is treated as removed if it is missing at once after
/// an outage of the log.
///
/// A release or a crash removes fewer upstreams. If more are missing, their entries have probably
/// expired because they could not be renewed during the outage.
const MAX_REMOVED_FRACTION: f64 = 0.25;

/// Upstreams whose entries have disappeared from the log.
///
/// An upstream is removed as soon as its entry is, unless its entry may only have been lost: after an
/// outage of the log, in which entries of live upstreams may expire, and in an earlier copy from which
/// the log has come back. It is then kept until live upstreams have had time to be listed again. After
/// an outage this holds only if many are missing at once; a few count as removed.
///
/// Source: the page of the log says within which time a live upstream writes its entry again.
#[derive(Clone, Debug, Default)]
pub struct MissingUpstreams {
    /// Sorted.
    names: Vec<Arc<str>>,
    /// Time by which live upstreams should be listed again after an outage of the log.
    hold_until: Millis,
    /// Whether many upstreams have been missing at once since the outage; none is removed then.
    are_many_missing: bool,
    /// Upstreams that are missing in the copy from which the log came back. Their entries may have been
    /// lost, so they count as removed only after [`Self::lost_until`].
    lost: Vec<Arc<str>>,
    lost_until: Millis,
}

impl MissingUpstreams {
    /// Records the end of an outage of the log; live upstreams are listed again until `until`.
    pub const fn on_outage_over(&mut self, until: Millis) {
        self.hold_until = until;
    }

    /// Records that the entry of an upstream has been deleted.
    pub fn on_deleted(&mut self, name: &str) {
        if let Err(at) = self.find(name) {
            self.names.insert(at, Arc::from(name));
        }
    }

    /// Records that an upstream is listed.
    pub fn on_listed(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            self.names.remove(at);
        }
        self.lost.retain(|n| **n != *name);
    }

    /// Records a complete list of names: all known upstreams that it lacks are missing.
    pub fn on_list(&mut self, fleet: &Fleet, listed: &[&str]) {
        for name in unlisted(fleet, listed) {
            self.on_deleted(&name);
        }
    }

    /// Records a complete list of names from an earlier copy of the log: all known upstreams that it
    /// lacks are kept until `until`, so that they can write their entries again.
    pub fn on_copy(&mut self, fleet: &Fleet, listed: &[&str], until: Millis) {
        self.lost = unlisted(fleet, listed);
        self.lost_until = until;
    }

    /// Returns the missing upstreams that are to be removed from the fleet after a read that was sent at
    /// `asked_at`, and forgets them.
    ///
    /// What counts is not the present: the process may have been paused, and the read shows nothing of
    /// what was listed meanwhile.
    #[must_use]
    pub fn take_due(&mut self, asked_at: Millis, fleet: &Fleet) -> Vec<Arc<str>> {
        if asked_at >= self.lost_until {
            for name in std::mem::take(&mut self.lost) {
                self.on_deleted(&name);
            }
        }
        self.names
            .retain(|name| fleet.iter().any(|u| u.name == *name));
        let known_count = fleet.iter().count();
        let is_many = self.names.len() as f64 > known_count as f64 * MAX_REMOVED_FRACTION;
        let is_waiting = asked_at < self.hold_until;
        self.are_many_missing = is_waiting && (self.are_many_missing || is_many);
        if self.are_many_missing {
            return Vec::new();
        }
        std::mem::take(&mut self.names)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|n| (**n).cmp(name))
    }
}

/// Returns the known upstreams that a complete list of names lacks.
fn unlisted(fleet: &Fleet, listed: &[&str]) -> Vec<Arc<str>> {
    let mut listed = listed.to_vec();
    listed.sort_unstable();
    let is_unlisted = |name: &Arc<str>| listed.binary_search(&&**name).is_err();
    fleet
        .iter()
        .map(|u| Arc::clone(&u.name))
        .filter(is_unlisted)
        .collect()
}
