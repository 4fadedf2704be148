//! Stand-in for the instance list: the live and leaving instances and upstreams.
//!
//! `GET /instances` answers a JSON array of [`Item`]s; `POST /instances` replaces it. A change
//! becomes visible after a lag, as in a real discovery service.

use crate::{
    FaultInjector,
    reply, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use tiny_http::Method;
use vanillakeel_http::Server;

/// An instance or upstream on the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Item {
    /// Unique name.
    pub name: String,
    /// `entry` or `upstream`.
    pub kind: String,
    /// Socket address; for an entry instance the one at which it listens for its peers.
    pub address: String,
    /// Name of its data centre.
    #[serde(default)]
    pub data_centre: String,
    /// Number that grows with each start under the same name.
    #[serde(default)]
    pub generation: u64,
    /// Whether it is leaving, that is, about to stop.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Versions of the list with the times at which they were set, the oldest first.
    versions: Mutex<Vec<(Instant, Vec<Item>)>>,
    lag: Duration,
    faults: FaultInjector,
}

/// A running stand-in of the instance list.
#[derive(Debug)]
pub struct InstanceList {
    server: Server,
    state: Arc<State>,
}

impl InstanceList {
    /// Starts an instance list that listens at `address`; changes become visible after `lag_ms`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example if the address is in use.
    pub fn start(address: SocketAddr, lag_ms: u64) -> io::Result<Self> {
        let state = Arc::new(State {
            lag: Duration::from_millis(lag_ms),
            ..State::default()
        });
        let handler_state = Arc::clone(&state);
        let server = Server::start(address, move |req| handle(&handler_state, req))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the instance list listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault injector of the instance list.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.state.faults
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn set(&self, items: &[Item]) {
        set(&self.state, items.to_vec());
    }
}

/// Adds a new version of the list.
fn set(state: &State, items: Vec<Item>) {
    let mut versions = state
        .versions
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    versions.push((Instant::now(), items));
}

/// Returns the newest version that is at least as old as the lag, and drops older versions.
fn visible_items(state: &State) -> Vec<Item> {
    let mut versions = state
        .versions
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let visible = versions.partition_point(|v| v.0.elapsed() >= state.lag);
    versions.drain(..visible.saturating_sub(1));
    match versions.first() {
        Some((_, items)) if visible > 0 => items.clone(),
        _ => Vec::new(),
    }
}

/// Dispatches a request by its path.
fn handle(state: &State, mut req: tiny_http::Request) {
    if req.url() == "/faults" {
        reply::set_faults(req, &state.faults);
    } else if state.faults.get().outage {
        reply::text(req, 503, "outage\n");
    } else if req.url() != "/instances" {
        reply::text(req, 404, "no such path\n");
    } else if *req.method() == Method::Post {
        match serde_json::from_slice(&reply::read_body(&mut req)) {
            Ok(items) => {
                set(state, items);
                reply::text(req, 200, "set\n");
            }
            Err(e) => reply::text(req, 400, &format!("no list: {e}\n")),
        }
    } else {
        reply::json(req, 200, &visible_items(state));
    }
}
