//! The tasks that one instance at a time does for the platform, while it holds their lease.
//!
//! [`run`] asks the [`Candidate`] which call to the log is due, makes it, and makes the calls to the
//! platform while this instance holds the lease: it reports the usage of windows and orders
//! upstreams. It makes one call at a time, so that a renewal is never late by more than one call.

use super::{
    duty_calls::{
        DutyError,
        Fence, //
    },
    duty_records::{
        self,
        Contents,
        ReportKey, //
    },
    duty_tasks::Tasks,
    log_adapter::{
        Appended,
        Entry,
        ReadError,
        ReadProgress,
        Topic, //
    },
};
use crate::time::wall_ms;
use std::{
    collections::VecDeque,
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
    capacity::Order,
    duty::{
        Candidate,
        Change,
        Loss,
        Outcome,
        Purpose,
        Step,
        View,
        Write, //
    },
    usage::{
        Ledger,
        Report, //
    },
};

/// Pause after a turn in which there was nothing to do, in ms.
const TURN_MS: u64 = 200;

/// Pause after a call to the platform that failed, in ms; it doubles with each further failure.
const RETRY_MS: u64 = 200;

/// Longest pause after calls to the platform that failed, in ms.
const MAX_RETRY_MS: u64 = 1_600;

/// Time for which a stopping instance tries to give the lease up, in ms.
const MAX_RELEASE_MS: u64 = 2_000;

/// State of the loop.
struct Loop {
    tasks: Tasks,
    observed_at: Option<Millis>,
    /// When a holder that may not take the lease any more was first seen so.
    unwanted_since: Option<Millis>,
    stopping_since: Option<Millis>,
    /// Time from which the platform may be called.
    calls_from: Millis,
    failures: u32,
    orders: VecDeque<Order>,
    /// Fencing token of the last order without an answer.
    unanswered_token: Option<u64>,
    /// Whether the last report failed and no order was sent since.
    has_report_failed: bool,
    /// Keys of the reports on the log, in ascending order.
    report_keys: Vec<ReportKey>,
    /// First window that may be reported, by era.
    first_window: Option<(u64, u64)>,
}

/// Does the tasks for as long as the instance runs, and gives the lease up when it stops.
pub(super) async fn run(tasks: Tasks) {
    let mut state = Loop {
        tasks,
        observed_at: None,
        unwanted_since: None,
        stopping_since: None,
        calls_from: Millis::ZERO,
        failures: 0,
        orders: VecDeque::new(),
        unanswered_token: None,
        has_report_failed: false,
        report_keys: Vec::new(),
        first_window: None,
    };
    while !state.is_done() {
        if !state.turn().await {
            sleep(Duration::from_millis(TURN_MS)).await;
        }
    }
}

impl Loop {
    fn now(&self) -> Millis {
        self.tasks.clock.now()
    }

    /// Returns whether the instance is stopping and has given the lease up, or has tried long enough.
    fn is_done(&self) -> bool {
        let now = self.now();
        let has_tried = |since| now.since(since) >= MAX_RELEASE_MS;
        let is_holding = self.tasks.candidate.borrow().is_holding(now);
        self.stopping_since
            .is_some_and(|since| !is_holding || has_tried(since))
    }

    /// Makes the calls that are due; returns whether there were any.
    async fn turn(&mut self) -> bool {
        let now = self.now();
        self.observe(now);
        self.update_candidate(now);
        let has_used_log = self.use_log(now).await;
        self.apply_changes();
        self.update_metrics();
        let has_called = self.stopping_since.is_none() && self.call_platform().await;
        self.apply_changes();
        has_used_log || has_called
    }

    fn observe(&mut self, now: Millis) {
        let is_due = self.observed_at.is_none_or(|at| now.since(at) >= TURN_MS);
        let is_holding = self.tasks.candidate.borrow().is_holding(now);
        let is_needed = self.tasks.settings.tasks.orders_upstreams
            && (is_holding || (self.tasks.is_candidate)(now));
        if is_due && is_needed {
            self.observed_at = Some(now);
            let services = (self.tasks.observe)(now);
            self.tasks.planner.observe(now, &services);
            self.tasks.capacity.show(&self.tasks.planner.status(now));
        }
    }

    /// Tells the candidate what has changed elsewhere.
    ///
    /// A holder that other instances no longer hear gives the lease up after a while.
    fn update_candidate(&mut self, now: Millis) {
        let mut candidate = self.tasks.candidate.borrow_mut();
        candidate.on_era(now, (self.tasks.log_era)());
        if (self.tasks.is_stopping)() {
            self.stopping_since.get_or_insert(now);
        }
        let is_unwanted = candidate.is_holding(now) && !(self.tasks.is_candidate)(now);
        self.unwanted_since = is_unwanted.then(|| self.unwanted_since.unwrap_or(now));
        let lease_ms = candidate.settings().lease_ms;
        let hands_over = |since| now.since(since) >= lease_ms;
        let is_releasing =
            self.stopping_since.is_some() || self.unwanted_since.is_some_and(hands_over);
        candidate.set_releasing(is_releasing);
    }

    /// Makes the call to the log that is due; returns whether there was one.
    async fn use_log(&mut self, now: Millis) -> bool {
        let due_report = self.due_report(now);
        let is_candidate = (self.tasks.is_candidate)(now);
        let step = {
            let mut candidate = self.tasks.candidate.borrow_mut();
            if due_report.is_some() || self.needs_first_window(&candidate) {
                candidate.request_write();
            }
            candidate.step(now, is_candidate)
        };
        match step {
            None => return false,
            Some(Step::Read) => self.read().await,
            Some(Step::Write(write)) => self.write(&write, due_report).await,
        }
        true
    }

    /// Returns the report that is to be recorded next.
    ///
    /// One of a window that ended before the first holder of the era began is dropped, as the log may have lost
    /// a report of it that was sent.
    fn due_report(&self, now: Millis) -> Option<Report> {
        let candidate = self.tasks.candidate.borrow();
        let may_record = self.tasks.settings.tasks.reports_usage
            && candidate.token(now).is_some()
            && !self.needs_first_window(&candidate);
        if !may_record {
            return None;
        }
        let mut ledger = self.tasks.ledger.borrow_mut();
        while let Some(report) = ledger.due(wall_ms()) {
            if report.window >= self.first_reported() {
                return Some(report);
            }
            ledger.on_recorded(&report);
            self.drop_report(&mut ledger, report.window, "earlier_era");
        }
        None
    }

    /// Returns the first window that may be reported.
    fn first_reported(&self) -> u64 {
        self.first_window.map_or(0, |(_, window)| window)
    }

    fn drop_report(&self, ledger: &mut Ledger, window: u64, reason: &'static str) {
        tracing::warn!(window, reason, "usage report dropped");
        self.tasks.metrics.on_call("usage", reason);
        ledger.on_sent(window);
    }

    /// Returns whether the first window of the present era is still to be written.
    fn needs_first_window(&self, candidate: &Candidate) -> bool {
        let era = candidate.era();
        let is_known = era == 0 || self.first_window.is_some_and(|(of, _)| of == era);
        self.tasks.settings.tasks.reports_usage && candidate.is_informed() && !is_known
    }

    /// Reads the newest records of the topic.
    async fn read(&mut self) {
        let view = self.read_topic().await;
        let now = self.now();
        let outcome = if view.is_some() { "done" } else { "failed" };
        self.tasks.metrics.on_log_call("read", outcome);
        let view = view.map(|(view, contents)| {
            self.apply_contents(view.era, &contents);
            view
        });
        self.tasks
            .candidate
            .borrow_mut()
            .on_read(now, view.as_ref());
    }

    /// Reads all pages; the end of the topic counts as of the first one, since a later page may show more.
    async fn read_topic(&self) -> Option<(View, Contents)> {
        let mut contents = Contents::default();
        let mut first: Option<(u64, u64)> = None;
        let mut after = None;
        loop {
            let read = (self.tasks.log.read_newest)(Topic::Duties, after, ReadProgress::default());
            let page = match read.await {
                Ok(page) => page,
                Err(e) => {
                    tracing::warn!(error = %e, "the lease of the tasks could not be read");
                    (self.tasks.log.drop_idle)();
                    return None;
                }
            };
            let (era, end_offset) = *first.get_or_insert((page.era, page.next_offset));
            (self.tasks.on_log_era)(page.era);
            if page.era != era {
                return None;
            }
            page.entries.iter().for_each(|entry| contents.add(entry));
            after = page.continue_after;
            if after.is_none() {
                let record = contents.record.clone();
                let view = View {
                    era,
                    end_offset,
                    record,
                };
                return Some((view, contents));
            }
        }
    }

    /// Takes the reports on the log into the ledger.
    fn apply_contents(&mut self, era: u64, contents: &Contents) {
        let first_window = contents.first_window(era);
        self.first_window = first_window.map(|window| (era, window));
        self.report_keys = contents.reports.iter().map(|(key, _)| *key).collect();
        let mut ledger = self.tasks.ledger.borrow_mut();
        for report in contents.reports_of(era) {
            ledger.on_recorded(report);
        }
    }

    /// Writes a record of the lease, with what is to be recorded besides.
    async fn write(&mut self, write: &Write, due_report: Option<Report>) {
        let mut entries = vec![duty_records::holder_entry(&write.record)];
        let era = write.record.era;
        let (is_informed, needs_first_window) = {
            let candidate = self.tasks.candidate.borrow();
            let needs_first_window = self.needs_first_window(&candidate);
            (candidate.is_informed(), needs_first_window)
        };
        let adds = is_informed && write.purpose != Purpose::Release;
        let report = due_report.filter(|_| adds);
        let first_window = (adds && needs_first_window).then(|| self.present_window());
        let forgotten = if adds {
            self.forgettable_keys()
        } else {
            Vec::new()
        };
        entries.extend(report.iter().map(|r| duty_records::report_entry(r, era)));
        entries.extend(first_window.map(|w| duty_records::first_window_entry(era, w)));
        entries.extend(forgotten.iter().map(|key| duty_records::tombstone(*key)));
        if !self.append(write, entries).await {
            return;
        }
        if let Some(report) = report {
            tracing::info!(
                window = report.window,
                workspaces = report.counts.len(),
                "usage report recorded"
            );
            self.tasks.ledger.borrow_mut().on_recorded(&report);
            let key = (report.window, era);
            if let Err(at) = self.report_keys.binary_search(&key) {
                self.report_keys.insert(at, key);
            }
        }
        if let Some(window) = first_window {
            self.first_window = Some((era, window));
        }
        self.report_keys.retain(|key| !forgotten.contains(key));
        let mut ledger = self.tasks.ledger.borrow_mut();
        for (window, _) in forgotten {
            ledger.on_forgotten(window);
        }
    }

    /// Appends the entries of a write; returns whether they stand on the log for certain.
    async fn append(&self, write: &Write, entries: Vec<Entry>) -> bool {
        let appended = (self.tasks.log.append_at)(Topic::Duties, write.at, entries).await;
        let now = self.now();
        let (outcome, name) = match &appended {
            Ok(Appended::Done {
                era, end_offset, ..
            }) => {
                let (era, end_offset) = (*era, *end_offset);
                (Outcome::Appended { era, end_offset }, "done")
            }
            Ok(Appended::Moved { era, end_offset }) => {
                let (era, end_offset) = (*era, *end_offset);
                (Outcome::Moved { era, end_offset }, "moved")
            }
            Err(ReadError::Refused(_)) => (Outcome::Refused, "refused"),
            Err(_) => (Outcome::Unknown, "unknown"),
        };
        if let Outcome::Appended { era, .. } | Outcome::Moved { era, .. } = outcome {
            (self.tasks.on_log_era)(era);
        }
        if let Err(e) = &appended {
            tracing::warn!(error = %e, purpose = ?write.purpose, "the lease of the tasks could not be written");
            (self.tasks.log.drop_idle)();
        }
        self.tasks.metrics.on_log_call("write", name);
        self.tasks.candidate.borrow_mut().on_written(now, outcome)
    }

    /// Returns the number of the present window.
    fn present_window(&self) -> u64 {
        wall_ms() / self.tasks.settings.usage_window_ms
    }

    /// Returns the keys of reports that are no longer needed.
    fn forgettable_keys(&self) -> Vec<ReportKey> {
        let windows = self.tasks.ledger.borrow().forgettable(wall_ms());
        let is_forgettable = |(window, _): &&ReportKey| windows.contains(window);
        self.report_keys
            .iter()
            .filter(is_forgettable)
            .copied()
            .collect()
    }

    /// Makes one call to the platform if one is due and allowed; returns whether it did.
    async fn call_platform(&mut self) -> bool {
        let now = self.now();
        let token = self.tasks.candidate.borrow().token(now);
        let Some(token) = token.filter(|_| now >= self.calls_from) else {
            return false;
        };
        let report = self.next_report();
        // A report that fails goes behind an order, so that the platform gets both.
        let takes_order = report.is_none() || self.has_report_failed;
        let order = takes_order.then(|| self.next_order(now)).flatten();
        let Some(order) = order else {
            if let Some(report) = report {
                self.send_report(token, report).await;
                return true;
            }
            return false;
        };
        self.has_report_failed = false;
        // An order without an answer could be carried out after this one, unless its token is lower.
        if self.unanswered_token.is_some_and(|t| t >= token) {
            self.orders.push_front(order);
            self.tasks.candidate.borrow_mut().request_token();
            return false;
        }
        self.send_order(token, order).await;
        true
    }

    /// Returns the oldest report on the log that is to be sent; those that are too late, or of an earlier era of
    /// the log, are dropped.
    fn next_report(&self) -> Option<Report> {
        let needs_first_window = self.needs_first_window(&self.tasks.candidate.borrow());
        if !self.tasks.settings.tasks.reports_usage || needs_first_window {
            return None;
        }
        let settings = &self.tasks.settings;
        let mut ledger = self.tasks.ledger.borrow_mut();
        loop {
            let report = ledger.unsent()?.clone();
            let ends_at = (report.window + 1).saturating_mul(settings.usage_window_ms);
            if report.window < self.first_reported() {
                self.drop_report(&mut ledger, report.window, "earlier_era");
            } else if wall_ms() >= ends_at.saturating_add(settings.usage_due_ms) {
                self.drop_report(&mut ledger, report.window, "too_late");
            } else {
                return Some(report);
            }
        }
    }

    fn next_order(&mut self, now: Millis) -> Option<Order> {
        if !self.tasks.settings.tasks.orders_upstreams {
            return None;
        }
        if self.orders.is_empty() {
            self.orders.extend(self.tasks.planner.orders(now));
        }
        self.orders.pop_front()
    }

    fn fence(&self, token: u64) -> Fence {
        let (candidate, clock) = (Rc::clone(&self.tasks.candidate), self.tasks.clock);
        Fence {
            holder: Arc::clone(&self.tasks.name),
            token,
            is_held: Rc::new(move || candidate.borrow().token(clock.now()) == Some(token)),
        }
    }

    async fn send_report(&mut self, token: u64, report: Report) {
        let window = report.window;
        let call = (self.tasks.calls.report_usage)(self.fence(token), report);
        let result = self.limit(call).await;
        self.on_call("usage", &result);
        self.has_report_failed = result.is_err();
        match &result {
            Ok(()) => {
                self.tasks.ledger.borrow_mut().on_sent(window);
                tracing::info!(window, token, "usage report sent");
            }
            Err(e) => tracing::warn!(window, token, error = %e, "usage report not sent"),
        }
    }

    async fn send_order(&mut self, token: u64, order: Order) {
        let call = (self.tasks.calls.order_upstreams)(self.fence(token), order.clone());
        let result = self.limit(call).await;
        self.on_call("order", &result);
        self.tasks.capacity.on_order(&order);
        if matches!(result, Err(DutyError::NoAnswer(_))) {
            self.unanswered_token = Some(token);
        }
        let outcome = match &result {
            Ok(()) => vanillakeel::capacity::Outcome::Accepted,
            Err(DutyError::Unavailable) => vanillakeel::capacity::Outcome::Unavailable,
            Err(_) => vanillakeel::capacity::Outcome::Unknown,
        };
        let now = self.now();
        self.tasks.planner.on_ordered(now, &order, outcome);
        if outcome == vanillakeel::capacity::Outcome::Unknown {
            self.drop_orders(now);
        }
        tracing::info!(
            service = %order.service,
            data_centre = %order.data_centre,
            is_spot = order.is_spot,
            wanted = order.wanted,
            reason = order.reason.as_str(),
            token,
            ?outcome,
            error = result.err().map(tracing::field::display),
            "upstreams ordered"
        );
    }

    /// Waits for a call within the time limit that the lease grants.
    async fn limit(
        &self,
        call: impl Future<Output = Result<(), DutyError>>,
    ) -> Result<(), DutyError> {
        let limit_ms = self.tasks.candidate.borrow().settings().call_ms;
        let answer = timeout(Duration::from_millis(limit_ms), call).await;
        answer.unwrap_or_else(|_| Err(DutyError::NoAnswer("timeout".to_owned())))
    }

    /// Counts a call and sets the time of the next one.
    fn on_call(&mut self, kind: &'static str, result: &Result<(), DutyError>) {
        let now = self.now();
        let outcome = match result {
            Ok(()) => "done",
            Err(DutyError::Fenced) => "fenced",
            Err(DutyError::Unavailable) => "unavailable",
            Err(DutyError::Refused(_)) => "refused",
            Err(DutyError::NoAnswer(_)) => "no_answer",
        };
        self.tasks.metrics.on_call(kind, outcome);
        let has_failed = matches!(result, Err(DutyError::Refused(_) | DutyError::NoAnswer(_)));
        let pause_ms = if has_failed {
            let doubled = RETRY_MS << self.failures.min(16);
            self.failures = self.failures.saturating_add(1);
            doubled.min(MAX_RETRY_MS)
        } else {
            self.failures = 0;
            0
        };
        let calls_per_s = self.tasks.settings.calls_per_s;
        let spacing_ms = 1_000_u64.checked_div(calls_per_s).unwrap_or(0);
        self.calls_from = now.plus(pause_ms.max(spacing_ms));
        if matches!(result, Err(DutyError::Fenced)) {
            self.tasks.candidate.borrow_mut().on_fenced(now);
        }
    }

    /// Logs and counts what has changed about the lease.
    fn apply_changes(&mut self) {
        let changes: Vec<Change> = self.tasks.candidate.borrow_mut().drain().collect();
        for change in changes {
            match change {
                Change::Acquired(token) => {
                    self.tasks.metrics.acquisitions.inc();
                    tracing::info!(token, "lease of the tasks acquired");
                }
                Change::TokenRaised(token) => tracing::info!(token, "fencing token raised"),
                Change::Lost(token, reason) => self.on_lost(token, reason),
            }
        }
    }

    fn on_lost(&mut self, token: u64, reason: Loss) {
        self.tasks.metrics.on_lost(reason.as_str());
        match reason {
            Loss::Released => {
                tracing::info!(token, "lease of the tasks released");
                (self.tasks.announce)();
            }
            _ => tracing::warn!(token, reason = reason.as_str(), "lease of the tasks lost"),
        }
        let now = self.now();
        self.drop_orders(now);
    }

    /// Drops the orders that wait, as they are worked out anew by the present state.
    fn drop_orders(&mut self, now: Millis) {
        for order in std::mem::take(&mut self.orders) {
            let outcome = vanillakeel::capacity::Outcome::NotSent;
            self.tasks.planner.on_ordered(now, &order, outcome);
        }
    }

    fn update_metrics(&self) {
        let now = self.now();
        let candidate = self.tasks.candidate.borrow();
        let metrics = &self.tasks.metrics;
        let is_holding = candidate.is_holding(now);
        metrics.holding.set(i64::from(is_holding));
        let token = candidate.token(now).unwrap_or(0);
        metrics.token.set(token.cast_signed());
        let renewed_at = candidate.renewed_at().filter(|_| is_holding);
        let age_ms = renewed_at.and_then(|at| i64::try_from(now.since(at)).ok());
        metrics.renewal_age_ms.set(age_ms.unwrap_or(-1));
    }
}
