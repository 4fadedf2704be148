//! The state of all keys, which every instance builds by replaying the same log records in order.

use super::{
    Batch,
    Entry,
    Key,
    Op, //
};
use std::sync::Arc;

/// What has become of the last claim that won a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// A claim holds the key, and its request may run.
    Claimed,
    /// The claim was released, and its request has not run.
    Released,
    /// The request has run.
    Ran,
}

/// The last claim that won a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The writer that made the claim.
    pub writer: Arc<str>,
    /// The number of the claim.
    pub claim: u64,
    /// The state of the key.
    pub state: KeyState,
}

#[derive(Clone, Debug)]
struct Writer {
    name: Arc<str>,
    last_batch: u64,
    last_offset: u64,
}

/// The keys and writers after the replay of all records up to an offset.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    /// Sorted by key.
    keys: Vec<(Key, Holder)>,
    /// Sorted by name.
    writers: Vec<Writer>,
    next: u64,
}

impl LogState {
    /// Returns the offset after the last record that was applied or skipped.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Returns the number of keys that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the last claim that won a key.
    #[must_use]
    pub fn holder(&self, key: &Key) -> Option<&Holder> {
        let at = self.keys.binary_search_by(|k| k.0.cmp(key)).ok()?;
        Some(&self.keys[at].1)
    }

    /// Applies the record at `offset` and returns whether it was new.
    ///
    /// A record that was applied before, or a duplicate of an earlier batch, changes nothing.
    pub fn apply(&mut self, offset: u64, batch: &Batch) -> bool {
        if offset < self.next {
            return false;
        }
        self.next = offset + 1;
        if !self.is_first_copy(offset, batch) {
            return false;
        }
        for entry in &batch.entries {
            self.apply_entry(&batch.writer, entry);
        }
        true
    }

    /// Moves the position to `next`, past records of other kinds.
    pub fn skip_to(&mut self, next: u64) {
        self.next = self.next.max(next);
    }

    /// Returns whether the batch is new, and records it as the last batch of its writer if so.
    fn is_first_copy(&mut self, offset: u64, batch: &Batch) -> bool {
        match self.writers.binary_search_by(|w| w.name.cmp(&batch.writer)) {
            Ok(at) if batch.number <= self.writers[at].last_batch => false,
            Ok(at) => {
                self.writers[at].last_batch = batch.number;
                self.writers[at].last_offset = offset;
                true
            }
            Err(at) => {
                self.writers.insert(
                    at,
                    Writer {
                        name: Arc::clone(&batch.writer),
                        last_batch: batch.number,
                        last_offset: offset,
                    },
                );
                true
            }
        }
    }

    fn apply_entry(&mut self, writer: &Arc<str>, entry: &Entry) {
        let found = self.keys.binary_search_by(|k| k.0.cmp(&entry.key));
        match (entry.op, found) {
            (Op::Claim, Err(at)) => {
                let holder = Holder {
                    writer: Arc::clone(writer),
                    claim: entry.claim,
                    state: KeyState::Claimed,
                };
                self.keys.insert(at, (entry.key.clone(), holder));
            }
            (Op::Claim, Ok(at)) => {
                let holder = &mut self.keys[at].1;
                if holder.state == KeyState::Released {
                    holder.writer = Arc::clone(writer);
                    holder.claim = entry.claim;
                    holder.state = KeyState::Claimed;
                }
            }
            (Op::Release, Ok(at)) => self.end(at, writer, entry.claim, KeyState::Released),
            (Op::Outcome, Ok(at)) => self.end(at, writer, entry.claim, KeyState::Ran),
            (Op::Release | Op::Outcome, Err(_)) => {}
        }
    }

    /// Ends a claim if it is the one that holds the key.
    fn end(&mut self, at: usize, writer: &Arc<str>, claim: u64, state: KeyState) {
        let holder = &mut self.keys[at].1;
        let is_holder = holder.writer == *writer && holder.claim == claim;
        if is_holder && holder.state == KeyState::Claimed {
            holder.state = state;
        }
    }

    /// Removes keys created before `created_ms`, and writers whose last record lies before
    /// `offset`.
    pub fn forget(&mut self, created_ms: u64, offset: u64) {
        let old = self.keys.partition_point(|k| k.0.created_ms < created_ms);
        self.keys.drain(..old);
        self.writers.retain(|w| w.last_offset >= offset);
    }
}
