//! One attempt of a request, on a thread of its own.

use crate::message::{
    Ended,
    Part,
    Whole, //
};
use attohttpc::{
    Error,
    ErrorKind,
    Method,
    Response, //
};
use crossbeam::channel::Sender;
use std::{
    io::{
        self,
        Read as _, //
    },
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
use vanillakeel::Verdict;
use vanillakeel_http::{
    Events,
    request, //
};

/// Event that ends a stream.
pub(crate) const DONE: &str = "[DONE]";

/// Header by which an upstream says that it has not run a request.
const VERDICT_HEADER: &str = "x-verdict";

/// What is sent in an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Arc<Vec<u8>>,
    pub(crate) is_model: bool,
    pub(crate) is_idempotent: bool,
    pub(crate) answer_bytes: usize,
}

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: u64,
    /// Unique over all instances.
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) resume_from: u32,
    pub(crate) time_left: Duration,
    pub(crate) traceparent: String,
    pub(crate) is_cancelled: Arc<AtomicBool>,
}

/// Makes an attempt and tells its parts and end; to be run on a thread of its own.
pub(crate) fn run(attempt: &Attempt, call: &Call, tx: &Sender<Part>) {
    let span = tracing::info_span!("attempt", id = attempt.id, upstream = %attempt.address);
    let _entered = span.enter();
    let how = make(attempt, call, tx);
    let _ = tx.send(Part::Ended {
        attempt: attempt.id,
        how,
    });
}

fn make(attempt: &Attempt, call: &Call, tx: &Sender<Part>) -> Ended {
    let url = format!("http://{}{}", attempt.address, call.path);
    let mut req = request(call.method.clone(), &url, attempt.time_left)
        .header("Content-Type", call.content_type.as_str())
        .header("x-attempt-id", attempt.name.as_str())
        .header("traceparent", attempt.traceparent.as_str());
    if attempt.resume_from > 0 {
        req = req.header("x-resume-from", attempt.resume_from);
    }
    if attempt.is_cancelled.load(Ordering::Relaxed) {
        return Ended::Failed {
            has_run: Verdict::NotRun,
        };
    }
    match req.bytes(call.body.as_slice()).send() {
        Err(e) => Ended::Failed {
            has_run: after_error(&e),
        },
        Ok(answer) if call.is_model => model(attempt, call, answer, tx),
        Ok(answer) => plain(attempt, call, answer, tx),
    }
}

/// A refused connection has run nothing; all other errors may come after the request was taken.
fn after_error(error: &Error) -> Verdict {
    match error.kind() {
        ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

fn model(attempt: &Attempt, call: &Call, answer: Response, tx: &Sender<Part>) -> Ended {
    match answer.status().as_u16() {
        200 => stream(attempt, answer, tx),
        // A model that is not loaded, too many that wait, and an engine that is starting.
        404 | 429 | 503 => Ended::Busy,
        400..=499 => Ended::Rejected(whole(answer, call.answer_bytes).unwrap_or_else(unreadable)),
        _ => Ended::Failed {
            has_run: Verdict::MayHaveRun,
        },
    }
}

fn stream(attempt: &Attempt, answer: Response, tx: &Sender<Part>) -> Ended {
    let (_, _, reader) = answer.split();
    let broken = Ended::Failed {
        has_run: Verdict::MayHaveRun,
    };
    for event in Events::new(reader) {
        let Ok(data) = event else { return broken };
        if data == DONE {
            return Ended::Done;
        }
        let part = Part::Event {
            attempt: attempt.id,
            data,
        };
        if attempt.is_cancelled.load(Ordering::Relaxed) || tx.send(part).is_err() {
            return broken;
        }
    }
    broken
}

fn plain(attempt: &Attempt, call: &Call, answer: Response, tx: &Sender<Part>) -> Ended {
    let status = answer.status().as_u16();
    let says_not_run = answer
        .headers()
        .get(VERDICT_HEADER)
        .is_some_and(|v| v.as_bytes() == Verdict::NotRun.as_str().as_bytes());
    if says_not_run || status == 429 {
        return Ended::Busy;
    }
    if status >= 500 && call.is_idempotent {
        return Ended::Failed {
            has_run: Verdict::MayHaveRun,
        };
    }
    let Some(answer) = whole(answer, call.answer_bytes) else {
        return Ended::Failed {
            has_run: Verdict::MayHaveRun,
        };
    };
    let part = Part::Whole {
        attempt: attempt.id,
        answer,
    };
    if tx.send(part).is_err() {
        return Ended::Failed {
            has_run: Verdict::Ran,
        };
    }
    Ended::Done
}

/// Reads a whole answer; none if it broke off or is too large.
fn whole(answer: Response, limit: usize) -> Option<Whole> {
    let (status, headers, reader) = answer.split();
    let content_type = headers.get("content-type").and_then(|v| v.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_owned();
    let mut body = Vec::new();
    let limit_and_one = limit as u64 + 1;
    reader.take(limit_and_one).read_to_end(&mut body).ok()?;
    (body.len() <= limit).then_some(Whole {
        status: status.as_u16(),
        content_type,
        body,
    })
}

fn unreadable() -> Whole {
    Whole {
        status: 502,
        content_type: "text/plain".to_owned(),
        body: b"the upstream's refusal could not be read\n".to_vec(),
    }
}
