//! Routing configuration of the pass-through daemon: routes, services and the keys of workspaces.
//!
//! This daemon is `vanillakeel_entry::gateway`; the daemon `vanillakeel-entry` uses
//! [`config`](crate::config) instead.
//!
//! A [`Table`] is one version of the operator's routing configuration, indexed for lookups. It is
//! immutable; a newer version replaces it as a whole, and [`InForce`] rejects an older one. [`NewestRead`]
//! tells whether a read of the log shows that a version is the newest.
//!
//! ```
//! use vanillakeel::routes::{Route, Table, TableSpec};
//!
//! let route = Route { host: "a.example".into(), prefix: "/deeds/".into(), ..Route::default() };
//! let table = Table::new(TableSpec { version: 1, routes: vec![route], ..TableSpec::default() });
//! assert!(table.find("a.example", "/deeds/1").is_some());
//! assert!(table.find("a.example", "/other").is_none());
//! ```

mod in_force;
mod key_history;
mod newest_read;
mod parts;
mod ranks;

pub use self::{
    in_force::{
        Freshness,
        InForce,
        Standing, //
    },
    key_history::{
        KeyDigest,
        KeyHistory,
        MAX_REMEMBERED_KEYS, //
    },
    newest_read::NewestRead,
    parts::{
        Autoscale,
        Limits,
        Route,
        RouteKind,
        Service,
        TableSpec,
        WeightedService,
        Workspace, //
    },
};

use self::ranks::RankTable;
use crate::order;
use std::rc::Rc;

/// What is known of the keys of earlier versions.
#[derive(Clone, Debug, Default, PartialEq)]
enum EarlierKeys {
    /// Versions that this instance has not read may have held any.
    #[default]
    Unknown,
    Known(Rc<KeyHistory>),
}

/// One version of the routing configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    version: u64,
    /// Sorted by host, then by descending length of the prefix.
    routes: Vec<Rc<Route>>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Hash of each key, the key and the index of its workspace, sorted.
    keys: Vec<(u64, String, usize)>,
    workspaces: Vec<Workspace>,
    requires_keys: bool,
    /// Keys of earlier versions, if this one requires none.
    earlier_keys: EarlierKeys,
    ranks: RankTable,
    limits: Limits,
}

impl Table {
    /// Builds the indexes of a version.
    #[must_use]
    pub fn new(spec: TableSpec) -> Self {
        let TableSpec {
            version,
            routes,
            mut services,
            workspaces,
            limits,
        } = spec;
        let requires_keys = workspaces.is_some();
        let workspaces = workspaces.unwrap_or_default();
        let workspace_priorities: Vec<_> = workspaces.iter().map(|w| w.priority).collect();
        let route_priorities: Vec<_> = routes.iter().map(|r| r.priority).collect();
        let ranks = RankTable::new(&workspace_priorities, &route_priorities);
        let mut routes: Vec<_> = routes.into_iter().map(Rc::new).collect();
        routes.sort_by(|a, b| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<_> = workspaces
            .iter()
            .enumerate()
            .flat_map(|(at, w)| {
                w.keys
                    .iter()
                    .map(move |key| (order::hash(key), key.clone(), at))
            })
            .collect();
        keys.sort_unstable();
        Self {
            version,
            routes,
            services,
            keys,
            workspaces,
            requires_keys,
            earlier_keys: EarlierKeys::Unknown,
            ranks,
            limits,
        }
    }

    /// Sets the keys that earlier versions held.
    fn set_earlier_keys(&mut self, history: &KeyHistory) {
        self.earlier_keys = EarlierKeys::Known(Rc::new(history.clone()));
    }

    /// Returns the keys of all workspaces.
    fn keys(&self) -> impl Iterator<Item = &str> {
        self.keys.iter().map(|(_, key, _)| &**key)
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the longest time from the first event of a stream to a request that takes it up, in ms.
    ///
    /// A caller that takes a stream up at the end of its route's timeout may wait as long once more.
    #[must_use]
    pub fn stream_life_ms(&self) -> u64 {
        let resumable = RouteKind::Stream { resumable: true };
        let routes = self.routes.iter().filter(|r| r.kind == resumable);
        let longest_ms = routes.map(|r| r.timeout_ms).max();
        longest_ms.unwrap_or(0).saturating_mul(2)
    }

    /// Returns the limits on what callers send.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let start = self.routes.partition_point(|r| *r.host < *host);
        self.routes[start..]
            .iter()
            .take_while(|r| *r.host == *host)
            .find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()
            .map(|at| &self.services[at])
    }

    /// Returns all services in ascending order of name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// Returns whether requests need a key, except on public routes.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns whether this version can tell what an `Authorization` header means: it requires keys, or the keys of
    /// earlier versions are known.
    #[must_use]
    pub fn knows_earlier_keys(&self) -> bool {
        self.requires_keys || self.earlier_keys != EarlierKeys::Unknown
    }

    /// Returns whether an earlier version held `key`, and this one requires none.
    #[must_use]
    pub fn is_former_key(&self, key: &str) -> bool {
        match &self.earlier_keys {
            EarlierKeys::Known(history) if !self.requires_keys => history.holds(key),
            _ => false,
        }
    }

    /// Returns whether this version requires keys, or an earlier one did or may have.
    #[must_use]
    pub fn has_used_keys(&self) -> bool {
        match &self.earlier_keys {
            EarlierKeys::Known(history) => self.requires_keys || history.has_used_keys(),
            EarlierKeys::Unknown => true,
        }
    }

    /// Returns the workspace that owns `key`.
    ///
    /// The search compares hashes, so its timing reveals nothing about the keys themselves.
    #[must_use]
    pub fn workspace_of_key(&self, key: &str) -> Option<&Workspace> {
        let hash = order::hash(key);
        let start = self.keys.partition_point(|k| k.0 < hash);
        self.keys[start..]
            .iter()
            .take_while(|k| k.0 == hash)
            .find(|k| k.1 == key)
            .map(|k| &self.workspaces[k.2])
    }

    /// Returns the rank at an upstream of a request on `route` by `workspace`, from 0, the most
    /// urgent, to 9.
    ///
    /// The priority of the workspace takes precedence over that of the route; within one workspace
    /// priority, routes keep their order.
    #[must_use]
    pub fn rank(&self, workspace: Option<&Workspace>, route: &Route) -> u8 {
        self.ranks
            .rank(workspace.and_then(|w| w.priority), route.priority)
    }
}
