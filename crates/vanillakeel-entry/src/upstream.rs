//! One attempt of a request at an upstream, on a thread of its own.
//!
//! [`run`] sends the request, forwards the answer as messages to the thread of the request and
//! reports how the attempt has ended.

use crate::message::{
    AttemptMessage,
    AttemptOutcome,
    WholeAnswer, //
};
use attohttpc::{
    Error,
    ErrorKind,
    Method,
    Response, //
};
use crossbeam::channel::Sender;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};
use vanillakeel::{
    Verdict,
    availability::{
        BadPause,
        Notice,
        Pause, //
    },
    rate_limits::Rate, //
};
use vanillakeel_http::{
    Body,
    Events,
    request, //
};

/// Data of the event that ends a stream.
pub(crate) const DONE: &str = "[DONE]";

/// Header in which an upstream reports that it has not run a request.
const VERDICT_HEADER: &str = "x-verdict";

/// Header in which an upstream names the requests a second that it takes from all instances together.
const RATE_HEADER: &str = "x-rate-limit";

/// Header by which an upstream says that it leaves, with the value `1`.
const LEAVING_HEADER: &str = "x-leaving";

/// Longest time for which an upstream may ask for no requests, in ms.
const MAX_PAUSE_MS: u64 = 600_000;

/// The request as it is sent to an upstream; all attempts share it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Arc<Vec<u8>>,
    pub(crate) is_model: bool,
    pub(crate) is_idempotent: bool,
    /// Largest answer that is read as a whole, in bytes.
    pub(crate) answer_bytes: usize,
}

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: u64,
    /// Name that is unique over all instances and restarts.
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// Number of tokens that the caller already has.
    pub(crate) resume_from: u32,
    pub(crate) time_left: Duration,
    pub(crate) traceparent: String,
    pub(crate) is_cancelled: Arc<AtomicBool>,
}

/// Makes an attempt and sends its output and then its outcome to the thread of the request.
pub(crate) fn run(
    attempt: &Attempt,
    upstream_request: &UpstreamRequest,
    tx: &Sender<AttemptMessage>,
) {
    let span = tracing::info_span!("attempt", id = attempt.id, upstream = %attempt.address);
    let _entered = span.enter();
    let outcome = send_attempt(attempt, upstream_request, tx);
    let _ = tx.send(AttemptMessage::Ended {
        attempt: attempt.id,
        outcome,
    });
}

fn send_attempt(
    attempt: &Attempt,
    upstream_request: &UpstreamRequest,
    tx: &Sender<AttemptMessage>,
) -> AttemptOutcome {
    let url = format!("http://{}{}", attempt.address, upstream_request.path);
    let mut req = request(upstream_request.method.clone(), &url, attempt.time_left)
        .header("Content-Type", upstream_request.content_type.as_str())
        .header("x-attempt-id", attempt.name.as_str())
        .header("traceparent", attempt.traceparent.as_str());
    if attempt.resume_from > 0 {
        req = req.header("x-resume-from", attempt.resume_from);
    }
    if attempt.is_cancelled.load(Ordering::Relaxed) {
        return AttemptOutcome::Failed {
            verdict: Verdict::NotRun,
        };
    }
    let answer = match req.bytes(upstream_request.body.as_slice()).send() {
        Ok(answer) => answer,
        Err(e) => {
            return AttemptOutcome::Failed {
                verdict: verdict_of_error(&e),
            };
        }
    };
    let named = answer.headers().get_all(RATE_HEADER).iter();
    let _ = tx.send(AttemptMessage::Head {
        attempt: attempt.id,
        rate: Rate::lowest_of(named.map(|value| value.as_bytes())),
        notice: notice(&answer),
    });
    if upstream_request.is_model {
        read_model_answer(attempt, upstream_request, answer, tx)
    } else {
        read_plain_answer(attempt, upstream_request, answer, tx)
    }
}

/// Returns what an answer says of whether its upstream takes further requests.
fn notice(answer: &Response) -> Result<Notice, BadPause> {
    let headers = answer.headers();
    let mut leaving = headers.get_all(LEAVING_HEADER).iter();
    let pauses = headers.get_all("retry-after").iter();
    let pause = match answer.status().as_u16() {
        503 => Pause::longest_of(pauses.map(|value| value.as_bytes()), MAX_PAUSE_MS)?,
        _ => None,
    };
    Ok(Notice {
        is_leaving: leaving.any(|value| value.as_bytes().trim_ascii() == b"1"),
        pause_ms: pause.map(|p| p.ms),
    })
}

/// Returns the verdict of a failed send.
///
/// With a refused connection nothing has run; any other error may occur after the upstream has
/// received the request.
fn verdict_of_error(error: &Error) -> Verdict {
    match error.kind() {
        ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

fn read_model_answer(
    attempt: &Attempt,
    upstream_request: &UpstreamRequest,
    answer: Response,
    tx: &Sender<AttemptMessage>,
) -> AttemptOutcome {
    match answer.status().as_u16() {
        200 => relay_stream(attempt, answer, tx),
        // The model is not loaded, the queue is full, or the engine is starting.
        404 | 429 | 503 => AttemptOutcome::Busy,
        400..=499 => AttemptOutcome::Rejected(
            read_whole(answer, upstream_request.answer_bytes).unwrap_or_else(unreadable_rejection),
        ),
        _ => AttemptOutcome::Failed {
            verdict: Verdict::MayHaveRun,
        },
    }
}

fn relay_stream(
    attempt: &Attempt,
    answer: Response,
    tx: &Sender<AttemptMessage>,
) -> AttemptOutcome {
    let (_, _, body) = Body::split(answer);
    let broken = AttemptOutcome::Failed {
        verdict: Verdict::MayHaveRun,
    };
    for event in Events::new(body) {
        let Ok(data) = event else { return broken };
        if data == DONE {
            return AttemptOutcome::Done;
        }
        let message = AttemptMessage::Event {
            attempt: attempt.id,
            data,
        };
        if attempt.is_cancelled.load(Ordering::Relaxed) || tx.send(message).is_err() {
            return broken;
        }
    }
    broken
}

fn read_plain_answer(
    attempt: &Attempt,
    upstream_request: &UpstreamRequest,
    answer: Response,
    tx: &Sender<AttemptMessage>,
) -> AttemptOutcome {
    let status = answer.status().as_u16();
    let says_not_run = answer
        .headers()
        .get(VERDICT_HEADER)
        .is_some_and(|v| v.as_bytes() == Verdict::NotRun.as_str().as_bytes());
    if says_not_run || status == 429 {
        return AttemptOutcome::Busy;
    }
    // The router may retry an idempotent request; otherwise the caller gets the error itself.
    let is_error = status >= 500 && upstream_request.is_idempotent;
    // The HTTP library also accepts statuses that are not valid.
    if is_error || !(200..600).contains(&status) {
        return AttemptOutcome::Failed {
            verdict: Verdict::MayHaveRun,
        };
    }
    let Some(answer) = read_whole(answer, upstream_request.answer_bytes) else {
        return AttemptOutcome::Failed {
            verdict: Verdict::MayHaveRun,
        };
    };
    let message = AttemptMessage::Whole {
        attempt: attempt.id,
        answer,
    };
    if tx.send(message).is_err() {
        return AttemptOutcome::Failed {
            verdict: Verdict::Ran,
        };
    }
    AttemptOutcome::Done
}

/// Reads a complete answer; returns `None` if it was cut or is too large.
fn read_whole(answer: Response, limit: usize) -> Option<WholeAnswer> {
    let (status, headers, body) = Body::split(answer);
    let content_type = headers.get("content-type").and_then(|v| v.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_owned();
    Some(WholeAnswer {
        status: status.as_u16(),
        content_type,
        body: body.into_bytes(limit).ok()?,
    })
}

/// Returns the answer for the caller if that of the upstream could not be read.
fn unreadable_rejection() -> WholeAnswer {
    WholeAnswer {
        status: 502,
        content_type: "text/plain".to_owned(),
        body: b"the upstream's refusal could not be read\n".to_vec(),
    }
}

#[cfg(test)]
#[path = "../tests/unit/cut_answers.rs"]
mod cut_answers;
