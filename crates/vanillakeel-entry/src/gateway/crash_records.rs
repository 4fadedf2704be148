//! Crashes that no verdict explains yet, on the log, for instances that start after all others have ended.
//!
//! A verdict needs several crashes. If all instances are killed between them, those that start find the crashes beside the
//! addresses of the instances, each with the suspects that no upstream had answered since. Two instances write
//! them for all.
//!
//! ```ignore
//! let outdated = crash_records::restore(shared, &entries);
//! crash_records::keep(shared, &log, outdated).await;
//! ```

use super::{
    crashes,
    log_adapter::{
        Entry,
        LogAdapter, //
    },
    log_writes,
    mesh_wire::{
        crashes_from_wire,
        crashes_to_wire, //
    },
    shared::Shared, //
};
use crate::time::wall_ms;
use bytes::Bytes;
use std::time::Duration;
use tokio::time::sleep;
use vanillakeel::{
    Millis,
    order,
    quarantine::{
        CrashReport,
        Evidence,
        SUSPECT_TTL_MS,
        Subject, //
    }, //
};
use vanillakeel_wire::{
    Message as _,
    generated::SavedCrashes, //
};

/// Start of the keys of records with crashes; the name of the instance that writes the record follows.
const KEY_PREFIX: &str = "crashes ";

/// Time between two checks for crashes, in ms: that in which all instances have told what ran at an upstream.
const CHECK_MS: u64 = 300;

/// Time between two writes that only take out what upstreams have answered, in ms.
const CLEARED_MS: u64 = 2_000;

/// Time after which a record is written again, in ms.
const REFRESH_MS: u64 = 60_000;

/// Age at which a record no longer counts beside the newest one, in ms: its writer has ended, or writes no more.
const OUTDATED_MS: u64 = REFRESH_MS + REFRESH_MS / 2;

/// Instances that write the crashes: one, and another if that one has ended.
const WRITERS: usize = 2;

/// Returns the records with crashes among the entries of instances.
pub(super) fn of_crashes(entries: &[Entry]) -> impl Iterator<Item = Entry> {
    let is_of_crashes = |e: &&Entry| e.key.starts_with(KEY_PREFIX);
    entries.iter().filter(is_of_crashes).cloned()
}

/// Takes over the crashes among the entries of the list of instances, apart from what is refused; returns the keys of records
/// that are outdated.
pub(super) fn restore(shared: &Shared, entries: &[Entry]) -> Vec<String> {
    let records: Vec<(&Entry, SavedCrashes)> = entries.iter().filter_map(decode).collect();
    let newest = records.iter().map(|(_, record)| record.saved_at).max();
    let newest = newest.unwrap_or(0);
    let is_valid = |record: &SavedCrashes| newest.saturating_sub(record.saved_at) < OUTDATED_MS;
    let now = shared.quarantine_now();
    for (entry, record) in records.iter().filter(|(_, record)| is_valid(record)) {
        let Some(wire) = &record.crashes else {
            continue;
        };
        let elapsed_ms = wall_ms().saturating_sub(record.saved_at);
        let mut evidence = crashes_from_wire(wire);
        let mut quarantine = shared.quarantine.borrow_mut();
        let refused: Vec<Subject> = quarantine.subjects().collect();
        for crash in &mut evidence.crashes {
            crash.age_ms += elapsed_ms;
            crash.suspects.retain(|s| !refused.contains(s));
        }
        evidence
            .crashes
            .retain(|c| c.age_ms < SUSPECT_TTL_MS && !c.suspects.is_empty());
        let changes = quarantine.on_evidence(now, &evidence);
        drop(quarantine);
        tracing::info!(
            key = entry.key,
            crashes = evidence.crashes.len(),
            "crashes restored"
        );
        crashes::log_changes(shared, &changes);
    }
    let is_over =
        |record: &SavedCrashes| wall_ms().saturating_sub(record.saved_at) >= SUSPECT_TTL_MS;
    let outdated = records.iter().filter(|(_, r)| !is_valid(r) || is_over(r));
    outdated.map(|(entry, _)| entry.key.clone()).collect()
}

/// Decodes a record with crashes; `None` for another entry, or one that can't be read.
fn decode(entry: &Entry) -> Option<(&Entry, SavedCrashes)> {
    if !entry.key.starts_with(KEY_PREFIX) {
        return None;
    }
    let record = SavedCrashes::decode(entry.value.as_deref()?);
    if record.is_err() {
        tracing::warn!(key = entry.key, "saved crashes can't be read");
    }
    Some((entry, record.ok()?))
}

/// What this instance has written.
#[derive(Debug, Default)]
struct Written {
    /// Crashes with their suspects.
    crashes: Vec<CrashReport>,
    at: Millis,
}

impl Written {
    /// Returns whether crashes have to be written: there are further ones, or the record has lost some or is old.
    fn lacks(&self, now: Millis, crashes: &[CrashReport]) -> bool {
        let age_ms = now.since(self.at);
        let known = |crash: &CrashReport| self.crashes.iter().find(|c| c.id == crash.id);
        let is_further = crashes.iter().any(|crash| {
            let suspects = known(crash).map_or(&[][..], |c| &c.suspects);
            crash.suspects.iter().any(|s| !suspects.contains(s))
        });
        let count =
            |crashes: &[CrashReport]| crashes.iter().map(|c| c.suspects.len()).sum::<usize>();
        let is_cleared = count(crashes) < count(&self.crashes) && age_ms >= CLEARED_MS;
        is_further || is_cleared || !crashes.is_empty() && age_ms >= REFRESH_MS
    }
}

/// Keeps the crashes on the log that no verdict explains, for as long as the process runs; deletes the records that are
/// `outdated`.
pub(super) async fn keep(shared: &Shared, log: &LogAdapter, outdated: Vec<String>) {
    for key in outdated {
        let entry = Entry { key, value: None };
        if is_writer(shared) {
            log_writes::write_if_served(shared, log, entry, "outdated crashes").await;
        }
    }
    let mut written = Written::default();
    loop {
        sleep(Duration::from_millis(CHECK_MS)).await;
        let now = shared.quarantine_now();
        let crashes = shared.quarantine.borrow().unanswered_crashes(now);
        if !written.lacks(now, &crashes) || !is_writer(shared) {
            continue;
        }
        let entry = Entry {
            key: format!("{KEY_PREFIX}{}", shared.mesh.borrow().me().name),
            value: encode(&crashes),
        };
        if log_writes::write_if_served(shared, log, entry, "crashes").await {
            written = Written { crashes, at: now };
        }
    }
}

fn is_writer(shared: &Shared) -> bool {
    shared.mesh.borrow().position(order::hash(KEY_PREFIX)) < WRITERS
}

/// Encodes crashes; `None` without any, which deletes the record.
fn encode(crashes: &[CrashReport]) -> Option<Bytes> {
    let evidence = Evidence {
        crashes: crashes.to_vec(),
        ..Evidence::default()
    };
    let record = SavedCrashes {
        saved_at: wall_ms(),
        crashes: Some(crashes_to_wire(&evidence)?),
    };
    Some(Bytes::from(record.encode_to_vec()))
}
