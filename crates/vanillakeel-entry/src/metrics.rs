//! Metrics of an instance in the Prometheus text format.

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
use std::sync::{
    Mutex,
    atomic::AtomicU64, //
};
use vanillakeel::router::Counts;

/// Bucket bounds of the delay histograms, in seconds.
const DELAY_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 3.0, 10.0, 30.0,
];

/// Labels of the counter of finished requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) class: String,
    pub(crate) outcome: String,
    pub(crate) verdict: String,
}

/// Label of a metric per class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabel {
    pub(crate) class: String,
}

/// Labels of the counter of bytes exchanged with peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PeerBytesLabels {
    pub(crate) peer: String,
    pub(crate) direction: String,
}

/// Label of a counter per kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    pub(crate) kind: String,
}

fn delay_histogram() -> Histogram {
    Histogram::new(DELAY_BOUNDS_S)
}

/// All metrics of an instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) first_token: Family<ClassLabel, Histogram, fn() -> Histogram>,
    pub(crate) tokens: Counter,
    pub(crate) peer_bytes: Family<PeerBytesLabels, Counter>,
    pub(crate) peer_refused: Family<KindLabel, Counter>,
    pub(crate) appends: Family<KindLabel, Counter>,
    pub(crate) claims: Family<KindLabel, Counter>,
    pub(crate) log_errors: Counter,
    pub(crate) orders: Family<KindLabel, Counter>,
    pub(crate) version: Gauge,
    pub(crate) open_calls: Gauge,
    pub(crate) ejected: Gauge,
    pub(crate) list_age_ms: Gauge,
    pub(crate) events_at_risk: Gauge,
    pub(crate) claim_keys: Gauge,
    pub(crate) bad_rates: Family<KindLabel, Counter>,
    pub(crate) limited_upstreams: Gauge,
    /// Requests a second that all limited upstreams take together.
    pub(crate) named_rate: Gauge<f64, AtomicU64>,
    /// The part of it that this instance may use.
    pub(crate) own_rate: Gauge<f64, AtomicU64>,
    /// Decisions of the router by kind.
    router: Family<KindLabel, Counter>,
    /// Counts of the router at the last call of `sync_router`.
    last_counts: Mutex<Counts>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("vanillakeel"),
            requests: Family::default(),
            first_token: Family::new_with_constructor(delay_histogram),
            tokens: Counter::default(),
            peer_bytes: Family::default(),
            peer_refused: Family::default(),
            appends: Family::default(),
            claims: Family::default(),
            log_errors: Counter::default(),
            orders: Family::default(),
            version: Gauge::default(),
            open_calls: Gauge::default(),
            ejected: Gauge::default(),
            list_age_ms: Gauge::default(),
            events_at_risk: Gauge::default(),
            claim_keys: Gauge::default(),
            bad_rates: Family::default(),
            limited_upstreams: Gauge::default(),
            named_rate: Gauge::default(),
            own_rate: Gauge::default(),
            router: Family::default(),
            last_counts: Mutex::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        let requests = self.requests.clone();
        r.register(
            "requests",
            "Requests by class, outcome and verdict",
            requests,
        );
        let first_token = self.first_token.clone();
        r.register(
            "first_token_seconds",
            "Time to the first token",
            first_token,
        );
        r.register("tokens", "Tokens given to callers", self.tokens.clone());
        let peer_bytes = self.peer_bytes.clone();
        r.register("peer_bytes", "Bytes of messages with peers", peer_bytes);
        let refused = self.peer_refused.clone();
        r.register(
            "peer_refused",
            "Peer connections and messages refused",
            refused,
        );
        r.register("appends", "Records sent to the log", self.appends.clone());
        r.register("claims", "Claims by how they ended", self.claims.clone());
        let errors = self.log_errors.clone();
        r.register("log_errors", "Reads of the log that failed", errors);
        r.register("orders", "Orders sent to upstreams", self.orders.clone());
        let version = self.version.clone();
        r.register("text_version", "Version of the text in force", version);
        r.register(
            "open_calls",
            "Requests in progress",
            self.open_calls.clone(),
        );
        r.register("ejected", "Ejected upstreams", self.ejected.clone());
        let age = self.list_age_ms.clone();
        r.register("list_age_ms", "Age of the instance list", age);
        let risk = self.events_at_risk.clone();
        r.register("events_at_risk", "Services not ready in time", risk);
        let keys = self.claim_keys.clone();
        r.register("claim_keys", "Idempotency keys remembered", keys);
        let bad_rates = self.bad_rates.clone();
        r.register(
            "bad_rate_limits",
            "Rate limits that can't be read",
            bad_rates,
        );
        let limited = self.limited_upstreams.clone();
        r.register(
            "rate_limited_upstreams",
            "Upstreams that name a rate limit",
            limited,
        );
        let named_rate = self.named_rate.clone();
        r.register(
            "rate_limit_requests_per_second",
            "Requests a second that these upstreams take from all instances",
            named_rate,
        );
        let own_rate = self.own_rate.clone();
        r.register(
            "rate_limit_part_requests_per_second",
            "Requests a second that these upstreams take from this instance",
            own_rate,
        );
        r.register("router", "Decisions of the router", self.router.clone());
    }

    /// Counts a request with its outcome.
    pub(crate) fn count_request(&self, class: &str, outcome: &str, verdict: &str) {
        self.requests
            .get_or_create(&RequestLabels {
                class: class.to_owned(),
                outcome: outcome.to_owned(),
                verdict: verdict.to_owned(),
            })
            .inc();
    }

    /// Adds `by` to the counter of a kind.
    pub(crate) fn count(family: &Family<KindLabel, Counter>, kind: &str, by: u64) {
        let kind = kind.to_owned();
        family.get_or_create(&KindLabel { kind }).inc_by(by);
    }

    /// Counts bytes sent to or received from a peer.
    pub(crate) fn count_peer_bytes(&self, peer: &str, direction: &str, bytes: u64) {
        self.peer_bytes
            .get_or_create(&PeerBytesLabels {
                peer: peer.to_owned(),
                direction: direction.to_owned(),
            })
            .inc_by(bytes);
    }

    /// Adds the increase of the router's counts since the last call.
    pub(crate) fn sync_router(&self, now: &Counts) {
        let mut last_counts = self.last_counts.lock().unwrap_or_else(|e| e.into_inner());
        let pairs = [
            ("arrived", now.arrived - last_counts.arrived),
            ("answered", now.answered - last_counts.answered),
            ("refused", now.refused - last_counts.refused),
            ("shed", now.shed - last_counts.shed),
            ("expired", now.expired - last_counts.expired),
            ("retry", now.retries - last_counts.retries),
            ("hedge", now.hedges - last_counts.hedges),
            ("resume", now.resumes - last_counts.resumes),
            ("preempted", now.preempted - last_counts.preempted),
            ("moved", now.moved - last_counts.moved),
            ("stalled", now.stalled - last_counts.stalled),
            ("late", now.late - last_counts.late),
            (
                "wasted_tokens",
                now.wasted_tokens - last_counts.wasted_tokens,
            ),
        ];
        for (kind, by) in pairs {
            Self::count(&self.router, kind, by);
        }
        *last_counts = *now;
    }

    /// Returns the metrics page.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut page, &self.registry);
        page
    }
}
