//! The parts that an operator's text is made of.

use serde::{
    Deserialize,
    Serialize, //
};

/// Default share of a pool, relative to other workspaces.
const DEFAULT_WEIGHT: u32 = 1;

/// Default number of requests that an upstream works on at once.
const DEFAULT_SLOTS: u32 = 16;

/// Default time between two tokens of a stream, in ms.
const DEFAULT_BETWEEN_MS: u64 = 31;

/// Default multiple of the target after which a request is given up.
const DEFAULT_DEADLINE_TARGETS: u64 = 20;

/// A group of callers with a share of its own.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name.
    pub name: String,
    /// Share relative to the other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// SHA-256 of the bearer token in hex; without it no token is asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_sha256: Option<String>,
}

/// A kind of request with its target.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: String,
    /// Priority, zero is the highest.
    pub tier: u8,
    /// Time to the first token, or to the whole answer of a plain service, in ms.
    pub target_ms: u64,
    /// Mean time between two tokens, in ms.
    #[serde(default = "default_between_ms")]
    pub between_ms: u64,
    /// Time after which a request is given up, in ms; 20 targets if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether a request may run more than once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Whether a request is never shed or preempted for one of a lower tier.
    #[serde(default)]
    pub protected: bool,
}

impl Class {
    /// Time after which a request is given up, in ms.
    #[must_use]
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
            .unwrap_or(self.target_ms.saturating_mul(DEFAULT_DEADLINE_TARGETS))
    }
}

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that stream tokens.
    Model,
    /// Plain services that answer at once.
    Plain,
}

/// A set of upstreams that can stand in for each other.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// What its upstreams are.
    pub kind: Kind,
}

/// A process that answers requests of one pool.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub name: String,
    /// The pool it belongs to.
    pub pool: String,
    /// Socket address, `IP:port`.
    pub address: String,
    /// The data centre it stands in.
    #[serde(default)]
    pub data_centre: String,
    /// Requests it works on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Something that callers ask for.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// The pool that answers.
    pub pool: String,
    /// The model that it serves; for pools of kind `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path that it answers under; for pools of kind `plain`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// Services that it needs.
    #[serde(default)]
    pub depends_on: Vec<String>,
    /// Upstreams that hold its model in ordinary times.
    #[serde(default = "default_weight")]
    pub replicas: u32,
}

/// A fixed point in time that services have to be ready for.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Unique name.
    pub name: String,
    /// The service that it needs.
    pub service: String,
    /// Its start in RFC 3339, in UTC, such as `2026-12-04T09:00:00Z`.
    pub start: String,
    /// Upstreams that have to hold the service's model by then.
    pub replicas: u32,
    /// How long it lasts, in minutes.
    #[serde(default = "default_minutes")]
    pub minutes: u64,
}

impl Event {
    /// Its start in ms since 1970, if it can be read.
    #[must_use]
    pub fn start_ms(&self) -> Option<u64> {
        let start = humantime::parse_rfc3339(&self.start).ok()?;
        let since = start.duration_since(std::time::UNIX_EPOCH).ok()?;
        u64::try_from(since.as_millis()).ok()
    }
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

fn default_between_ms() -> u64 {
    DEFAULT_BETWEEN_MS
}

fn default_true() -> bool {
    true
}

/// Default length of an event in minutes.
fn default_minutes() -> u64 {
    60
}
