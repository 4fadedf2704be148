//! Streams on the log, for instances that start while all that know them are stopping.
//!
//! An instance that stops hands its streams over to those that stay. If all others are stopping, too, or have just
//! started, it saves the streams beside the addresses of the instances, which each one reads at its start.
//!
//! ```ignore
//! let expired = saved_streams::restore(shared, &page.entries);
//! saved_streams::save(shared, &log, saved_streams::has_successor(shared, now)).await;
//! ```

use super::{
    log_adapter::{
        Entry,
        LogAdapter, //
    },
    log_writes,
    passed_streams,
    shared::Shared, //
};
use crate::time::wall_ms;
use bytes::Bytes;
use std::time::Duration;
use tokio::time::timeout;
use vanillakeel::{
    Millis,
    order,
    streams::PassedStream, //
};
use vanillakeel_wire::{
    Message as _,
    generated::{
        MeshPassedStreams,
        SavedStreams, //
    },
};

/// Start of the keys of records with streams; the name of the instance and a number follow.
const KEY_PREFIX: &str = "streams ";

/// Most streams in a record; each takes about 12 bytes.
const MAX_STREAMS_PER_RECORD: usize = 4_096;

/// Time between two checks for streams that have to be saved, in ms.
const CHECK_MS: u64 = 250;

/// Time after its start in which a peer may not have got the streams of the others yet, in ms.
const JOINING_MS: u64 = 2_000;

/// Time by which other tasks go first when the log is asked again after a failure, in ms.
const ASK_DELAY_MS: u64 = 100;

/// Instances that delete an expired record: one, and another if that one has ended.
const CLEANERS: usize = 2;

/// Returns whether an instance stays that knows the streams, as this one begins to stop.
pub(super) fn has_successor(shared: &Shared, now: Millis) -> bool {
    let mesh = shared.mesh.borrow();
    let joined_at = shared.peer_joined_at.get();
    // Among many instances most are neither starting nor stopping.
    let is_joining =
        mesh.are_all_keepers() && joined_at.is_some_and(|at| now.since(at) < JOINING_MS);
    mesh.has_live_peer(now) && !is_joining
}

/// Streams that have to be saved, as the records of [`BegunStreams`](vanillakeel::streams::BegunStreams) are numbered.
struct Unsaved {
    /// Number of the first one.
    from: u64,
    /// Number after the last one that is saved also if other instances are known.
    all_before: u64,
}

/// Saves the streams that no other instance keeps, for as long as the process runs: all that are known now if there
/// is no successor, and those that begin while no other instance stays.
pub(super) async fn save(shared: &Shared, log: &LogAdapter, has_successor: bool) {
    let end = shared.begun_streams.borrow().end();
    let mut unsaved = Unsaved {
        from: if has_successor { end } else { 0 },
        all_before: end,
    };
    let mut number = 0;
    loop {
        let exiting = shared.exiting.notified();
        let Some(record) = next_record(shared, &mut unsaved) else {
            let _ = timeout(Duration::from_millis(CHECK_MS), exiting).await;
            continue;
        };
        let name = shared.mesh.borrow().me().name.to_string();
        let entry = Entry {
            key: format!("{KEY_PREFIX}{name} {number}"),
            value: Some(record.value),
        };
        while !log_writes::write(shared, log, entry.clone(), "streams", ASK_DELAY_MS).await {}
        shared.metrics.saved_streams.inc_by(record.streams as u64);
        tracing::info!(streams = record.streams, number, "streams saved");
        unsaved.from = record.next;
        number += 1;
    }
}

/// A record with streams to save.
struct Record {
    value: Bytes,
    /// Number of streams in it.
    streams: usize,
    /// Number after the last stream that it covers.
    next: u64,
}

/// Returns the next record with streams to save, or `None` if there are none.
fn next_record(shared: &Shared, unsaved: &mut Unsaved) -> Option<Record> {
    let begun = shared.begun_streams.borrow();
    // The instances that stay are told of each stream that begins.
    if unsaved.from >= unsaved.all_before && !shared.mesh.borrow().is_empty() {
        unsaved.from = begun.end();
    }
    let now = shared.clock.now();
    let (streams, next) = begun.passed_from(now, unsaved.from, MAX_STREAMS_PER_RECORD);
    (!streams.is_empty()).then(|| Record {
        value: encode(&streams, begun.remembered_ms()),
        streams: streams.len(),
        next,
    })
}

fn encode(streams: &[PassedStream], remembered_ms: u64) -> Bytes {
    let mut lists = MeshPassedStreams::default();
    passed_streams::add_streams(&mut lists, streams);
    let saved = SavedStreams {
        saved_at: wall_ms(),
        remembered: remembered_ms,
        streams: Some(lists),
    };
    Bytes::from(saved.encode_to_vec())
}

/// Takes over the streams among the entries of instances; returns the keys of the records that have expired.
pub(super) fn restore(shared: &Shared, entries: &[Entry]) -> Vec<String> {
    let now = shared.clock.now();
    let mut expired = Vec::new();
    let saved = entries.iter().filter(|e| e.key.starts_with(KEY_PREFIX));
    for entry in saved {
        let value = entry.value.as_deref().unwrap_or_default();
        let Ok(saved) = SavedStreams::decode(value) else {
            tracing::warn!(key = entry.key, "saved streams can't be read");
            continue;
        };
        let elapsed_ms = wall_ms().saturating_sub(saved.saved_at);
        let mut streams = passed_streams::streams_of(&saved.streams.unwrap_or_default());
        for stream in &mut streams {
            stream.age_ms += elapsed_ms;
        }
        streams.retain(|stream| stream.age_ms < saved.remembered);
        if streams.is_empty() {
            expired.push(entry.key.clone());
            continue;
        }
        let mut begun = shared.begun_streams.borrow_mut();
        // The configuration that gives this time may not have been read yet.
        if begun.remembered_ms() < saved.remembered {
            begun.set_remembered(saved.remembered);
        }
        begun.restore(now, &streams);
        shared.metrics.restored_streams.inc_by(streams.len() as u64);
        tracing::info!(key = entry.key, streams = streams.len(), "streams restored");
    }
    expired
}

/// Deletes records that have expired.
pub(super) async fn delete(shared: &Shared, log: &LogAdapter, expired: Vec<String>) {
    for key in expired {
        let is_cleaner = shared.mesh.borrow().position(order::hash(&key)) < CLEANERS;
        let entry = Entry { key, value: None };
        if is_cleaner {
            let what = "expired streams";
            while !log_writes::write(shared, log, entry.clone(), what, ASK_DELAY_MS).await {}
        }
    }
}
