//! Settings of a pass-through instance.
//!
//! ```
//! use vanillakeel_entry::gateway::Settings;
//!
//! let settings = Settings::parse(
//!     r#"
//!     [instance]
//!     name = "entry-1"
//!     data_centre = "dc-1"
//!
//!     [listen]
//!     callers = "127.0.0.1:8080"
//!     operators = "127.0.0.1:8081"
//!
//!     [store]
//!     address = "127.0.0.1:7001"
//! "#,
//! )?;
//! assert_eq!(settings.timing.connect_ms, 400);
//! # Ok::<(), vanillakeel_entry::settings::Error>(())
//! ```

use crate::settings::{
    Error,
    Instance,
    Log,
    check_listen,
    fail,
    parse,
    read, //
};
use serde::Deserialize;
use std::{
    net::SocketAddr,
    path::Path, //
};

/// Settings of a pass-through instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// The log service.
    pub store: Store,
    /// The machine that it runs on.
    #[serde(default)]
    pub machine: Machine,
    /// Times.
    #[serde(default)]
    pub timing: Timing,
    /// Retry budget.
    #[serde(default)]
    pub retries: Retries,
    /// Connections to upstreams.
    #[serde(default)]
    pub connections: Connections,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
}

/// Where the instance listens, over TCP if nothing else is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness and metrics.
    pub operators: SocketAddr,
    /// For other instances, over UDP; without it, each instance reads the log itself.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// The machine that an instance runs on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Bandwidth of its link in Mbit/s, zero if unknown; hubs are where it is widest.
    pub link_mbps: f64,
}

/// The log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Times, all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time to establish a connection to an upstream or the log service.
    pub connect_ms: u64,
    /// Time after which unacknowledged bytes end a connection.
    pub unacknowledged_ms: u64,
    /// Wait of a read of the configuration for a new version.
    pub configuration_wait_ms: u64,
    /// Time between two reads of what upstreams say.
    pub discovery_every_ms: u64,
    /// Time between two messages to a peer.
    pub mesh_every_ms: u64,
    /// Time for an answer of the log service beyond the wait asked for.
    pub store_answer_ms: u64,
    /// Time within which upstreams whose entry lapsed during an outage of the log are listed again.
    pub relisted_ms: u64,
    /// Time for which a revoked key may still be used.
    pub revoked_ms: u64,
    /// Time within which a configuration is in force.
    pub in_force_ms: u64,
    /// After SIGTERM, new connections are taken as before for this long, until the balancer has
    /// noticed.
    pub balancer_delay_ms: u64,
    /// Requests that arrive this long after SIGTERM are refused as not run, since they could not end
    /// in time.
    pub last_request_ms: u64,
    /// The process ends this long after SIGTERM at the latest.
    pub grace_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect_ms: 400,
            unacknowledged_ms: 1_000,
            configuration_wait_ms: 1_000,
            discovery_every_ms: 800,
            mesh_every_ms: 100,
            store_answer_ms: 1_000,
            relisted_ms: 2_200,
            revoked_ms: 5_000,
            in_force_ms: 2_000,
            balancer_delay_ms: 2_500,
            last_request_ms: 2_900,
            grace_ms: 8_000,
        }
    }
}

/// Retry budget, which all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Repeats for each request in the window.
    pub ratio: f64,
    /// Repeats beyond that of all instances together.
    pub slack: f64,
    /// Length of the window in ms.
    pub window_ms: u64,
    /// Instances that share the slack, while nothing better is known.
    pub instances: u32,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
            instances: 16,
        }
    }
}

/// Connections to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Idle connections kept for an upstream.
    pub idle: usize,
    /// Time before the end of an upstream's keep-alive at which a connection is used no more.
    pub margin_ms: u64,
    /// Time for which an idle connection is kept when the upstream doesn't say.
    pub idle_ms: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            idle: 8,
            margin_ms: 700,
            idle_ms: 3_000,
        }
    }
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns the first fault found; its text names the key and the reason.
    pub fn read(path: &Path) -> Result<Self, Error> {
        read(path, Self::check)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns the first fault found; its text names the key and the reason.
    pub fn parse(source: &str) -> Result<Self, Error> {
        parse(source, Self::check)
    }

    fn check(&self) -> Result<(), Error> {
        self.instance.check()?;
        check_listen(self.listen.callers, self.listen.operators)?;
        if !self.machine.link_mbps.is_finite() || self.machine.link_mbps < 0.0 {
            return fail("machine.link_mbps", "has to be 0 or more");
        }
        let timing = &self.timing;
        if timing.connect_ms == 0 {
            return fail("timing.connect_ms", "has to be 1 or more");
        }
        if timing.mesh_every_ms == 0 {
            return fail("timing.mesh_every_ms", "has to be 1 or more");
        }
        if timing.discovery_every_ms == 0 {
            return fail("timing.discovery_every_ms", "has to be 1 or more");
        }
        if timing.last_request_ms < timing.balancer_delay_ms {
            let reason = "has to be as long as timing.balancer_delay_ms or longer";
            return fail("timing.last_request_ms", reason);
        }
        if timing.grace_ms <= timing.last_request_ms {
            let reason = "has to be longer than timing.last_request_ms";
            return fail("timing.grace_ms", reason);
        }
        if timing.revoked_ms <= timing.configuration_wait_ms {
            let reason = "has to be longer than timing.configuration_wait_ms";
            return fail("timing.revoked_ms", reason);
        }
        if !self.retries.ratio.is_finite() || self.retries.ratio < 0.0 {
            return fail("retries.ratio", "has to be 0 or more");
        }
        if !self.retries.slack.is_finite() || self.retries.slack < 0.0 {
            return fail("retries.slack", "has to be 0 or more");
        }
        if self.retries.window_ms == 0 || self.retries.instances == 0 {
            return fail("retries.window_ms", "has to be 1 or more");
        }
        Ok(())
    }
}
