//! Tasks that follow the routing configuration and the list of upstreams on the log.
//!
//! Each task first reads the newest record of every key, then the records that follow. Later, while a
//! hub reads the log for this instance and announces the results (the instance is covered), the tasks
//! read the log only if the hub has a newer configuration or knows other upstreams.

use super::{
    log_adapter::{
        Entry,
        LogAdapter,
        Page,
        Position,
        ReadError,
        Topic, //
    },
    log_reads::{
        self,
        Answer,
        ReadRequest, //
    },
    shared::Shared,
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

/// Pause after a failed read, in ms.
const RETRY_PAUSE_MS: u64 = 250;

/// Time between two checks whether a hub still covers this instance, in ms.
const COVERED_POLL_MS: u64 = 200;

/// Time for which the upstreams known to the hub may differ from those known here before the log is
/// read, in ms.
const MAX_HUB_DIFFERENCE_MS: u64 = 600;

/// Largest fraction of the known upstreams that is treated as removed if it is missing at once after
/// an outage of the log.
///
/// A release or a crash removes fewer upstreams. If more are missing, their entries have probably
/// expired because they could not be renewed during the outage.
const MAX_REMOVED_FRACTION: f64 = 0.25;

/// Follows the routing configuration for as long as the process runs.
pub(super) async fn follow_configuration(shared: Rc<Shared>, log: LogAdapter) {
    let mut status = TopicStatus::new("configuration");
    let me = Arc::clone(&shared.mesh.borrow().me().name);
    let mut position: Option<Position> = None;
    let mut newest = NewestRead::default();
    loop {
        position = position.filter(|p| p.era == shared.log_era());
        if position.is_some() && is_confirmed_by_hub(&shared) {
            let pause = Duration::from_millis(COVERED_POLL_MS);
            if timeout(pause, shared.newer_version.notified())
                .await
                .is_err()
            {
                continue;
            }
            position = None;
        }
        let is_retry = status.is_lost();
        let timing = shared.settings.borrow().timing;
        let req = ReadRequest {
            topic: Topic::Configuration,
            from: position.map(|p| p.offset),
            wait_ms: if is_retry || position.is_none() {
                0
            } else {
                timing.configuration_read_wait_ms()
            },
            is_retry,
        };
        let answer = tokio::select! {
            answer = log_reads::read(shared.clock, &log, req) => answer,
            // Another instance has a newer version: the read that waits for it here may be on a dead
            // connection.
            () = shared.newer_version.notified(), if position.is_some() => {
                position = None;
                continue;
            }
            () = shared.era_risen.notified(), if position.is_some() => continue,
        };
        if answer.shows_unreachable_log(shared.clock.now(), timing.store_answer_ms) {
            shared.on_read_failed(answer.asked_at);
        }
        let Answer { asked_at, result } = answer;
        status.on_read(&shared, asked_at, &result);
        match result {
            Ok(page) if !is_usable(&shared, &page, position) => position = None,
            Ok(page) => {
                let next = Position {
                    era: page.era,
                    offset: page.next_offset,
                };
                let has_progress = position != Some(next);
                position = Some(next);
                newest.on_page(&page, apply_configuration(&shared, &log, &page, asked_at));
                if !newest.shows(newest_known(&shared, asked_at)) {
                    shared.on_read_failed(asked_at);
                } else if page.is_up_to_date {
                    shared.confirm_newest(asked_at, &me);
                }
                if !page.is_up_to_date && !has_progress {
                    sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                }
            }
            Err(ReadError::Compacted) => position = None,
            Err(_) => sleep(Duration::from_millis(RETRY_PAUSE_MS)).await,
        }
    }
}

/// Returns whether a page belongs to the present era of the log, as does the position that it was read
/// from, if any.
fn is_usable(shared: &Shared, page: &Page, position: Option<Position>) -> bool {
    shared.on_log_era(page.era) && position.is_none_or(|p| p.era == page.era)
}

/// Returns the newest version that was in force anywhere, as far as was known at `asked_at`.
fn newest_known(shared: &Shared, asked_at: Millis) -> u64 {
    let in_force = shared.in_force.borrow();
    in_force
        .superseded_by(asked_at)
        .unwrap_or_else(|| in_force.version())
}

/// What the log has shown of the newest configuration in its present era.
#[derive(Debug, Default)]
struct NewestRead {
    era: u64,
    /// Newest version that was read in this era, or 0 without one.
    version: u64,
    /// Whether the last configuration that was read could not be decoded.
    is_unreadable: bool,
}

impl NewestRead {
    /// Records a page with the version of its last configuration: `None` if there is none, an error if
    /// it could not be decoded.
    fn on_page(&mut self, page: &Page, last: Option<Result<u64, ()>>) {
        if page.era != self.era {
            *self = Self {
                era: page.era,
                ..Self::default()
            };
        }
        if let Some(last) = last {
            self.is_unreadable = last.is_err();
            self.version = self.version.max(last.unwrap_or(0));
        }
    }

    /// Returns whether the log shows that `version` is the newest.
    ///
    /// After the log came back from a copy, it may hold an older version until the operator has written
    /// the newest one again.
    const fn shows(&self, version: u64) -> bool {
        !self.is_unreadable && self.version >= version
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
fn apply_configuration(
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
        let decoded = (log.decode_configuration)(value);
        last = Some(decoded.as_ref().map(|spec| spec.version).map_err(|_| ()));
        match decoded {
            Ok(spec) => {
                let version = spec.version;
                let previous = shared.in_force.borrow().table().map(|t| t.version());
                let is_newer = shared.in_force.borrow_mut().install(Table::new(spec));
                if is_newer {
                    let now = shared.clock.now();
                    let announced = shared.in_force.borrow().announced();
                    let announced = announced.filter(|(v, _)| *v <= version);
                    shared.metrics.version.set(version.cast_signed());
                    tracing::info!(
                        version,
                        previous,
                        read_ms = now.since(asked_at),
                        announced_ms = announced.map(|(_, at)| now.since(at)),
                        "configuration in force"
                    );
                }
            }
            Err(e) => tracing::error!(error = %e, "configuration can't be read; the old one stays"),
        }
    }
    last
}

/// Follows the list of upstreams for as long as the process runs.
pub(super) async fn follow_upstreams(shared: Rc<Shared>, log: LogAdapter) {
    let mut status = TopicStatus::new("upstreams");
    let mut missing = MissingUpstreams::default();
    let mut position: Option<Position> = None;
    // Era of the log in which the complete list was read.
    let mut listed_era = None;
    let mut outdated = Vec::new();
    loop {
        let timing = shared.settings.borrow().timing;
        position = position.filter(|p| p.era == shared.log_era());
        if listed_era == Some(shared.log_era()) && is_hub_view_current(&shared) {
            // Records that follow the last own read may list upstreams that the hub has removed since,
            // so the newest ones are read next.
            position = None;
            let pause = Duration::from_millis(COVERED_POLL_MS);
            let _ = timeout(pause, shared.era_risen.notified()).await;
            sweep_connections(&shared);
            continue;
        }
        let req = ReadRequest {
            topic: Topic::Upstreams,
            from: position.map(|p| p.offset),
            is_retry: status.is_lost(),
            ..ReadRequest::default()
        };
        let Answer { asked_at, result } = log_reads::read(shared.clock, &log, req).await;
        status.on_read(&shared, asked_at, &result);
        let now = shared.clock.now();
        let pause_ms = match result {
            Ok(page) if !is_usable(&shared, &page, position) => {
                position = None;
                0
            }
            Ok(page) => {
                if status.was_lost {
                    missing.hold_until = now.plus(timing.relisted_ms);
                    status.was_lost = false;
                }
                let is_copy = listed_era
                    .replace(page.era)
                    .is_some_and(|era| era != page.era);
                let is_list = position.is_none();
                if is_copy {
                    missing.add_missing_in_copy(&shared, &page, now.plus(timing.relisted_ms));
                    outdated = outdated_entries(&shared, &log, &page);
                } else if is_list {
                    missing.add_unlisted(&shared, &page);
                }
                let next = Position {
                    era: page.era,
                    offset: page.next_offset,
                };
                let has_progress = position != Some(next);
                position = Some(next);
                if page.is_up_to_date {
                    shared.upstreams_read_at.set(Some(asked_at));
                }
                shared.hub_differs_since.set(None);
                let skipped = if is_list { &*outdated } else { &[] };
                apply_upstreams(&shared, &log, &page, skipped, &mut missing);
                missing.remove_due(&shared, now);
                match (page.is_up_to_date, has_progress) {
                    (true, _) => timing.discovery_every_ms,
                    (false, true) => 0,
                    (false, false) => RETRY_PAUSE_MS,
                }
            }
            Err(ReadError::Compacted) => {
                position = None;
                0
            }
            Err(_) => RETRY_PAUSE_MS,
        };
        sweep_connections(&shared);
        let pause = Duration::from_millis(pause_ms);
        // A rise of the era ends the pause.
        let _ = timeout(pause, shared.era_risen.notified()).await;
    }
}

/// Returns the entries of an earlier copy of the list whose upstreams have left since.
///
/// An upstream that has not left writes its entry again.
fn outdated_entries(shared: &Shared, log: &LogAdapter, page: &Page) -> Vec<Entry> {
    let has_left = |entry: &&Entry| {
        let value = entry.value.as_deref().unwrap_or_default();
        let listed = (log.decode_upstream)(&entry.key, value);
        listed.is_ok_and(|listed| shared.was_removed(&listed))
    };
    let outdated: Vec<_> = page.entries.iter().filter(has_left).cloned().collect();
    for entry in &outdated {
        tracing::info!(
            upstream = entry.key,
            "entry of an earlier copy skipped; the upstream has left"
        );
    }
    outdated
}

/// Applies the entries of a page to the list of upstreams, without those that are `skipped`.
fn apply_upstreams(
    shared: &Shared,
    log: &LogAdapter,
    page: &Page,
    skipped: &[Entry],
    missing: &mut MissingUpstreams,
) {
    let mut has_changed = false;
    for entry in page.entries.iter().filter(|e| !skipped.contains(e)) {
        let Some(value) = &entry.value else {
            missing.add(&entry.key);
            continue;
        };
        match (log.decode_upstream)(&entry.key, value) {
            Ok(listed) => {
                missing.remove(&entry.key);
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

/// Returns whether a hub covers this instance and knows the same upstreams.
///
/// A difference is tolerated for a short time, since announcements of changes may be under way.
fn is_hub_view_current(shared: &Shared) -> bool {
    let now = shared.clock.now();
    let differs_since = shared.hub_differs_since.get();
    let is_equal = differs_since.is_none_or(|since| now.since(since) < MAX_HUB_DIFFERENCE_MS);
    is_equal && shared.mesh.borrow().is_covered(now)
}

/// Closes idle connections that are no longer usable and updates the gauge of upstreams.
fn sweep_connections(shared: &Shared) {
    let now = shared.clock.now();
    let fleet = shared.fleet.borrow();
    let mut pool = shared.connection_pool.borrow_mut();
    pool.close_expired(now, |name, incarnation| fleet.is_live(name, incarnation));
    let count = i64::try_from(fleet.iter().count()).unwrap_or(i64::MAX);
    shared.metrics.upstreams.set(count);
}

/// Upstreams whose entries have disappeared from the log.
///
/// After an outage of the log, the entries of live upstreams may have expired. If many are missing
/// at once, they are kept until live upstreams have had time to be listed again. If few are missing,
/// they count as removed.
#[derive(Debug, Default)]
struct MissingUpstreams {
    names: Vec<Arc<str>>,
    /// Time by which live upstreams should be listed again after an outage of the log.
    hold_until: Millis,
    /// Whether many upstreams have been missing at once since the outage; none is removed then.
    are_many_missing: bool,
    /// Upstreams that are missing in the copy from which the log came back. Their entries may have been
    /// lost, so they count as removed only after [`Self::lost_until`].
    lost: Vec<Arc<str>>,
    lost_until: Millis,
}

impl MissingUpstreams {
    fn add(&mut self, name: &str) {
        if let Err(at) = self.names.binary_search_by(|n| (**n).cmp(name)) {
            self.names.insert(at, Arc::from(name));
        }
    }

    fn remove(&mut self, name: &str) {
        if let Ok(at) = self.names.binary_search_by(|n| (**n).cmp(name)) {
            self.names.remove(at);
        }
        self.lost.retain(|n| **n != *name);
    }

    /// Adds all known upstreams that a complete list does not contain.
    fn add_unlisted(&mut self, shared: &Shared, page: &Page) {
        for name in unlisted(shared, page) {
            self.add(&name);
        }
    }

    /// Adds all known upstreams that an earlier copy of the list does not contain; they are kept until
    /// `until`, so that they can write their entries again.
    fn add_missing_in_copy(&mut self, shared: &Shared, page: &Page, until: Millis) {
        self.lost = unlisted(shared, page);
        self.lost_until = until;
    }

    /// Removes the missing upstreams from the fleet, unless many are missing after an outage of the
    /// log and may still be listed again.
    fn remove_due(&mut self, shared: &Shared, now: Millis) {
        if now >= self.lost_until {
            for name in std::mem::take(&mut self.lost) {
                self.add(&name);
            }
        }
        let known_count = {
            let fleet = shared.fleet.borrow();
            self.names
                .retain(|name| fleet.iter().any(|u| u.name == *name));
            fleet.iter().count()
        };
        let is_many = self.names.len() as f64 > known_count as f64 * MAX_REMOVED_FRACTION;
        let is_waiting = now < self.hold_until;
        self.are_many_missing = is_waiting && (self.are_many_missing || is_many);
        if self.are_many_missing {
            return;
        }
        for name in self.names.drain(..) {
            shared.on_removed(&name);
        }
    }
}

/// Returns the known upstreams that a complete list does not contain.
fn unlisted(shared: &Shared, page: &Page) -> Vec<Arc<str>> {
    let mut listed: Vec<&str> = page.entries.iter().map(|e| &*e.key).collect();
    listed.sort_unstable();
    let fleet = shared.fleet.borrow();
    let is_unlisted = |name: &Arc<str>| listed.binary_search(&&**name).is_err();
    fleet
        .iter()
        .map(|u| Arc::clone(&u.name))
        .filter(is_unlisted)
        .collect()
}

/// State of the reads of a topic, for the log lines about an outage.
#[derive(Debug)]
struct TopicStatus {
    topic: &'static str,
    /// Time at which the first read of the failures since the last answer was sent.
    lost_since: Option<Millis>,
    /// Whether a read has failed since this field was last cleared.
    was_lost: bool,
}

impl TopicStatus {
    const fn new(topic: &'static str) -> Self {
        Self {
            topic,
            lost_since: None,
            was_lost: false,
        }
    }

    /// Returns whether the last read failed.
    const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records the result of a read; logs the start and the end of an outage.
    fn on_read(&mut self, shared: &Shared, asked_at: Millis, result: &Result<Page, ReadError>) {
        let now = shared.clock.now();
        let error = match result {
            Ok(_) | Err(ReadError::Compacted) => None,
            Err(e) => Some(e),
        };
        if let Some(e) = error {
            shared.metrics.source_errors.inc();
            if self.lost_since.is_none() {
                self.lost_since = Some(asked_at);
                let read_ms = now.since(asked_at);
                tracing::warn!(topic = self.topic, error = %e, read_ms, "log lost");
            }
            self.was_lost = true;
        } else if let Some(since) = self.lost_since.take() {
            let lost_ms = now.since(since);
            tracing::info!(topic = self.topic, lost_ms, "log regained");
        }
    }
}
