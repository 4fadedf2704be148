//! Prometheus metrics of a pass-through instance.
//!
//! Tasks update the fields of [`Metrics`], and the operators' page shows them in the text format.

use super::{
    answer::Refusal,
    callers::Decision,
    capacity_metrics::CapacityMetrics,
    duty_metrics::DutyMetrics,
    progress::AnswerTimes,
    usage_metrics::UsageMetrics, //
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
use std::sync::atomic::AtomicU64;

/// Upper bounds of the buckets of all histograms, in seconds.
const BUCKET_BOUNDS_S: [f64; 9] = [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 2.0, 5.0, 15.0];

/// Labels of the counter of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RefusalLabels {
    reason: &'static str,
    verdict: &'static str,
}

/// Labels of the counter of answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StatusLabels {
    status: u16,
}

/// Labels of the histograms.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RankLabels {
    rank: u8,
}

/// Labels of the counter of streams that callers take up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct KnownByLabels {
    known_by: &'static str,
}

/// Labels of the counter of connections that had to give way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct DecisionLabels {
    decision: &'static str,
}

/// One histogram of times per rank.
type RankHistograms = Family<RankLabels, Histogram, fn() -> Histogram>;

fn rank_histograms() -> RankHistograms {
    Family::new_with_constructor(|| Histogram::new(BUCKET_BOUNDS_S))
}

/// All metrics of an instance.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    refusals: Family<RefusalLabels, Counter>,
    answers: Family<StatusLabels, Counter>,
    taken_up_streams: Family<KnownByLabels, Counter>,
    time_to_first_event: RankHistograms,
    longest_gap: RankHistograms,
    answer_time: RankHistograms,
    pub(super) lines_dropped: Counter,
    pub(super) broken_answers: Counter,
    pub(super) retries: Counter,
    pub(super) denied_retries: Counter,
    pub(super) upstream_connections: Counter,
    pub(super) source_errors: Counter,
    pub(super) late_confirmations: Counter,
    pub(super) bad_datagrams: Counter,
    pub(super) bad_rate_limits: Counter,
    pub(super) limited_sends: Counter,
    pub(super) passed_texts: Counter,
    pub(super) pauses: Counter,
    pub(super) bad_pauses: Counter,
    pub(super) version: Gauge,
    pub(super) log_era: Gauge,
    pub(super) confirmation_age_ms: Gauge,
    pub(super) upstreams: Gauge,
    pub(super) peers: Gauge,
    pub(super) quarantined_segments: Gauge,
    pub(super) quarantined_requests: Gauge,
    pub(super) sharing_instances: Gauge,
    pub(super) limited_upstreams: Gauge,
    pub(super) paused_upstreams: Gauge,
    pub(super) leaving_upstreams: Gauge,
    pub(super) slow_upstreams: Gauge,
    /// Requests a second that all limited upstreams take together.
    pub(super) named_rate: Gauge<f64, AtomicU64>,
    /// The part of it that this instance may use.
    pub(super) own_rate: Gauge<f64, AtomicU64>,
    pub(super) covered: Gauge,
    pub(super) known_streams: Gauge,
    pub(super) saved_streams: Counter,
    pub(super) restored_streams: Counter,
    pub(super) over_share: Counter,
    pub(super) duties: DutyMetrics,
    pub(super) usage: UsageMetrics,
    pub(super) capacity: CapacityMetrics,
    held_bytes: Gauge,
    caller_connections: Gauge,
    caller_decisions: Family<DecisionLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("vanillakeel"),
            refusals: Family::default(),
            answers: Family::default(),
            taken_up_streams: Family::default(),
            time_to_first_event: rank_histograms(),
            longest_gap: rank_histograms(),
            answer_time: rank_histograms(),
            lines_dropped: Counter::default(),
            broken_answers: Counter::default(),
            retries: Counter::default(),
            denied_retries: Counter::default(),
            upstream_connections: Counter::default(),
            source_errors: Counter::default(),
            late_confirmations: Counter::default(),
            bad_datagrams: Counter::default(),
            bad_rate_limits: Counter::default(),
            limited_sends: Counter::default(),
            passed_texts: Counter::default(),
            pauses: Counter::default(),
            bad_pauses: Counter::default(),
            version: Gauge::default(),
            log_era: Gauge::default(),
            confirmation_age_ms: Gauge::default(),
            upstreams: Gauge::default(),
            peers: Gauge::default(),
            quarantined_segments: Gauge::default(),
            quarantined_requests: Gauge::default(),
            sharing_instances: Gauge::default(),
            limited_upstreams: Gauge::default(),
            paused_upstreams: Gauge::default(),
            leaving_upstreams: Gauge::default(),
            slow_upstreams: Gauge::default(),
            named_rate: Gauge::default(),
            own_rate: Gauge::default(),
            covered: Gauge::default(),
            known_streams: Gauge::default(),
            saved_streams: Counter::default(),
            restored_streams: Counter::default(),
            over_share: Counter::default(),
            duties: DutyMetrics::default(),
            usage: UsageMetrics::default(),
            capacity: CapacityMetrics::default(),
            held_bytes: Gauge::default(),
            caller_connections: Gauge::default(),
            caller_decisions: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Adds all metrics to the registry, with the help texts of the page.
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refusals",
            "Requests answered by the instance itself",
            self.refusals.clone(),
        );
        registry.register("answers", "Answers of upstreams", self.answers.clone());
        registry.register(
            "taken_up_streams",
            "Streams that callers took up with another request, by how their version was known",
            self.taken_up_streams.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the first event of an answer, by rank",
            self.time_to_first_event.clone(),
        );
        registry.register(
            "longest_gap_seconds",
            "Longest pause between two events of an answer, by rank",
            self.longest_gap.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to the end of an answer, by rank",
            self.answer_time.clone(),
        );
        registry.register(
            "lines_dropped",
            "Lines of the log that were counted instead of written",
            self.lines_dropped.clone(),
        );
        registry.register(
            "broken_answers",
            "Answers that an upstream broke off",
            self.broken_answers.clone(),
        );
        registry.register(
            "retries",
            "Retries that the budget of their service allowed",
            self.retries.clone(),
        );
        registry.register(
            "denied_retries",
            "Retries that the budget of their service did not allow",
            self.denied_retries.clone(),
        );
        registry.register(
            "upstream_connections",
            "Connections opened to upstreams",
            self.upstream_connections.clone(),
        );
        registry.register(
            "source_errors",
            "Reads of the log that failed",
            self.source_errors.clone(),
        );
        registry.register(
            "late_confirmations",
            "Confirmations of the configuration that came after its time limit",
            self.late_confirmations.clone(),
        );
        registry.register(
            "bad_datagrams",
            "Datagrams of peers that can't be read",
            self.bad_datagrams.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
        registry.register(
            "configuration_confirmation_age_ms",
            "Time since the configuration in force was confirmed as the newest",
            self.confirmation_age_ms.clone(),
        );
        registry.register(
            "log_era",
            "How often the log has come back from an earlier copy",
            self.log_era.clone(),
        );
        registry.register("upstreams", "Upstreams known", self.upstreams.clone());
        registry.register("peers", "Other instances known", self.peers.clone());
        registry.register(
            "quarantined_segments",
            "Prompt segments whose requests are refused since they crash upstreams",
            self.quarantined_segments.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are refused since they crash upstreams",
            self.quarantined_requests.clone(),
        );
        registry.register(
            "sharing_instances",
            "Instances that share limits, including this one; 0 while their number is unknown",
            self.sharing_instances.clone(),
        );
        registry.register(
            "bad_rate_limits",
            "Rate limits of answers or peers that can't be read",
            self.bad_rate_limits.clone(),
        );
        registry.register(
            "rate_limited_sends",
            "Requests sent to upstreams that name a rate limit",
            self.limited_sends.clone(),
        );
        registry.register(
            "passed_configurations",
            "Configurations whose text came from a hub instead of the log",
            self.passed_texts.clone(),
        );
        registry.register(
            "upstream_pauses",
            "Pauses that upstreams have asked this instance for",
            self.pauses.clone(),
        );
        registry.register(
            "bad_upstream_pauses",
            "Pauses of upstreams that could not be read or are longer than allowed",
            self.bad_pauses.clone(),
        );
        registry.register(
            "paused_upstreams",
            "Upstreams that want no requests of this instance for now",
            self.paused_upstreams.clone(),
        );
        registry.register(
            "leaving_upstreams",
            "Upstreams that are listed as live and say that they leave",
            self.leaving_upstreams.clone(),
        );
        registry.register(
            "slow_upstreams",
            "Upstreams that take at least 1.5 times as long as their service on average",
            self.slow_upstreams.clone(),
        );
        registry.register(
            "rate_limited_upstreams",
            "Upstreams that name a rate limit",
            self.limited_upstreams.clone(),
        );
        registry.register(
            "rate_limit_requests_per_second",
            "Requests a second that these upstreams take from all instances",
            self.named_rate.clone(),
        );
        registry.register(
            "rate_limit_part_requests_per_second",
            "Requests a second that these upstreams take from this instance",
            self.own_rate.clone(),
        );
        registry.register(
            "covered",
            "Whether a hub reads the log for this instance",
            self.covered.clone(),
        );
        registry.register(
            "known_streams",
            "Streams whose software version this instance knows",
            self.known_streams.clone(),
        );
        registry.register(
            "saved_streams",
            "Streams that this instance has kept on the log while it was stopping",
            self.saved_streams.clone(),
        );
        registry.register(
            "restored_streams",
            "Streams that this instance has found on the log at its start",
            self.restored_streams.clone(),
        );
        registry.register(
            "callers_held_bytes",
            "Bytes held of requests, and of answers that callers have not read",
            self.held_bytes.clone(),
        );
        registry.register(
            "caller_connections",
            "Connections of callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "caller_decisions",
            "Connections of callers that were closed or had to give way, by decision",
            self.caller_decisions.clone(),
        );
        registry.register(
            "refused_over_share",
            "Requests refused for overload whose workspace had got more than others",
            self.over_share.clone(),
        );
        self.duties.register(registry);
        self.usage.register(registry);
        self.capacity.register(registry);
    }

    /// Shows what callers hold.
    pub(super) fn set_callers(&self, held_bytes: u64, connections: usize) {
        let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.held_bytes.set(gauge(held_bytes));
        self.caller_connections.set(gauge(connections as u64));
    }

    /// Counts a decision on a connection of a caller.
    pub(super) fn on_caller_decision(&self, decision: Decision) {
        let decision = decision.as_str();
        let labels = DecisionLabels { decision };
        self.caller_decisions.get_or_create(&labels).inc();
    }

    /// Counts a request that the instance itself has answered.
    pub(super) fn on_refusal(&self, refusal: Refusal) {
        self.refusals
            .get_or_create(&RefusalLabels {
                reason: refusal.as_str(),
                verdict: refusal.verdict().as_str(),
            })
            .inc();
    }

    /// Counts a stream that a caller takes up with another request.
    pub(super) fn on_taken_up(&self, known_by: &'static str) {
        self.taken_up_streams
            .get_or_create(&KnownByLabels { known_by })
            .inc();
    }

    /// Counts the answer of an upstream to a request of `rank` and records its times.
    pub(super) fn on_answer(&self, rank: u8, status: StatusCode, times: &AnswerTimes) {
        let status = status.as_u16();
        self.answers.get_or_create(&StatusLabels { status }).inc();
        let labels = RankLabels { rank };
        let observe = |family: &RankHistograms, ms: Option<u64>| {
            if let Some(ms) = ms {
                family.get_or_create(&labels).observe(ms as f64 / 1_000.0);
            }
        };
        observe(&self.time_to_first_event, times.first_ms);
        observe(&self.longest_gap, times.longest_gap_ms);
        observe(&self.answer_time, Some(times.total_ms));
    }

    /// Returns the page with all metrics in the Prometheus text format.
    pub(super) fn encode_page(&self) -> String {
        let mut page = String::new();
        // Writing to a `String` can't fail.
        let _ = encode(&mut page, &self.registry);
        page
    }
}
