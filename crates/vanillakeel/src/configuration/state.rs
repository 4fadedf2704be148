//! The configuration of one instance.

use super::{
    Checkpoint,
    Edit,
    Fold,
    Record,
    Ruling,
    Version, //
};
use crate::{
    Millis,
    order, //
};
use std::sync::Arc;

/// Time that each instance after the first waits before it rules on an edit, in ms.
const RULING_STEP_MS: u64 = 400;

/// Time after which a ruling that was not read back is appended again, in ms.
const REPEAT_MS: u64 = 2_000;

/// Part of the log's records that may pass before a checkpoint is written anew.
const CHECKPOINT_EVERY_RECORDS: u64 = 10_000;

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the log.
    Append(Record),
    /// Bring a text into force.
    Apply {
        /// Its version.
        version: Version,
        /// The text.
        text: Arc<str>,
    },
}

#[derive(Clone, Debug)]
struct Open {
    edit: u128,
    seen: Millis,
    ruled: Option<Millis>,
}

/// The configuration of one instance.
///
/// `check` is what an edit's text has to pass.
#[derive(Clone, Debug)]
pub struct Configuration<F = fn(&str) -> Result<(), String>> {
    me: Arc<str>,
    check: F,
    fold: Fold,
    version: Version,
    text: Arc<str>,
    open: Vec<Open>,
    peers: Vec<Arc<str>>,
    checkpointed: u64,
    checkpoint_due: Option<Millis>,
    checks_base: bool,
    actions: Vec<Action>,
}

impl<F: Fn(&str) -> Result<(), String>> Configuration<F> {
    /// Makes the configuration of the instance `me`.
    #[must_use]
    pub fn new(me: &str, check: F) -> Self {
        Self {
            me: Arc::from(me),
            check,
            fold: Fold::default(),
            version: 0,
            text: Arc::from(""),
            open: Vec::new(),
            peers: vec![Arc::from(me)],
            checkpointed: 0,
            checkpoint_due: None,
            checks_base: true,
            actions: Vec::new(),
        }
    }

    /// Turns off the guard that a version never falls; only to show that checks can fail.
    #[must_use]
    pub fn without_version_guard(mut self) -> Self {
        self.checks_base = false;
        self
    }

    /// Takes the actions pushed since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> {
        std::mem::take(&mut self.actions).into_iter()
    }

    /// The version in force here, zero for none.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// The text in force here.
    #[must_use]
    pub const fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The state agreed on the log.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Sets the live instances, with or without this one.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers = names.map(Arc::from).collect();
        self.peers.push(Arc::clone(&self.me));
        self.peers.sort();
        self.peers.dedup();
    }

    fn rank(&self, chore: &str) -> usize {
        order::position(chore, &self.me, self.peers.iter().map(|p| &**p))
    }

    /// Takes records of the log in order, each with its offset.
    ///
    /// `first` is the oldest offset that the log holds, `next` the offset after the last record
    /// read, of whatever kind.
    pub fn on_records(&mut self, now: Millis, first: u64, records: &[(u64, Record)], next: u64) {
        self.fold.begin(first);
        for (offset, record) in records {
            self.fold.apply(*offset, record);
            if let Record::Checkpoint(checkpoint) = record {
                self.checkpointed = self.checkpointed.max(checkpoint.folded_to);
                self.checkpoint_due = None;
            }
        }
        self.fold.skip_to(next);
        self.note_edits(now);
        self.adopt_folded();
    }

    fn note_edits(&mut self, now: Millis) {
        let fold = &self.fold;
        self.open.retain(|o| fold.pending().any(|p| p.id == o.edit));
        for edit in fold.pending() {
            if !self.open.iter().any(|o| o.edit == edit.id) {
                self.open.push(Open {
                    edit: edit.id,
                    seen: now,
                    ruled: None,
                });
            }
        }
    }

    fn adopt_folded(&mut self) {
        let version = self.fold.version();
        let text = Arc::clone(self.fold.text());
        if version > self.version || (!self.checks_base && version != self.version) {
            self.adopt(version, text);
        }
    }

    fn adopt(&mut self, version: Version, text: Arc<str>) {
        self.version = version;
        self.text = Arc::clone(&text);
        self.actions.push(Action::Apply { version, text });
    }

    /// Takes a text that a peer has in force.
    pub fn on_peer(&mut self, version: Version, text: &str) {
        if version > self.version {
            self.adopt(version, Arc::from(text));
        }
    }

    /// Does the periodic work: rulings on edits, and checkpoints before `first_at_risk`, the
    /// oldest offset that the log is going to keep for a while.
    pub fn tick(&mut self, now: Millis, first_at_risk: u64) {
        if !self.fold.is_based() {
            return;
        }
        for at in 0..self.open.len() {
            self.rule(now, at);
        }
        self.write_checkpoint(now, first_at_risk);
    }

    fn rule(&mut self, now: Millis, at: usize) {
        let Open { edit, seen, ruled } = self.open[at];
        let turn = seen.plus(self.rank(&edit.to_string()) as u64 * RULING_STEP_MS);
        let is_due = now >= turn && ruled.is_none_or(|t| now.since(t) >= REPEAT_MS);
        let Some(edit) = self
            .fold
            .pending()
            .find(|p| p.id == edit)
            .filter(|_| is_due)
        else {
            return;
        };
        let ruling = self.judge(edit);
        self.open[at].ruled = Some(now);
        self.actions.push(Action::Append(Record::Ruling(ruling)));
    }

    fn judge(&self, edit: &Edit) -> Ruling {
        let verdict = if edit.base == self.fold.version() {
            (self.check)(&edit.text)
        } else {
            Err(format!(
                "made from version {}, but version {} is in force",
                edit.base,
                self.fold.version()
            ))
        };
        Ruling {
            edit: edit.id,
            base: edit.base,
            accepted: verdict.is_ok(),
            text: if verdict.is_ok() {
                Arc::clone(&edit.text)
            } else {
                Arc::from("")
            },
            reason: Arc::from(verdict.err().unwrap_or_default()),
        }
    }

    /// Appends a checkpoint when the last one is about to be trimmed or far behind.
    fn write_checkpoint(&mut self, now: Millis, first_at_risk: u64) {
        let behind = self.fold.next().saturating_sub(self.checkpointed);
        let at_risk = self.checkpointed < first_at_risk;
        if behind < CHECKPOINT_EVERY_RECORDS && !at_risk {
            return;
        }
        let turn = REPEAT_MS * self.rank("checkpoint") as u64;
        let due = *self.checkpoint_due.get_or_insert(now.plus(turn));
        if now < due {
            return;
        }
        if let Some(checkpoint) = self.fold.checkpoint() {
            let round = REPEAT_MS * self.peers.len() as u64;
            self.checkpoint_due = Some(now.plus(round));
            self.actions
                .push(Action::Append(Record::Checkpoint(checkpoint)));
        }
    }

    /// The state as a checkpoint, if it is known.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        self.fold.checkpoint()
    }
}
