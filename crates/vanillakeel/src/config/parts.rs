//! The sections of a configuration.

use serde::{
    Deserialize,
    Serialize, //
};

/// Default weight of a workspace, and default number of replicas of a service.
const DEFAULT_WEIGHT: u32 = 1;

/// Default number of requests that an upstream handles concurrently.
const DEFAULT_SLOTS: u32 = 16;

/// Default mean time between two tokens of a stream, in ms.
const DEFAULT_BETWEEN_MS: u64 = 31;

/// Default deadline of a request, as a multiple of the target.
const DEFAULT_DEADLINE_FACTOR: u64 = 20;

/// A group of callers with a share of the capacity.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name.
    pub name: String,
    /// Share of the capacity relative to other workspaces, 1 if absent.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// SHA-256 of the bearer token in hexadecimal digits; if absent, no token is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_sha256: Option<String>,
}

/// A service class of requests: its priority and latency target.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: String,
    /// Priority; zero is the highest.
    pub tier: u8,
    /// Target for the time to the first token, or to the whole answer of a plain service, in ms.
    pub target_ms: u64,
    /// Target for the mean time between two tokens, in ms.
    #[serde(default = "default_between_ms")]
    pub between_ms: u64,
    /// Time after which a request is given up, in ms; 20 times the target if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether a request may run more than once; true if absent.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Whether a request is never shed or preempted in favour of one with a lower priority.
    #[serde(default)]
    pub protected: bool,
}

impl Class {
    /// Returns the time after which a request is given up, in ms.
    #[must_use]
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
            .unwrap_or(self.target_ms.saturating_mul(DEFAULT_DEADLINE_FACTOR))
    }
}

/// What kind of upstreams a pool has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that stream tokens.
    Model,
    /// Plain services that return a whole answer without streaming.
    Plain,
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// Kind of its upstreams.
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
    /// The data centre that it runs in.
    #[serde(default)]
    pub data_centre: String,
    /// Number of requests that it handles concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses a placement command with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A model or path that callers can request.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// The pool that serves it.
    pub pool: String,
    /// The model that it serves; only for pools of kind `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path prefix that it serves; only for pools of kind `plain`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// Names of services that it depends on.
    #[serde(default)]
    pub depends_on: Vec<String>,
    /// Number of upstreams that hold its model when no event requires more.
    #[serde(default = "default_weight")]
    pub replicas: u32,
}

/// A scheduled event that a service has to be ready for.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Unique name.
    pub name: String,
    /// The service that has to be ready.
    pub service: String,
    /// Start in RFC 3339 and UTC, such as `2026-12-04T09:00:00Z`.
    pub start: String,
    /// Number of upstreams that have to hold the model of the service by then.
    pub replicas: u32,
    /// Duration in minutes, 60 if absent.
    #[serde(default = "default_minutes")]
    pub minutes: u64,
}

impl Event {
    /// Returns the start in ms since the Unix epoch, or `None` if it is malformed.
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

/// Returns the default duration of an event in minutes.
fn default_minutes() -> u64 {
    60
}
