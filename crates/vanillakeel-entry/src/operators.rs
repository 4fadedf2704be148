//! The HTTP server for operators: health, readiness, metrics and status.

use crate::caller::Shared;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};
use vanillakeel_http::{
    ResponseHead,
    Server, //
};

/// Starts the server.
pub(crate) fn spawn(
    address: SocketAddr,
    shared: &Arc<Shared>,
    is_ready: &Arc<AtomicBool>,
    status: &Arc<Mutex<String>>,
) -> io::Result<Server> {
    let (shared, is_ready) = (Arc::clone(shared), Arc::clone(is_ready));
    let status = Arc::clone(status);
    Server::start(address, move |req| {
        let text = ResponseHead::new(200).header("Content-Type", "text/plain; version=0.0.4");
        let done = match req.url() {
            "/healthz" => text.respond(req, b"alive\n"),
            "/readyz" if is_ready.load(Ordering::SeqCst) => text.respond(req, b"ready\n"),
            "/readyz" => ResponseHead::new(503).respond(req, b"not ready\n"),
            "/metrics" => text.respond(req, shared.metrics.page().as_bytes()),
            "/status" => {
                let page = status
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                ResponseHead::new(200)
                    .header("Content-Type", "application/json")
                    .respond(req, page.as_bytes())
            }
            _ => ResponseHead::new(404).respond(req, b"no such page\n"),
        };
        // An error means that the operator has closed the connection, which needs no handling.
        drop(done);
    })
}
