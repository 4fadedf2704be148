//! Verdicts of the quarantine on the log, for instances that start after all others have ended.
//!
//! Peers tell an instance that starts what is refused. If all of them were killed at once, it finds the verdicts beside
//! the addresses of the instances, which it reads anyway. They are provisional: one request shows whether upstreams
//! have been mended since.
//!
//! ```ignore
//! let stored = verdicts::restore(shared, &page.entries);
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
use vanillakeel::quarantine::Subject;

/// Value of the record of a verdict, whose key is the subject.
const REFUSED: &[u8] = b"refused";

/// Instances that write a verdict to the log: one, and another if that one has ended.
const WRITERS: usize = 2;

/// Time by which other tasks go first when the log is asked again after a failure, in ms.
const ASK_DELAY_MS: u64 = 300;

/// Takes over the verdicts among the entries of instances; returns their subjects.
pub(super) fn restore(shared: &Shared, entries: &[Entry]) -> Vec<Subject> {
    let is_verdict = |e: &&Entry| e.value.as_deref() == Some(REFUSED);
    let verdicts = entries.iter().filter(is_verdict);
    let subjects: Vec<Subject> = verdicts.filter_map(|e| e.key.parse().ok()).collect();
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine.borrow_mut();
    let changes: Vec<_> = subjects
        .iter()
        .filter_map(|subject| quarantine.restore(now, *subject))
        .collect();
    drop(quarantine);
    crashes::log_changes(shared, &changes);
    subjects
}

/// Keeps the verdicts on the log for as long as the process runs; `stored` are those that it holds.
pub(super) async fn store(shared: &Shared, log: &LogAdapter, mut stored: Vec<Subject>) {
    loop {
        let changed = shared.quarantine_changed.notified();
        let Some((subject, is_refused)) = next_difference(shared, &stored) else {
            changed.await;
            continue;
        };
        if is_writer(shared, subject) {
            let value = is_refused.then(|| Bytes::from_static(REFUSED));
            let key = subject.to_string();
            let entry = Entry { key, value };
            if !log_writes::write(shared, log, entry, "a verdict", ASK_DELAY_MS).await {
                continue;
            }
        }
        if is_refused {
            stored.push(subject);
        } else {
            stored.retain(|s| *s != subject);
        }
    }
}

/// Returns a subject that is refused and not stored, or the other way round, and whether it is refused.
fn next_difference(shared: &Shared, stored: &[Subject]) -> Option<(Subject, bool)> {
    let quarantine = shared.quarantine.borrow();
    let is_new = |s: &Subject| !stored.contains(s);
    if let Some(subject) = quarantine.subjects().find(is_new) {
        return Some((subject, true));
    }
    let is_over = |s: &&Subject| quarantine.subjects().all(|refused| refused != **s);
    stored.iter().find(is_over).map(|s| (*s, false))
}

/// Returns whether this instance is among those that write a verdict to the log.
fn is_writer(shared: &Shared, subject: Subject) -> bool {
    let (Subject::Segment(key) | Subject::Request(key)) = subject;
    shared.mesh.borrow().position(key) < WRITERS
}
