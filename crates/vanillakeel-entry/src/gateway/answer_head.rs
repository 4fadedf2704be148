//! Check of the head of an upstream's answer.
//!
//! It tells whether the answer belongs to the request and whether the upstream ran it, and what the head says
//! of the connection, the framing of the body, the upstream's rate limit and whether it takes further requests.

use super::{
    call::Call,
    exchange::{
        Attempts,
        SendFailure, //
    },
    framing::BodyFraming,
    headers,
    notices,
    rate_limits,
    request::RoutedRequest,
    shared::Shared, //
};
use http::{
    HeaderMap,
    Response,
    StatusCode,
    header, //
};
use hyper::body::Incoming;
use vanillakeel::{
    availability::Notice,
    fleet::CallOutcome, //
};

/// Checks that the head of a response belongs to the request and that the upstream ran it.
///
/// # Errors
///
/// Returns [`SendFailure::Refused`] if the upstream states, by status 421 or the header for it,
/// that it has not run the request, or [`SendFailure::Withdrawn`] if it adds that it takes no more for now. Returns
/// [`SendFailure::Broken`] if the response does not echo the request id, has an invalid status or an encoded body, or
/// is a success without the seal by which an upstream marks a response as its own. Returns
/// [`SendFailure::UnmarkedRefusal`] if a request that must not be repeated gets a status that promises its caller that
/// it has not run, while the upstream does not state that.
pub(super) fn check(
    shared: &Shared,
    request: &RoutedRequest,
    attempts: &mut Attempts,
    mut call: Call,
    response: Response<Incoming>,
) -> Result<(Call, Response<Incoming>), SendFailure> {
    let names = &shared.header_names;
    let headers = response.headers();
    let echoed = headers::str_value(headers, &names.request_id);
    if echoed != Some(&*request.id) {
        call.finish(CallOutcome::Failed);
        return Err(SendFailure::Broken("answer to another request"));
    }
    if !is_final_status(response.status()) {
        call.finish(CallOutcome::Failed);
        return Err(SendFailure::Broken("answer with an invalid status"));
    }
    // The next request would wait behind a body that is not read.
    call.max_idle_ms = max_idle_ms(shared, headers).filter(|_| !call.has_long_body);
    call.framing = BodyFraming::of(headers);
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    // Status 421 comes from another process, which says nothing of the expected one.
    let notice = if is_misdirected {
        Notice::default()
    } else {
        rate_limits::record_head(shared, request, &call, headers);
        notices::record_head(shared, request, &call, &response)
    };
    if is_misdirected || headers.contains_key(&names.not_run) {
        attempts.possible_runs -= 1;
        // 421 Misdirected Request: the expected upstream is not at this address any more.
        if is_misdirected {
            let mut fleet = shared.fleet.borrow_mut();
            fleet.on_leaving(&call.pick);
        }
        // The body of a refusal is not read, so its connection can't be reused.
        call.max_idle_ms = None;
        call.finish(CallOutcome::Refused);
        return Err(if notice.is_withdrawn() {
            SendFailure::Withdrawn
        } else {
            SendFailure::Refused
        });
    }
    let lacks_seal = response.status().is_success() && !headers.contains_key(&names.seal);
    if lacks_seal || headers.contains_key(header::CONTENT_ENCODING) {
        call.finish(CallOutcome::Failed);
        return Err(SendFailure::Broken("answer without its seal"));
    }
    if promises_not_run(response.status()) && !request.route.kind.is_idempotent() {
        call.finish(CallOutcome::Failed);
        return Err(SendFailure::UnmarkedRefusal);
    }
    Ok((call, response))
}

/// Returns whether a status may be that of a final answer.
///
/// The HTTP library also accepts statuses from 600 to 999, and 101, which only answers a request to switch protocols.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a caller takes a status for the promise that its request has not run and never will.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns how long a connection may stay idle after this response and still be reused, in ms.
///
/// This is the keep-alive time that the upstream announces, or the default, minus a margin: the
/// upstream must not close the connection while a new request is on its way. `None` means that the
/// upstream closes the connection after this response.
fn max_idle_ms(shared: &Shared, headers: &HeaderMap) -> Option<u64> {
    if headers::has_connection_close(headers) {
        return None;
    }
    let cfg = shared.settings.borrow().connections;
    let idle_ms = headers::keep_alive_ms(headers).unwrap_or(cfg.idle_ms);
    Some(idle_ms.saturating_sub(cfg.margin_ms))
}
