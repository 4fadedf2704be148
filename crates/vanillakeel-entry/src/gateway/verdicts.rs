//! Verdicts of the quarantine on the log, for instances that start after all others have ended.
//!
//! Peers tell an instance that starts what is refused. If all of them were killed at once, it finds the verdicts beside
//! the addresses of the instances, which it reads anyway. They are provisional: one request shows whether upstreams
//! have been mended since. A record of its own says how many requests were let through for that; it is written before
//! such a request is sent, so that a verdict that has been confirmed is final also after further kills.
//!
//! ```ignore
//! let stored = verdicts::restore(shared, &entries, era);
//! verdicts::store(shared, &log, stored).await;
//! ```

use super::{
    crashes,
    log_adapter::{
        Entry,
        LogAdapter, //
    },
    log_writes,
    shared::Shared, //
};
use bytes::Bytes;
use std::time::Duration;
use tokio::{
    sync::oneshot,
    time::timeout, //
};
use vanillakeel::quarantine::Subject;
use vanillakeel_wire::{
    Message as _,
    generated::TrialRecord, //
};

/// Value of the record of a verdict, whose key is the subject.
const REFUSED: &[u8] = b"refused";

/// Start of the keys of records of trials; the subject follows.
const TRIALS_PREFIX: &str = "trials ";

/// Instances that write a verdict to the log: one, and another if that one has ended.
const WRITERS: usize = 2;

/// Time by which other tasks go first when the log is asked again after a failure, in ms.
const ASK_DELAY_MS: u64 = 300;

/// Longest wait of a request for the record of its trial, in ms.
const TRIAL_DUE_MS: u64 = 500;

/// A request that waits until the log holds its trial.
#[derive(Debug)]
pub(super) struct PendingTrial {
    subject: Subject,
    trials: u32,
    is_written: oneshot::Sender<()>,
}

/// What the log holds, as far as this instance knows.
#[derive(Debug, Default)]
pub(super) struct Stored {
    /// Subjects that are refused.
    refused: Vec<Subject>,
    /// Subjects with a record of trials.
    tried: Vec<Subject>,
    /// Era of the log in which that holds.
    era: u64,
}

/// Returns the entries of verdicts and trials among those of instances.
pub(super) fn of_quarantine(entries: &[Entry]) -> impl Iterator<Item = Entry> {
    let is_of_quarantine =
        |e: &&Entry| e.value.as_deref() == Some(REFUSED) || e.key.starts_with(TRIALS_PREFIX);
    entries.iter().filter(is_of_quarantine).cloned()
}

/// Takes over the verdicts of the list of instances, which was read in an era of the log.
pub(super) fn restore(shared: &Shared, entries: &[Entry], era: u64) -> Stored {
    let is_verdict = |e: &&Entry| e.value.as_deref() == Some(REFUSED);
    let verdicts = entries.iter().filter(is_verdict);
    let refused: Vec<Subject> = verdicts.filter_map(|e| e.key.parse().ok()).collect();
    let trials: Vec<(Subject, u32)> = entries.iter().filter_map(trials_of).collect();
    let now = shared.quarantine_now();
    let mut quarantine = shared.quarantine.borrow_mut();
    let changes: Vec<_> = refused
        .iter()
        .filter_map(|subject| {
            let known = trials.iter().find(|(s, _)| s == subject);
            quarantine.restore(now, *subject, known.map_or(0, |(_, trials)| *trials))
        })
        .collect();
    drop(quarantine);
    crashes::log_changes(shared, &changes);
    Stored {
        refused,
        tried: trials.into_iter().map(|(subject, _)| subject).collect(),
        era,
    }
}

/// Returns the subject and the number of trials of a record of them.
fn trials_of(entry: &Entry) -> Option<(Subject, u32)> {
    let subject = entry.key.strip_prefix(TRIALS_PREFIX)?.parse().ok()?;
    let record = TrialRecord::decode(entry.value.as_deref()?).ok()?;
    Some((subject, record.trials))
}

fn trials_key(subject: Subject) -> String {
    format!("{TRIALS_PREFIX}{subject}")
}

/// Waits until the log holds that a request is let through as the trial with this number; returns whether it does.
///
/// Instances without peers keep nothing on the log.
pub(super) async fn record_trial(shared: &Shared, subject: Subject, trials: u32) -> bool {
    if shared.settings.borrow().listen.peers.is_none() {
        return true;
    }
    let (tx, rx) = oneshot::channel();
    shared.pending_trials.borrow_mut().push(PendingTrial {
        subject,
        trials,
        is_written: tx,
    });
    shared.quarantine_changed.notify_one();
    let written = timeout(Duration::from_millis(TRIAL_DUE_MS), rx).await;
    matches!(written, Ok(Ok(())))
}

/// Keeps the verdicts on the log for as long as the process runs; `stored` are those that it holds.
pub(super) async fn store(shared: &Shared, log: &LogAdapter, mut stored: Stored) {
    loop {
        let changed = shared.quarantine_changed.notified();
        if stored.era != shared.log_era() {
            // A log that is back from a copy may have lost them.
            stored = Stored {
                era: shared.log_era(),
                ..Stored::default()
            };
        }
        let pending = shared.pending_trials.borrow_mut().pop();
        if let Some(pending) = pending {
            write_trial(shared, log, &mut stored, pending).await;
            continue;
        }
        let Some(difference) = next_difference(shared, &stored) else {
            tokio::select! {
                () = changed => {}
                () = shared.era_risen.notified() => {}
            }
            continue;
        };
        let is_written = !is_writer(shared, difference.subject())
            || log_writes::write(shared, log, difference.entry(), "a verdict", ASK_DELAY_MS).await;
        if is_written {
            stored.on_written(difference);
        }
    }
}

/// What the log lacks, or holds without need.
#[derive(Clone, Copy, Debug)]
enum Difference {
    Refused(Subject),
    Lifted(Subject),
    /// The trials of a verdict that was lifted.
    Tried(Subject),
}

impl Difference {
    const fn subject(self) -> Subject {
        let (Self::Refused(subject) | Self::Lifted(subject) | Self::Tried(subject)) = self;
        subject
    }

    /// Returns the entry that removes the difference.
    fn entry(self) -> Entry {
        let (key, value) = match self {
            Self::Refused(subject) => (subject.to_string(), Some(Bytes::from_static(REFUSED))),
            Self::Lifted(subject) => (subject.to_string(), None),
            Self::Tried(subject) => (trials_key(subject), None),
        };
        Entry { key, value }
    }
}

impl Stored {
    fn on_written(&mut self, difference: Difference) {
        match difference {
            Difference::Refused(subject) => self.refused.push(subject),
            Difference::Lifted(subject) => {
                self.refused.retain(|s| *s != subject);
                // Another instance may have written its trials.
                self.tried.push(subject);
            }
            Difference::Tried(subject) => self.tried.retain(|s| *s != subject),
        }
    }
}

/// Returns a difference between what is refused and what the log holds.
fn next_difference(shared: &Shared, stored: &Stored) -> Option<Difference> {
    let quarantine = shared.quarantine.borrow();
    let is_refused = |s: &Subject| quarantine.subjects().any(|refused| refused == *s);
    let new = quarantine.subjects().find(|s| !stored.refused.contains(s));
    let over = || stored.refused.iter().find(|s| !is_refused(s)).copied();
    let tried = || stored.tried.iter().find(|s| !is_refused(s)).copied();
    new.map(Difference::Refused)
        .or_else(|| over().map(Difference::Lifted))
        .or_else(|| tried().map(Difference::Tried))
}

/// Returns whether this instance is among those that write a verdict to the log.
fn is_writer(shared: &Shared, subject: Subject) -> bool {
    let (Subject::Segment(key) | Subject::Request(key)) = subject;
    shared.mesh.borrow().position(key) < WRITERS
}

/// Writes a trial for a request that waits, unless it has given up.
async fn write_trial(
    shared: &Shared,
    log: &LogAdapter,
    stored: &mut Stored,
    pending: PendingTrial,
) {
    if pending.is_written.is_closed() {
        return;
    }
    let record = TrialRecord {
        trials: pending.trials,
    };
    let entry = Entry {
        key: trials_key(pending.subject),
        value: Some(Bytes::from(record.encode_to_vec())),
    };
    if log_writes::write_if_served(shared, log, entry, "a trial").await {
        stored.tried.push(pending.subject);
        // The request may have given up meanwhile; its trial counts nevertheless.
        let _ = pending.is_written.send(());
    }
}
