//! Which parts of prompts an upstream is believed to have cached.

use crate::Millis;

/// Parts remembered of one upstream.
const MAX_PARTS: usize = 512;

/// Parts that were read by an upstream, sorted by id, with the time of the last use.
#[derive(Clone, Debug, Default)]
pub(super) struct Cached(Vec<(u64, Millis)>);

impl Cached {
    /// Remembers a part; returns whether it was not known.
    pub(super) fn insert(&mut self, now: Millis, id: u64) -> bool {
        match self.0.binary_search_by_key(&id, |p| p.0) {
            Ok(at) => {
                self.0[at].1 = now;
                return false;
            }
            Err(at) => self.0.insert(at, (id, now)),
        }
        if self.0.len() > MAX_PARTS {
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
