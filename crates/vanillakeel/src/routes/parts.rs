//! The parts of a routing configuration: routes, services, workspaces and limits.

use std::sync::Arc;

/// Whether requests of a route may run more than once, and the form of their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request may run at most once.
    #[default]
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether a broken stream is resumed at another upstream after its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// The handling of requests for one host and path prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that it applies to.
    pub host: Arc<str>,
    /// Path prefix that it applies to.
    pub prefix: String,
    /// Whether requests may run more than once, and the form of the answers.
    pub kind: RouteKind,
    /// Time limit for the whole answer, in ms.
    pub timeout_ms: u64,
    /// Target for the time to the first event, or to the whole answer of a plain request, in ms.
    pub target_ms: u64,
    /// Target for the longest pause between two events, in ms.
    pub gap_target_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Services that answer its requests, by weight.
    pub services: Vec<WeightedService>,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

impl Route {
    /// Returns the services that may get requests: those with a weight, or the first one if none has any.
    pub fn allowed_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let has_weight = self.services.iter().any(|s| s.weight > 0);
        let without_weights = usize::from(!has_weight);
        self.services
            .iter()
            .enumerate()
            .filter(move |(at, s)| s.weight > 0 || *at < without_weights)
            .map(|(_, s)| &s.service)
    }

    /// Returns the service for a request, chosen by weight with the evenly distributed number
    /// `sample`.
    #[must_use]
    pub fn service_for(&self, sample: u64) -> Option<&Arc<str>> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.services.first().map(|s| &s.service);
        }
        let mut left = sample % total;
        for weighted in &self.services {
            let weight = u64::from(weighted.weight);
            if left < weight {
                return Some(&weighted.service);
            }
            left -= weight;
        }
        None
    }
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Connections that each of its upstreams accepts from all instances together.
    pub max_connections: u32,
    /// Whether its upstreams are model engines, which cache the prefixes of prompts.
    pub is_engine: bool,
    /// Memory of each of its engines in tokens, shared by running requests and cached prefixes, if known.
    pub memory_tokens: Option<u64>,
    /// How many upstreams may be ordered and what they cost, if the number follows the load.
    pub autoscale: Option<Autoscale>,
}

/// Bounds and prices of the upstreams of a service whose number follows the load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Autoscale {
    /// Fewest upstreams in each data centre, of both kinds together.
    pub min_upstreams: u32,
    /// Most upstreams in each data centre, of both kinds together.
    pub max_upstreams: u32,
    /// Time from an order until the new upstream serves, in ms.
    pub boot_ms: u64,
    /// Price of a spot upstream in thousandths of the price of another one, if spot upstreams are offered.
    pub spot_price: Option<u32>,
    /// Price of an upstream by data centre in thousandths, sorted by data centre.
    pub prices: Vec<(Arc<str>, u32)>,
}

/// A workspace in the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Priority that takes precedence over that of the route, if any; zero is the most urgent.
    pub priority: Option<u8>,
}

/// Limits on what callers send, and on how long they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time until a request head has arrived, in ms.
    pub header_ms: u64,
    /// Longest time for which a connection may be idle, in ms.
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

/// The contents of one version, from which a [`Table`](super::Table) is built.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableSpec {
    /// Increases with each version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<Service>,
    /// Workspaces with their keys; `None` if requests need no key. With an empty list no key is valid.
    pub workspaces: Option<Vec<Workspace>>,
    /// Limits on callers.
    pub limits: Limits,
}
