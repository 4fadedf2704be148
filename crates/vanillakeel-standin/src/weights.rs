//! Stand-in for the weight store, which serves a limited number of concurrent loads.
//!
//! `GET /weights/MODEL` answers 200 after the duration of a load, or 429 without delay if
//! too many loads are in progress.

use crate::reply;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};
use vanillakeel_http::Server;

/// Settings of a [`WeightStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Largest number of concurrent loads; further ones are refused.
    pub max_concurrent_loads: usize,
    /// Duration of a load, in ms.
    pub load_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 2,
            load_ms: 2_000,
        }
    }
}

/// A running stand-in of the weight store.
#[derive(Debug)]
pub struct WeightStore {
    server: Server,
    refused: Arc<AtomicUsize>,
}

impl WeightStore {
    /// Starts a weight store that listens at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example if the address is in use.
    pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let in_progress = AtomicUsize::new(0);
        let refused = Arc::new(AtomicUsize::new(0));
        let refused_count = Arc::clone(&refused);
        let server = Server::start(address, move |req| {
            if in_progress.fetch_add(1, Ordering::SeqCst) >= settings.max_concurrent_loads {
                refused_count.fetch_add(1, Ordering::SeqCst);
                reply::text(req, 429, "too many loads\n");
            } else {
                thread::sleep(Duration::from_millis(settings.load_ms));
                reply::text(req, 200, "weights\n");
            }
            in_progress.fetch_sub(1, Ordering::SeqCst);
        })?;
        Ok(Self { server, refused })
    }

    /// Returns the address that the weight store listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of loads that were refused because too many were in progress.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }
}
