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
mod newest_read;
mod parts;
mod ranks;

pub use self::{
    in_force::{
        Freshness,
        InForce,
        Standing, //
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
    /// Whether this version or an earlier one requires keys.
    has_used_keys: bool,
    /// Keys that earlier versions held and this one does not, with their hashes, sorted.
    former_keys: Vec<(u64, String)>,
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
            has_used_keys: requires_keys,
            former_keys: Vec::new(),
            ranks,
            limits,
        }
    }

    /// Remembers the keys that the version before this one held, or remembered, and this one does not hold.
    fn follow(&mut self, earlier: &Self) {
        self.has_used_keys |= earlier.has_used_keys;
        let held = earlier
            .keys
            .iter()
            .map(|(hash, key, _)| (*hash, key.clone()));
        let former = held.chain(earlier.former_keys.iter().cloned());
        let is_gone = |(_, key): &(u64, String)| self.workspace_of_key(key).is_none();
        let mut former: Vec<_> = former.filter(is_gone).collect();
        former.sort_unstable();
        former.dedup();
        self.former_keys = former;
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

    /// Returns whether an earlier version held `key`, and this one does not.
    #[must_use]
    pub fn is_former_key(&self, key: &str) -> bool {
        let hash = order::hash(key);
        let start = self.former_keys.partition_point(|k| k.0 < hash);
        let same_hash = self.former_keys[start..].iter();
        same_hash.take_while(|k| k.0 == hash).any(|k| k.1 == key)
    }

    /// Returns whether this version requires keys, or an earlier one did.
    #[must_use]
    pub const fn has_used_keys(&self) -> bool {
        self.has_used_keys
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
