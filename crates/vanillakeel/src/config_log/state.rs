//! The replica of one instance: when to decide on proposals, write checkpoints and apply a version.

use super::{
    Checkpoint,
    Decision,
    LogState,
    Proposal,
    Record,
    Version, //
};
use crate::{
    Millis,
    order, //
};
use std::sync::Arc;

/// Delay per position after which an instance decides on a proposal, in ms; the positions follow
/// from rendezvous hashing of the instances, so that usually only the first one decides.
const DECISION_STEP_MS: u64 = 400;

/// Time after which a decision that was not read back from the log is appended again, in ms; also
/// the delay per position of a checkpoint.
const REPEAT_APPEND_MS: u64 = 2_000;

/// Number of records after the last checkpoint at which a new one is written.
const CHECKPOINT_EVERY_RECORDS: u64 = 10_000;

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the log.
    Append(Record),
    /// Bring a configuration into force.
    Apply {
        /// Its version.
        version: Version,
        /// The configuration as TOML.
        text: Arc<str>,
    },
}

#[derive(Clone, Debug)]
struct Undecided {
    proposal: u128,
    seen_at: Millis,
    decided_at: Option<Millis>,
}

/// The configuration of one instance, which follows the log.
///
/// `check` is the check that a proposed configuration has to pass.
#[derive(Clone, Debug)]
pub struct ConfigReplica<F = fn(&str) -> Result<(), String>> {
    me: Arc<str>,
    check: F,
    log_state: LogState,
    version: Version,
    text: Arc<str>,
    undecided: Vec<Undecided>,
    peers: Vec<Arc<str>>,
    checkpointed_to: u64,
    checkpoint_due: Option<Millis>,
    has_version_guard: bool,
    actions: Vec<Action>,
}

impl<F: Fn(&str) -> Result<(), String>> ConfigReplica<F> {
    /// Creates the replica of the instance `me`.
    #[must_use]
    pub fn new(me: &str, check: F) -> Self {
        Self {
            me: Arc::from(me),
            check,
            log_state: LogState::default(),
            version: 0,
            text: Arc::from(""),
            undecided: Vec::new(),
            peers: vec![Arc::from(me)],
            checkpointed_to: 0,
            checkpoint_due: None,
            has_version_guard: true,
            actions: Vec::new(),
        }
    }

    /// Lets the version decrease; used only to show that the fault checks detect it.
    #[must_use]
    pub fn without_version_guard(mut self) -> Self {
        self.has_version_guard = false;
        self
    }

    /// Takes the actions queued since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> {
        std::mem::take(&mut self.actions).into_iter()
    }

    /// Returns the version in force on this instance, zero for none.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the configuration in force on this instance as TOML.
    #[must_use]
    pub const fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the state agreed on the log.
    #[must_use]
    pub const fn log_state(&self) -> &LogState {
        &self.log_state
    }

    /// Sets the live instances, with or without this one.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers = names.map(Arc::from).collect();
        self.peers.push(Arc::clone(&self.me));
        self.peers.sort();
        self.peers.dedup();
    }

    fn position(&self, task: &str) -> usize {
        order::position(task, &self.me, self.peers.iter().map(|p| &**p))
    }

    /// Applies records of the log in order, each with its offset.
    ///
    /// `first` is the oldest offset that the log holds, and `next` the offset after the last record
    /// read, of any kind.
    pub fn on_records(&mut self, now: Millis, first: u64, records: &[(u64, Record)], next: u64) {
        self.log_state.start_at(first);
        for (offset, record) in records {
            self.log_state.apply(*offset, record);
            if let Record::Checkpoint(checkpoint) = record {
                self.checkpointed_to = self.checkpointed_to.max(checkpoint.applied_to);
                self.checkpoint_due = None;
            }
        }
        self.log_state.skip_to(next);
        self.record_proposals(now);
        self.adopt_agreed();
    }

    fn record_proposals(&mut self, now: Millis) {
        let log_state = &self.log_state;
        self.undecided
            .retain(|u| log_state.pending().any(|p| p.id == u.proposal));
        for proposal in log_state.pending() {
            if !self.undecided.iter().any(|u| u.proposal == proposal.id) {
                self.undecided.push(Undecided {
                    proposal: proposal.id,
                    seen_at: now,
                    decided_at: None,
                });
            }
        }
    }

    fn adopt_agreed(&mut self) {
        let version = self.log_state.version();
        let text = Arc::clone(self.log_state.text());
        if version > self.version || (!self.has_version_guard && version != self.version) {
            self.adopt(version, text);
        }
    }

    fn adopt(&mut self, version: Version, text: Arc<str>) {
        self.version = version;
        self.text = Arc::clone(&text);
        self.actions.push(Action::Apply { version, text });
    }

    /// Adopts the configuration that a peer has in force, if it is newer.
    pub fn on_peer(&mut self, version: Version, text: &str) {
        if version > self.version {
            self.adopt(version, Arc::from(text));
        }
    }

    /// Does the periodic work: decides on proposals and writes checkpoints.
    ///
    /// `first_safe_offset` is the oldest offset that the log will keep for some time. A new
    /// checkpoint is due when the last one lies before it.
    pub fn tick(&mut self, now: Millis, first_safe_offset: u64) {
        if !self.log_state.is_initialized() {
            return;
        }
        for at in 0..self.undecided.len() {
            self.decide_when_due(now, at);
        }
        self.write_checkpoint(now, first_safe_offset);
    }

    fn decide_when_due(&mut self, now: Millis, at: usize) {
        let Undecided {
            proposal,
            seen_at,
            decided_at,
        } = self.undecided[at];
        let decide_at =
            seen_at.plus(self.position(&proposal.to_string()) as u64 * DECISION_STEP_MS);
        let is_due =
            now >= decide_at && decided_at.is_none_or(|t| now.since(t) >= REPEAT_APPEND_MS);
        let Some(proposal) = self
            .log_state
            .pending()
            .find(|p| p.id == proposal)
            .filter(|_| is_due)
        else {
            return;
        };
        let decision = self.decide(proposal);
        self.undecided[at].decided_at = Some(now);
        self.actions
            .push(Action::Append(Record::Decision(decision)));
    }

    fn decide(&self, proposal: &Proposal) -> Decision {
        let check_result = if proposal.base == self.log_state.version() {
            (self.check)(&proposal.text)
        } else {
            Err(format!(
                "made from version {}, but version {} is in force",
                proposal.base,
                self.log_state.version()
            ))
        };
        Decision {
            proposal: proposal.id,
            base: proposal.base,
            accepted: check_result.is_ok(),
            text: if check_result.is_ok() {
                Arc::clone(&proposal.text)
            } else {
                Arc::from("")
            },
            reason: Arc::from(check_result.err().unwrap_or_default()),
        }
    }

    /// Appends a checkpoint when the log may soon drop records that the last one does not cover,
    /// or when that one is far behind.
    fn write_checkpoint(&mut self, now: Millis, first_safe_offset: u64) {
        let behind = self.log_state.next().saturating_sub(self.checkpointed_to);
        let at_risk = self.checkpointed_to < first_safe_offset;
        if behind < CHECKPOINT_EVERY_RECORDS && !at_risk {
            return;
        }
        let delay_ms = REPEAT_APPEND_MS * self.position("checkpoint") as u64;
        let due = *self.checkpoint_due.get_or_insert(now.plus(delay_ms));
        if now < due {
            return;
        }
        if let Some(checkpoint) = self.log_state.checkpoint() {
            let round_ms = REPEAT_APPEND_MS * self.peers.len() as u64;
            self.checkpoint_due = Some(now.plus(round_ms));
            self.actions
                .push(Action::Append(Record::Checkpoint(checkpoint)));
        }
    }

    /// Returns the agreed state as a checkpoint, if it is complete and a configuration is in force.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        self.log_state.checkpoint()
    }
}
