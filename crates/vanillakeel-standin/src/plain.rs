//! Stand-in for a plain service, some of whose calls may not be repeated.
//!
//! It answers each request with the first word of its body and notes the run in the ledger.

use crate::{
    Faults,
    Ledger,
    ledger::request_tag,
    reply, //
};
use std::{
    io,
    net::SocketAddr,
    thread,
    time::Duration, //
};
use vanillakeel_http::Server;

/// A plain service.
#[derive(Debug)]
pub struct Plain {
    server: Server,
    faults: Faults,
}

impl Plain {
    /// Starts a service at `address` whose calls take `work_ms`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, such as for an address in use.
    pub fn start(address: SocketAddr, ledger: &Ledger, work_ms: u64) -> io::Result<Self> {
        let faults = Faults::default();
        let (ledger, seen) = (ledger.clone(), faults.clone());
        let server = Server::start(address, move |req| {
            if req.url() == "/faults" {
                reply::set_faults(req, &seen);
            } else if req.url() == "/load" {
                let load = serde_json::json!({"running": 0, "waiting": 0, "models": []});
                reply::json(req, 200, &load);
            } else {
                answer(req, &ledger, &seen, work_ms);
            }
        })?;
        Ok(Self { server, faults })
    }

    /// The address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults it has.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }
}

fn answer(mut req: tiny_http::Request, ledger: &Ledger, faults: &Faults, work_ms: u64) {
    let fault = faults.get();
    if fault.outage {
        reply::text(req, 503, "unavailable\n");
        return;
    }
    let body = String::from_utf8_lossy(&reply::body(&mut req)).into_owned();
    let tag = request_tag(&body).to_owned();
    ledger.note_run(&tag);
    thread::sleep(Duration::from_millis(work_ms + fault.slow_ms));
    if faults.loses_answer() || fault.crashed {
        // Dropping the writer of a request whose client asked for a close ends the connection.
        drop(req.into_writer());
        return;
    }
    reply::text(req, 200, &format!("{tag} done"));
}
