//! Sends of a request to upstreams until one answers or nothing more may be tried.

use super::{
    answer::{
        Answer,
        Refusal, //
    },
    call::Call,
    client::{
        Client,
        SendError, //
    },
    headers,
    lines::Kind,
    progress::Progress,
    relay::Relay,
    request::Order,
    shared::Shared, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt as _,
    Full, //
};
use hyper::body::{
    Body as _,
    Incoming, //
};
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::time::timeout;
use vanillakeel::fleet::{
    CallOutcome,
    Pick,
    RequestInfo, //
};

/// Upstreams without a connection that are tried for one request.
const MAX_CONNECTS: u32 = 3;

/// Refusals by upstreams after which a request is given up.
const MAX_REFUSALS: u32 = 2;

/// Largest answer that is taken in whole before it is handed on, in bytes.
const MAX_WHOLE_BYTES: usize = 256 << 10;

/// A request waits this part of its target for an upstream to be there.
const WAIT_PART_OF_TARGET: u64 = 8;

/// Longest wait for an upstream to be there, in ms.
const MAX_WAIT_MS: u64 = 250;

/// Shortest time worth a send, in ms.
const MIN_LEFT_MS: u64 = 5;

/// Why a send brought no answer that can be handed on.
#[derive(Debug, displaydoc::Display)]
pub(super) enum Miss {
    /// no upstream may be sent to now
    NoUpstream,
    /// prompts are queued for too long; room is expected in {0} ms
    Overload(u64),
    /// all connections to the upstream are in use
    NoConnection,
    /// the upstream could not be reached, nothing was sent
    Unreached,
    /// the kept connection had ended before anything was written
    Lapsed,
    /// the upstream says that it has not run the request
    Refused,
    /// {0}; the upstream may have run the request
    Broken(&'static str),
}

/// What has been tried for a request.
#[derive(Debug, Default)]
pub(super) struct Tries {
    /// Upstreams not to try again.
    tried: Vec<Arc<str>>,
    /// Sends after which the request may have run.
    pub(super) runs: u32,
    refusals: u32,
    unreached: u32,
}

/// Answers a request.
pub(super) async fn run(shared: &Rc<Shared>, order: Order) -> Result<Response<Answer>, Refusal> {
    let order = Rc::new(order);
    let left = order.left_ms(shared.clock.now());
    if left < MIN_LEFT_MS {
        return Err(Refusal::TooLate);
    }
    let mut tries = Tries::default();
    let limit = Duration::from_millis(left);
    let done = timeout(limit, try_all(shared, &order, &mut tries)).await;
    match done {
        Ok(result) => result,
        Err(_) if tries.runs > 0 => Err(Refusal::TimedOut),
        Err(_) => Err(Refusal::TooLate),
    }
}

async fn try_all(
    shared: &Rc<Shared>,
    order: &Rc<Order>,
    tries: &mut Tries,
) -> Result<Response<Answer>, Refusal> {
    let mut failure: Option<Response<Answer>> = None;
    loop {
        let miss = match send(shared, order, tries, None).await {
            Ok((call, response)) => match deliver(shared, order, tries, call, response).await {
                Ok(Delivery::Final(response)) => return Ok(response),
                Ok(Delivery::Failure(response)) => {
                    failure = Some(response);
                    Miss::Broken("error of the upstream")
                }
                Err(miss) => miss,
            },
            Err(miss) => miss,
        };
        log_miss(shared, order, tries, &miss);
        if may_go_on(shared, order, tries, &miss).await {
            continue;
        }
        if let Some(response) = failure {
            return Ok(response);
        }
        return Err(match miss {
            _ if tries.runs > 0 => Refusal::Broken,
            Miss::NoUpstream | Miss::Unreached => Refusal::NoUpstream,
            Miss::Overload(ms) => Refusal::Overload(ms),
            _ => Refusal::Full,
        });
    }
}

fn log_miss(shared: &Shared, order: &Order, tries: &Tries, miss: &Miss) {
    if !shared.may_log(Kind::Failure) {
        return;
    }
    tracing::info!(
        request = %order.id,
        upstream = tries.tried.last().map_or("", |u| u),
        reason = %miss,
        runs = tries.runs,
        after_ms = shared.clock.now().since(order.arrived),
        "send failed"
    );
}

/// Whether one more send may be made after a miss.
async fn may_go_on(shared: &Rc<Shared>, order: &Order, tries: &mut Tries, miss: &Miss) -> bool {
    let is_final_run = tries.runs >= order.route.max_attempts.max(1);
    let may_repeat = tries.runs == 0 || (order.route.kind.is_idempotent() && !is_final_run);
    match miss {
        Miss::Lapsed => true,
        Miss::Overload(_) => false,
        Miss::NoConnection => may_repeat,
        Miss::NoUpstream => {
            let target = order.route.target_ms;
            let most = (target / WAIT_PART_OF_TARGET).min(MAX_WAIT_MS);
            let waited = shared.clock.now().since(order.arrived);
            let left = most.saturating_sub(waited);
            if !may_repeat || left == 0 {
                return false;
            }
            let changed = shared.fleet_changed.notified();
            timeout(Duration::from_millis(left), changed).await.is_ok()
        }
        Miss::Unreached => {
            tries.unreached += 1;
            may_repeat && tries.unreached < MAX_CONNECTS
        }
        Miss::Refused => {
            tries.refusals += 1;
            may_repeat && tries.refusals < MAX_REFUSALS && shared.take_repeat(&order.service)
        }
        Miss::Broken(_) => may_repeat && shared.take_repeat(&order.service),
    }
}

/// Sends a request to the best upstream and waits for the head of an answer.
pub(super) async fn send(
    shared: &Rc<Shared>,
    order: &Order,
    tries: &mut Tries,
    after_event: Option<&str>,
) -> Result<(Call, Response<Incoming>), Miss> {
    let now = shared.clock.now();
    let ask = RequestInfo {
        service: &order.service,
        segments: &order.parts,
        prompt_tokens: order.prompt_tokens,
        rank: order.priority,
        target_ms: order.route.target_ms,
        tried: &tries.tried,
    };
    let pick = shared.fleet.borrow_mut().choose(now, &ask);
    let mut pick = pick.ok_or(Miss::NoUpstream)?;
    if tries.runs == 0 && tries.refusals == 0 {
        let admitted = shared.fleet.borrow_mut().admit(now, &ask, pick);
        pick = admitted.map_err(Miss::Overload)?;
    }
    let ticket = shared.fleet.borrow_mut().on_send(now, &pick, &ask);
    let mut call = Call::new(shared, &order.id, pick, ticket);
    connect(shared, order, tries, &mut call).await?;
    let now = shared.clock.now();
    let req = build(shared, order, &call.pick, order.left_ms(now), after_event);
    tries.tried.push(Arc::clone(&call.pick.name));
    tries.runs += 1;
    log_sent(shared, order, tries, &call.pick);
    let sent = match &mut call.client {
        Some(client) => client.send(req).await,
        None => Err(SendError::NotSent),
    };
    match sent {
        Ok(response) => check_head(shared, order, tries, call, response),
        Err(SendError::NotSent) => {
            tries.runs -= 1;
            tries.tried.pop();
            call.end(CallOutcome::Neutral);
            Err(Miss::Lapsed)
        }
        Err(SendError::Broken(_)) => {
            call.end(CallOutcome::Failed);
            Err(Miss::Broken("connection ended before an answer"))
        }
    }
}

fn log_sent(shared: &Shared, order: &Order, tries: &Tries, pick: &Pick) {
    if !shared.may_log(Kind::Usual) {
        return;
    }
    let now = shared.clock.now();
    let in_force = shared.in_force.borrow();
    tracing::info!(
        request = %order.id,
        upstream = %pick.name,
        service = %order.service,
        route = %order.route.name,
        rank = order.priority,
        version = in_force.table().map(|t| t.version()),
        proof_age_ms = in_force.confirmation_age_ms(now),
        attempt = tries.runs,
        to_read = pick.prefill_tokens,
        ahead = pick.tokens_ahead,
        wait_ms = pick.wait_ms,
        left_ms = order.left_ms(now),
        after_ms = now.since(order.arrived),
        "sent"
    );
}

/// Gives a call a kept connection or a new one.
async fn connect(
    shared: &Rc<Shared>,
    order: &Order,
    tries: &mut Tries,
    call: &mut Call,
) -> Result<(), Miss> {
    let (name, incarnation) = (Arc::clone(&call.pick.name), call.pick.incarnation);
    let now = shared.clock.now();
    call.client = shared.sockets.borrow_mut().take(now, &name, incarnation);
    if call.client.is_some() {
        return Ok(());
    }
    let most = order.max_connections;
    let has_room = shared
        .sockets
        .borrow_mut()
        .reserve(&name, incarnation, most);
    if !has_room {
        tries.tried.push(name);
        return Err(Miss::NoConnection);
    }
    let reserved = Reserved(shared, &name, incarnation);
    match Client::open(call.pick.address, shared.dial()).await {
        Ok(client) => {
            std::mem::forget(reserved);
            shared.metrics.connections.inc();
            call.client = Some(client);
            Ok(())
        }
        Err(e) => {
            tracing::info!(upstream = %name, error = %e, "upstream could not be reached");
            drop(reserved);
            tries.tried.push(name);
            call.settle(CallOutcome::ConnectFailed);
            Err(Miss::Unreached)
        }
    }
}

/// Gives the count of a connection back if it is not established, or nobody waits for it any more.
struct Reserved<'a>(&'a Shared, &'a Arc<str>, u64);

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        self.0.sockets.borrow_mut().on_closed(self.1, self.2);
    }
}

fn build(
    shared: &Shared,
    order: &Order,
    pick: &Pick,
    left_ms: u64,
    after_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let names = &shared.names;
    let mut req = Request::new(Full::new(order.body.clone()));
    *req.method_mut() = order.method.clone();
    *req.uri_mut() = order.uri.clone();
    *req.headers_mut() = order.headers.clone();
    let headers = req.headers_mut();
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(name) = HeaderValue::from_str(&pick.name) {
        headers.insert(names.expected_upstream.clone(), name);
    }
    let after = after_event.and_then(|id| HeaderValue::from_str(id).ok());
    if let Some(id) = after {
        headers.insert("last-event-id", id);
    }
    req
}

/// Sorts out heads that are no answer to the request.
fn check_head(
    shared: &Shared,
    order: &Order,
    tries: &mut Tries,
    mut call: Call,
    response: Response<Incoming>,
) -> Result<(Call, Response<Incoming>), Miss> {
    let names = &shared.names;
    let headers = response.headers();
    let echoed = headers::text(headers, &names.request_id);
    if echoed != Some(&*order.id) {
        call.end(CallOutcome::Failed);
        return Err(Miss::Broken("answer to another request"));
    }
    call.keep_ms = keep_ms(shared, headers);
    let is_elsewhere = response.status() == StatusCode::MISDIRECTED_REQUEST;
    if is_elsewhere || headers.contains_key(&names.not_run) {
        tries.runs -= 1;
        if is_elsewhere {
            let mut fleet = shared.fleet.borrow_mut();
            fleet.on_leaving(&call.pick.name, call.pick.incarnation);
        }
        // The body of a refusal is not read, so its connection is not kept.
        call.keep_ms = None;
        call.end(CallOutcome::Refused);
        return Err(Miss::Refused);
    }
    let lacks_seal = response.status().is_success() && !headers.contains_key(&names.seal);
    if lacks_seal || headers.contains_key(header::CONTENT_ENCODING) {
        call.end(CallOutcome::Failed);
        return Err(Miss::Broken("answer without its seal"));
    }
    Ok((call, response))
}

/// How long a connection may be kept after this answer, in ms.
fn keep_ms(shared: &Shared, headers: &HeaderMap) -> Option<u64> {
    if headers::says_close(headers) {
        return None;
    }
    let cfg = shared.settings.borrow().connections;
    let ms = headers::keep_alive_ms(headers).unwrap_or(cfg.idle_ms);
    Some(ms.saturating_sub(cfg.margin_ms))
}

/// An answer as a whole or its beginning.
enum Delivery {
    /// What the caller gets.
    Final(Response<Answer>),
    /// A failure that the caller gets unless another upstream does better.
    Failure(Response<Answer>),
}

async fn deliver(
    shared: &Rc<Shared>,
    order: &Rc<Order>,
    tries: &mut Tries,
    mut call: Call,
    response: Response<Incoming>,
) -> Result<Delivery, Miss> {
    let (mut head, body) = response.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    if order.route.kind.is_stream() && head.status.is_success() {
        let tries = std::mem::take(tries);
        let relay = Relay::new(shared, order, tries, call, body);
        let answer = Answer::Relayed(Box::new(relay));
        return Ok(Delivery::Final(Response::from_parts(head, answer)));
    }
    match take_whole(body).await {
        Ok(Taken::Whole(bytes)) => {
            let now = shared.clock.now();
            call.on_first(now);
            let is_failure = head.status.is_server_error();
            let upstream = Arc::clone(call.upstream());
            call.end(if is_failure {
                CallOutcome::Failed
            } else {
                CallOutcome::Success
            });
            let mut progress = Progress::default();
            progress.on_part(now);
            progress.bytes = bytes.len() as u64;
            log_answer(shared, order, &upstream, head.status, &progress);
            let response = Response::from_parts(head, Answer::Whole(Some(bytes)));
            Ok(if is_failure {
                Delivery::Failure(response)
            } else {
                Delivery::Final(response)
            })
        }
        Ok(Taken::Start(bytes, body)) => {
            call.on_first(shared.clock.now());
            let tries = std::mem::take(tries);
            let relay = Relay::new(shared, order, tries, call, body).with_start(bytes);
            let answer = Answer::Relayed(Box::new(relay));
            Ok(Delivery::Final(Response::from_parts(head, answer)))
        }
        Err(_) => {
            call.end(CallOutcome::Failed);
            Err(Miss::Broken("answer broke off"))
        }
    }
}

/// Takes note of a whole answer.
pub(super) fn log_answer(
    shared: &Shared,
    order: &Order,
    upstream: &str,
    status: StatusCode,
    progress: &Progress,
) {
    let times = progress.times(order.arrived, shared.clock.now());
    shared.metrics.on_answer(order.priority, status, &times);
    if !shared.may_log(Kind::Usual) {
        return;
    }
    tracing::info!(
        request = %order.id,
        upstream,
        status = status.as_u16(),
        bytes = progress.bytes,
        first_ms = times.first_ms,
        gap_ms = times.longest_gap_ms,
        after_ms = times.whole_ms,
        "answered"
    );
}

/// A body that was taken in.
enum Taken {
    /// All of it.
    Whole(Bytes),
    /// The beginning of a long one, and the rest.
    Start(Bytes, Incoming),
}

async fn take_whole(mut body: Incoming) -> Result<Taken, hyper::Error> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_WHOLE_BYTES && !body.is_end_stream() {
            return Ok(Taken::Start(bytes.freeze(), body));
        }
    }
    Ok(Taken::Whole(bytes.freeze()))
}
