//! One request of a caller: what it asks for and whether it is allowed.

use super::{
    accept::Connection,
    answer::{
        Answer,
        Refusal, //
    },
    exchange,
    headers,
    lines::Kind,
    shared::Shared, //
};
use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    Response,
    Uri,
    header,
    request, //
};
use http_body_util::{
    BodyExt as _,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::time::timeout;
use vanillakeel::{
    Millis,
    fleet::PromptSegment,
    order,
    routes::{
        Route,
        Table,
        Workspace, //
    },
};

/// Parts of a prompt that are looked at; more are not worth their time.
const MAX_PARTS: usize = 64;

/// A request that is allowed and whole.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) id: Arc<str>,
    pub(super) route: Rc<Route>,
    pub(super) service: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers as an upstream gets them.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) arrived: Millis,
    /// The time by which the answer has to end.
    pub(super) deadline: Millis,
    pub(super) parts: Vec<PromptSegment>,
    pub(super) prompt_tokens: u32,
    /// Rank at the upstream, zero is the most urgent.
    pub(super) priority: u8,
    /// Connections to one upstream that this instance may have.
    pub(super) max_connections: u32,
}

impl Order {
    /// Time that is left, in ms.
    pub(super) const fn left_ms(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}

/// Counts a request while it is answered.
struct Open(Rc<Shared>);

impl Open {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.open.set(shared.open.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Answers one request.
pub(super) async fn answer(
    shared: Rc<Shared>,
    connection: Rc<Connection>,
    req: Request<Incoming>,
) -> Response<Answer> {
    let arrived = shared.clock.now();
    let open = Open::new(&shared);
    let is_good = connection.scan.borrow_mut().begin();
    let id = headers::text(req.headers(), &shared.names.request_id).map(Arc::<str>::from);
    let result = if is_good {
        serve(&shared, arrived, req).await
    } else {
        Err(Refusal::Ambiguous)
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            shared.metrics.on_refusal(refusal);
            log_refusal(&shared, id.as_deref(), refusal, arrived);
            let mut response = refusal.response();
            let value = id.as_deref().and_then(|id| HeaderValue::from_str(id).ok());
            if let Some(value) = value {
                let name = shared.names.request_id.clone();
                response.headers_mut().insert(name, value);
            }
            response
        }
    };
    let must_close = connection.scan.borrow().must_close() || shared.is_closing.get();
    if must_close {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    if let Answer::Relayed(relay) = response.body_mut() {
        relay.until_end(Box::new((open, connection.use_until_drop())));
    } else {
        connection.used();
    }
    response
}

fn log_refusal(shared: &Shared, id: Option<&str>, refusal: Refusal, arrived: Millis) {
    if !shared.may_log(Kind::Failure) {
        return;
    }
    let now = shared.clock.now();
    let in_force = shared.in_force.borrow();
    tracing::info!(
        request = id.unwrap_or(""),
        reason = refusal.as_str(),
        verdict = refusal.verdict().as_str(),
        version = in_force.table().map(|t| t.version()),
        proof_age_ms = in_force.confirmation_age_ms(now),
        after_ms = now.since(arrived),
        "refused"
    );
}

async fn serve(
    shared: &Rc<Shared>,
    arrived: Millis,
    req: Request<Incoming>,
) -> Result<Response<Answer>, Refusal> {
    let (parts, body) = req.into_parts();
    let limits = shared.limits();
    let body = read_body(body, limits.body_bytes, limits.idle_ms).await?;
    if is_past_stop(shared) {
        return Err(Refusal::Stopping);
    }
    // The body may have taken long; what is in force counts from now on.
    let table = shared.in_force.borrow().table().map(Rc::clone);
    let table = table.ok_or(Refusal::NoConfiguration)?;
    let order = make_order(shared, &table, arrived, parts, body)?;
    shared.on_request(&order.service);
    exchange::run(shared, order).await
}

/// Whether the stop has gone on for so long that a new request could not end in time.
fn is_past_stop(shared: &Shared) -> bool {
    let limit = shared.settings.borrow().timing.last_request_ms;
    let now = shared.clock.now();
    shared
        .stopping
        .get()
        .is_some_and(|since| now.since(since) >= limit)
}

async fn read_body(body: Incoming, most: usize, ms: u64) -> Result<Bytes, Refusal> {
    let whole = Limited::new(body, most).collect();
    match timeout(Duration::from_millis(ms), whole).await {
        Err(_) => Err(Refusal::SlowBody),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::Ambiguous),
    }
}

fn make_order(
    shared: &Shared,
    table: &Table,
    arrived: Millis,
    head: request::Parts,
    body: Bytes,
) -> Result<Order, Refusal> {
    let names = &shared.names;
    let now = shared.clock.now();
    let id = headers::text(&head.headers, &names.request_id).ok_or(Refusal::BadHeader)?;
    let id = Arc::<str>::from(id);
    let may_deny = shared.in_force.borrow().may_deny(now);
    let deny = |refusal| if may_deny { refusal } else { Refusal::Stale };
    let host = host_of(&head).ok_or(Refusal::BadHeader)?;
    let route = table
        .find(&host, head.uri.path())
        .ok_or(deny(Refusal::NoRoute))?;
    let client = match access(table, route, &head.headers) {
        Access::Open => None,
        Access::Denied => return Err(deny(Refusal::UnknownKey)),
        // The key may have been revoked unseen.
        Access::Granted(_) if !shared.in_force.borrow().may_use_keys(now) => {
            return Err(Refusal::Stale);
        }
        Access::Granted(client) => Some(client),
    };
    let deadline_ms = match headers::text(&head.headers, &names.deadline_ms) {
        Some(text) => text.trim().parse().map_err(|_| Refusal::BadHeader)?,
        None => route.timeout_ms,
    };
    let deadline = arrived.plus(route.timeout_ms.min(deadline_ms));
    let service = route
        .service_for(order::hash(&id))
        .ok_or(Refusal::NoUpstream)?;
    let mut out = headers::of_request(names, &head.headers, !table.requires_keys());
    let mut set = |name: &http::HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            out.insert(name.clone(), value);
        }
    };
    if let Some(client) = client {
        set(&names.workspace, &client.name);
    }
    let priority = table.rank(client, route);
    set(&names.priority, &priority.to_string());
    let max_connections = table.service(service).map_or(1, |s| s.max_connections);
    let instances = shared.instances().max(1);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    Ok(Order {
        parts: prompt_parts(headers::text(&head.headers, &names.prompt_parts)),
        prompt_tokens: prompt_tokens(headers::text(&head.headers, &names.token_counts)),
        route: Rc::clone(route),
        priority,
        service: Arc::clone(service),
        uri: path.parse().map_err(|_| Refusal::BadHeader)?,
        max_connections: (max_connections / instances).max(1),
        id,
        method: head.method,
        headers: out,
        body,
        arrived,
        deadline,
    })
}

/// What the key of a request allows.
enum Access<'a> {
    /// No key is asked for.
    Open,
    /// The key is a workspace's.
    Granted(&'a Workspace),
    /// The key is missing, or nobody's.
    Denied,
}

/// Looks up the key of a request.
fn access<'a>(table: &'a Table, route: &Route, headers: &HeaderMap) -> Access<'a> {
    if route.public || !table.requires_keys() {
        return Access::Open;
    }
    let client = bearer(headers).and_then(|key| table.workspace_of_key(key));
    client.map_or(Access::Denied, Access::Granted)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers::text(headers, &header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// The host that a request is for, without its port.
fn host_of(head: &request::Parts) -> Option<String> {
    let host = match head.uri.host() {
        Some(host) => host,
        None => headers::text(&head.headers, &header::HOST)?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|b| b.is_ascii_digit());
        if is_port { name } else { host }
    });
    Some(name.to_ascii_lowercase())
}

/// Reads `ID:TOKENS` entries; an entry that can't be read ends the list, as a hint only.
fn prompt_parts(text: Option<&str>) -> Vec<PromptSegment> {
    let Some(text) = text else {
        return Vec::new();
    };
    let entry = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(PromptSegment {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').take(MAX_PARTS).map_while(entry).collect()
}

/// Reads the first of two counts.
fn prompt_tokens(text: Option<&str>) -> u32 {
    text.and_then(|t| t.split(',').next())
        .and_then(|t| t.trim().parse().ok())
        .unwrap_or(0)
}
