//! The operator's configuration: workspaces, classes, pools, upstreams, services and events.
//!
//! Used by the `vanillakeel-entry` daemon; [`crate::routes`] is its counterpart in the pass-through
//! daemon. An operator publishes a configuration as a TOML text; [`crate::config_log`] decides
//! which one is in force.
//!
//! [`Config::parse`] parses that text and checks it as a whole, so that a configuration in force
//! never refers to something that does not exist.
//!
//! ```
//! use vanillakeel::Config;
//!
//! let config = Config::parse(
//!     r#"
//!     [[workspace]]
//!     name = "clerks"
//!
//!     [[class]]
//!     name = "validity"
//!     tier = 0
//!     target_ms = 400
//!     protected = true
//!
//!     [[pool]]
//!     name = "register"
//!     kind = "plain"
//!
//!     [[service]]
//!     name = "checks"
//!     pool = "register"
//!     prefix = "/register"
//! "#,
//! )?;
//! assert_eq!(config.class("validity").map(|c| c.tier), Some(0));
//! # Ok::<(), vanillakeel::config::Error>(())
//! ```

mod check;
mod parts;

pub use self::{
    check::Error,
    parts::{
        Class,
        Event,
        Kind,
        Pool,
        Service,
        Upstream,
        Workspace, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Largest size of a configuration as TOML, in bytes.
pub const MAX_CONFIG_BYTES: usize = 1 << 20;

/// A checked configuration, with each list sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, expecting = "struct Text")] // the wording of decode errors is stable
pub struct Config {
    /// Workspaces, by name.
    #[serde(default, rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// Classes of requests, by name.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// Pools of interchangeable upstreams, by name.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Upstreams, by name.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<Upstream>,
    /// Services, by name.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Events with a fixed start, by name.
    #[serde(default, rename = "event")]
    pub events: Vec<Event>,
}

impl Config {
    /// Parses and checks a TOML text.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with the line or the key it concerns, or an error if the text
    /// is larger than [`MAX_CONFIG_BYTES`].
    pub fn parse(source: &str) -> Result<Self, Error> {
        if source.len() > MAX_CONFIG_BYTES {
            return Err(Error::TooLarge {
                bytes: source.len(),
                limit: MAX_CONFIG_BYTES,
            });
        }
        let mut config: Self = toml::from_str(source).map_err(|e| Error::syntax(source, &e))?;
        config.sort();
        check::check_all(&config)?;
        Ok(config)
    }

    fn sort(&mut self) {
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        self.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.events.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Returns the workspace called `name`.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find(&self.workspaces, name, |w| &w.name)
    }

    /// Returns the class called `name`.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        find(&self.classes, name, |c| &c.name)
    }

    /// Returns the pool called `name`.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        find(&self.pools, name, |p| &p.name)
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name, |s| &s.name)
    }

    /// Returns the upstream called `name`.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        find(&self.upstreams, name, |u| &u.name)
    }

    /// Returns the service that serves `model`.
    #[must_use]
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|s| s.model.as_deref() == Some(model))
    }

    /// Returns the plain service with the longest prefix that matches `path`.
    #[must_use]
    pub fn service_of_path(&self, path: &str) -> Option<&Service> {
        self.services
            .iter()
            .filter(|s| s.prefix.as_deref().is_some_and(|p| matches_prefix(path, p)))
            .max_by_key(|s| s.prefix.as_ref().map_or(0, String::len))
    }

    /// Returns the upstreams of a pool.
    pub fn upstreams_of(&self, pool: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().filter(move |u| u.pool == pool)
    }
}

fn find<'a, T>(sorted: &'a [T], name: &str, key: impl Fn(&T) -> &String) -> Option<&'a T> {
    sorted
        .binary_search_by(|item| key(item).as_str().cmp(name))
        .ok()
        .map(|at| &sorted[at])
}

/// Returns whether `path` is `prefix` or lies below it.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}
