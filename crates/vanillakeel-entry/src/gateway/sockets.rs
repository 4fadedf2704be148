//! Pool of connections to upstreams.
//!
//! An idle connection is reused only while the upstream is sure to keep it open, so that a request
//! is not sent on a connection that is being closed. The pool also counts the busy connections,
//! which enforces the limit per upstream.

use super::{
    client::HttpConnection,
    settings::Connections, //
};
use std::sync::Arc;
use vanillakeel::Millis;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    /// Time from which the connection is not reused, a margin before the upstream may close it.
    reuse_until: Millis,
}

/// Connections to one incarnation of an upstream.
#[derive(Debug)]
struct UpstreamConnections {
    name: Arc<str>,
    incarnation: u64,
    /// Number of connections, busy, idle and being opened.
    open: u32,
    idle: Vec<IdleConnection>,
}

impl UpstreamConnections {
    /// Closes the idle connections that have expired or were closed by the upstream, and all idle
    /// ones if the upstream is no longer live.
    fn close_expired(&mut self, now: Millis, is_upstream_live: bool) {
        let before = self.idle.len();
        self.idle
            .retain(|i| is_upstream_live && now < i.reuse_until && !i.connection.is_closed());
        self.open -= (before - self.idle.len()) as u32;
    }
}

/// Connections to all upstreams, sorted by name and incarnation.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    sorted: Vec<UpstreamConnections>,
    /// Most open connections to all upstreams together.
    max_open: usize,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self {
            sorted: Vec::new(),
            max_open: usize::MAX,
        }
    }
}

impl ConnectionPool {
    /// Returns the index of an upstream, or that at which it would be inserted.
    fn find(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.sorted
            .binary_search_by(|c| (*c.name).cmp(name).then(c.incarnation.cmp(&incarnation)))
    }

    /// Returns the connections of an upstream, which are added if there are none.
    fn entry(&mut self, name: &Arc<str>, incarnation: u64) -> &mut UpstreamConnections {
        let at = match self.find(name, incarnation) {
            Ok(at) => at,
            Err(at) => {
                self.sorted.insert(
                    at,
                    UpstreamConnections {
                        name: Arc::clone(name),
                        incarnation,
                        open: 0,
                        idle: Vec::new(),
                    },
                );
                at
            }
        };
        &mut self.sorted[at]
    }

    /// Takes an idle connection that the upstream is sure to keep open: the most recently used one,
    /// so that surplus connections expire.
    pub(super) fn take_idle(
        &mut self,
        now: Millis,
        name: &Arc<str>,
        incarnation: u64,
    ) -> Option<HttpConnection> {
        let connections = self.entry(name, incarnation);
        connections.close_expired(now, true);
        let at = connections
            .idle
            .iter()
            .rposition(|i| i.connection.is_ready())?;
        Some(connections.idle.remove(at).connection)
    }

    /// Sets the most connections to all upstreams together.
    pub(super) const fn set_max_open(&mut self, max_open: usize) {
        self.max_open = max_open;
    }

    /// Reserves a place for a new connection; returns `false` if `max_open` connections to this upstream are open, or
    /// too many to all of them that are in use.
    pub(super) fn reserve(&mut self, name: &Arc<str>, incarnation: u64, max_open: u32) -> bool {
        if self.entry(name, incarnation).open >= max_open {
            return false;
        }
        let open: usize = self.sorted.iter().map(|c| c.open as usize).sum();
        if open >= self.max_open && !self.close_oldest_idle() {
            return false;
        }
        self.entry(name, incarnation).open += 1;
        true
    }

    /// Closes the idle connection that expires first; returns `false` if there is none.
    fn close_oldest_idle(&mut self) -> bool {
        let oldest = |c: &UpstreamConnections| c.idle.iter().map(|i| i.reuse_until).min();
        let with_oldest = self.sorted.iter_mut().filter(|c| !c.idle.is_empty());
        let Some(connections) = with_oldest.min_by_key(|c| oldest(c)) else {
            return false;
        };
        let oldest = oldest(connections);
        let at = connections
            .idle
            .iter()
            .position(|i| Some(i.reuse_until) == oldest);
        connections.idle.remove(at.unwrap_or(0));
        connections.open -= 1;
        true
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// Above the limit on idle connections, the one that has been idle longest is closed.
    pub(super) fn put_idle(
        &mut self,
        cfg: &Connections,
        name: &Arc<str>,
        incarnation: u64,
        connection: HttpConnection,
        reuse_until: Millis,
    ) {
        let connections = self.entry(name, incarnation);
        connections.idle.push(IdleConnection {
            connection,
            reuse_until,
        });
        if connections.idle.len() > cfg.idle {
            connections.idle.remove(0);
            connections.open -= 1;
        }
    }

    /// Records that a busy connection has closed, or that a reserved place is not used.
    pub(super) fn on_closed(&mut self, name: &Arc<str>, incarnation: u64) {
        let connections = self.entry(name, incarnation);
        connections.open = connections.open.saturating_sub(1);
    }

    /// Closes idle connections that have expired or whose upstream is no longer live.
    pub(super) fn close_expired(&mut self, now: Millis, is_live: impl Fn(&str, u64) -> bool) {
        for connections in &mut self.sorted {
            let is_upstream_live = is_live(&connections.name, connections.incarnation);
            connections.close_expired(now, is_upstream_live);
        }
        self.sorted
            .retain(|c| c.open > 0 || is_live(&c.name, c.incarnation));
    }
}
