//! Follows the list of upstreams on the log.
//!
//! An upstream is removed as soon as its entry is, unless its entry may only have been lost: after an
//! outage, in which entries expire, and in an earlier copy from which the log has come back.

use super::{
    super::{
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
        log_views::MAX_READ_AGE_MS,
        shared::{
            OWN_READ,
            Shared, //
        },
        version_records,
    },
    COVERED_POLL_MS,
    RETRY_PAUSE_MS,
    TopicStatus,
    is_usable,
    position_after, //
};
use std::{
    rc::Rc,
    time::Duration, //
};
use tokio::time::sleep;
use vanillakeel::{
    Millis,
    fleet::MissingUpstreams,
    mesh::VIEW_TIMEOUT_MS, //
};

/// Time for which the upstreams known to the hub may differ from those known here before the log is
/// read, in ms.
const MAX_HUB_DIFFERENCE_MS: u64 = 600;

/// Age of what is known of the upstreams while a hub supplies it, in ms, at most: that of the last read of the hub or
/// of the member that reads for it, that of this member's view, and the time for which the views may differ.
const MAX_HUB_VIEW_AGE_MS: u64 = MAX_READ_AGE_MS + VIEW_TIMEOUT_MS + MAX_HUB_DIFFERENCE_MS;

/// Time by which this task lets the one that reads the configuration go first when the log is asked again after a
/// failure, in ms.
const ASK_DELAY_MS: u64 = 100;

/// Follows the list of upstreams for as long as the process runs.
pub(in super::super) async fn follow_upstreams(shared: Rc<Shared>, log: LogAdapter) {
    let mut list = UpstreamList::default();
    let mut is_asked = false;
    loop {
        // After a failure this waits for its turn, and a hub may supply the list by then.
        if !list.is_kept_by_hub(&shared) {
            shared
                .log_access
                .wait_to_ask(shared.clock, ASK_DELAY_MS)
                .await;
        }
        let pause_ms = if !is_asked && list.is_kept_by_hub(&shared) {
            let seen_at = shared.clock.now().minus(MAX_HUB_VIEW_AGE_MS);
            shared.on_upstreams_seen(seen_at);
            // Records that follow the last own read may list upstreams that the hub has removed since,
            // so the newest ones are read next.
            list.position = None;
            COVERED_POLL_MS
        } else {
            list.read(&shared, &log).await
        };
        sweep_connections(&shared);
        shared.upstreams_read.notify_waiters();
        is_asked = tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => false,
            () = shared.era_risen.notified() => false,
            () = shared.read_upstreams.notified() => true,
        };
    }
}

/// What has been read of the list of upstreams.
#[derive(Debug)]
struct UpstreamList {
    status: TopicStatus,
    /// Position of the next record; without it, the complete list is read.
    position: Option<Position>,
    /// Era of the log in which the complete list was read.
    listed_era: Option<u64>,
    /// Entries of an earlier copy whose upstreams have left since.
    outdated: Vec<Entry>,
    missing: MissingUpstreams,
}

impl Default for UpstreamList {
    fn default() -> Self {
        Self {
            status: TopicStatus::new("upstreams"),
            position: None,
            listed_era: None,
            outdated: Vec::new(),
            missing: MissingUpstreams::default(),
        }
    }
}

impl UpstreamList {
    /// Returns whether the list was read in the present era and a hub has kept it up to date since.
    fn is_kept_by_hub(&self, shared: &Shared) -> bool {
        self.listed_era == Some(shared.log_era()) && is_hub_view_current(shared)
    }

    /// Reads the list or the records that follow; returns the pause before the next read, in ms.
    async fn read(&mut self, shared: &Shared, log: &LogAdapter) -> u64 {
        self.position = self.position.filter(|p| p.era == shared.log_era());
        if shared.has_relayed_changes.take() {
            // The records that follow the last own read may be older than what a member has told since.
            self.position = None;
        }
        let req = ReadRequest {
            topic: Topic::Upstreams,
            from: self.position.map(|p| p.offset),
            is_retry: self.status.is_lost(),
            ..ReadRequest::default()
        };
        let answer = log_reads::read(shared.clock, log, req, &ReadProgress::default()).await;
        self.status.on_read(shared, &answer);
        let asked_at = answer.asked_at;
        match answer.result {
            Ok(page) if is_usable(shared, &page, self.position) => {
                if self.listed_era.is_some() {
                    let values = page
                        .entries
                        .iter()
                        .filter_map(|e| Some((e, e.value.as_ref()?)));
                    let listed = values.filter_map(|(e, v)| (log.decode_upstream)(&e.key, v).ok());
                    version_records::record_new(shared, log, listed).await;
                }
                self.on_page(shared, log, &page, asked_at)
            }
            // Where the next record can't be read, the list of newest ones goes past it.
            Ok(_) | Err(ReadError::Compacted | ReadError::Malformed(_)) => {
                // The complete list is read next, but not in a busy loop.
                let had_position = self.position.take().is_some();
                if had_position { 0 } else { RETRY_PAUSE_MS }
            }
            // The next read waits for its turn.
            Err(_) => 0,
        }
    }

    /// Applies a page; returns the pause before the next read, in ms.
    fn on_page(&mut self, shared: &Shared, log: &LogAdapter, page: &Page, asked_at: Millis) -> u64 {
        let now = shared.clock.now();
        let timing = shared.settings.borrow().timing;
        let relisted_at = now.plus(timing.relisted_ms);
        // During an outage only one task asks, so that no read of the upstreams may have failed.
        if shared.log_access.was_lost.take() {
            self.missing.on_outage_over(relisted_at);
        }
        let is_list = self.position.is_none();
        let previous_era = self.listed_era.replace(page.era);
        let names: Vec<&str> = page.entries.iter().map(|e| &*e.key).collect();
        if previous_era.is_some_and(|era| era != page.era) {
            let fleet = shared.fleet.borrow();
            self.missing.on_copy(&fleet, &names, relisted_at);
            self.outdated = outdated_entries(shared, log, page);
        } else if is_list {
            self.missing.on_list(&shared.fleet.borrow(), &names);
        }
        let next = position_after(page);
        let has_progress = self.position.replace(next) != Some(next);
        shared.hub_differs_since.set(None);
        let skipped = if is_list { &*self.outdated } else { &[] };
        let is_first = previous_era.is_none();
        apply_upstreams(shared, log, page, skipped, &mut self.missing, is_first);
        if page.is_up_to_date {
            shared.upstreams_read_at.set(Some(asked_at));
            // Upstreams that the same page lists and removes count as seen.
            shared.on_upstreams_seen(asked_at);
        }
        let due = self.missing.take_due(asked_at, &shared.fleet.borrow());
        for name in due {
            shared.on_removed(&name, OWN_READ);
        }
        match (page.is_up_to_date, has_progress) {
            (true, _) => timing.discovery_every_ms,
            (false, true) => 0,
            (false, false) => RETRY_PAUSE_MS,
        }
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
///
/// The first list of a process gets one line, and members are not told of its entries: they could be thousands.
fn apply_upstreams(
    shared: &Shared,
    log: &LogAdapter,
    page: &Page,
    skipped: &[Entry],
    missing: &mut MissingUpstreams,
    is_first: bool,
) {
    let mut has_changed = false;
    for entry in page.entries.iter().filter(|e| !skipped.contains(e)) {
        let Some(value) = &entry.value else {
            missing.on_deleted(&entry.key);
            continue;
        };
        match (log.decode_upstream)(&entry.key, value) {
            Ok(listed) => {
                missing.on_listed(&entry.key);
                has_changed |= if is_first {
                    shared.on_first_listed(&listed)
                } else {
                    shared.on_listed(&listed, OWN_READ)
                };
            }
            Err(e) => {
                tracing::warn!(upstream = entry.key, error = %e, "entry of an upstream skipped");
            }
        }
    }
    if is_first {
        let count = shared.fleet.borrow().iter().count();
        tracing::info!(upstreams = count, "upstreams known");
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
    let withdrawn = fleet.withdrawn_counts(now);
    shared
        .metrics
        .paused_upstreams
        .set(i64::from(withdrawn.paused));
    shared
        .metrics
        .leaving_upstreams
        .set(i64::from(withdrawn.leaving));
    let slow = fleet.condition_counts().slow;
    shared.metrics.slow_upstreams.set(i64::from(slow));
}
