//! Counters and histograms of a pass-through instance.

use super::{
    answer::Refusal,
    progress::AnswerTimes, //
};
use http::StatusCode;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::Histogram, //
    },
    registry::Registry,
};

/// Bounds of the histograms of times, in seconds.
const BOUNDS_S: [f64; 9] = [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 2.0, 5.0, 15.0];

/// Labels of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct OfRefusal {
    reason: &'static str,
    verdict: &'static str,
}

/// Labels of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct OfStatus {
    status: u16,
}

/// Labels of a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct OfRank {
    rank: u8,
}

/// A histogram of times for each rank.
type ByRank = Family<OfRank, Histogram, fn() -> Histogram>;

fn by_rank() -> ByRank {
    Family::new_with_constructor(|| Histogram::new(BOUNDS_S))
}

/// All metrics of an instance.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    refusals: Family<OfRefusal, Counter>,
    answers: Family<OfStatus, Counter>,
    first: ByRank,
    gap: ByRank,
    whole: ByRank,
    pub(super) lines_dropped: Counter,
    pub(super) broken: Counter,
    pub(super) connections: Counter,
    pub(super) source_errors: Counter,
    pub(super) bad_datagrams: Counter,
    pub(super) version: Gauge,
    pub(super) upstreams: Gauge,
    pub(super) peers: Gauge,
    pub(super) covered: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("vanillakeel"),
            refusals: Family::default(),
            answers: Family::default(),
            first: by_rank(),
            gap: by_rank(),
            whole: by_rank(),
            lines_dropped: Counter::default(),
            broken: Counter::default(),
            connections: Counter::default(),
            source_errors: Counter::default(),
            bad_datagrams: Counter::default(),
            version: Gauge::default(),
            upstreams: Gauge::default(),
            peers: Gauge::default(),
            covered: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "refusals",
            "Requests answered by the instance itself",
            self.refusals.clone(),
        );
        r.register("answers", "Answers of upstreams", self.answers.clone());
        r.register(
            "first_event_seconds",
            "Time to the first event of an answer, by rank",
            self.first.clone(),
        );
        r.register(
            "longest_gap_seconds",
            "Longest pause between two events of an answer, by rank",
            self.gap.clone(),
        );
        r.register(
            "answer_seconds",
            "Time to the end of an answer, by rank",
            self.whole.clone(),
        );
        r.register(
            "lines_dropped",
            "Lines of the log that were counted instead of written",
            self.lines_dropped.clone(),
        );
        r.register(
            "broken_answers",
            "Answers that an upstream broke off",
            self.broken.clone(),
        );
        r.register(
            "upstream_connections",
            "Connections opened to upstreams",
            self.connections.clone(),
        );
        r.register(
            "source_errors",
            "Reads of the log that failed",
            self.source_errors.clone(),
        );
        r.register(
            "bad_datagrams",
            "Datagrams of peers that can't be read",
            self.bad_datagrams.clone(),
        );
        r.register(
            "configuration_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
        r.register("upstreams", "Upstreams known", self.upstreams.clone());
        r.register("peers", "Other instances known", self.peers.clone());
        r.register(
            "covered",
            "Whether a hub reads the log for this instance",
            self.covered.clone(),
        );
    }

    pub(super) fn on_refusal(&self, refusal: Refusal) {
        self.refusals
            .get_or_create(&OfRefusal {
                reason: refusal.as_str(),
                verdict: refusal.verdict().as_str(),
            })
            .inc();
    }

    /// Counts an answer of an upstream to a request of `rank`.
    pub(super) fn on_answer(&self, rank: u8, status: StatusCode, times: &AnswerTimes) {
        let status = status.as_u16();
        self.answers.get_or_create(&OfStatus { status }).inc();
        let of = OfRank { rank };
        let observe = |family: &ByRank, ms: Option<u64>| {
            if let Some(ms) = ms {
                family.get_or_create(&of).observe(ms as f64 / 1_000.0);
            }
        };
        observe(&self.first, times.first_ms);
        observe(&self.gap, times.longest_gap_ms);
        observe(&self.whole, Some(times.total_ms));
    }

    /// The whole page.
    pub(super) fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a text can't fail.
        let _ = encode(&mut page, &self.registry);
        page
    }
}
