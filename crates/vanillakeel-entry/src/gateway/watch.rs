//! Following the routing configuration and the upstreams on the log.

use super::{
    shared::Shared,
    source::{
        Entry,
        Page,
        ReadError,
        Source,
        Topic, //
    },
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
    routes::Table, //
};

/// Pause after a read that failed, in ms.
const RETRY_MS: u64 = 250;

/// Pause between two looks at whether a hub still tells what it reads, in ms.
const COVERED_PAUSE_MS: u64 = 200;

/// A hub's view of the upstreams may differ for this long before the log is read, in ms.
const DIFFERS_MS: u64 = 600;

/// Largest part of the upstreams whose entries are taken to be removed when they go at once, after
/// an outage of the log; a release or a crash takes fewer.
const MOST_REMOVED: f64 = 0.25;

/// Follows the configuration for as long as the process runs.
pub(super) async fn configuration(shared: Rc<Shared>, source: Source) {
    let mut dependency = Dependency::new("configuration");
    let mut next = None;
    loop {
        if next.is_some() && shared.mesh.borrow().is_covered(shared.clock.now()) {
            let pause = Duration::from_millis(COVERED_PAUSE_MS);
            if timeout(pause, shared.newer.notified()).await.is_err() {
                continue;
            }
            next = None;
        }
        let asked = shared.clock.now();
        let wait_ms = shared.settings.borrow().timing.configuration_wait_ms;
        let read = match next {
            None => newest(&source, Topic::Configuration).await,
            Some(from) => (source.tail)(Topic::Configuration, from, wait_ms).await,
        };
        dependency.on_read(&shared, &read);
        match read {
            Ok(page) => {
                next = Some(page.next);
                take_configuration(&shared, &source, &page);
                shared.in_force.borrow_mut().confirm_newest(asked);
            }
            Err(ReadError::Compacted) => next = None,
            Err(_) => sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }
}

fn take_configuration(shared: &Shared, source: &Source, page: &Page) {
    let is_configuration = |e: &&Entry| e.key == source.configuration_key;
    for entry in page.entries.iter().filter(is_configuration) {
        let Some(value) = &entry.value else {
            continue;
        };
        match (source.configuration)(value) {
            Ok(parts) => {
                let version = parts.version;
                let is_new = shared.in_force.borrow_mut().install(Table::new(parts));
                if is_new {
                    shared.metrics.version.set(version.cast_signed());
                    tracing::info!(version, "configuration in force");
                }
            }
            Err(e) => tracing::error!(error = %e, "configuration can't be read; the old one stays"),
        }
    }
}

/// Newest records of all keys, with the offset to read on from.
async fn newest(source: &Source, topic: Topic) -> Result<Page, ReadError> {
    let mut all = (source.newest)(topic, None).await?;
    // Records that are written while pages are read stand after the first page's end.
    while let Some(after) = all.more_after.take() {
        let page = (source.newest)(topic, Some(after)).await?;
        all.entries.extend(page.entries);
        all.more_after = page.more_after;
    }
    Ok(all)
}

/// Follows the upstreams for as long as the process runs.
pub(super) async fn upstreams(shared: Rc<Shared>, source: Source) {
    let mut dependency = Dependency::new("upstreams");
    let mut missing = Missing::default();
    let mut next = None;
    loop {
        let timing = shared.settings.borrow().timing;
        if next.is_some() && is_told(&shared) {
            sleep(Duration::from_millis(COVERED_PAUSE_MS)).await;
            sweep(&shared);
            continue;
        }
        let read = match next {
            None => newest(&source, Topic::Upstreams).await,
            Some(from) => (source.tail)(Topic::Upstreams, from, 0).await,
        };
        dependency.on_read(&shared, &read);
        let now = shared.clock.now();
        let pause_ms = match read {
            Ok(page) => {
                if dependency.was_lost {
                    missing.wait_until = now.plus(timing.relisted_ms);
                    dependency.was_lost = false;
                }
                if next.is_none() {
                    missing.note_unlisted(&shared, &page);
                }
                next = Some(page.next);
                shared.upstreams_read.set(Some(now));
                shared.differs_since.set(None);
                take_upstreams(&shared, &source, &page, &mut missing);
                missing.drop_due(&shared, now);
                timing.discovery_every_ms
            }
            Err(ReadError::Compacted) => {
                next = None;
                0
            }
            Err(_) => RETRY_MS,
        };
        sweep(&shared);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn take_upstreams(shared: &Shared, source: &Source, page: &Page, missing: &mut Missing) {
    let mut has_changed = false;
    for entry in &page.entries {
        let Some(value) = &entry.value else {
            missing.note(&entry.key);
            continue;
        };
        match (source.upstream)(&entry.key, value) {
            Ok(listed) => {
                missing.forget(&entry.key);
                has_changed |= shared.on_listed(&listed);
            }
            Err(e) => {
                tracing::warn!(upstream = entry.key, error = %e, "entry of an upstream skipped");
            }
        }
    }
    if has_changed {
        shared.fleet_changed.notify_waiters();
    }
}

/// Whether a hub tells the upstreams and its view is the same as here.
fn is_told(shared: &Shared) -> bool {
    let now = shared.clock.now();
    let differs = shared.differs_since.get();
    let is_same = differs.is_none_or(|since| now.since(since) < DIFFERS_MS);
    is_same && shared.mesh.borrow().is_covered(now)
}

fn sweep(shared: &Shared) {
    let now = shared.clock.now();
    let fleet = shared.fleet.borrow();
    let mut sockets = shared.sockets.borrow_mut();
    sockets.close_expired(now, |name, incarnation| fleet.is_live(name, incarnation));
    let count = i64::try_from(fleet.iter().count()).unwrap_or(i64::MAX);
    shared.metrics.upstreams.set(count);
}

/// Upstreams whose entry is gone.
///
/// After an outage of the log entries may only have lapsed, many at once, so they are not dropped
/// before live upstreams had the time to be listed again. A few that are gone were removed.
#[derive(Debug, Default)]
struct Missing {
    names: Vec<Arc<str>>,
    wait_until: Millis,
    /// Whether many were missing at once since the outage.
    have_lapsed: bool,
}

impl Missing {
    fn note(&mut self, name: &str) {
        if let Err(at) = self.names.binary_search_by(|n| (**n).cmp(name)) {
            self.names.insert(at, Arc::from(name));
        }
    }

    fn forget(&mut self, name: &str) {
        if let Ok(at) = self.names.binary_search_by(|n| (**n).cmp(name)) {
            self.names.remove(at);
        }
    }

    /// Notes all upstreams that a whole list does not show.
    fn note_unlisted(&mut self, shared: &Shared, page: &Page) {
        let mut listed: Vec<&str> = page.entries.iter().map(|e| &*e.key).collect();
        listed.sort_unstable();
        for upstream in shared.fleet.borrow().iter() {
            if listed.binary_search(&&*upstream.name).is_err() {
                self.note(&upstream.name);
            }
        }
    }

    fn drop_due(&mut self, shared: &Shared, now: Millis) {
        let known = shared.fleet.borrow().iter().count();
        let is_many = self.names.len() as f64 > known as f64 * MOST_REMOVED;
        let may_lapse = now < self.wait_until;
        self.have_lapsed = may_lapse && (self.have_lapsed || is_many);
        if self.have_lapsed {
            return;
        }
        for name in self.names.drain(..) {
            shared.on_gone(&name);
        }
    }
}

/// Whether a topic can be read.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    is_lost: bool,
    /// Whether it was lost since this was last cleared.
    was_lost: bool,
}

impl Dependency {
    const fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: false,
            was_lost: false,
        }
    }

    fn on_read(&mut self, shared: &Shared, read: &Result<Page, ReadError>) {
        let error = match read {
            Ok(_) | Err(ReadError::Compacted) => None,
            Err(e) => Some(e),
        };
        if let Some(e) = error {
            shared.metrics.source_errors.inc();
            if !self.is_lost {
                tracing::warn!(topic = self.name, error = %e, "log lost");
            }
            self.was_lost = true;
        } else if self.is_lost {
            tracing::info!(topic = self.name, "log regained");
        }
        self.is_lost = error.is_some();
    }
}
