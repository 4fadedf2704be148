//! Short ways to answer.

use serde::Serialize;
use tiny_http::Request;
use vanillakeel_http::Head;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Gives a JSON body; a caller that has gone is of no concern.
pub(crate) fn json(req: Request, status: u16, body: &impl Serialize) {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let head = Head::new(status).header("Content-Type", "application/json");
    let _ = head.respond(req, &bytes);
}

/// Gives a short text.
pub(crate) fn text(req: Request, status: u16, body: &str) {
    let head = Head::new(status).header("Content-Type", "text/plain");
    let _ = head.respond(req, body.as_bytes());
}

/// Gives bytes.
pub(crate) fn bytes(req: Request, body: &[u8]) {
    let head = Head::new(200).header("Content-Type", "application/octet-stream");
    let _ = head.respond(req, body);
}

/// Reads the whole body.
pub(crate) fn body(req: &mut Request) -> Vec<u8> {
    use std::io::Read as _;
    let mut body = Vec::new();
    let _ = req.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
    body
}

/// The value of a header.
pub(crate) fn header(req: &Request, name: &'static str) -> Option<String> {
    req.headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str().to_owned())
}

/// Takes new faults from the body of a request to `/faults`.
pub(crate) fn set_faults(mut req: Request, faults: &crate::Faults) {
    match serde_json::from_slice(&body(&mut req)) {
        Ok(fault) => {
            faults.set(fault);
            text(req, 200, "set\n");
        }
        Err(e) => text(req, 400, &format!("no faults: {e}\n")),
    }
}
