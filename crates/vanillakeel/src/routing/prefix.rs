//! Hints on which prompt prefixes an upstream has cached.
//!
//! Cache events come late and with gaps, so a hint is only ever a bonus in the cost of an
//! upstream. The newest hints are kept, up to a bound.

/// Prefixes remembered of one upstream.
const MAX_HINTS: usize = 256;

/// The prefixes that an upstream is believed to hold.
#[derive(Clone, Debug, Default)]
pub(super) struct Hints {
    sorted: Vec<(u64, u64)>,
    clock: u64,
}

impl Hints {
    pub(super) fn insert(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.clock += 1;
        let clock = self.clock;
        match self.sorted.binary_search_by_key(&prefix, |h| h.0) {
            Ok(at) => self.sorted[at].1 = clock,
            Err(at) => self.sorted.insert(at, (prefix, clock)),
        }
        if self.sorted.len() > MAX_HINTS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.sorted.len()).min_by_key(|at| self.sorted[*at].1);
        if let Some(at) = oldest {
            self.sorted.remove(at);
        }
    }

    pub(super) fn remove(&mut self, prefix: u64) {
        if let Ok(at) = self.sorted.binary_search_by_key(&prefix, |h| h.0) {
            self.sorted.remove(at);
        }
    }

    pub(super) fn clear(&mut self) {
        self.sorted.clear();
    }

    pub(super) fn contains(&self, prefix: u64) -> bool {
        prefix != 0 && self.sorted.binary_search_by_key(&prefix, |h| h.0).is_ok()
    }
}
