//! Settings of a pass-through instance, read from a TOML file.
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

use super::{
    caller_settings::Callers,
    duration,
    flag,
    optional, //
};
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
use vanillakeel::quarantine::{
    self,
    Subject, //
};

/// Settings of a pass-through instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and data centre of the instance.
    pub instance: Instance,
    /// Addresses on which the instance listens.
    pub listen: Listen,
    /// Log service from which the configuration and the upstreams are read.
    pub store: Store,
    /// Machine that the instance runs on.
    #[serde(default)]
    pub machine: Machine,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: Timing,
    /// Retry budget.
    #[serde(default)]
    pub retries: Retries,
    /// Idle connections to upstreams.
    #[serde(default)]
    pub connections: Connections,
    /// Quarantine of prompt segments that crash upstreams.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Tasks that one instance at a time does for the platform.
    #[serde(default)]
    pub duties: Duties,
    /// Bounds of what callers may make the instance hold.
    #[serde(default)]
    pub callers: Callers,
    /// Output of log lines.
    #[serde(default)]
    pub log: Log,
}

/// Addresses on which the instance listens, over TCP unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the pages for readiness and metrics.
    pub operators: SocketAddr,
    /// UDP address for other instances; without it, the instance always reads the log itself.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// Machine that an instance runs on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Bandwidth of its link in Mbit/s, zero if unknown; instances with the highest
    /// bandwidth become hubs.
    pub link_mbps: f64,
    /// Memory that the process may use in MB, zero if it is not limited.
    #[serde(deserialize_with = "optional::deserialize_whole")]
    pub memory_mb: u64,
    /// Descriptors that the process may have open, zero if they are not limited.
    #[serde(deserialize_with = "optional::deserialize_whole")]
    pub descriptors: u64,
}

/// Log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the service.
    pub address: SocketAddr,
}

/// Intervals and time limits, all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time limit for establishing a connection to an upstream or to the log service.
    pub connect_ms: u64,
    /// A connection is closed when sent bytes are not acknowledged within this time.
    pub unacknowledged_ms: u64,
    /// Time for which a read of the configuration waits at the log for a new version, at most a third
    /// of `in_force_ms`.
    pub configuration_wait_ms: u64,
    /// Time between two reads of the entries of upstreams.
    pub discovery_every_ms: u64,
    /// Time between two reports to a hub, or between two exchanges of hubs.
    pub mesh_every_ms: u64,
    /// Time limit for an answer of the log service, in addition to the wait that a read asks for.
    pub store_answer_ms: u64,
    /// Time within which upstreams whose entries expired during an outage of the log are listed
    /// again.
    pub relisted_ms: u64,
    /// Longest time for which a revoked key may still be accepted.
    #[serde(deserialize_with = "duration::deserialize_ms")]
    pub revoked_ms: u64,
    /// Time within which a published configuration has to be in force.
    #[serde(deserialize_with = "duration::deserialize_ms")]
    pub in_force_ms: u64,
    /// Time after SIGTERM for which new connections are accepted as before, until the load balancer
    /// has noticed the stop.
    pub balancer_delay_ms: u64,
    /// Time after SIGTERM from which new requests are refused as not run, since they could not end
    /// before the process does.
    pub last_request_ms: u64,
    /// Time after SIGTERM within which the process has to exit.
    #[serde(deserialize_with = "duration::deserialize_ms")]
    pub grace_ms: u64,
    /// Longest time for which an upstream may ask for no requests.
    pub max_pause_ms: u64,
}

impl Timing {
    /// Returns the time for which a read of the configuration waits at the log, in ms.
    ///
    /// It leaves time for a second read before a version has to be in force, in case the connection
    /// of the first one is dead.
    #[must_use]
    pub const fn configuration_read_wait_ms(&self) -> u64 {
        let max_ms = self.in_force_ms / 3;
        if self.configuration_wait_ms < max_ms {
            self.configuration_wait_ms
        } else {
            max_ms
        }
    }

    /// Returns the age, in ms, up to which members rely on the last confirmation of their hub.
    ///
    /// Without faults it grows to the duration of two reads, since it counts from the sending of a read
    /// and lasts until the next one is answered. The limit lies half-way between that and the time
    /// limit of a version, so that a hub has time for a second read, and then its members for one of
    /// their own.
    #[must_use]
    pub const fn hub_confirmation_ms(&self) -> u64 {
        u64::midpoint(2 * self.configuration_read_wait_ms(), self.in_force_ms)
    }
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
            max_pause_ms: 600_000,
        }
    }
}

/// Retry budget of each service, which all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Additional retries in the window, for all instances together.
    pub slack: f64,
    /// Length of the window in ms.
    #[serde(deserialize_with = "duration::deserialize_ms")]
    pub window_ms: u64,
    /// Number of instances that share the slack, where they do not exchange load; otherwise the assumed
    /// number of those that share connections to upstreams until the real one is known.
    pub instances: u32,
    /// Time after the start of the process from which it uses the slack, in ms. Without this setting it is
    /// `window_ms` where instances exchange load, as an earlier process may have used the same part, and
    /// otherwise zero.
    pub slack_after_ms: Option<u64>,
    /// Whether the whole system starts for the first time, so that no earlier process and no other instance
    /// can have made retries before; also as text, of which an empty one means no.
    #[serde(deserialize_with = "flag::deserialize")]
    pub first_start: bool,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
            instances: 16,
            slack_after_ms: None,
            first_start: false,
        }
    }
}

/// Quarantine of requests and prompt segments that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quarantine {
    /// Crashes without a success in between for which a segment is refused that no upstream is known to
    /// have answered.
    pub crashes: u32,
    /// The same number for a segment that was answered before.
    pub crashes_of_answered: u32,
    /// Time after the last request for it for which a segment is refused, in ms.
    pub hold_ms: u64,
    /// Segments that are never refused, as hexadecimal ids.
    pub exempt: Vec<String>,
    /// Requests that are never refused, as hexadecimal digests.
    pub exempt_requests: Vec<String>,
}

impl Quarantine {
    /// Returns the settings of the library; ids that can't be read were refused by the check.
    pub(super) fn to_library(&self) -> quarantine::Settings {
        let ids =
            |texts: &[String]| -> Vec<u64> { texts.iter().filter_map(|id| parse_id(id)).collect() };
        let segments = ids(&self.exempt).into_iter().map(Subject::Segment);
        let requests = ids(&self.exempt_requests).into_iter().map(Subject::Request);
        let mut exempt: Vec<Subject> = segments.chain(requests).collect();
        exempt.sort_unstable();
        quarantine::Settings {
            crashes: self.crashes,
            crashes_of_answered: self.crashes_of_answered,
            hold_ms: self.hold_ms,
            exempt,
            ..quarantine::Settings::default()
        }
    }
}

fn parse_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}

impl Default for Quarantine {
    fn default() -> Self {
        let defaults = quarantine::Settings::default();
        Self {
            crashes: defaults.crashes,
            crashes_of_answered: defaults.crashes_of_answered,
            hold_ms: defaults.hold_ms,
            exempt: Vec::new(),
            exempt_requests: Vec::new(),
        }
    }
}

/// Tasks that one instance at a time does for the platform, which is the holder of a lease on the log.
///
/// Values may be texts; a template that fills in a value it does not know gives an empty one, which leaves
/// the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Duties {
    /// Address of the platform's calls; without it no task is done.
    #[serde(deserialize_with = "optional::deserialize_address")]
    pub address: Option<SocketAddr>,
    /// Tasks to do, as a text with commas: `usage_report`, `autoscale`; unknown ones are passed over.
    #[serde(deserialize_with = "optional::deserialize_tasks")]
    pub tasks: DutyTasks,
    /// Time that the lease lasts without a renewal, in ms.
    #[serde(deserialize_with = "optional::deserialize_lease_ms")]
    pub lease_ms: u64,
    /// Length of the windows whose usage is reported, in ms.
    #[serde(deserialize_with = "optional::deserialize_usage_window_ms")]
    pub usage_window_ms: u64,
    /// Time after the end of a window within which its usage has to be reported, in ms.
    #[serde(deserialize_with = "optional::deserialize_usage_due_ms")]
    pub usage_due_ms: u64,
    /// Calls a second that the platform takes from all instances, zero if they are not limited.
    #[serde(deserialize_with = "optional::deserialize_whole")]
    pub calls_per_s: u64,
}

/// The tasks that a holder does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DutyTasks {
    /// Reports the usage of each window.
    pub reports_usage: bool,
    /// Orders as many upstreams as the load needs.
    pub orders_upstreams: bool,
}

impl Duties {
    /// Shortest lease, in ms.
    const MIN_LEASE_MS: u64 = 100;

    /// Returns whether there is any task to do.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        self.address.is_some() && (self.tasks.reports_usage || self.tasks.orders_upstreams)
    }

    fn check(&self) -> Result<(), Error> {
        if self.lease_ms < Self::MIN_LEASE_MS {
            return fail("duties.lease_ms", "has to be 100 or more");
        }
        if self.usage_window_ms == 0 {
            return fail("duties.usage_window_ms", "has to be 1 or more");
        }
        if self.usage_due_ms == 0 {
            return fail("duties.usage_due_ms", "has to be 1 or more");
        }
        Ok(())
    }
}

impl Default for Duties {
    fn default() -> Self {
        Self {
            address: None,
            tasks: DutyTasks::default(),
            lease_ms: 3_000,
            usage_window_ms: 60_000,
            usage_due_ms: 60_000,
            calls_per_s: 0,
        }
    }
}

/// Idle connections to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Largest number of idle connections per upstream.
    pub idle: usize,
    /// Time before the end of the upstream's keep-alive timeout from which a connection is no longer
    /// used.
    pub margin_ms: u64,
    /// Assumed keep-alive timeout when the upstream does not announce one.
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
    /// Reads a TOML file and checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with the key and the reason.
    pub fn read(path: &Path) -> Result<Self, Error> {
        read(path, Self::check)
    }

    /// Parses TOML text and checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with the key and the reason.
    pub fn parse(toml: &str) -> Result<Self, Error> {
        parse(toml, Self::check)
    }

    fn check(&self) -> Result<(), Error> {
        self.instance.check()?;
        check_listen(self.listen.callers, self.listen.operators)?;
        if !self.machine.link_mbps.is_finite() || self.machine.link_mbps < 0.0 {
            return fail("machine.link_mbps", "has to be 0 or more");
        }
        self.duties.check()?;
        self.callers.check()?;
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
        if timing.max_pause_ms == 0 {
            return fail("timing.max_pause_ms", "has to be 1 or more");
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
        let quarantine = &self.quarantine;
        if quarantine.crashes == 0 || quarantine.crashes_of_answered < quarantine.crashes {
            let reason =
                "has to be 1 or more, and quarantine.crashes_of_answered as large or larger";
            return fail("quarantine.crashes", reason);
        }
        if quarantine.exempt.iter().any(|id| parse_id(id).is_none()) {
            return fail(
                "quarantine.exempt",
                "has to hold hexadecimal ids of segments",
            );
        }
        if self.retries.window_ms == 0 || self.retries.instances == 0 {
            return fail("retries.window_ms", "has to be 1 or more");
        }
        Ok(())
    }
}
