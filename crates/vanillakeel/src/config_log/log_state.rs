//! The agreed configuration, which every instance builds by replaying the same log records.

use super::{
    Checkpoint,
    Decision,
    Proposal,
    Record,
    Version, //
};
use std::sync::Arc;

/// Number of decided proposals remembered, so that a second decision on one is ignored.
const MAX_DECIDED: usize = 256;

/// Number of decisions kept to replay them on top of a checkpoint that is read after them.
const MAX_RECENT_DECISIONS: usize = 4_096;

/// The result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It came into force as this version.
    InForce(Version),
    /// It was made from a version that another proposal has replaced in the meantime.
    Superseded {
        /// The version in force when it was decided.
        by: Version,
    },
    /// It was refused for this reason.
    Refused(Arc<str>),
}

/// The configuration and the proposals after the replay of all records up to an offset.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    version: Version,
    text: Arc<str>,
    decided: Vec<u128>,
    outcomes: Vec<(u128, Outcome)>,
    pending: Vec<(u64, Proposal)>,
    /// Offset at which the replay started, `None` before the first read.
    first: Option<u64>,
    next: u64,
    recent_decisions: Vec<(u64, Decision)>,
    is_initialized: bool,
}

impl LogState {
    /// Returns the agreed version, or zero while it is not known.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the agreed configuration as TOML.
    #[must_use]
    pub const fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the offset after the last record that was applied or skipped.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Returns whether the state is complete: replayed from the start of the log or from a
    /// checkpoint with no gap after it.
    #[must_use]
    pub const fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Returns the proposals without a decision, in the order of the log.
    pub fn pending(&self) -> impl Iterator<Item = &Proposal> {
        self.pending.iter().map(|p| &p.1)
    }

    /// Returns the result of a proposal once it is decided.
    #[must_use]
    pub fn outcome(&self, proposal: u128) -> Option<&Outcome> {
        self.outcomes.iter().find(|o| o.0 == proposal).map(|o| &o.1)
    }

    /// Restarts the replay at `first`, the oldest offset that the log still holds.
    ///
    /// Call it before the records of each read. It has an effect only before the first record, and
    /// when the log dropped records before they were read.
    pub fn start_at(&mut self, first: u64) {
        if self.first.is_some() && first <= self.next {
            return;
        }
        *self = Self {
            first: Some(first),
            next: first,
            is_initialized: first == 0,
            ..Self::default()
        };
    }

    /// Applies the record at `offset`; a record that was applied before changes nothing.
    pub fn apply(&mut self, offset: u64, record: &Record) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        match record {
            Record::Proposal(proposal) => self.on_proposal(offset, proposal),
            Record::Decision(decision) => {
                self.remember(offset, decision);
                self.on_decision(offset, decision);
            }
            Record::Checkpoint(checkpoint) => self.on_checkpoint(checkpoint),
        }
    }

    /// Moves the position to `next`, past records of other kinds.
    pub fn skip_to(&mut self, next: u64) {
        self.next = self.next.max(next);
    }

    fn on_proposal(&mut self, offset: u64, proposal: &Proposal) {
        let is_known =
            self.decided.contains(&proposal.id) || self.pending().any(|p| p.id == proposal.id);
        if !is_known {
            self.pending.push((offset, proposal.clone()));
        }
    }

    fn remember(&mut self, offset: u64, decision: &Decision) {
        self.recent_decisions.push((offset, decision.clone()));
        if self.recent_decisions.len() > MAX_RECENT_DECISIONS {
            self.recent_decisions.remove(0);
        }
    }

    fn on_decision(&mut self, offset: u64, decision: &Decision) {
        if !self.is_initialized || self.decided.contains(&decision.proposal) {
            return;
        }
        self.decided.push(decision.proposal);
        if self.decided.len() > MAX_DECIDED {
            self.decided.remove(0);
        }
        self.pending.retain(|p| p.1.id != decision.proposal);
        let outcome = if !decision.accepted {
            Outcome::Refused(Arc::clone(&decision.reason))
        } else if decision.base != self.version {
            Outcome::Superseded { by: self.version }
        } else {
            self.version = offset + 1;
            self.text = Arc::clone(&decision.text);
            Outcome::InForce(self.version)
        };
        self.outcomes.push((decision.proposal, outcome));
        if self.outcomes.len() > MAX_DECIDED {
            self.outcomes.remove(0);
        }
    }

    /// Starts from a checkpoint if all records from its offset on have been read.
    ///
    /// A stale checkpoint does no harm, because the decisions after its offset are applied on top
    /// of it.
    fn on_checkpoint(&mut self, checkpoint: &Checkpoint) {
        let first = self.first.unwrap_or(0);
        let has_all_decisions = self.recent_decisions.len() < MAX_RECENT_DECISIONS;
        if self.is_initialized || checkpoint.applied_to < first || !has_all_decisions {
            return;
        }
        self.is_initialized = true;
        self.version = checkpoint.version;
        self.text = Arc::clone(&checkpoint.text);
        self.decided.clone_from(&checkpoint.decided);
        let recent_decisions = std::mem::take(&mut self.recent_decisions);
        for (offset, decision) in recent_decisions
            .iter()
            .filter(|d| d.0 >= checkpoint.applied_to)
        {
            self.on_decision(*offset, decision);
        }
        let decided = &self.decided;
        self.pending.retain(|p| !decided.contains(&p.1.id));
    }

    /// Returns the state as a checkpoint, if it is complete and a configuration is in force.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        (self.is_initialized && self.version > 0).then(|| Checkpoint {
            version: self.version,
            text: Arc::clone(&self.text),
            applied_to: self.next,
            decided: self.decided.clone(),
        })
    }
}
