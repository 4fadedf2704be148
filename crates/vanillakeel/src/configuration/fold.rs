//! The state that all instances fold from the same records.

use super::{
    Checkpoint,
    Edit,
    Record,
    Ruling,
    Version, //
};
use std::sync::Arc;

/// Rulings remembered, so that a second ruling on an edit is dropped.
const MAX_RULED: usize = 256;

/// Records kept to fold a checkpoint that is read after them.
const MAX_TAIL: usize = 4_096;

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its text is in force as this version.
    InForce(Version),
    /// It was made from a version that another edit has replaced meanwhile.
    Overtaken {
        /// The version in force when it was ruled on.
        by: Version,
    },
    /// It did not pass its checks.
    Refused(Arc<str>),
}

/// Texts and edits as the records up to an offset leave them.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    version: Version,
    text: Arc<str>,
    ruled: Vec<u128>,
    outcomes: Vec<(u128, Outcome)>,
    pending: Vec<(u64, Edit)>,
    first: Option<u64>,
    next: u64,
    tail: Vec<(u64, Ruling)>,
    is_based: bool,
}

impl Fold {
    /// The agreed version, zero while it is not known.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// The agreed text.
    #[must_use]
    pub const fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The offset after the last record that was folded.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Whether the state rests on the log's start or on a checkpoint that can be trusted.
    #[must_use]
    pub const fn is_based(&self) -> bool {
        self.is_based
    }

    /// Edits that no ruling was read of, in the order of the log.
    pub fn pending(&self) -> impl Iterator<Item = &Edit> {
        self.pending.iter().map(|p| &p.1)
    }

    /// What became of an edit, once it is known.
    #[must_use]
    pub fn outcome(&self, edit: u128) -> Option<&Outcome> {
        self.outcomes.iter().find(|o| o.0 == edit).map(|o| &o.1)
    }

    /// Begins anew at `first`, the oldest offset that the log still holds.
    ///
    /// To be called before the first record, and when records were trimmed before they were read.
    pub fn begin(&mut self, first: u64) {
        if self.first.is_some() && first <= self.next {
            return;
        }
        *self = Self {
            first: Some(first),
            next: first,
            is_based: first == 0,
            ..Self::default()
        };
    }

    /// Folds the record at `offset`; one that was folded before changes nothing.
    pub fn apply(&mut self, offset: u64, record: &Record) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        match record {
            Record::Edit(edit) => self.on_edit(offset, edit),
            Record::Ruling(ruling) => {
                self.keep(offset, ruling);
                self.on_ruling(offset, ruling);
            }
            Record::Checkpoint(checkpoint) => self.on_checkpoint(checkpoint),
        }
    }

    /// Skips to `next`, for records of other kinds.
    pub fn skip_to(&mut self, next: u64) {
        self.next = self.next.max(next);
    }

    fn on_edit(&mut self, offset: u64, edit: &Edit) {
        let is_known = self.ruled.contains(&edit.id) || self.pending().any(|p| p.id == edit.id);
        if !is_known {
            self.pending.push((offset, edit.clone()));
        }
    }

    fn keep(&mut self, offset: u64, ruling: &Ruling) {
        self.tail.push((offset, ruling.clone()));
        if self.tail.len() > MAX_TAIL {
            self.tail.remove(0);
        }
    }

    fn on_ruling(&mut self, offset: u64, ruling: &Ruling) {
        if !self.is_based || self.ruled.contains(&ruling.edit) {
            return;
        }
        self.ruled.push(ruling.edit);
        if self.ruled.len() > MAX_RULED {
            self.ruled.remove(0);
        }
        self.pending.retain(|p| p.1.id != ruling.edit);
        let outcome = if !ruling.accepted {
            Outcome::Refused(Arc::clone(&ruling.reason))
        } else if ruling.base != self.version {
            Outcome::Overtaken { by: self.version }
        } else {
            self.version = offset + 1;
            self.text = Arc::clone(&ruling.text);
            Outcome::InForce(self.version)
        };
        self.outcomes.push((ruling.edit, outcome));
        if self.outcomes.len() > MAX_RULED {
            self.outcomes.remove(0);
        }
    }

    /// Takes a checkpoint as the base, if all records from its offset on have been read.
    ///
    /// One that is stale is not harmful: the rulings after its offset are folded on top of it.
    fn on_checkpoint(&mut self, checkpoint: &Checkpoint) {
        let first = self.first.unwrap_or(0);
        let has_tail = self.tail.len() < MAX_TAIL;
        if self.is_based || checkpoint.folded_to < first || !has_tail {
            return;
        }
        self.is_based = true;
        self.version = checkpoint.version;
        self.text = Arc::clone(&checkpoint.text);
        self.ruled.clone_from(&checkpoint.ruled);
        let tail = std::mem::take(&mut self.tail);
        for (offset, ruling) in tail.iter().filter(|t| t.0 >= checkpoint.folded_to) {
            self.on_ruling(*offset, ruling);
        }
        let ruled = &self.ruled;
        self.pending.retain(|p| !ruled.contains(&p.1.id));
    }

    /// The state as a checkpoint, if it is known.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        (self.is_based && self.version > 0).then(|| Checkpoint {
            version: self.version,
            text: Arc::clone(&self.text),
            folded_to: self.next,
            ruled: self.ruled.clone(),
        })
    }
}
