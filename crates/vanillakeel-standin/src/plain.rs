//! Stand-in for a plain service, that is, one that runs no model; some of its requests may be unsafe
//! to repeat.
//!
//! It records each request as a run in [`RunCounts`] and answers `TAG done`, where the tag is the
//! first word of the body. `GET /load` answers a load report that always shows no load, and
//! `POST /faults` sets the faults.

use crate::{
    FaultInjector,
    RunCounts,
    reply,
    run_counts::request_tag, //
};
use std::{
    io,
    net::SocketAddr,
    thread,
    time::Duration, //
};
use vanillakeel_http::Server;

/// A running stand-in of a plain service.
#[derive(Debug)]
pub struct PlainService {
    server: Server,
    faults: FaultInjector,
}

impl PlainService {
    /// Starts a service that listens at `address`; each request takes `work_ms`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example if the address is in use.
    pub fn start(address: SocketAddr, run_counts: &RunCounts, work_ms: u64) -> io::Result<Self> {
        let faults = FaultInjector::default();
        let (run_counts, injector) = (run_counts.clone(), faults.clone());
        let server = Server::start(address, move |req| {
            if req.url() == "/faults" {
                reply::set_faults(req, &injector);
            } else if req.url() == "/load" {
                let load = serde_json::json!({"running": 0, "waiting": 0, "models": []});
                reply::json(req, 200, &load);
            } else {
                answer(req, &run_counts, &injector, work_ms);
            }
        })?;
        Ok(Self { server, faults })
    }

    /// Returns the address that the service listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault injector of the service.
    #[must_use]
    pub const fn faults(&self) -> &FaultInjector {
        &self.faults
    }
}

/// Executes a request and answers it.
///
/// An outage refuses the request before it runs. A crash or a lost response closes the connection
/// after it has run.
fn answer(
    mut req: tiny_http::Request,
    run_counts: &RunCounts,
    injector: &FaultInjector,
    work_ms: u64,
) {
    let fault = injector.get();
    if fault.outage {
        reply::text(req, 503, "unavailable\n");
        return;
    }
    let body = String::from_utf8_lossy(&reply::read_body(&mut req)).into_owned();
    let tag = request_tag(&body).to_owned();
    run_counts.record_run(&tag);
    thread::sleep(Duration::from_millis(work_ms + fault.slow_ms));
    if injector.take_lost_answer() || fault.crashed {
        // Dropping the writer closes the connection without a response, if the client asked for
        // the connection to be closed.
        drop(req.into_writer());
        return;
    }
    reply::text(req, 200, &format!("{tag} done"));
}
