//! The checks that a configuration has to pass.

use super::{
    Config,
    Kind,
    Service, //
};
use std::net::SocketAddr;

/// Highest tier number; five tiers are in use, and three are reserved.
const MAX_TIER: u8 = 7;

/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a configuration is refused.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum Error {
    /// line {line}: {reason}
    Syntax {
        /// Line number, starting at 1.
        line: usize,
        /// Message of the parser.
        reason: String,
    },
    /// the text has {bytes} bytes, the limit is {limit}
    TooLarge {
        /// Size of the text in bytes.
        bytes: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// {key}: {reason}
    Key {
        /// The key, such as `class.validity.tier`.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    pub(super) fn syntax(source: &str, error: &toml::de::Error) -> Self {
        let start = error.span().map_or(0, |span| span.start.min(source.len()));
        let line = source.as_bytes()[..start]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
            + 1;
        Self::Syntax {
            line,
            reason: error.message().replace('\n', " "),
        }
    }

    fn key(key: String, reason: impl Into<String>) -> Self {
        Self::Key {
            key,
            reason: reason.into(),
        }
    }
}

/// Checks a configuration whose lists are sorted by name.
pub(super) fn check_all(config: &Config) -> Result<(), Error> {
    names(config)?;
    workspaces(config)?;
    classes(config)?;
    upstreams(config)?;
    services(config)?;
    cycles(config)?;
    events(config)
}

fn names(config: &Config) -> Result<(), Error> {
    unique(
        "workspace",
        config.workspaces.iter().map(|w| w.name.as_str()),
    )?;
    unique("class", config.classes.iter().map(|c| c.name.as_str()))?;
    unique("pool", config.pools.iter().map(|p| p.name.as_str()))?;
    unique("upstream", config.upstreams.iter().map(|u| u.name.as_str()))?;
    unique("service", config.services.iter().map(|s| s.name.as_str()))?;
    unique("event", config.events.iter().map(|e| e.name.as_str()))
}

fn unique<'a>(kind: &str, names: impl Iterator<Item = &'a str>) -> Result<(), Error> {
    let mut last = None;
    for name in names {
        if last == Some(name) {
            return Err(Error::key(
                format!("{kind}.{name}"),
                "the name stands twice",
            ));
        }
        if !is_name(name) {
            let reason = "a name has 1 to 64 letters, digits, '-', '_' or '.'";
            return Err(Error::key(format!("{kind}.{name:?}.name"), reason));
        }
        last = Some(name);
    }
    Ok(())
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}

fn workspaces(config: &Config) -> Result<(), Error> {
    for w in &config.workspaces {
        if w.weight == 0 {
            let key = format!("workspace.{}.weight", w.name);
            return Err(Error::key(key, "has to be 1 or more"));
        }
        let is_hex = |t: &String| t.len() == 64 && t.bytes().all(|b| b.is_ascii_hexdigit());
        if w.token_sha256.as_ref().is_some_and(|t| !is_hex(t)) {
            let key = format!("workspace.{}.token_sha256", w.name);
            return Err(Error::key(key, "has to be 64 hexadecimal digits"));
        }
    }
    Ok(())
}

fn classes(config: &Config) -> Result<(), Error> {
    for c in &config.classes {
        let key = |part: &str| format!("class.{}.{part}", c.name);
        if c.tier > MAX_TIER {
            return Err(Error::key(
                key("tier"),
                format!("has to be 0 to {MAX_TIER}"),
            ));
        }
        if c.target_ms == 0 {
            return Err(Error::key(key("target_ms"), "has to be 1 ms or more"));
        }
        if c.deadline_ms() < c.target_ms {
            return Err(Error::key(key("deadline_ms"), "lies before target_ms"));
        }
    }
    Ok(())
}

fn upstreams(config: &Config) -> Result<(), Error> {
    for u in &config.upstreams {
        let key = |part: &str| format!("upstream.{}.{part}", u.name);
        if config.pool(&u.pool).is_none() {
            return Err(Error::key(key("pool"), format!("no pool '{}'", u.pool)));
        }
        if u.address.parse::<SocketAddr>().is_err() {
            return Err(Error::key(key("address"), "has to be IP:port"));
        }
        if u.slots == 0 {
            return Err(Error::key(key("slots"), "has to be 1 or more"));
        }
    }
    Ok(())
}

fn services(config: &Config) -> Result<(), Error> {
    for s in &config.services {
        let key = |part: &str| format!("service.{}.{part}", s.name);
        let Some(pool) = config.pool(&s.pool) else {
            return Err(Error::key(key("pool"), format!("no pool '{}'", s.pool)));
        };
        match (pool.kind, &s.model, &s.prefix) {
            (Kind::Model, Some(_), None) => {}
            (Kind::Plain, None, Some(p)) if p.starts_with('/') && p.len() > 1 => {}
            (Kind::Model, ..) => {
                let reason = "a service of a model pool has a model and no prefix";
                return Err(Error::key(key("model"), reason));
            }
            (Kind::Plain, ..) => {
                let reason = "a service of a plain pool has a prefix such as '/register'";
                return Err(Error::key(key("prefix"), reason));
            }
        }
        if let Some(d) = s.depends_on.iter().find(|d| config.service(d).is_none()) {
            return Err(Error::key(key("depends_on"), format!("no service '{d}'")));
        }
        if let Some(other) = ambiguous_service(config, s) {
            let reason = format!("service '{other}' has the same model or prefix");
            return Err(Error::key(key("model"), reason));
        }
    }
    Ok(())
}

/// Returns another service with the same model or prefix as `s`; a request could mean either.
///
/// `s` has either a model or a prefix, so both fields have to be equal, one of them being `None`.
fn ambiguous_service<'a>(config: &'a Config, s: &Service) -> Option<&'a str> {
    config
        .services
        .iter()
        .find(|o| o.name != s.name && o.model == s.model && o.prefix == s.prefix)
        .map(|o| o.name.as_str())
}

fn cycles(config: &Config) -> Result<(), Error> {
    for s in &config.services {
        let mut seen: Vec<&str> = Vec::new();
        let mut to_visit: Vec<&str> = s.depends_on.iter().map(String::as_str).collect();
        while let Some(name) = to_visit.pop() {
            if name == s.name {
                let key = format!("service.{}.depends_on", s.name);
                return Err(Error::key(key, "the service depends on itself"));
            }
            let Err(at) = seen.binary_search(&name) else {
                continue;
            };
            seen.insert(at, name);
            let dependencies = config.service(name).map_or(&[][..], |n| &n.depends_on);
            to_visit.extend(dependencies.iter().map(String::as_str));
        }
    }
    Ok(())
}

fn events(config: &Config) -> Result<(), Error> {
    for e in &config.events {
        let key = |part: &str| format!("event.{}.{part}", e.name);
        if config.service(&e.service).is_none() {
            let reason = format!("no service '{}'", e.service);
            return Err(Error::key(key("service"), reason));
        }
        if e.start_ms().is_none() {
            let reason = "has to be a time in UTC such as '2026-12-04T09:00:00Z'";
            return Err(Error::key(key("start"), reason));
        }
        if e.replicas == 0 {
            return Err(Error::key(key("replicas"), "has to be 1 or more"));
        }
    }
    Ok(())
}
