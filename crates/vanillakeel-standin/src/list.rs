//! Stand-in for the instance list: live and leaving instances, shown with a lag.
//!
//! `GET /instances` answers a JSON list of [`Item`]s; `POST /instances` sets it.

use crate::{
    Faults,
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
    /// Socket address; for an entry instance the one for its peers.
    pub address: String,
    /// The data centre it stands in.
    #[serde(default)]
    pub data_centre: String,
    /// Grows with each start under the same name.
    #[serde(default)]
    pub generation: u64,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct State {
    versions: Mutex<Vec<(Instant, Vec<Item>)>>,
    lag: Duration,
    faults: Faults,
}

/// The instance list.
#[derive(Debug)]
pub struct List {
    server: Server,
    state: Arc<State>,
}

impl List {
    /// Starts a list at `address` that shows changes after `lag_ms`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, such as for an address in use.
    pub fn start(address: SocketAddr, lag_ms: u64) -> io::Result<Self> {
        let state = Arc::new(State {
            lag: Duration::from_millis(lag_ms),
            ..State::default()
        });
        let inner = Arc::clone(&state);
        let server = Server::start(address, move |req| handle(&inner, req))?;
        Ok(Self { server, state })
    }

    /// The address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults it has.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Sets the list.
    pub fn set(&self, items: &[Item]) {
        set(&self.state, items.to_vec());
    }
}

fn set(state: &State, items: Vec<Item>) {
    let mut versions = state
        .versions
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    versions.push((Instant::now(), items));
}

/// The newest version that is older than the lag.
fn shown(state: &State) -> Vec<Item> {
    let mut versions = state
        .versions
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let old = versions.partition_point(|v| v.0.elapsed() >= state.lag);
    versions.drain(..old.saturating_sub(1));
    match versions.first() {
        Some((_, items)) if old > 0 => items.clone(),
        _ => Vec::new(),
    }
}

fn handle(state: &State, mut req: tiny_http::Request) {
    if req.url() == "/faults" {
        reply::set_faults(req, &state.faults);
    } else if state.faults.get().outage {
        reply::text(req, 503, "outage\n");
    } else if req.url() != "/instances" {
        reply::text(req, 404, "no such path\n");
    } else if *req.method() == Method::Post {
        match serde_json::from_slice(&reply::body(&mut req)) {
            Ok(items) => {
                set(state, items);
                reply::text(req, 200, "set\n");
            }
            Err(e) => reply::text(req, 400, &format!("no list: {e}\n")),
        }
    } else {
        reply::json(req, 200, &shown(state));
    }
}
