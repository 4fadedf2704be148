//! Metrics of the counts of requests that upstreams began.

use prometheus_client::{
    metrics::{
        counter::Counter,
        gauge::Gauge, //
    },
    registry::Registry,
};
use std::cell::Cell;
use vanillakeel::{
    Millis,
    usage::Ledger, //
};

/// Metrics of the counts of requests that upstreams began.
#[derive(Debug, Default)]
pub(super) struct UsageMetrics {
    pub(super) requests: Counter,
    pub(super) sent_bytes: Counter,
    pub(super) received_bytes: Counter,
    pub(super) bad_messages: Counter,
    windows: Gauge,
    processes: Gauge,
    passed_over: Gauge,
    told_age_ms: Gauge,
    /// Counts that had been passed over at the last update, and whether some were at that time.
    known_passed_over: Cell<(u64, bool)>,
}

impl UsageMetrics {
    /// Adds the metrics to a registry, with the help texts of the page.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "usage_requests",
            "Requests of workspaces that upstreams began",
            self.requests.clone(),
        );
        registry.register(
            "usage_sent_bytes",
            "Bytes of counts of requests that other instances were sent",
            self.sent_bytes.clone(),
        );
        registry.register(
            "usage_received_bytes",
            "Bytes of counts of requests that other instances have sent",
            self.received_bytes.clone(),
        );
        registry.register(
            "bad_usage_messages",
            "Messages with counts of requests that can't be read",
            self.bad_messages.clone(),
        );
        registry.register(
            "usage_windows",
            "Windows of the wall clock of which requests are counted",
            self.windows.clone(),
        );
        registry.register(
            "usage_processes",
            "Processes of instances whose counts of the present window are known",
            self.processes.clone(),
        );
        registry.register(
            "usage_passed_over",
            "Counts of requests that were passed over",
            self.passed_over.clone(),
        );
        registry.register(
            "usage_told_age_ms",
            "Time since an instance told its counts last; -1 before the first time",
            self.told_age_ms.clone(),
        );
    }

    /// Updates the gauges, and logs the beginning of a time in which counts are passed over.
    pub(super) fn update(&self, now: Millis, wall_ms: u64, ledger: &Ledger) {
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.windows.set(gauge(ledger.windows()));
        self.processes.set(gauge(ledger.processes(wall_ms)));
        let age_ms = ledger.heard_at().map(|at| now.since(at));
        let age_ms = age_ms.map_or(-1, |ms| i64::try_from(ms).unwrap_or(i64::MAX));
        self.told_age_ms.set(age_ms);
        let passed_over = ledger.passed_over();
        self.passed_over.set(passed_over.cast_signed());
        let (known, was_passing) = self.known_passed_over.get();
        let is_passing = passed_over > known;
        if is_passing && !was_passing {
            tracing::warn!(passed_over, "counts of requests are passed over");
        }
        self.known_passed_over.set((passed_over, is_passing));
    }
}
