//! Digests of the keys that versions of the configuration have held, on the log.
//!
//! A version without a list of workspaces needs no keys, and an instance that starts with it can't tell a key that was taken
//! away from any other. It reads the record before it puts the version in force; until it has, requests that bring an
//! `Authorization` header are refused as not run. An instance that reads a version with keys that the record lacks adds
//! them before the version is in force.
//!
//! The record has a topic of its own and is written only at the offset up to which it was read, so that none of several
//! writers overwrites the keys of another one.
//!
//! ```ignore
//! key_records::before_install(shared, &log, &spec).await;
//! key_records::keep(Rc::clone(&shared), log).await;
//! ```

use super::{
    lines::Kind,
    log_adapter::{
        Appended,
        Entry,
        LogAdapter,
        Position,
        ReadError,
        ReadProgress,
        Topic, //
    },
    log_reads::{
        self,
        ReadRequest, //
    },
    shared::Shared, //
};
use bytes::Bytes;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};
use tokio::time::{
    sleep,
    timeout, //
};
use vanillakeel::{
    order,
    routes::{
        KeyHistory,
        TableSpec, //
    },
};
use vanillakeel_wire::{
    Message as _,
    generated::KeyRecord, //
};

/// Key of the record.
const RECORD_KEY: &str = "held";

/// Longest time for which a version waits for the record, in ms; a version without a list of workspaces may be in force
/// before it is read, one with new keys before they are written.
const RECORD_DUE_MS: u64 = 300;

/// Time between two checks of the record, in ms.
const CHECK_MS: u64 = 300;

/// Instances that write what the reader of a version has not written: one, and another if that one has ended.
const WRITERS: usize = 2;

/// Most tries to write at the end of the topic while other instances write as well.
const MAX_TRIES: u32 = 5;

/// What the log is known to hold.
#[derive(Debug, Default)]
pub(super) struct RecordedKeys {
    /// Position up to which the record was read or written.
    position: Cell<Option<Position>>,
    history: RefCell<KeyHistory>,
    /// Whether this instance has to write although others do so first.
    is_due: Cell<bool>,
}

/// Reads the record if a version needs it, and adds the keys that it lacks, before the version is put in force: those of
/// the version, and those of the one that it replaces.
///
/// An instance that has just started leaves the keys of its first version to [`keep`].
pub(super) async fn before_install(shared: &Shared, log: &LogAdapter, spec: &TableSpec) {
    let is_read = shared.in_force.borrow().knows_earlier_keys();
    let needs_read = spec.workspaces.is_none() && !is_read;
    let is_first = shared.in_force.borrow().table().is_none();
    let mut history = shared.in_force.borrow().key_history().clone();
    if let Some(workspaces) = &spec.workspaces {
        history.add(workspaces.iter().flat_map(|w| &w.keys).map(|key| &**key));
    }
    let is_recorded = shared.recorded_keys.history.borrow().covers(&history);
    let needs_write = !is_first && !is_recorded;
    let prepared = async {
        (!needs_read || read(shared, log).await)
            && (!needs_write || write(shared, log, &history).await)
    };
    let is_prepared = timeout(Duration::from_millis(RECORD_DUE_MS), prepared).await;
    if is_prepared != Ok(true) {
        if needs_write {
            shared.recorded_keys.is_due.set(true);
        }
        tracing::warn!(
            version = spec.version,
            needs_read,
            needs_write,
            "a version is in force before its keys are recorded"
        );
    }
}

/// Keeps the record complete, and reads it if that has failed before, for as long as the process runs.
pub(super) async fn keep(shared: Rc<Shared>, log: LogAdapter) {
    if shared.settings.borrow().retries.first_start {
        // No earlier version was in force.
        let none = KeyHistory::default();
        shared.in_force.borrow_mut().on_earlier_keys(&none);
    }
    loop {
        // The reads of the configuration find out when the log serves this instance again.
        if !shared.log_access.is_failing() {
            update(&shared, &log).await;
        }
        sleep(Duration::from_millis(CHECK_MS)).await;
    }
}

/// Reads the record unless it is known, and adds what it lacks.
async fn update(shared: &Shared, log: &LogAdapter) {
    let is_known = shared.in_force.borrow().knows_earlier_keys();
    let is_read = is_known || read(shared, log).await;
    if is_read && is_writer(shared) && lacks_keys(shared) {
        let history = shared.in_force.borrow().key_history().clone();
        write(shared, log, &history).await;
    }
}

/// Returns whether this instance writes what others have not written.
fn is_writer(shared: &Shared) -> bool {
    let has_peers = shared.settings.borrow().listen.peers.is_some();
    let mesh = shared.mesh.borrow();
    let is_first = || mesh.position(order::hash(RECORD_KEY)) < WRITERS;
    shared.recorded_keys.is_due.get() || !has_peers || mesh.has_list() && is_first()
}

/// Returns whether the log lacks keys that this instance knows, as far as is known.
fn lacks_keys(shared: &Shared) -> bool {
    let recorded = &shared.recorded_keys;
    let in_force = shared.in_force.borrow();
    // In a later era the log may have lost the record.
    let era = recorded.position.get().map(|p| p.era);
    let is_of_era = era.is_none() || era == Some(shared.log_era());
    let history = in_force.key_history();
    history.has_used_keys() && !(is_of_era && recorded.history.borrow().covers(history))
}

/// Reads the record and adds its keys to those that are known; returns whether that has succeeded.
async fn read(shared: &Shared, log: &LogAdapter) -> bool {
    let req = ReadRequest {
        topic: Topic::Keys,
        ..ReadRequest::default()
    };
    let answer = log_reads::read(shared.clock, log, req, &ReadProgress::default()).await;
    let page = match answer.result {
        Ok(page) => page,
        Err(e) => {
            tracing::warn!(error = %e, "the keys of earlier versions could not be read from the log");
            return false;
        }
    };
    let record = page.entries.iter().find(|e| e.key == RECORD_KEY);
    let value = record.and_then(|e| e.value.as_deref()).unwrap_or_default();
    let history = match KeyRecord::decode(value) {
        Ok(wire) => KeyHistory::from_record(&wire.digests, wire.has_used_keys),
        // What it held is not known, so that no key may count as harmless.
        Err(e) => {
            if shared.may_log(Kind::Failure) {
                tracing::error!(error = %e, "the record of earlier keys can't be read");
            }
            return false;
        }
    };
    shared.in_force.borrow_mut().on_earlier_keys(&history);
    on_recorded(shared, page.era, page.next_offset, history);
    true
}

fn on_recorded(shared: &Shared, era: u64, offset: u64, history: KeyHistory) {
    let recorded = &shared.recorded_keys;
    recorded.position.set(Some(Position { era, offset }));
    recorded.history.replace(history);
}

/// Adds keys to the record; returns whether the log holds them.
async fn write(shared: &Shared, log: &LogAdapter, keys: &KeyHistory) -> bool {
    for _ in 0..MAX_TRIES {
        let position = shared.recorded_keys.position.get();
        let Some(position) = position.filter(|p| p.era == shared.log_era()) else {
            if !read(shared, log).await {
                return false;
            }
            continue;
        };
        let mut history = shared.recorded_keys.history.borrow().clone();
        if history.covers(keys) {
            shared.recorded_keys.is_due.set(false);
            return true;
        }
        history.merge(keys);
        match append(log, position, &history).await {
            Ok(Appended::Done {
                era, end_offset, ..
            }) => {
                tracing::info!(keys = history.len(), "keys recorded");
                on_recorded(shared, era, end_offset, history);
            }
            // Another instance has written.
            Ok(Appended::Moved { .. }) => shared.recorded_keys.position.set(None),
            Err(e) => {
                shared.recorded_keys.position.set(None);
                tracing::warn!(error = %e, "keys could not be written to the log");
                return false;
            }
        }
    }
    false
}

async fn append(
    log: &LogAdapter,
    position: Position,
    history: &KeyHistory,
) -> Result<Appended, ReadError> {
    let record = KeyRecord {
        has_used_keys: history.has_used_keys(),
        digests: history.digests(),
    };
    let entry = Entry {
        key: RECORD_KEY.to_owned(),
        value: Some(Bytes::from(record.encode_to_vec())),
    };
    (log.append_at)(Topic::Keys, position.offset, vec![entry]).await
}
