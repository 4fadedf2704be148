//! Turns the responses of upstreams into those for callers.
//!
//! A successful stream and a long body are relayed as they arrive; any other body is read completely
//! first, so that a failure until then can be retried at another upstream.

use super::{
    answer::ResponseBody,
    call::Call,
    callers::Caller,
    crashes,
    exchange::{
        Attempts,
        SendFailure, //
    },
    framing::{
        self,
        BodyFraming, //
    },
    headers,
    lines::Kind,
    progress::Progress,
    relay::Relay,
    request::RoutedRequest,
    shared::Shared,
    usage, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    Response,
    StatusCode,
    header,
    response::Parts, //
};
use http_body_util::BodyExt as _;
use hyper::body::{
    Body as _,
    Incoming, //
};
use std::{
    rc::Rc,
    sync::Arc, //
};
use vanillakeel::fleet::CallOutcome;

/// Largest response that is read completely before it is forwarded, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Length up to which a response is read completely also if there is no room for more, in bytes.
const ALWAYS_BUFFERED_BYTES: usize = 16 << 10;

/// A response of an upstream that can be forwarded to the caller.
pub(super) enum PreparedResponse {
    /// The response that the caller gets.
    Final(Response<ResponseBody>),
    /// A server error (5xx) that the caller gets only if no other upstream succeeds.
    ServerError(Response<ResponseBody>),
}

/// Turns the response of an upstream into the one for the caller.
///
/// # Errors
///
/// Returns [`SendFailure::Broken`] if the body breaks off before it can be forwarded.
pub(super) async fn prepare(
    shared: &Rc<Shared>,
    request: &Rc<RoutedRequest>,
    attempts: &mut Attempts,
    call: Call,
    response: Response<Incoming>,
) -> Result<PreparedResponse, SendFailure> {
    let (mut head, body) = response.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    if has_no_body(head.status) {
        // A caller that goes by the length would wait for a body that the upstream must not send.
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let is_success = head.status.is_success();
    let is_stream_route = request.route.kind.is_stream();
    let has_events = is_success && framing::has_events(&head.headers, is_stream_route);
    let ends_with_connection = call.framing == BodyFraming::Connection && !body.is_end_stream();
    // A stream begins with its first event.
    if !is_stream_route && usage::shows_run(head.status) {
        request.on_begun(shared);
    }
    let buffered = if is_success && is_stream_route {
        BufferedBody::Partial(Bytes::new(), body)
    } else {
        match buffer_body(request.held.caller(), &call, body).await {
            Ok(buffered) => buffered,
            Err(_) => {
                call.finish(CallOutcome::Failed);
                return Err(SendFailure::Broken("answer broke off"));
            }
        }
    };
    match buffered {
        BufferedBody::Complete(bytes) if has_events && !framing::is_between_events(&bytes) => {
            call.finish(CallOutcome::Failed);
            Err(SendFailure::Broken("answer ended within an event"))
        }
        BufferedBody::Complete(_)
            if ends_with_connection && crashes::has_ended(shared, &call.pick).await =>
        {
            call.finish(CallOutcome::Failed);
            Err(SendFailure::Broken("answer ended with its upstream"))
        }
        BufferedBody::Complete(bytes) => Ok(finish(shared, request, call, head, bytes)),
        BufferedBody::Partial(start, rest) => {
            let attempts = std::mem::take(attempts);
            let mut relay = Relay::new(shared, request, attempts, call, rest);
            if has_events {
                // The length is that of this run, which a run at another upstream may continue, and a
                // caller that has read it can no longer be told that the stream is broken.
                head.headers.remove(header::CONTENT_LENGTH);
                relay = relay.with_events();
            }
            relay.add_buffered(start);
            let body = ResponseBody::Relayed(Box::new(relay));
            Ok(PreparedResponse::Final(Response::from_parts(head, body)))
        }
    }
}

/// Returns whether a status has no body, whatever the headers say.
const fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Ends the call of a response that has been read completely.
fn finish(
    shared: &Shared,
    request: &RoutedRequest,
    mut call: Call,
    head: Parts,
    bytes: Bytes,
) -> PreparedResponse {
    let now = shared.clock.now();
    call.on_first_event(now);
    let is_failure = head.status.is_server_error();
    let upstream = Arc::clone(call.upstream());
    let ending = Ending {
        framing: call.framing,
        partial_event_bytes: None,
    };
    if head.status.is_success() {
        crashes::record_answered(shared, request);
    }
    call.finish(if is_failure {
        CallOutcome::Failed
    } else {
        CallOutcome::Success
    });
    let mut progress = Progress::default();
    progress.on_chunk(now);
    progress.bytes = bytes.len() as u64;
    log_complete(shared, request, &upstream, head.status, &progress, ending);
    let bytes = request.held.caller().count_answer(bytes);
    let response = Response::from_parts(head, ResponseBody::Buffered(Some(bytes)));
    if is_failure {
        PreparedResponse::ServerError(response)
    } else {
        PreparedResponse::Final(response)
    }
}

/// How the body of a response has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    pub(super) framing: BodyFraming,
    /// Length of what follows the last complete event of a stream, in bytes.
    pub(super) partial_event_bytes: Option<u64>,
}

/// Records a complete response in the metrics and the log.
pub(super) fn log_complete(
    shared: &Shared,
    request: &RoutedRequest,
    upstream: &str,
    status: StatusCode,
    progress: &Progress,
    ending: Ending,
) {
    let times = progress.times(request.arrived, shared.clock.now());
    shared.metrics.on_answer(request.rank, status, &times);
    if !shared.may_log(Kind::Usual) {
        return;
    }
    tracing::info!(
        request = %request.id,
        upstream,
        status = status.as_u16(),
        bytes = progress.bytes,
        first_ms = times.first_ms,
        gap_ms = times.longest_gap_ms,
        after_ms = times.total_ms,
        framing = ending.framing.as_str(),
        partial_event_bytes = ending.partial_event_bytes,
        "answered"
    );
}

/// A body that has been read up to a size limit.
enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a long body, and the rest that is still to be read.
    Partial(Bytes, Incoming),
}

/// Reads a body until it ends, exceeds [`MAX_BUFFERED_BYTES`] or finds no room.
async fn buffer_body(
    caller: &Rc<Caller>,
    call: &Call,
    mut body: Incoming,
) -> Result<BufferedBody, hyper::Error> {
    let mut bytes = BytesMut::new();
    let mut held = caller.hold_nothing();
    call.await_data();
    while let Some(frame) = body.frame().await {
        call.await_data();
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        let has_room =
            bytes.len() <= ALWAYS_BUFFERED_BYTES || held.grows_freely_to(bytes.capacity());
        if (!has_room || bytes.len() > MAX_BUFFERED_BYTES) && !body.is_end_stream() {
            return Ok(BufferedBody::Partial(bytes.freeze(), body));
        }
    }
    Ok(BufferedBody::Complete(bytes.freeze()))
}
