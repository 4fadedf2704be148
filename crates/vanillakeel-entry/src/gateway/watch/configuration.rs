//! Follows the routing configuration on the log.
//!
//! A version is confirmed as the newest by each read that reaches the end of the log, unless the log
//! shows only older ones or the newest one can't be decoded.

use super::{
    super::{
        key_records,
        log_adapter::{
            Entry,
            LogAdapter,
            Page,
            Position,
            ReadError,
            ReadProgress,
            Topic, //
        },
        log_reads::{
            self,
            ReadRequest, //
        },
        shared::Shared,
        texts,
    },
    COVERED_POLL_MS,
    RETRY_PAUSE_MS,
    TopicStatus,
    is_usable,
    position_after, //
};
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::time::{
    sleep,
    timeout, //
};
use vanillakeel::{
    Millis,
    routes::{
        NewestRead,
        Table, //
    },
};

/// Where the text of a version comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Log,
    /// Another instance, which has recorded the keys of the version.
    Hub,
}

/// Pause of an instance that knows a hub between two own reads, in ms.
const HUB_WAIT_MS: u64 = 500;

/// Follows the routing configuration for as long as the process runs.
pub(in super::super) async fn follow_configuration(shared: Rc<Shared>, log: LogAdapter) {
    let mut status = TopicStatus::new("configuration");
    let me = Arc::clone(&shared.mesh.borrow().me().name);
    let mut position: Option<Position> = None;
    let mut newest = NewestRead::default();
    loop {
        position = position.filter(|p| p.era == shared.log_era());
        let mut is_announced = false;
        let is_behind = || {
            let now = shared.clock.now();
            shared.in_force.borrow().superseded_by(now).is_some()
        };
        if position.is_some() && is_confirmed_by_hub(&shared) && !is_behind() {
            let pause = Duration::from_millis(COVERED_POLL_MS);
            let announced = timeout(pause, shared.newer_version.notified()).await;
            if announced.is_err() {
                continue;
            }
            is_announced = true;
        }
        let asked_at = shared.clock.now();
        if let Some(text) = texts::fetch(&shared).await {
            let installed = install(&shared, &log, &text, asked_at, Source::Hub).await;
            if position.is_some() && installed.is_ok() && !is_behind() {
                continue;
            }
        }
        let is_retry = status.is_lost();
        let timing = shared.settings.borrow().timing;
        let req = ReadRequest {
            topic: Topic::Configuration,
            from: position.map(|p| p.offset),
            wait_ms: if is_retry || position.is_none() || is_announced {
                0
            } else {
                timing.configuration_read_wait_ms()
            },
            is_retry,
        };
        let progress = ReadProgress::default();
        let answer = tokio::select! {
            answer = log_reads::read(shared.clock, &log, req, &progress) => answer,
            // Another instance has a newer version: the read that waits for it here may be on a dead
            // connection.
            () = announced_before_answer(&shared, &progress), if position.is_some() => {
                position = None;
                continue;
            }
            () = shared.era_risen.notified(), if position.is_some() => continue,
        };
        if answer.shows_unreachable_log(shared.clock.now(), timing.store_answer_ms) {
            shared.on_read_failed(answer.asked_at);
        }
        status.on_read(&shared, &answer);
        let asked_at = answer.asked_at;
        match answer.result {
            Ok(page) if !is_usable(&shared, &page, position) => {
                // The newest records are read next, but not in a busy loop.
                if position.take().is_none() {
                    sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                }
            }
            Ok(page) => {
                let next = position_after(&page);
                let has_progress = position.replace(next) != Some(next);
                let last = apply_configuration(&shared, &log, &page, asked_at).await;
                newest.on_read(page.era, last);
                let newest_known = shared.in_force.borrow().newest_known(asked_at);
                if !newest.shows(newest_known) {
                    shared.on_read_failed(asked_at);
                } else if page.is_up_to_date {
                    shared.confirm_newest(asked_at, &me);
                    wait_for_hub(&shared).await;
                }
                if !page.is_up_to_date && !has_progress {
                    position = None;
                    sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                }
            }
            Err(ReadError::Compacted) => position = None,
            Err(e) => {
                if matches!(e, ReadError::Malformed(_)) {
                    // The newest records are read next, which go past the one that can't be read.
                    position = None;
                }
                // A newer version shows that the log serves others.
                tokio::select! {
                    () = shared.log_access.wait_to_ask(shared.clock, 0) => {}
                    () = shared.newer_version.notified() => {}
                }
            }
        }
    }
}

/// Waits a short time for a hub to cover this instance, if it knows one, before it reads the log again itself.
async fn wait_for_hub(shared: &Shared) {
    let now = shared.clock.now();
    let may_be_covered = {
        let mesh = shared.mesh.borrow();
        mesh.hub(now).is_some() && !mesh.is_hub(now) && !mesh.reads_for_hub(now)
    };
    if may_be_covered && shared.in_force.borrow().table().is_some() {
        let pause = Duration::from_millis(HUB_WAIT_MS);
        let _ = timeout(pause, shared.newer_version.notified()).await;
    }
}

/// Waits until a newer version is announced while nothing of the answer to a read has arrived.
///
/// An answer that has begun to arrive brings that version or one before it.
async fn announced_before_answer(shared: &Shared, progress: &ReadProgress) {
    loop {
        shared.newer_version.notified().await;
        if progress.bytes() == 0 {
            return;
        }
    }
}

/// Returns whether a hub covers this instance and has recently confirmed the version in force.
///
/// The age of the confirmation is the one known here: a hub may confirm another version or none.
fn is_confirmed_by_hub(shared: &Shared) -> bool {
    let now = shared.clock.now();
    let max_age_ms = shared.settings.borrow().timing.hub_confirmation_ms();
    let age_ms = shared.in_force.borrow().confirmation_age_ms(now);
    age_ms.is_some_and(|age| age < max_age_ms) && shared.mesh.borrow().is_covered(now)
}

/// Puts the configurations of a page in force if they are newer than the present one; returns the
/// version of the last of them, an error if it could not be decoded, or `None` if there is none.
async fn apply_configuration(
    shared: &Shared,
    log: &LogAdapter,
    page: &Page,
    asked_at: Millis,
) -> Option<Result<u64, ()>> {
    let mut last = None;
    let is_configuration = |e: &&Entry| e.key == log.configuration_key;
    for entry in page.entries.iter().filter(is_configuration) {
        let Some(value) = &entry.value else {
            continue;
        };
        last = Some(install(shared, log, value, asked_at, Source::Log).await);
    }
    last
}

/// Puts a configuration in force if it is newer than the present one; returns its version, or an error if it can't be
/// decoded.
async fn install(
    shared: &Shared,
    log: &LogAdapter,
    text: &[u8],
    asked_at: Millis,
    source: Source,
) -> Result<u64, ()> {
    let spec = (log.decode_configuration)(text).map_err(|e| {
        tracing::error!(error = %e, "configuration can't be read; the old one stays");
    })?;
    let version = spec.version;
    let previous = shared.in_force.borrow().table().map(|t| t.version());
    // Another instance has recorded the keys of what it passes on.
    let needs_keys = source == Source::Log || spec.workspaces.is_none();
    if needs_keys && previous.is_none_or(|previous| version > previous) {
        key_records::before_install(shared, log, &spec).await;
    }
    let is_newer = shared.in_force.borrow_mut().install(Table::new(spec));
    if is_newer {
        texts::keep(shared, version, text);
        let now = shared.clock.now();
        let announced = shared.in_force.borrow().announced();
        let announced = announced.filter(|(v, _)| *v <= version);
        shared.metrics.version.set(version.cast_signed());
        shared.on_stream_life_changed();
        tracing::info!(
            version,
            previous,
            read_ms = now.since(asked_at),
            announced_ms = announced.map(|(_, at)| now.since(at)),
            "configuration in force"
        );
    }
    Ok(version)
}
