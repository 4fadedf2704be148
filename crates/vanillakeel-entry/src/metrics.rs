//! Metrics in the text form of Prometheus.

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
use std::sync::Mutex;
use vanillakeel::router::Counts;

/// Bounds of the histograms of delays, in seconds.
const DELAY_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 3.0, 10.0, 30.0,
];

/// Labels of a count of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Ending {
    pub(crate) class: String,
    pub(crate) outcome: String,
    pub(crate) verdict: String,
}

/// Labels of a delay.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OfClass {
    pub(crate) class: String,
}

/// Labels of a count of bytes for control.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PeerBytes {
    pub(crate) peer: String,
    pub(crate) direction: String,
}

/// Labels of a count by kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OfKind {
    pub(crate) kind: String,
}

fn delays() -> Histogram {
    Histogram::new(DELAY_BOUNDS_S)
}

/// All metrics of an instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) endings: Family<Ending, Counter>,
    pub(crate) first_token: Family<OfClass, Histogram, fn() -> Histogram>,
    pub(crate) tokens: Counter,
    pub(crate) peer_bytes: Family<PeerBytes, Counter>,
    pub(crate) peer_refused: Family<OfKind, Counter>,
    pub(crate) appends: Family<OfKind, Counter>,
    pub(crate) claims: Family<OfKind, Counter>,
    pub(crate) log_errors: Counter,
    pub(crate) orders: Family<OfKind, Counter>,
    pub(crate) version: Gauge,
    pub(crate) open_calls: Gauge,
    pub(crate) ejected: Gauge,
    pub(crate) list_age_ms: Gauge,
    pub(crate) events_at_risk: Gauge,
    pub(crate) claim_keys: Gauge,
    router: Family<OfKind, Counter>,
    last: Mutex<Counts>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("vanillakeel"),
            endings: Family::default(),
            first_token: Family::new_with_constructor(delays),
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
            router: Family::default(),
            last: Mutex::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        let endings = self.endings.clone();
        r.register(
            "requests",
            "Requests by class, outcome and verdict",
            endings,
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
        r.register("router", "Decisions of the router", self.router.clone());
    }

    /// Counts how a request has ended.
    pub(crate) fn on_ending(&self, class: &str, outcome: &str, verdict: &str) {
        self.endings
            .get_or_create(&Ending {
                class: class.to_owned(),
                outcome: outcome.to_owned(),
                verdict: verdict.to_owned(),
            })
            .inc();
    }

    /// Counts one of a kind.
    pub(crate) fn count(family: &Family<OfKind, Counter>, kind: &str, by: u64) {
        let kind = kind.to_owned();
        family.get_or_create(&OfKind { kind }).inc_by(by);
    }

    /// Counts bytes of a message with a peer.
    pub(crate) fn on_peer_bytes(&self, peer: &str, direction: &str, bytes: u64) {
        self.peer_bytes
            .get_or_create(&PeerBytes {
                peer: peer.to_owned(),
                direction: direction.to_owned(),
            })
            .inc_by(bytes);
    }

    /// Brings the counters of the router up to date.
    pub(crate) fn sync_router(&self, now: &Counts) {
        let mut last = self.last.lock().unwrap_or_else(|e| e.into_inner());
        let pairs = [
            ("arrived", now.arrived - last.arrived),
            ("answered", now.answered - last.answered),
            ("refused", now.refused - last.refused),
            ("shed", now.shed - last.shed),
            ("expired", now.expired - last.expired),
            ("retry", now.retries - last.retries),
            ("hedge", now.hedges - last.hedges),
            ("resume", now.resumes - last.resumes),
            ("preempted", now.preempted - last.preempted),
            ("moved", now.moved - last.moved),
            ("stalled", now.stalled - last.stalled),
            ("late", now.late - last.late),
            ("wasted_tokens", now.wasted_tokens - last.wasted_tokens),
        ];
        for (kind, by) in pairs {
            Self::count(&self.router, kind, by);
        }
        *last = *now;
    }

    /// The whole page.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a text can't fail.
        let _ = encode(&mut page, &self.registry);
        page
    }
}
