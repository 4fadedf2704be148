//! Settings of an instance, read from a TOML file.
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

/// Longest that a log keeps the balancer's delay, in ms.
const MAX_BALANCER_DELAY_MS: u64 = 600_000;

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Keys for talk between instances; without them it does not talk to others.
    #[serde(default)]
    pub keys: Option<Keys>,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: Limits,
    /// Times.
    #[serde(default)]
    pub timing: Timing,
    /// Which upstreams it uses.
    #[serde(default)]
    pub routing: Routing,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
}

/// Who the instance is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name, which its certificate carries.
    pub name: String,
    /// The data centre it stands in.
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

/// Where the instance listens.
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

/// The platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The instance list.
    pub instance_list: SocketAddr,
}

/// Keys for talk between instances, in PEM files.
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

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Requests in progress; more are refused.
    pub concurrent_calls: usize,
    /// Bodies that are read at once; more are refused, so that slow senders can't take all calls.
    pub concurrent_reads: usize,
    /// Largest answer of a plain service in bytes.
    pub answer_bytes: usize,
    /// Requests that may wait in the queue of a service.
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

/// Times, all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// After a stop was asked for, new requests are taken for this long, until the balancer has
    /// noticed.
    pub balancer_delay_ms: u64,
    /// A stop ends after this long, with truthful verdicts for what is left.
    pub stop_limit_ms: u64,
    /// Age up to which an idempotency key is taken.
    pub key_window_ms: u64,
    /// Retention of the log service; longer than the window of keys.
    pub log_retention_ms: u64,
    /// Time between two reads of the instance list.
    pub list_every_ms: u64,
    /// Time between two load reports asked for, one upstream at a time; a quarter of it for the
    /// instance that gives orders to upstreams.
    pub report_every_ms: u64,
    /// Time between two messages to random peers.
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

/// Which upstreams an instance uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// Those of all data centres.
    #[default]
    All,
    /// Those of its own data centre.
    DataCentre,
}

/// Which upstreams an instance uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// Whether upstreams of other data centres are used.
    pub scope: Scope,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// Log lines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of a line.
    pub format: Format,
    /// Filter, such as `info` or `vanillakeel_entry=debug`.
    pub level: String,
    /// Whether a line is written when a span ends, with its time.
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

/// Why settings are refused.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {path}: {reason}
    Read {
        /// The file.
        path: String,
        /// What the system says.
        reason: String,
    },
    /// line {line}: {reason}
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// What the parser says.
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

/// Refuses settings for the value of one key.
pub(crate) fn fail(key: &'static str, reason: &str) -> Result<(), Error> {
    Err(Error::Key {
        key,
        reason: reason.to_owned(),
    })
}

/// Checks where an instance listens.
pub(crate) fn check_listen(callers: SocketAddr, operators: SocketAddr) -> Result<(), Error> {
    if callers == operators && callers.port() != 0 {
        return fail("listen.operators", "is the same as listen.callers");
    }
    Ok(())
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

/// Reads settings from TOML and checks them.
pub(crate) fn parse<T: DeserializeOwned>(
    source: &str,
    check: fn(&T) -> Result<(), Error>,
) -> Result<T, Error> {
    let settings = toml::from_str(source).map_err(|e| syntax(source, &e))?;
    check(&settings)?;
    Ok(settings)
}

/// A fault of the form, with its line.
fn syntax(source: &str, error: &toml::de::Error) -> Error {
    let start = error.span().map_or(0, |span| span.start.min(source.len()));
    let line = source[..start].matches('\n').count() + 1;
    Error::Syntax {
        line,
        reason: error.message().replace('\n', " "),
    }
}
