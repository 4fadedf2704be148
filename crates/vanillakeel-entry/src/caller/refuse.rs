//! Responses that refuse a request, with the verdict in a header and in the JSON body.

use std::io;
use tiny_http::Request;
use vanillakeel::{
    Refusal,
    Verdict, //
};
use vanillakeel_http::ResponseHead;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// An error in the request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BadRequest {
    pub(super) status: u16,
    pub(super) reason: &'static str,
    pub(super) message: String,
}

impl BadRequest {
    pub(super) fn new(status: u16, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            reason,
            message: message.into(),
        }
    }
}

/// Returns the JSON body of a refusal.
pub(super) fn body(verdict: Verdict, reason: &str, message: &str, retry_after_ms: u64) -> String {
    let mut error = serde_json::json!({
        "message": message,
        "type": reason,
        "verdict": verdict.as_str(),
    });
    if retry_after_ms > 0 {
        error["retry_after_ms"] = serde_json::json!(retry_after_ms);
    }
    serde_json::json!({ "error": error }).to_string()
}

/// Returns the response head that all refusals share.
fn head(status: u16, verdict: Verdict, trace: &str) -> ResponseHead {
    ResponseHead::new(status)
        .header("Content-Type", "application/json")
        .header("x-verdict", verdict.as_str())
        .header("x-trace-id", trace)
}

/// Answers an invalid request; no upstream has run it.
pub(super) fn bad(req: Request, bad: &BadRequest, trace: &str) -> io::Result<()> {
    let body = body(Verdict::NotRun, bad.reason, &bad.message, 0);
    head(bad.status, Verdict::NotRun, trace).respond(req, body.as_bytes())
}

/// Sends a refusal as the final answer.
pub(super) fn refuse(req: Request, refusal: &Refusal, trace: &str) -> io::Result<()> {
    let reason = refusal.reason;
    let ms = refusal.retry_after_ms;
    let body = body(refusal.verdict, reason.as_str(), &reason.to_string(), ms);
    let mut head = head(reason.status(), refusal.verdict, trace);
    if ms > 0 {
        head = head.header("Retry-After", &ms.div_ceil(SECOND_MS).to_string());
    }
    head.respond(req, body.as_bytes())
}
