//! The prompt segments that an upstream is believed to hold in its prefix cache.

use crate::Millis;

/// Most segments that are remembered per upstream; the least recently used one is evicted.
const MAX_SEGMENTS: usize = 512;

/// Segments that an upstream has computed, sorted by id, with the time of the last use.
#[derive(Clone, Debug, Default)]
pub(super) struct CachedSegments(Vec<(u64, Millis)>);

impl CachedSegments {
    /// Adds a segment or refreshes its time of use; returns whether it is new.
    pub(super) fn insert(&mut self, now: Millis, id: u64) -> bool {
        match self.0.binary_search_by_key(&id, |p| p.0) {
            Ok(at) => {
                self.0[at].1 = now;
                return false;
            }
            Err(at) => self.0.insert(at, (id, now)),
        }
        if self.0.len() > MAX_SEGMENTS {
            let oldest = (0..self.0.len()).min_by_key(|at| self.0[*at].1);
            if let Some(at) = oldest {
                self.0.remove(at);
            }
        }
        true
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.0.binary_search_by_key(&id, |p| p.0).is_ok()
    }
}
