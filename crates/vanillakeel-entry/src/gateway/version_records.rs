//! Software versions on the log, for instances that start after all others have ended.
//!
//! A stream that no instance knows can go on while one version alone may have begun it. An instance that has just started
//! has not seen which versions served before; it finds them beside the addresses of the instances. A version is written
//! there before an instance that has read of it lets it begin streams, and deleted once no stream of it can live.
//!
//! ```ignore
//! version_records::restore(shared, read, &version_records::decode(&page.entries));
//! version_records::keep(shared, &log).await;
//! ```

use super::{
    log_adapter::{
        Entry,
        LogAdapter,
        ReadProgress,
        Topic, //
    },
    log_reads::{
        self,
        ReadRequest, //
    },
    log_writes,
    saved_streams,
    shared::Shared, //
};
use crate::time::wall_ms;
use bytes::Bytes;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::timeout;
use vanillakeel::{
    Millis,
    fleet::ListedUpstream,
    order,
    streams::{
        RecordsRead,
        VersionRecord, //
    },
};
use vanillakeel_wire::{
    Message as _,
    generated, //
};

/// Start of the keys of records of versions; a hash of service and version follows.
const KEY_PREFIX: &str = "software ";

/// Time between two checks for records that are missing or have expired, in ms.
const CHECK_MS: u64 = 300;

/// Instances that write or delete a record which the reader of a new version has not written: one, and another if that one
/// has ended.
const WRITERS: usize = 2;

/// Longest wait for the record of a new version, and for the streams that are saved before it serves, in ms.
const RECORD_DUE_MS: u64 = 300;

/// Returns the records of versions among the entries of instances.
pub(super) fn decode(entries: &[Entry]) -> Vec<VersionRecord> {
    let of_versions = entries.iter().filter(|e| e.key.starts_with(KEY_PREFIX));
    let records = of_versions.filter_map(|entry| {
        let value = entry.value.as_deref().unwrap_or_default();
        let record = generated::VersionRecord::decode(value);
        if record.is_err() {
            tracing::warn!(key = entry.key, "record of a version can't be read");
        }
        let record = record.ok()?;
        Some(VersionRecord {
            service: Arc::from(record.service),
            software: record.software.map(Arc::from),
            era: record.era,
            complete_since: record.complete_since,
        })
    });
    records.collect()
}

fn key_of(record: &VersionRecord) -> u64 {
    let software = record.software.as_deref().unwrap_or_default();
    order::hash(&format!("{}\0{software}", record.service))
}

fn encode(record: &VersionRecord) -> Entry {
    let value = generated::VersionRecord {
        service: record.service.to_string(),
        software: record.software.as_deref().map(str::to_owned),
        era: record.era,
        complete_since: record.complete_since,
    };
    Entry {
        key: format!("{KEY_PREFIX}{:016x}", key_of(record)),
        value: Some(Bytes::from(value.encode_to_vec())),
    }
}

/// Takes over the records of a complete read that was sent at `asked_at` in an era of the log.
pub(super) fn restore(shared: &Shared, asked_at: Millis, era: u64, records: &[VersionRecord]) {
    let elapsed_ms = shared.clock.now().since(asked_at);
    let read = RecordsRead {
        at: asked_at,
        wall_ms: wall_ms().saturating_sub(elapsed_ms),
        era,
        is_first_start: shared.settings.borrow().retries.first_start,
    };
    let mut served = shared.served_versions.borrow_mut();
    served.on_records(read, records);
    tracing::info!(
        versions = records.len(),
        recorded_since = served.recorded_since(),
        needs_records = served.needs_records(),
        "records of versions read"
    );
}

/// Waits for a read of the records, if this instance has not read them since it saw the list of upstreams first; returns
/// whether it has.
pub(super) async fn read(shared: &Shared) -> bool {
    if !shared.served_versions.borrow().needs_records() {
        return true;
    }
    let read = shared.version_records_read.notified();
    shared.wants_version_records.set(true);
    shared.check_version_records.notify_one();
    let due = Duration::from_millis(RECORD_DUE_MS);
    let is_read = timeout(due, read).await.is_ok();
    is_read && !shared.served_versions.borrow().needs_records()
}

/// Keeps the records of versions on the log, and reads them when a request needs them, for as long as the process runs.
pub(super) async fn keep(shared: &Shared, log: &LogAdapter) {
    loop {
        let check = shared.check_version_records.notified();
        let _ = timeout(Duration::from_millis(CHECK_MS), check).await;
        if shared.wants_version_records.take() {
            read_again(shared, log).await;
            shared.version_records_read.notify_waiters();
        }
        write_missing(shared, log).await;
        delete_expired(shared, log).await;
    }
}

async fn read_again(shared: &Shared, log: &LogAdapter) {
    let req = ReadRequest {
        topic: Topic::Peers,
        ..ReadRequest::default()
    };
    let answer = log_reads::read(shared.clock, log, req, &ReadProgress::default()).await;
    match answer.result {
        Ok(page) => {
            restore(shared, answer.asked_at, page.era, &decode(&page.entries));
        }
        Err(e) => {
            tracing::warn!(error = %e, "the records of versions could not be read from the log");
        }
    }
}

/// Writes the records that the log lacks.
async fn write_missing(shared: &Shared, log: &LogAdapter) {
    let era = shared.log_era();
    let missing = shared.served_versions.borrow().missing_records(era);
    for record in missing {
        let is_writer = shared.mesh.borrow().position(key_of(&record)) < WRITERS;
        if is_writer && !write(shared, log, &record).await {
            return;
        }
        let mut served = shared.served_versions.borrow_mut();
        served.on_record_written(&record);
    }
}

/// Deletes the records of versions of which no stream lives.
async fn delete_expired(shared: &Shared, log: &LogAdapter) {
    let Some(life_ms) = shared.stream_life_ms() else {
        return;
    };
    let now = shared.clock.now();
    let expired = shared
        .served_versions
        .borrow_mut()
        .take_expired(now, life_ms);
    for record in expired {
        let entry = Entry {
            value: None,
            ..encode(&record)
        };
        let is_writer = shared.mesh.borrow().position(key_of(&record)) < WRITERS;
        if is_writer {
            let what = "an expired record of a version";
            log_writes::write_if_served(shared, log, entry, what).await;
        }
    }
}

async fn write(shared: &Shared, log: &LogAdapter, record: &VersionRecord) -> bool {
    let what = "the record of a version";
    log_writes::write_if_served(shared, log, encode(record), what).await
}

/// Writes the versions that this instance reads of for the first time, before their upstreams are used.
///
/// An instance that has just started leaves this to [`keep`], since all that start with it read the same list. If a
/// record can't be written soon, the version serves without it.
pub(super) async fn record_new(
    shared: &Shared,
    log: &LogAdapter,
    listed: impl Iterator<Item = ListedUpstream>,
) {
    let now = shared.clock.now();
    let era = shared.log_era();
    let mut new = Vec::new();
    {
        let served = shared.served_versions.borrow();
        let Some(complete_since) = served.recorded_since() else {
            return;
        };
        for upstream in listed {
            if served.lacks_record(&upstream.service, upstream.software.as_deref(), era) {
                new.push(VersionRecord {
                    service: upstream.service,
                    software: upstream.software,
                    era,
                    complete_since,
                });
            }
        }
    }
    new.sort();
    new.dedup();
    if new.is_empty() {
        return;
    }
    let recorded = async {
        for record in &new {
            if write(shared, log, record).await {
                let mut served = shared.served_versions.borrow_mut();
                served.on_recorded(now, record);
            }
        }
        saved_streams::save_now(shared).await;
    };
    let due = Duration::from_millis(RECORD_DUE_MS);
    if timeout(due, recorded).await.is_err() {
        tracing::warn!(
            versions = new.len(),
            "new versions serve before they are recorded"
        );
    }
}
