//! What an instance knows of the requests that began lately, and of the reports about them.

use super::{
    Report, Settings,
    counts::{
        Counts,
        ProcessId, //
    },
    links::{
        Links,
        Told,
        Towards, //
    },
};
use crate::Millis;
use std::sync::Arc;

/// Time after which what was known in whole may have gaps, in ms.
const WHOLE_TTL_MS: u64 = 2_500;

/// Multiple of the time until a report is due for which records of reports are kept.
const RECORDED_FACTOR: u64 = 10;

/// The part of an instance in the exchange of counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It exchanges no counts with others.
    #[default]
    Alone,
    /// It tells its counts to a hub.
    Member,
    /// It collects the counts of all instances.
    Hub,
}

/// A report that stands on the log.
#[derive(Clone, Debug)]
struct Recorded {
    report: Report,
    is_sent: bool,
}

/// What an instance knows of the requests that began lately, and of the reports about them.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    process: ProcessId,
    counts: Counts,
    links: Links,
    role: Role,
    /// Time since which it is a hub.
    hub_since: Option<Millis>,
    /// Whether it has been one for long enough to have heard the others.
    is_settled: bool,
    /// First window of which all counts are known, if this instance knows what its peers do.
    whole_from: Option<u64>,
    /// Last time at which this instance knew what its peers do.
    whole_at: Option<Millis>,
    /// Time of the last tick or message.
    now: Millis,
    begun: u64,
    /// Sorted by window.
    recorded: Vec<Recorded>,
}

impl Ledger {
    /// Creates an empty ledger of the instance `name`.
    #[must_use]
    pub fn new(name: &str, settings: Settings) -> Self {
        let window_ms = settings.window_ms.max(1);
        Self {
            settings: Settings {
                window_ms,
                ..settings
            },
            process: ProcessId::of(name, "", 0),
            counts: Counts::default(),
            links: Links::default(),
            role: Role::default(),
            hub_since: None,
            is_settled: false,
            whole_from: None,
            whole_at: None,
            now: Millis::ZERO,
            begun: 0,
            recorded: Vec::new(),
        }
    }

    /// Sets the data centre of the instance and the time of the wall clock at which its process started, in ms.
    ///
    /// The counts of a process that was started before stay beside those of this one.
    #[must_use]
    pub fn in_process(self, name: &str, data_centre: &str, started_wall_ms: u64) -> Self {
        Self {
            process: ProcessId::of(name, data_centre, started_wall_ms),
            whole_from: Some(self.settings.window_of(started_wall_ms) + 1),
            ..self
        }
    }

    /// Counts a request of a workspace that an upstream began at a time of the wall clock, in ms.
    pub fn on_begun(&mut self, wall_ms: u64, workspace: &Arc<str>) {
        let window = self.settings.window_of(wall_ms);
        self.whole_from.get_or_insert(window);
        self.counts
            .forget_before(self.settings.oldest_kept(wall_ms));
        self.counts.add(window, self.process, workspace);
        self.begun += 1;
    }

    /// Forgets windows whose reports are overdue, and records the part of this instance in the exchange of counts.
    pub fn tick(&mut self, now: Millis, wall_ms: u64, role: Role) {
        self.now = now;
        self.counts
            .forget_before(self.settings.oldest_kept(wall_ms));
        self.role = role;
        if role != Role::Hub {
            self.hub_since = None;
            self.is_settled = false;
            return;
        }
        let since = *self.hub_since.get_or_insert(now);
        if now.since(since) < self.settings.settle_ms {
            return;
        }
        let was_whole = self
            .whole_at
            .is_some_and(|at| since.since(at) < WHOLE_TTL_MS);
        if !self.is_settled && !was_whole {
            // Counts that only former hubs had are lost.
            let hub_ms = wall_ms.saturating_sub(now.since(since));
            let next = self.settings.window_of(hub_ms) + 1;
            self.whole_from = self.whole_from.max(Some(next));
        }
        self.is_settled = true;
        self.whole_at = Some(now);
    }

    /// Returns whether this instance knew what its peers do a short time ago.
    fn is_whole(&self) -> bool {
        self.whole_at
            .is_some_and(|at| self.now.since(at) < WHOLE_TTL_MS)
    }

    /// Returns the messages to a peer; none if there is nothing new for it.
    #[must_use]
    pub fn tell(&mut self, now: Millis, peer: &str, towards: Towards) -> Vec<Told> {
        let mut messages = self.links.tell(
            now,
            peer,
            towards,
            self.process,
            &self.counts,
            &self.settings,
        );
        let whole_from = self.whole_from.filter(|_| self.is_whole());
        for told in &mut messages {
            told.whole_from = whole_from.filter(|_| told.is_end);
        }
        messages
    }

    /// Records the counts of which a peer tells.
    pub fn on_told(&mut self, now: Millis, wall_ms: u64, peer: &str, told: &Told) {
        self.now = self.now.max(now);
        let kept = self.settings.oldest_kept(wall_ms)..=self.settings.newest_taken(wall_ms);
        for count in &told.counts {
            // Only this process knows its own counts.
            if count.process == self.process {
                continue;
            }
            if kept.contains(&count.window) {
                self.counts.raise(count, told.process);
            } else if count.window > *kept.end() {
                self.counts.pass_over();
            }
        }
        let last_change = self.counts.last_change();
        let has_all = self
            .links
            .on_told(now, wall_ms, peer, self.process, told, last_change);
        if let Some(theirs) = told.whole_from.filter(|_| has_all) {
            self.whole_from = Some(self.whole_from.map_or(theirs, |own| own.min(theirs)));
            self.whole_at = Some(now);
        }
    }

    /// Records that a peer is stopping; the counts of its process stay.
    pub fn on_left(&mut self, peer: &str) {
        self.links.on_left(peer);
    }

    /// Returns the report of the oldest window that has ended long enough ago and has no recorded report.
    ///
    /// A window of which this instance can't know all counts gets none, and neither does one whose report is overdue.
    #[must_use]
    pub fn due(&self, wall_ms: u64) -> Option<Report> {
        let cfg = &self.settings;
        if self.role != Role::Alone && !self.is_whole() {
            return None;
        }
        let in_time = cfg.window_of(wall_ms.saturating_sub(cfg.due_ms));
        let mut windows = self.whole_from?.max(in_time)..cfg.window_of(wall_ms);
        let window = windows.find(|w| self.find_recorded(*w).is_err())?;
        let awaited_ms = if self.links.has_silent(cfg, window) {
            cfg.silent_ms()
        } else {
            cfg.awaited_ms()
        };
        let has_ended = cfg.end_ms(window).saturating_add(awaited_ms) <= wall_ms;
        has_ended.then(|| Report {
            window,
            counts: self.counts.totals(window),
        })
    }

    fn find_recorded(&self, window: u64) -> Result<usize, usize> {
        self.recorded
            .binary_search_by_key(&window, |r| r.report.window)
    }

    /// Adds a report that stands on the log, written by this instance or an earlier holder.
    ///
    /// What stands on the log replaces what was known of it.
    pub fn on_recorded(&mut self, report: &Report) {
        let span_ms = self.settings.due_ms.saturating_mul(RECORDED_FACTOR);
        let kept_from = report
            .window
            .saturating_sub(self.settings.window_of(span_ms) + 1);
        self.recorded.retain(|r| r.report.window >= kept_from);
        let recorded = Recorded {
            report: report.clone(),
            is_sent: false,
        };
        match self.find_recorded(report.window) {
            Ok(at) if self.recorded[at].report == *report => {}
            Ok(at) => self.recorded[at] = recorded,
            Err(at) => self.recorded.insert(at, recorded),
        }
    }

    /// Returns the oldest recorded report that the platform has not acknowledged.
    #[must_use]
    pub fn unsent(&self) -> Option<&Report> {
        let unsent = self.recorded.iter().find(|r| !r.is_sent);
        unsent.map(|r| &r.report)
    }

    /// Records that the platform has acknowledged the report of a window, or that it is too late for it.
    pub fn on_sent(&mut self, window: u64) {
        if let Ok(at) = self.find_recorded(window) {
            self.recorded[at].is_sent = true;
        }
    }

    /// Returns whether the report of a window is overdue.
    #[must_use]
    pub const fn is_overdue(&self, wall_ms: u64, window: u64) -> bool {
        self.settings.overdue_ms(window) <= wall_ms
    }

    /// Returns the windows whose records on the log are no longer needed.
    #[must_use]
    pub fn forgettable(&self, wall_ms: u64) -> Vec<u64> {
        let cfg = &self.settings;
        let windows = self.recorded.iter().map(|r| r.report.window);
        let is_old = |w: &u64| cfg.overdue_ms(*w).saturating_add(cfg.due_ms) <= wall_ms;
        windows.filter(is_old).collect()
    }

    /// Records that the record of a window has been deleted from the log.
    pub fn on_forgotten(&mut self, window: u64) {
        self.recorded.retain(|r| r.report.window != window);
    }

    /// Returns the number of requests that this process has counted.
    #[must_use]
    pub const fn begun(&self) -> u64 {
        self.begun
    }

    /// Returns the number of windows with counts.
    #[must_use]
    pub fn windows(&self) -> usize {
        self.counts.windows()
    }

    /// Returns the number of processes that have counts in the window of a time.
    #[must_use]
    pub fn processes(&self, wall_ms: u64) -> usize {
        self.counts.processes(self.settings.window_of(wall_ms))
    }

    /// Returns how many counts were passed over: of workspaces or processes beyond the bounds, or of windows that are
    /// still to come.
    #[must_use]
    pub const fn passed_over(&self) -> u64 {
        self.counts.passed_over()
    }

    /// Returns the time of the last message of a peer.
    #[must_use]
    pub fn heard_at(&self) -> Option<Millis> {
        self.links.heard_at()
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new("", Settings::default())
    }
}
