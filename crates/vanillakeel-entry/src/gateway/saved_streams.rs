//! Streams on the log, for instances that start while all that know them are stopping.
//!
//! An instance that stops hands its streams over to those that stay. If all others are stopping, too, or have just
//! started, it saves the streams beside the addresses of the instances, which each one reads at its start. While several
//! software versions serve, a few instances save all streams in short intervals, for the case that all instances are
//! killed; as long as one version serves, its [record](super::version_records) is enough.
//!
//! ```ignore
//! let expired = saved_streams::restore(shared, &page.entries);
//! saved_streams::keep(shared, &log).await;
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
use std::{
    collections::VecDeque,
    time::Duration, //
};
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

/// Time between two writes of the streams that begin while several versions serve, in ms.
const SAVE_EVERY_MS: u64 = 200;

/// Time for which a record is written again with the streams that begin, in ms.
const OPEN_RECORD_MS: u64 = 2_000;

/// Instances that save the streams while several versions serve: some may be cut off from the log or end.
const SAVERS: usize = 3;

/// Key by which these instances are chosen.
const SAVERS_KEY: u64 = 0;

/// Returns whether an instance stays that knows the streams, as this one begins to stop.
pub(super) fn has_successor(shared: &Shared, now: Millis) -> bool {
    let mesh = shared.mesh.borrow();
    let joined_at = shared.peer_joined_at.get();
    // Among many instances most are neither starting nor stopping.
    let is_joining =
        mesh.are_all_keepers() && joined_at.is_some_and(|at| now.since(at) < JOINING_MS);
    mesh.has_live_peer(now) && !is_joining
}

/// Waits until the streams that are known now are saved, if several versions serve.
pub(super) async fn save_now(shared: &Shared) {
    if !shared.has_several_versions() {
        return;
    }
    let saved = shared.streams_saved.notified();
    shared.save_streams.notify_one();
    saved.await;
}

/// Saves the streams while several versions serve, for as long as the process runs.
pub(super) async fn keep(shared: &Shared, log: &LogAdapter) {
    let mut saved = RepeatedSave::default();
    loop {
        let requested = shared.save_streams.notified();
        let pause = Duration::from_millis(SAVE_EVERY_MS);
        let is_requested = timeout(pause, requested).await.is_ok();
        let is_saver = || shared.mesh.borrow().position(SAVERS_KEY) < SAVERS;
        if is_requested || shared.has_several_versions() && is_saver() {
            saved.save_new(shared, log).await;
            shared.streams_saved.notify_waiters();
        } else {
            saved.forget_position(shared);
        }
    }
}

/// The records that an instance writes again and again while several versions serve.
#[derive(Debug, Default)]
struct RepeatedSave {
    /// The record that the next streams go into, unless others have saved streams since.
    open: Option<OpenRecord>,
    /// Records that are full, with the times at which their streams are forgotten, in the order of these times.
    full: VecDeque<(u32, Millis)>,
    /// Records that were begun.
    begun: u32,
}

/// A record that is written again with further streams.
#[derive(Clone, Copy, Debug)]
struct OpenRecord {
    /// Part of its key.
    number: u32,
    opened_at: Millis,
    /// Number of its first stream.
    first: u64,
    /// Number of the first stream that is not saved.
    unsaved: u64,
}

impl RepeatedSave {
    /// Forgets what is saved, since others save the streams that begin.
    fn forget_position(&mut self, shared: &Shared) {
        if let Some(open) = self.open.take() {
            let remembered_ms = shared.begun_streams.borrow().remembered_ms();
            let forgotten_at = shared.clock.now().plus(remembered_ms);
            self.full.push_back((open.number, forgotten_at));
        }
    }

    /// Saves the streams that are not saved yet, all if this instance has saved none lately.
    async fn save_new(&mut self, shared: &Shared, log: &LogAdapter) {
        loop {
            let now = shared.clock.now();
            let open = self.open.unwrap_or_else(|| self.begin(now, 0));
            self.open = Some(open);
            let Some(record) = OpenContent::of(shared, now, open) else {
                return;
            };
            let (name, start) = (
                shared.mesh.borrow().me().name.clone(),
                shared.spread.borrow().log(),
            );
            let entry = Entry {
                key: format!("{KEY_PREFIX}{name} {start:x}-{}", open.number),
                value: Some(record.value),
            };
            if record.new_streams > 0 {
                if !log_writes::write_if_served(shared, log, entry, "streams").await {
                    return;
                }
                let new_streams = record.new_streams as u64;
                shared.metrics.saved_streams.inc_by(new_streams);
            }
            let is_full = record.is_full || now.since(open.opened_at) >= OPEN_RECORD_MS;
            self.open = Some(if is_full {
                let forgotten_at = now.plus(record.remembered_ms);
                self.full.push_back((open.number, forgotten_at));
                self.begin(now, record.next)
            } else {
                OpenRecord {
                    unsaved: record.next,
                    ..open
                }
            });
        }
    }

    /// Begins a record; one whose streams are forgotten is used again.
    fn begin(&mut self, now: Millis, first: u64) -> OpenRecord {
        let is_over = |(_, until): &(u32, Millis)| now >= *until;
        let number = if self.full.front().is_some_and(is_over) {
            self.full.pop_front().map(|(number, _)| number)
        } else {
            None
        };
        let number = number.unwrap_or_else(|| {
            self.begun += 1;
            self.begun
        });
        OpenRecord {
            number,
            opened_at: now,
            first,
            unsaved: first,
        }
    }
}

/// What is written to an open record.
struct OpenContent {
    value: Bytes,
    /// Number of streams that were not written before.
    new_streams: usize,
    /// Number after the last stream that the record covers.
    next: u64,
    /// Whether further streams need another record.
    is_full: bool,
    remembered_ms: u64,
}

impl OpenContent {
    /// Returns the content of a record, or `None` if all streams are saved.
    fn of(shared: &Shared, now: Millis, open: OpenRecord) -> Option<Self> {
        let begun = shared.begun_streams.borrow();
        if open.unsaved >= begun.end() {
            return None;
        }
        let (streams, after) = begun.passed_from(now, open.first, MAX_STREAMS_PER_RECORD);
        let (new_streams, _) = begun.passed_from(now, open.unsaved, MAX_STREAMS_PER_RECORD);
        Some(Self {
            value: encode(&streams, begun.remembered_ms()),
            new_streams: new_streams.len().min(streams.len()),
            next: after,
            is_full: after < begun.end(),
            remembered_ms: begun.remembered_ms(),
        })
    }
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
        // Several instances may have saved the same streams.
        let added = begun.restore(now, &streams);
        shared.metrics.restored_streams.inc_by(added as u64);
        tracing::info!(
            key = entry.key,
            streams = streams.len(),
            added,
            "streams restored"
        );
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
