//! Handling of one request of a caller: reading, authorization and routing.
//!
//! [`handle`] reads the body, looks up the route of the host and path, checks the key and hands a
//! [`RoutedRequest`] to [`exchange::forward`]. Every refusal becomes a response here.

use super::{
    accept::CallerConnection,
    access::{
        Access,
        check_access, //
    },
    answer::{
        Refusal,
        ResponseBody, //
    },
    bodies::{
        self,
        BodyFailure,
        BodyLimits,
        HeldBody, //
    },
    callers::{
        Caller,
        HeldBytes, //
    },
    exchange,
    headers,
    lines::Kind,
    retries,
    shared::Shared,
    stop,
    streams::{
        self,
        Continued, //
    },
    usage, //
};
use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    Response,
    Uri,
    Version,
    header,
    request, //
};
use hyper::body::Incoming;
use std::{
    cell::{
        Cell,
        OnceCell, //
    },
    rc::Rc,
    sync::Arc, //
};
use tokio::task::spawn_local;
use vanillakeel::{
    Millis,
    caller_budget::Phase,
    division,
    fleet::PromptSegment,
    order,
    quarantine::{
        self,
        Subject, //
    },
    routes::{
        Route,
        RouteKind,
        Table, //
    },
    streams::StreamId,
};

/// Largest number of prompt segments that are parsed; further ones are not worth the time.
const MAX_PROMPT_SEGMENTS: usize = 64;

/// A complete request that is authorized and has a route.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    pub(super) id: Arc<str>,
    /// Version of the configuration by which the request was routed.
    pub(super) version: u64,
    pub(super) route: Rc<Route>,
    pub(super) service: Arc<str>,
    host: Box<str>,
    /// Name of the workspace; empty if no key is required.
    pub(super) workspace: Arc<str>,
    /// Whether it has been counted as begun.
    is_begun: Cell<bool>,
    /// Digest of the request as a whole, once it is needed.
    digest: OnceCell<u64>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers for the upstream, without those that are set for each attempt.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// What counts for the body.
    pub(super) held: HeldBytes,
    pub(super) arrived: Millis,
    /// Time by which the response has to end.
    pub(super) deadline: Millis,
    pub(super) prompt_segments: Vec<PromptSegment>,
    /// Ids of the segments that other requests may share.
    pub(super) shared_segments: Vec<u64>,
    pub(super) prompt_tokens: u32,
    /// Rank at the upstream; 0 is the most urgent.
    pub(super) rank: u8,
    /// Id of the request that brought the first event of the stream, if the caller names one.
    pub(super) resumes: Option<Arc<str>>,
    /// Stream that the request continues.
    pub(super) continues: Option<Continued>,
    /// Version of the software at which that stream has to go on.
    pub(super) software: Option<Arc<str>>,
    /// Most connections that this instance may have to one upstream.
    pub(super) max_connections: u32,
}

/// What the log says of a routed request.
#[derive(Clone, Debug)]
struct RoutedFacts {
    /// Version of the configuration by which the request was routed.
    version: u64,
    service: Arc<str>,
    route: Rc<Route>,
    rank: u8,
    prompt_tokens: u32,
}

impl RoutedRequest {
    fn facts(&self) -> RoutedFacts {
        RoutedFacts {
            version: self.version,
            service: Arc::clone(&self.service),
            route: Rc::clone(&self.route),
            rank: self.rank,
            prompt_tokens: self.prompt_tokens,
        }
    }

    /// Returns the request as a whole, by which it is known when it comes again.
    pub(super) fn as_subject(&self) -> Subject {
        let digest = self.digest.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
            quarantine::request_digest(&self.host, path, &self.workspace, &self.body)
        });
        Subject::Request(*digest)
    }

    /// Returns the prompt segments that other requests may share.
    pub(super) fn segment_subjects(&self) -> impl Iterator<Item = Subject> {
        self.shared_segments.iter().copied().map(Subject::Segment)
    }

    /// Returns all that may crash an upstream: the shared segments, and the request as a whole.
    pub(super) fn subjects(&self) -> Vec<Subject> {
        self.segment_subjects().chain([self.as_subject()]).collect()
    }

    /// Returns the stream to which the events of the answer belong.
    pub(super) fn stream(&self) -> StreamId {
        match self.continues {
            Some(Continued::Stream(stream)) => stream,
            _ => StreamId::of(&self.id),
        }
    }

    /// Counts the request when an upstream has begun it, once.
    pub(super) fn on_begun(&self, shared: &Shared) {
        let is_first = !self.is_begun.replace(true) && !self.workspace.is_empty();
        if is_first && shared.counts_usage {
            usage::on_begun(&shared.usage, &shared.metrics.usage, &self.workspace);
        }
    }

    /// Returns the time to the deadline, in ms.
    pub(super) const fn remaining_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequest(Rc<Shared>);

impl OpenRequest {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.open_requests.set(shared.open_requests.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Handles one request and returns the response for the caller.
pub(super) async fn handle(
    shared: Rc<Shared>,
    connection: Rc<CallerConnection>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = shared.clock.now();
    let knows_chunks = req.version() >= Version::HTTP_11;
    let open_request = OpenRequest::new(&shared);
    let is_unambiguous = connection.scanner.borrow_mut().begin_request();
    let id =
        headers::str_value(req.headers(), &shared.header_names.request_id).map(Arc::<str>::from);
    let mut unfinished = UnfinishedRequest {
        shared: &shared,
        id: id.clone(),
        routed: None,
        has_response: false,
    };
    let result = if is_unambiguous {
        serve(
            &shared,
            &connection.caller,
            arrived,
            req,
            &mut unfinished.routed,
        )
        .await
    } else {
        Err(Refusal::Ambiguous)
    };
    unfinished.has_response = true;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            shared.metrics.on_refusal(refusal);
            log_refusal(
                &shared,
                id.as_deref(),
                refusal,
                arrived,
                unfinished.routed.as_ref(),
            );
            let mut response = refusal.response();
            let value = id.as_deref().and_then(|id| HeaderValue::from_str(id).ok());
            if let Some(value) = value {
                let name = shared.header_names.request_id.clone();
                response.headers_mut().insert(name, value);
            }
            response
        }
    };
    let must_close = connection.scanner.borrow().must_close()
        || connection.caller.phase() == Phase::Discarding
        || connection.caller.gives_way()
        || shared.is_closing.get();
    if must_close {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let ends_with_connection =
        !knows_chunks && !response.headers().contains_key(header::CONTENT_LENGTH);
    if let ResponseBody::Relayed(relay) = response.body_mut() {
        if ends_with_connection {
            connection.resets_on_close.set(true);
            let connection = Rc::clone(&connection);
            relay.on_complete(Box::new(move || connection.resets_on_close.set(false)));
        }
        relay.hold_until_end(Box::new((open_request, connection.hold_in_use())));
    } else {
        connection.on_response_end();
    }
    response
}

/// Logs the end of a request whose caller leaves before there is a response.
struct UnfinishedRequest<'a> {
    shared: &'a Shared,
    id: Option<Arc<str>>,
    routed: Option<RoutedFacts>,
    has_response: bool,
}

impl Drop for UnfinishedRequest<'_> {
    fn drop(&mut self) {
        if self.has_response || !self.shared.may_log(Kind::Failure) {
            return;
        }
        tracing::info!(
            request = self.id.as_deref().unwrap_or(""),
            version = self.routed.as_ref().map(|r| r.version),
            "caller left"
        );
    }
}

/// Logs a refusal; `routed` tells how the request was routed, if it was.
fn log_refusal(
    shared: &Shared,
    id: Option<&str>,
    refusal: Refusal,
    arrived: Millis,
    routed: Option<&RoutedFacts>,
) {
    if !shared.may_log(Kind::Failure) {
        return;
    }
    let now = shared.clock.now();
    let in_force = shared.in_force.borrow();
    let newest = in_force.table().map(|t| t.version());
    let routed_by = routed.map(|r| r.version);
    tracing::info!(
        request = id.unwrap_or(""),
        reason = refusal.as_str(),
        verdict = refusal.verdict().as_str(),
        version = routed_by.or(newest),
        in_force = newest.filter(|_| routed_by.is_some() && routed_by != newest),
        proof_age_ms = in_force.confirmation_age_ms(now),
        proof_from = &**shared.confirmed_by.borrow(),
        service = routed.map(|r| &*r.service),
        route = routed.map(|r| &*r.route.name),
        rank = routed.map(|r| r.rank),
        prompt_tokens = routed.map(|r| r.prompt_tokens),
        target_ms = routed.map(|r| r.route.target_ms),
        after_ms = now.since(arrived),
        "refused"
    );
}

/// Reads, routes and forwards a request; sets `routed` once it is routed.
async fn serve(
    shared: &Rc<Shared>,
    caller: &Rc<Caller>,
    arrived: Millis,
    req: Request<Incoming>,
    routed: &mut Option<RoutedFacts>,
) -> Result<Response<ResponseBody>, Refusal> {
    let (parts, mut body) = req.into_parts();
    let limits = shared.limits();
    let limits = BodyLimits {
        max_bytes: limits.body_bytes,
        timeout_ms: limits.idle_ms,
    };
    caller.set_phase(Phase::Body, expected_rank(shared, &parts));
    // A request that could not end before the process exits is refused, also within its body.
    let read = tokio::select! {
        biased;
        () = stop::until_request_cutoff(shared) => Err(Refusal::Stopping),
        read = bodies::read(caller, &mut body, limits) => {
            read.map_err(|e| refusal_of(e, shared.callers.standstill_ms()))
        }
    };
    let body = match read {
        Ok(body) => body,
        Err(Refusal::Stopping) => {
            caller.set_phase(Phase::Running, u8::MAX);
            spawn_local(bodies::discard_rest(body, limits));
            return Err(Refusal::Stopping);
        }
        Err(refusal) => {
            shared.discards.begin(caller, body);
            return Err(refusal);
        }
    };
    caller.set_phase(Phase::Running, u8::MAX);
    // The body may have taken long to arrive, so the table in force now is used, not that of the
    // arrival.
    let table = shared
        .usable_table(caller_ms(shared, &parts.headers))
        .await?;
    let mut request = route_request(shared, &table, arrived, parts, body)?;
    *routed = Some(request.facts());
    let origin = streams::origin_of(shared, &request).await;
    if let Ok(Some(origin)) = &origin {
        request.max_connections = max_connections(shared, &table, &origin.service);
        request.service = Arc::clone(&origin.service);
        *routed = Some(request.facts());
    }
    retries::on_request(shared, &request.service);
    request.software = origin?.map(|o| o.software);
    exchange::forward(shared, request).await
}

/// Returns the time for which the caller waits for an answer, in ms, or the longest one if it does not say.
fn caller_ms(shared: &Shared, headers: &HeaderMap) -> u64 {
    let value = headers::str_value(headers, &shared.header_names.deadline_ms);
    let ms = value.and_then(|v| v.trim().parse().ok());
    ms.unwrap_or(u64::MAX)
}

/// Returns the rank that a request has if its head can be read, and otherwise the least urgent one.
fn expected_rank(shared: &Shared, head: &request::Parts) -> u8 {
    let in_force = shared.in_force.borrow();
    let rank = || {
        let table = in_force.table()?;
        let route = table.find(&host_of(head)?, head.uri.path())?;
        match check_access(table, route, &head.headers) {
            Access::Denied | Access::Unknown => None,
            Access::KeyNotRequired => Some(table.rank(None, route)),
            Access::Granted(workspace) => Some(table.rank(Some(workspace), route)),
        }
    };
    rank().unwrap_or(u8::MAX)
}

/// Returns the refusal of a request whose body was not read.
const fn refusal_of(failure: BodyFailure, retry_after_ms: u64) -> Refusal {
    match failure {
        BodyFailure::TooLarge => Refusal::BodyTooLarge,
        BodyFailure::Slow => Refusal::SlowBody,
        BodyFailure::Broken => Refusal::Ambiguous,
        BodyFailure::NoRoom => Refusal::NoRoom(retry_after_ms),
        BodyFailure::GaveWay => Refusal::GaveWay(retry_after_ms),
    }
}

/// Checks the headers and the key of a request and finds its route and service.
fn route_request(
    shared: &Shared,
    table: &Table,
    arrived: Millis,
    head: request::Parts,
    body: HeldBody,
) -> Result<RoutedRequest, Refusal> {
    let names = &shared.header_names;
    let now = shared.clock.now();
    let id = headers::str_value(&head.headers, &names.request_id).ok_or(Refusal::BadHeader)?;
    let id = Arc::<str>::from(id);
    let may_deny = shared.in_force.borrow().may_deny(now);
    // A configuration that may be out of date can lack a new route or key, so the caller is asked
    // to retry instead.
    let stale = || Refusal::Stale(shared.stale_retry_after_ms(now));
    let deny = |refusal| if may_deny { refusal } else { stale() };
    let host = host_of(&head).ok_or(Refusal::BadHeader)?;
    let route = table
        .find(&host, head.uri.path())
        .ok_or(deny(Refusal::NoRoute))?;
    let workspace = match check_access(table, route, &head.headers) {
        Access::KeyNotRequired => None,
        Access::Denied => return Err(deny(Refusal::UnknownKey)),
        Access::Unknown => return Err(stale()),
        // The configuration has not been confirmed for so long that the key may have been revoked.
        Access::Granted(_) if !shared.in_force.borrow().may_use_keys(now) => {
            return Err(stale());
        }
        Access::Granted(workspace) => Some(workspace),
    };
    let deadline_ms = match headers::str_value(&head.headers, &names.deadline_ms) {
        Some(value) => value.trim().parse().map_err(|_| Refusal::BadHeader)?,
        None => route.timeout_ms,
    };
    let deadline = arrived.plus(route.timeout_ms.min(deadline_ms));
    let resumes = headers::str_value(&head.headers, &names.resumes);
    let continues = if route.kind == (RouteKind::Stream { resumable: true }) {
        continued_stream(&head.headers, resumes)
    } else {
        None
    };
    // A stream that nobody knows was begun by the service that its first request was sent to.
    let sample = match continues {
        Some(Continued::Stream(stream)) => stream.get(),
        _ => order::hash(&id),
    };
    let service = route.service_for(sample).ok_or(Refusal::NoUpstream)?;
    let mut out = headers::for_upstream(names, &head.headers, !table.has_used_keys());
    let mut set = |name: &http::HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            out.insert(name.clone(), value);
        }
    };
    if let Some(workspace) = workspace {
        set(&names.workspace, &workspace.name);
    }
    let rank = table.rank(workspace, route);
    set(&names.priority, &rank.to_string());
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let prompt_segments =
        parse_prompt_segments(headers::str_value(&head.headers, &names.prompt_segments));
    let shared_segments = prompt_segments
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    Ok(RoutedRequest {
        shared_segments: shared_segments.iter().map(|s| s.id).collect(),
        prompt_segments,
        prompt_tokens: parse_prompt_tokens(headers::str_value(&head.headers, &names.token_counts)),
        resumes: resumes.map(Arc::from),
        continues,
        software: None,
        version: table.version(),
        route: Rc::clone(route),
        rank,
        service: Arc::clone(service),
        host: Box::from(&*host),
        workspace: workspace.map_or_else(|| Arc::from(""), |w| Arc::clone(&w.name)),
        is_begun: Cell::new(false),
        digest: OnceCell::new(),
        uri: path.parse().map_err(|_| Refusal::BadHeader)?,
        max_connections: max_connections(shared, table, service),
        id,
        method: head.method,
        headers: out,
        body: body.bytes,
        held: body.held,
        arrived,
        deadline,
    })
}

/// Returns the most connections that this instance may have to one upstream of a service.
fn max_connections(shared: &Shared, table: &Table, service: &str) -> u32 {
    let max_connections = table.service(service).map_or(1, |s| s.max_connections);
    let assumed_instances = shared.settings.borrow().retries.instances;
    division::whole_part(
        max_connections,
        shared.sharing_instances(),
        assumed_instances,
    )
}

/// Returns the stream that a request continues, whose first request is `resumes`.
fn continued_stream(headers: &HeaderMap, resumes: Option<&str>) -> Option<Continued> {
    let named = resumes.map(|id| Continued::Stream(StreamId::of(id.trim())));
    let is_continued = headers.contains_key(&headers::LAST_EVENT_ID);
    named.or(is_continued.then_some(Continued::Unnamed))
}

/// Returns the host that a request is for, in lower case and without the port.
fn host_of(head: &request::Parts) -> Option<String> {
    let host = match head.uri.host() {
        Some(host) => host,
        None => headers::str_value(&head.headers, &header::HOST)?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|b| b.is_ascii_digit());
        if is_port { name } else { host }
    });
    Some(name.to_ascii_lowercase())
}

/// Parses a list of `ID:TOKENS` entries with hexadecimal ids.
///
/// The segments are only a hint for routing, so an entry that can't be parsed ends the list instead
/// of failing the request.
fn parse_prompt_segments(value: Option<&str>) -> Vec<PromptSegment> {
    let Some(value) = value else {
        return Vec::new();
    };
    let entry = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(PromptSegment {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    value
        .split(',')
        .take(MAX_PROMPT_SEGMENTS)
        .map_while(entry)
        .collect()
}

/// Parses the first of the two token counts, that of the prompt; 0 if it is missing or no number.
fn parse_prompt_tokens(value: Option<&str>) -> u32 {
    value
        .and_then(|t| t.split(',').next())
        .and_then(|t| t.trim().parse().ok())
        .unwrap_or(0)
}
