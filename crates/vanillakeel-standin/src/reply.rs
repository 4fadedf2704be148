//! Helpers of the stand-ins to read requests and to send whole responses.
//!
//! Errors when sending are ignored: a client that has closed the connection needs no response.

use serde::Serialize;
use tiny_http::Request;
use vanillakeel_http::ResponseHead;

/// Largest request body that a stand-in reads; the rest is ignored.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Responds with `body` as JSON.
pub(crate) fn json(req: Request, status: u16, body: &impl Serialize) {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let head = ResponseHead::new(status).header("Content-Type", "application/json");
    let _ = head.respond(req, &bytes);
}

/// Responds with plain text.
pub(crate) fn text(req: Request, status: u16, body: &str) {
    let head = ResponseHead::new(status).header("Content-Type", "text/plain");
    let _ = head.respond(req, body.as_bytes());
}

/// Responds with status 200 and binary data.
pub(crate) fn bytes(req: Request, body: &[u8]) {
    let head = ResponseHead::new(200).header("Content-Type", "application/octet-stream");
    let _ = head.respond(req, body);
}

/// Reads the body of a request; after an error, returns what was read before it.
pub(crate) fn read_body(req: &mut Request) -> Vec<u8> {
    use std::io::Read as _;
    let mut body = Vec::new();
    let _ = req.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
    body
}

/// Returns the value of a request header.
pub(crate) fn header(req: &Request, name: &'static str) -> Option<String> {
    req.headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str().to_owned())
}

/// Handles a request to `/faults`, whose body is a [`crate::Fault`] in JSON.
pub(crate) fn set_faults(mut req: Request, injector: &crate::FaultInjector) {
    match serde_json::from_slice(&read_body(&mut req)) {
        Ok(fault) => {
            injector.set(fault);
            text(req, 200, "set\n");
        }
        Err(e) => text(req, 400, &format!("no faults: {e}\n")),
    }
}
