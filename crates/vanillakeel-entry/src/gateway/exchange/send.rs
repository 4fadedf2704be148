//! One attempt of a request: the choice of an upstream, a connection to it, and the head of its response.

use super::{
    super::{
        answer_head,
        call::Call,
        caller_settings,
        client::{
            HttpConnection,
            SendError, //
        },
        headers,
        lines::Kind,
        relayed_events::ResumePoint,
        request::RoutedRequest,
        shared::Shared, //
    },
    Attempts,
    SendFailure,
    request_info, //
};
use bytes::Bytes;
use http::{
    HeaderValue,
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use vanillakeel::{
    Millis,
    division::RatePart,
    fleet::{
        CallOutcome,
        Pick,
        RequestInfo, //
    },
    rate_limits::Rate,
};

/// Length from which a body may fill the receive window of an upstream that does not read it yet, in bytes.
const LONG_BODY_BYTES: usize = 16 << 10;

/// Chooses an upstream for a request.
///
/// # Errors
///
/// Returns whether none may be sent to at all, or none has room by what its answers say.
fn choose(shared: &Shared, now: Millis, info: &RequestInfo<'_>) -> Result<Pick, SendFailure> {
    let mut fleet = shared.fleet.borrow_mut();
    let pick = fleet.choose(now, info);
    pick.ok_or_else(|| match fleet.no_room(now, info) {
        Some(no_room) => SendFailure::NoRoom(no_room),
        None => SendFailure::NoUpstream,
    })
}

/// Makes one attempt: sends a request to the best upstream and waits for the head of its response.
///
/// When a stream is resumed, `resume_point` says where the upstream continues it.
///
/// # Errors
///
/// Returns the reason if the request is not sent, or if no head arrives that [`answer_head::check`]
/// accepts.
pub(in super::super) async fn send(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
    attempts: &mut Attempts,
    resume_point: &ResumePoint,
) -> Result<(Call, Response<Incoming>), SendFailure> {
    let now = shared.clock.now();
    let info = request_info(request, attempts);
    let mut pick = choose(shared, now, &info)?;
    // Admission control applies only until an upstream has received the request.
    if attempts.possible_runs + attempts.refusals + attempts.withdrawals == 0 {
        let mut fleet = shared.fleet.borrow_mut();
        pick = fleet.admit(now, &info, pick).map_err(|overload| {
            // Less urgent requests leave it the room that limited upstreams will have.
            let _ = fleet.no_room(now, &info);
            if overload.is_over_share {
                shared.metrics.over_share.inc();
            } else {
                fleet.on_refused(now, info.service);
            }
            SendFailure::Overload(overload)
        })?;
    }
    let in_flight = shared.fleet.borrow_mut().on_send(now, &pick, &info);
    let mut call = Call::new(shared, &request.id, pick, in_flight);
    connect(shared, request, attempts, &mut call).await?;
    let now = shared.clock.now();
    if shared.fleet.borrow().is_withdrawn(now, &call.pick) {
        call.finish(CallOutcome::Neutral);
        return Err(SendFailure::WithdrawnBefore);
    }
    let req = build_request(
        shared,
        request,
        &call.pick,
        request.remaining_ms(now),
        resume_point,
    );
    attempts.tried.push(Arc::clone(&call.pick.name));
    attempts.possible_runs += 1;
    attempts.sent_to = Some(call.pick.clone());
    let chosen_ago_ms = now.since(call.sent);
    call.sent = now;
    let limit = shared.fleet.borrow().rate_of(&call.pick.name);
    if limit.is_some() {
        shared.metrics.limited_sends.inc();
    }
    log_sent(shared, request, attempts, &call.pick, chosen_ago_ms, limit);
    let sent = match &mut call.connection {
        Some(connection) => connection.send(req).await,
        None => Err(SendError::NotSent),
    };
    match sent {
        Ok(response) => answer_head::check(shared, request, attempts, call, response),
        Err(SendError::NotSent) => {
            attempts.possible_runs -= 1;
            attempts.tried.pop();
            call.finish(CallOutcome::Neutral);
            Err(SendFailure::ClosedWhileIdle)
        }
        Err(SendError::Broken(_)) => {
            call.finish(CallOutcome::Failed);
            Err(SendFailure::Broken("connection ended before an answer"))
        }
    }
}

/// Logs that a request is sent, `chosen_ago_ms` after the choice of its upstream; `limit` is the rate that the
/// upstream names, and the part of this instance.
fn log_sent(
    shared: &Shared,
    request: &RoutedRequest,
    attempts: &Attempts,
    pick: &Pick,
    chosen_ago_ms: u64,
    limit: Option<(Rate, RatePart)>,
) {
    if !shared.may_log(Kind::Usual) {
        return;
    }
    let now = shared.clock.now();
    let in_force = shared.in_force.borrow();
    let newest = in_force.table().map(|t| t.version());
    let condition = shared.fleet.borrow().condition_of(&pick.name);
    tracing::info!(
        request = %request.id,
        upstream = %pick.name,
        software = pick.software.as_deref(),
        resumes = request.resumes.as_deref(),
        service = %request.service,
        route = %request.route.name,
        rank = request.rank,
        version = request.version,
        in_force = newest.filter(|v| *v != request.version),
        proof_age_ms = in_force.confirmation_age_ms(now),
        proof_from = &**shared.confirmed_by.borrow(),
        attempt = attempts.possible_runs,
        chosen_ago_ms,
        to_read = pick.prefill_tokens,
        cached = pick.cached_tokens,
        fetched = pick.fetched_tokens,
        fetch_from = pick.cache_source.as_ref().map(|s| &*s.name),
        ahead = pick.tokens_ahead,
        wait_ms = pick.wait_ms,
        slowness = condition.slowness,
        rate = limit.map(|(rate, _)| Rate::per_second(rate)),
        part = limit.map(|(_, part)| part.per_second),
        left_ms = request.remaining_ms(now),
        after_ms = now.since(request.arrived),
        "sent"
    );
}

/// Gives a call an idle connection from the pool or a new one.
///
/// A request with a long body gets a connection of its own. Its upstream may answer first and read the body later, with
/// a receive window of zero meanwhile, which the kernel does not tell from a peer that no longer responds.
///
/// # Errors
///
/// Returns an error if the limit on connections to the upstream is reached or a new connection is
/// not established. The upstream is then not tried again for this request.
async fn connect(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
    attempts: &mut Attempts,
    call: &mut Call,
) -> Result<(), SendFailure> {
    let (name, incarnation) = (Arc::clone(&call.pick.name), call.pick.incarnation);
    let now = shared.clock.now();
    call.has_long_body = request.body.len() > LONG_BODY_BYTES;
    if !call.has_long_body {
        call.connection = shared
            .connection_pool
            .borrow_mut()
            .take_idle(now, &name, incarnation);
        if call.connection.is_some() {
            return Ok(());
        }
    }
    let max_connections = request.max_connections;
    let has_room = shared
        .connection_pool
        .borrow_mut()
        .reserve(&name, incarnation, max_connections);
    if !has_room {
        attempts.tried.push(name);
        return Err(SendFailure::NoConnection);
    }
    let reserved = ReservedConnection(shared, &name, incarnation);
    let mut timeouts = shared.connection_timeouts();
    if call.has_long_body {
        let remaining = Duration::from_millis(request.remaining_ms(now));
        timeouts.unacknowledged = timeouts.unacknowledged.max(remaining);
    }
    let buffer_bytes = caller_settings::upstream_buffer_bytes(&shared.settings.borrow().machine);
    let opening = HttpConnection::open_buffered(call.pick.address, timeouts, buffer_bytes);
    match opening.await {
        Ok(connection) => {
            std::mem::forget(reserved);
            shared.metrics.upstream_connections.inc();
            call.connection = Some(connection);
            Ok(())
        }
        Err(e) => {
            tracing::info!(upstream = %name, error = %e, "upstream could not be reached");
            drop(reserved);
            attempts.tried.push(name);
            call.release(CallOutcome::ConnectFailed);
            Err(SendFailure::ConnectFailed)
        }
    }
}

/// A reserved place for a new connection.
///
/// Dropping it releases the place, if the connection fails or the request is cancelled meanwhile.
/// It is forgotten once the connection is established.
struct ReservedConnection<'a>(&'a Shared, &'a Arc<str>, u64);

impl Drop for ReservedConnection<'_> {
    fn drop(&mut self) {
        self.0
            .connection_pool
            .borrow_mut()
            .on_closed(self.1, self.2);
    }
}

/// Builds the request as the chosen upstream gets it.
fn build_request(
    shared: &Shared,
    request: &RoutedRequest,
    pick: &Pick,
    remaining_ms: u64,
    resume_point: &ResumePoint,
) -> Request<Full<Bytes>> {
    let names = &shared.header_names;
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = request.headers.clone();
    let headers = req.headers_mut();
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining_ms));
    if let Ok(name) = HeaderValue::from_str(&pick.name) {
        headers.insert(names.expected_upstream.clone(), name);
    }
    let source = pick.cache_source.as_ref().map(|s| s.address.to_string());
    if let Some(value) = source.and_then(|a| HeaderValue::from_str(&a).ok()) {
        headers.insert(names.cache_source.clone(), value);
    }
    if let ResumePoint::After(id) = resume_point {
        headers.insert(headers::LAST_EVENT_ID, id.clone());
    }
    req
}
