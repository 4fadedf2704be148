//! The parts that a version of the routing configuration is made of.

use std::sync::Arc;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Safe,
    /// A request may run once at most.
    #[default]
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether a broken stream goes on at another upstream after its last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Part relative to the other targets.
    pub weight: u32,
}

/// How requests of one host and path prefix are handled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// The host that it belongs to.
    pub host: Arc<str>,
    /// The path prefix that it serves.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time until the end of the answer, in ms.
    pub timeout_ms: u64,
    /// Time to the first event, or to the whole answer, in ms.
    pub target_ms: u64,
    /// Longest pause between two events that is in time, in ms.
    pub gap_target_ms: u64,
    /// Rank, zero is the most urgent.
    pub priority: u8,
    /// The services that answer.
    pub targets: Vec<Target>,
    /// Most upstreams that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// The service for a request, by the weights and an evenly spread `roll`.
    #[must_use]
    pub fn service_for(&self, roll: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|t| &t.service);
        }
        let mut left = roll % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// Upstreams that can stand in for each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Connections that one of its upstreams accepts from all instances together.
    pub max_connections: u32,
    /// Whether its upstreams are model engines, which keep the prompts that they have read.
    pub is_engine: bool,
}

/// A workspace as the routing configuration knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Client {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank that goes before the one of the route.
    pub priority: Option<u8>,
}

/// Limits on what callers send and how long they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, in ms.
    pub header_ms: u64,
    /// Longest time that a connection stays idle, in ms.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// All that one version says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    /// Grows with each version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<Service>,
    /// Workspaces with their keys.
    pub clients: Vec<Client>,
    /// Limits on callers.
    pub limits: Limits,
}
