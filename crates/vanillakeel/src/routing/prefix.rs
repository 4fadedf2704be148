//! Hints on which prompt prefixes an upstream has cached.
//!
//! Cache events arrive late and some are lost, so a hint only lowers the cost of an upstream and
//! never decides alone. The most recent hints are kept, up to a bound.

/// Most prefixes kept for one upstream.
const MAX_HINTS: usize = 256;

/// Hashes of the prompt prefixes that an upstream has probably cached; zero stands for no prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixHints {
    /// Pairs of prefix hash and sequence number, in ascending order of the hash.
    hints: Vec<(u64, u64)>,
    /// Number of insertions, which orders the hints by age.
    sequence: u64,
}

impl PrefixHints {
    pub(super) fn insert(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        match self.hints.binary_search_by_key(&prefix, |h| h.0) {
            Ok(index) => self.hints[index].1 = sequence,
            Err(index) => self.hints.insert(index, (prefix, sequence)),
        }
        if self.hints.len() > MAX_HINTS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.hints.len()).min_by_key(|index| self.hints[*index].1);
        if let Some(index) = oldest {
            self.hints.remove(index);
        }
    }

    pub(super) fn remove(&mut self, prefix: u64) {
        if let Ok(index) = self.hints.binary_search_by_key(&prefix, |h| h.0) {
            self.hints.remove(index);
        }
    }

    pub(super) fn clear(&mut self) {
        self.hints.clear();
    }

    pub(super) fn contains(&self, prefix: u64) -> bool {
        prefix != 0 && self.hints.binary_search_by_key(&prefix, |h| h.0).is_ok()
    }
}
