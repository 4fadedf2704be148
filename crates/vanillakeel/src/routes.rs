//! Routes by host and path, the services behind them, and the keys of workspaces.
//!
//! A [`Table`] is one version of the operator's routing configuration in the form that a
//! pass-through instance uses. It is immutable; a newer version replaces it as a whole, and
//! [`InForce`] refuses to go back to an older one.
//!
//! ```
//! use vanillakeel::routes::{Parts, Route, Table};
//!
//! let route = Route { host: "a.example".into(), prefix: "/deeds/".into(), ..Route::default() };
//! let table = Table::new(Parts { version: 1, routes: vec![route], ..Parts::default() });
//! assert!(table.find("a.example", "/deeds/1").is_some());
//! assert!(table.find("a.example", "/other").is_none());
//! ```

mod in_force;
mod parts;
mod ranks;

pub use self::{
    in_force::{
        Freshness,
        InForce, //
    },
    parts::{
        Client,
        Kind,
        Limits,
        Parts,
        Route,
        Service,
        Target, //
    },
};

use self::ranks::Ranks;
use crate::order;
use std::rc::Rc;

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    version: u64,
    /// Sorted by host, then by falling length of the prefix.
    routes: Vec<Rc<Route>>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Keys with the place of their workspace, sorted by the hash of the key.
    keys: Vec<(u64, String, usize)>,
    clients: Vec<Client>,
    ranks: Ranks,
    limits: Limits,
}

impl Table {
    /// Builds the lookups of a version.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let Parts {
            version,
            routes,
            mut services,
            clients,
            limits,
        } = parts;
        let workspaces: Vec<_> = clients.iter().map(|c| c.priority).collect();
        let priorities: Vec<_> = routes.iter().map(|r| r.priority).collect();
        let ranks = Ranks::new(&workspaces, &priorities);
        let mut routes: Vec<_> = routes.into_iter().map(Rc::new).collect();
        routes.sort_by(|a, b| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys: Vec<_> = clients
            .iter()
            .enumerate()
            .flat_map(|(at, c)| {
                c.keys
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
            clients,
            ranks,
            limits,
        }
    }

    /// Its version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers send.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let start = self.routes.partition_point(|r| *r.host < *host);
        self.routes[start..]
            .iter()
            .take_while(|r| *r.host == *host)
            .find(|r| path.starts_with(&r.prefix))
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()
            .map(|at| &self.services[at])
    }

    /// All services in ascending order of name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// Whether requests of routes that are not public need a key.
    #[must_use]
    pub const fn asks_for_keys(&self) -> bool {
        !self.clients.is_empty()
    }

    /// The workspace that holds `key`.
    ///
    /// The search compares hashes, so its time tells nothing about the keys themselves.
    #[must_use]
    pub fn client_of(&self, key: &str) -> Option<&Client> {
        let hash = order::hash(key);
        let start = self.keys.partition_point(|k| k.0 < hash);
        self.keys[start..]
            .iter()
            .take_while(|k| k.0 == hash)
            .find(|k| k.1 == key)
            .map(|k| &self.clients[k.2])
    }

    /// Rank at an upstream of a request on `route` by `client`, from 0, the most urgent, to 9.
    ///
    /// The workspace's priority goes before the route's; within one priority of workspaces, the
    /// routes keep their order.
    #[must_use]
    pub fn rank(&self, client: Option<&Client>, route: &Route) -> u8 {
        self.ranks
            .rank(client.and_then(|c| c.priority), route.priority)
    }
}
