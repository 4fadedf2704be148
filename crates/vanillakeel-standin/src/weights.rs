//! Stand-in for the weight store, which serves a bounded number of loads at once.
//!
//! `GET /weights/MODEL` answers 200 after the time of a load, or 429 when too many are under way.

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

/// Settings of a [`Weights`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Loads served at once.
    pub at_once: usize,
    /// Time of a load, in ms.
    pub load_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            at_once: 2,
            load_ms: 2_000,
        }
    }
}

/// The weight store.
#[derive(Debug)]
pub struct Weights {
    server: Server,
    refused: Arc<AtomicUsize>,
}

impl Weights {
    /// Starts a weight store at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, such as for an address in use.
    pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let running = AtomicUsize::new(0);
        let refused = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&refused);
        let server = Server::start(address, move |req| {
            if running.fetch_add(1, Ordering::SeqCst) >= settings.at_once {
                count.fetch_add(1, Ordering::SeqCst);
                reply::text(req, 429, "too many loads\n");
            } else {
                thread::sleep(Duration::from_millis(settings.load_ms));
                reply::text(req, 200, "weights\n");
            }
            running.fetch_sub(1, Ordering::SeqCst);
        })?;
        Ok(Self { server, refused })
    }

    /// The address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Loads refused since too many were under way.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }
}
