//! Settings of an instance, read from a TOML file and checked.
//!
//! ```
//! use vanillakeel_entry::Settings;
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
//!     peers = "127.0.0.1:8082"
//!
//!     [platform]
//!     log = "127.0.0.1:7001"
//!     instance_list = "127.0.0.1:7002"
//! "#,
//! )?;
//! assert_eq!(settings.limits.body_bytes, 4 << 20);
//! # Ok::<(), vanillakeel_entry::settings::Error>(())
//! ```

use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use std::{
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
};

/// Largest valid `timing.balancer_delay_ms`, in ms.
const MAX_BALANCER_DELAY_MS: u64 = 600_000;

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the instance.
    pub instance: Instance,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Keys for messages between instances; without them, no messages are exchanged.
    #[serde(default)]
    pub keys: Option<Keys>,
    /// Limits on requests and answers.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: Timing,
    /// Choice of upstreams.
    #[serde(default)]
    pub routing: Routing,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Identity of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name, which its certificate must carry.
    pub name: String,
    /// The data centre in which it runs.
    pub data_centre: String,
}

impl Instance {
    pub(crate) fn check(&self) -> Result<(), Error> {
        if self.name.is_empty() {
            return fail("instance.name", "is empty");
        }
        Ok(())
    }
}

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, over TCP.
    pub callers: SocketAddr,
    /// For `/healthz`, `/readyz`, `/metrics` and `/status`, over TCP.
    pub operators: SocketAddr,
    /// For other instances, over UDP.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The service with the instance list.
    pub instance_list: SocketAddr,
}

/// PEM files with the keys for messages between instances.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Certificate of the authority that all instances trust.
    pub ca: PathBuf,
    /// Certificate of this instance.
    pub certificate: PathBuf,
    /// Private key of this instance.
    pub key: PathBuf,
}

/// Limits on requests and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open requests; further ones are refused.
    pub concurrent_calls: usize,
    /// Maximum number of bodies read at the same time; further ones are refused, so that slow senders
    /// can't use up `concurrent_calls`.
    pub concurrent_reads: usize,
    /// Largest answer that an upstream sends as a whole and not as a stream, in bytes.
    pub answer_bytes: usize,
    /// Maximum number of requests in the queue of a service.
    pub queue: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            concurrent_calls: 2_048,
            concurrent_reads: 256,
            answer_bytes: 16 << 20,
            queue: 1_024,
        }
    }
}

/// Intervals and time limits, all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time for which new requests are still accepted after a stop was requested, until the load
    /// balancer has noticed that the instance is leaving.
    pub balancer_delay_ms: u64,
    /// Time limit of a planned stop; requests still open are then refused, each with a verdict that
    /// says whether it may have run.
    pub stop_limit_ms: u64,
    /// Largest age of an idempotency key that is accepted.
    pub key_window_ms: u64,
    /// Retention of the log service, which must be longer than `key_window_ms`.
    pub log_retention_ms: u64,
    /// Interval at which the instance list is read.
    pub list_every_ms: u64,
    /// Interval between polls for load reports, each of one upstream; the holder of the placement
    /// lease polls four times as often.
    pub report_every_ms: u64,
    /// Interval between gossip rounds, in which random peers get a message.
    pub gossip_every_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            balancer_delay_ms: 2_000,
            stop_limit_ms: 120_000,
            key_window_ms: 15 * 60 * 1_000,
            log_retention_ms: 60 * 60 * 1_000,
            list_every_ms: 1_000,
            report_every_ms: 800,
            gossip_every_ms: 1_000,
        }
    }
}

/// Data centres whose upstreams an instance uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// All data centres.
    #[default]
    All,
    /// Only the data centre of the instance.
    DataCentre,
}

/// Choice of the upstreams that an instance uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Data centres whose upstreams are used.
    pub scope: Scope,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text for people.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// Filter, such as `info` or `vanillakeel_entry=debug`.
    pub level: String,
    /// Whether a line with the duration is written when a span ends.
    pub spans: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::Human,
            level: "info".to_owned(),
            spans: false,
        }
    }
}

/// Reason why settings can't be read or are invalid.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {path}: {reason}
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        reason: String,
    },
    /// line {line}: {reason}
    Syntax {
        /// Line number, starting at 1.
        line: usize,
        /// Error of the parser.
        reason: String,
    },
    /// {key}: {reason}
    Key {
        /// The key, such as `limits.body_bytes`.
        key: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// Returns an error for the value of a key.
pub(crate) fn fail(key: &'static str, reason: &str) -> Result<(), Error> {
    Err(Error::Key {
        key,
        reason: reason.to_owned(),
    })
}

/// Checks that callers and operators have different addresses.
pub(crate) fn check_listen(callers: SocketAddr, operators: SocketAddr) -> Result<(), Error> {
    if callers == operators && callers.port() != 0 {
        return fail("listen.operators", "is the same as listen.callers");
    }
    Ok(())
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error found, which names the key and the reason.
    pub fn read(path: &Path) -> Result<Self, Error> {
        read(path, Self::check)
    }

    /// Parses and checks settings in TOML.
    ///
    /// # Errors
    ///
    /// Returns the first error found, which names the key and the reason.
    pub fn parse(source: &str) -> Result<Self, Error> {
        parse(source, Self::check)
    }

    fn check(&self) -> Result<(), Error> {
        self.instance.check()?;
        check_listen(self.listen.callers, self.listen.operators)?;
        if self.limits.concurrent_calls == 0 || self.limits.concurrent_reads == 0 {
            return fail("limits.concurrent_calls", "has to be 1 or more");
        }
        if self.limits.body_bytes == 0 {
            return fail("limits.body_bytes", "has to be 1 or more");
        }
        if self.timing.key_window_ms >= self.timing.log_retention_ms {
            let reason = "has to be shorter than timing.log_retention_ms";
            return fail("timing.key_window_ms", reason);
        }
        if self.timing.balancer_delay_ms > MAX_BALANCER_DELAY_MS {
            return fail("timing.balancer_delay_ms", "has to be 600000 or less");
        }
        if self.timing.list_every_ms == 0 || self.timing.report_every_ms == 0 {
            return fail("timing.list_every_ms", "has to be 1 or more");
        }
        Ok(())
    }
}

/// Reads a settings file and checks it.
pub(crate) fn read<T: DeserializeOwned>(
    path: &Path,
    check: fn(&T) -> Result<(), Error>,
) -> Result<T, Error> {
    let source = fs::read_to_string(path).map_err(|e| Error::Read {
        path: path.display().to_string(),
        reason: e.to_string(),
    })?;
    parse(&source, check)
}

/// Parses settings in TOML and checks them.
pub(crate) fn parse<T: DeserializeOwned>(
    source: &str,
    check: fn(&T) -> Result<(), Error>,
) -> Result<T, Error> {
    let settings = toml::from_str(source).map_err(|e| syntax(source, &e))?;
    check(&settings)?;
    Ok(settings)
}

/// Converts a syntax error and adds the line number.
fn syntax(source: &str, error: &toml::de::Error) -> Error {
    let start = error.span().map_or(0, |span| span.start.min(source.len()));
    let line = source[..start].matches('\n').count() + 1;
    Error::Syntax {
        line,
        reason: error.message().replace('\n', " "),
    }
}
