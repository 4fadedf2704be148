//! Parsing and validation of a request: workspace, class, idempotency key, deadline, body and service.
//!
//! [`parse`] checks a request against the configuration in force and returns what the control thread
//! and the attempts need, or a [`BadRequest`].

use super::{
    refuse::BadRequest,
    serve::{
        Shared,
        Snapshot, //
    },
};
use crate::{
    time::wall_ms,
    upstream::UpstreamRequest, //
};
use attohttpc::Method;
use sha2::{
    Digest as _,
    Sha256, //
};
use std::{
    io::Read as _,
    sync::Arc, //
};
use tiny_http::Request as HttpRequest;
use vanillakeel::{
    Request,
    claim::Key,
    config::{
        Class,
        Service,
        Workspace, //
    },
    order,
};

/// Limit on the tokens of an answer if the caller sends no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Average number of bytes per token, for an estimate of the prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// Number of leading bytes of a prompt that are hashed as its prefix; the engines use the same
/// number.
const PREFIX_BYTES: usize = 256;

/// Paths of the completion API, which are served by models.
const COMPLETION_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// A parsed and valid request.
#[derive(Debug)]
pub(super) struct ParsedRequest {
    pub(super) req: Request,
    /// The idempotency key to claim; `None` without one or if the class is idempotent.
    pub(super) key: Option<Key>,
    pub(super) upstream_request: UpstreamRequest,
    pub(super) wants_stream: bool,
}

/// Returns the value of a header.
pub(super) fn header<'a>(http: &'a HttpRequest, name: &'static str) -> Option<&'a str> {
    http.headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
}

/// Parses a request and checks it against the configuration in force.
///
/// # Errors
///
/// Returns the first fault found, with the status and reason for the caller.
pub(super) fn parse(
    http: &mut HttpRequest,
    shared: &Shared,
    snapshot: &Snapshot,
) -> Result<ParsedRequest, BadRequest> {
    let workspace = workspace(http, snapshot)?.clone();
    let class = class(http, snapshot)?.clone();
    let key = key(http, shared, &workspace, &class)?;
    let deadline_ms = deadline_ms(http, &class)?;
    let path = http.url().to_owned();
    let path_without_query = path.split('?').next().unwrap_or("");
    let is_model = COMPLETION_PATHS.contains(&path_without_query);
    if is_model && *http.method() != tiny_http::Method::Post {
        return Err(BadRequest::new(405, "method", "completions take POST"));
    }
    let body = body(http, shared)?;
    let mut parsed_body = if is_model {
        ParsedBody::completion(&body, &class)?
    } else {
        ParsedBody::plain(body)
    };
    let service = service(snapshot, &parsed_body, path_without_query)?;
    let now = shared.clock.now();
    let content_type = header(http, "content-type").unwrap_or("application/octet-stream");
    let req = Request {
        id: shared.next_request_id(),
        class: Arc::from(class.name.as_str()),
        workspace: Arc::from(workspace.name.as_str()),
        pool: Arc::from(service.name.as_str()),
        tier: class.tier,
        protected: class.protected,
        idempotent: class.idempotent,
        weight: workspace.weight,
        arrived: now,
        due: now.plus(class.target_ms),
        deadline: now.plus(deadline_ms),
        prompt_tokens: parsed_body.prompt_tokens,
        max_tokens: parsed_body.max_tokens,
        prefix: parsed_body.prefix,
        resumable: is_model,
    };
    let upstream_request = UpstreamRequest {
        method: method(http)?,
        path,
        content_type: content_type.to_owned(),
        body: Arc::new(std::mem::take(&mut parsed_body.body)),
        is_model,
        is_idempotent: class.idempotent,
        answer_bytes: shared.limits.answer_bytes,
    };
    Ok(ParsedRequest {
        req,
        key,
        upstream_request,
        wants_stream: parsed_body.wants_stream,
    })
}

fn method(http: &HttpRequest) -> Result<Method, BadRequest> {
    Method::from_bytes(http.method().as_str().as_bytes())
        .map_err(|_| BadRequest::new(405, "method", "the method is not known"))
}

/// Returns the workspace of a request after checking its bearer token.
fn workspace<'a>(http: &HttpRequest, snapshot: &'a Snapshot) -> Result<&'a Workspace, BadRequest> {
    let name = header(http, "x-workspace").unwrap_or("");
    let found = snapshot.config.workspace(name).ok_or_else(|| {
        BadRequest::new(
            400,
            "workspace",
            format!("no workspace '{name}' (x-workspace)"),
        )
    })?;
    if let Some(expected) = &found.token_sha256 {
        let sent = header(http, "authorization").and_then(|v| v.strip_prefix("Bearer "));
        if !sent.is_some_and(|token| matches_hash(token, expected)) {
            let message = "the workspace asks for a bearer token";
            return Err(BadRequest::new(401, "token", message));
        }
    }
    Ok(found)
}

/// Compares the SHA-256 hash of a token with the expected one in constant time.
fn matches_hash(token: &str, expected: &str) -> bool {
    use std::fmt::Write as _;
    use subtle::ConstantTimeEq as _;
    let mut sent = String::with_capacity(expected.len());
    for byte in Sha256::digest(token.as_bytes()) {
        let _ = write!(sent, "{byte:02x}");
    }
    let expected = expected.to_ascii_lowercase();
    sent.as_bytes().ct_eq(expected.as_bytes()).into()
}

fn class<'a>(http: &HttpRequest, snapshot: &'a Snapshot) -> Result<&'a Class, BadRequest> {
    let name = header(http, "x-class").unwrap_or("");
    snapshot
        .config
        .class(name)
        .ok_or_else(|| BadRequest::new(400, "class", format!("no class '{name}' (x-class)")))
}

/// Returns the idempotency key of a request, which is checked even if it need not be claimed.
fn key(
    http: &HttpRequest,
    shared: &Shared,
    workspace: &Workspace,
    class: &Class,
) -> Result<Option<Key>, BadRequest> {
    let Some(text) = header(http, "idempotency-key") else {
        return Ok(None);
    };
    let key = Key::parse(&workspace.name, text, wall_ms(), shared.key_window_ms)
        .map_err(|e| BadRequest::new(400, "idempotency_key", e.to_string()))?;
    Ok((!class.idempotent).then_some(key))
}

/// Returns the time until the deadline in ms, at most that of the class.
fn deadline_ms(http: &HttpRequest, class: &Class) -> Result<u64, BadRequest> {
    let max_ms = class.deadline_ms();
    let Some(text) = header(http, "x-deadline-ms") else {
        return Ok(max_ms);
    };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(ms.min(max_ms)),
        _ => {
            let message = "x-deadline-ms has to be a number of 1 or more";
            Err(BadRequest::new(400, "deadline", message))
        }
    }
}

/// Reads the body within the limits on size and on concurrent reads.
fn body(http: &mut HttpRequest, shared: &Shared) -> Result<Vec<u8>, BadRequest> {
    let limit = shared.limits.body_bytes;
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        BadRequest::new(413, "body_size", message)
    };
    if http.body_length().is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let Some(_reading) = shared.acquire_read() else {
        let message = "too many bodies are read at once";
        return Err(BadRequest::new(503, "busy", message));
    };
    let mut body = Vec::new();
    http.as_reader()
        .take(limit as u64 + 1)
        .read_to_end(&mut body)
        .map_err(|e| BadRequest::new(400, "body", format!("the body broke off: {e}")))?;
    if body.len() > limit {
        return Err(too_large());
    }
    Ok(body)
}

/// The contents of a request body that routing depends on, and the body for the upstream.
#[derive(Debug)]
struct ParsedBody {
    model: Option<String>,
    body: Vec<u8>,
    prompt_tokens: u32,
    max_tokens: u32,
    prefix: u64,
    wants_stream: bool,
}

impl ParsedBody {
    const fn plain(body: Vec<u8>) -> Self {
        Self {
            model: None,
            body,
            prompt_tokens: 0,
            max_tokens: 0,
            prefix: 0,
            wants_stream: false,
        }
    }

    /// Parses the body of a completion request.
    ///
    /// In the body for the upstream, `stream` is always true and `priority` is the tier of the class.
    fn completion(body: &[u8], class: &Class) -> Result<Self, BadRequest> {
        let bad = |message: &str| BadRequest::new(400, "body", message);
        let mut json: serde_json::Value =
            serde_json::from_slice(body).map_err(|e| bad(&format!("the body is no JSON: {e}")))?;
        let fields = json
            .as_object_mut()
            .ok_or_else(|| bad("the body is no JSON object"))?;
        let model = fields
            .get("model")
            .and_then(|m| m.as_str())
            .ok_or_else(|| bad("'model' has to be a text"))?
            .to_owned();
        let wants_stream = match fields.get("stream") {
            None | Some(serde_json::Value::Null) => false,
            Some(serde_json::Value::Bool(wants)) => *wants,
            Some(_) => return Err(bad("'stream' has to be true or false")),
        };
        let max_tokens = match fields.get("max_tokens") {
            None | Some(serde_json::Value::Null) => DEFAULT_MAX_TOKENS,
            Some(n) => n
                .as_u64()
                .filter(|n| *n > 0)
                .ok_or_else(|| bad("'max_tokens' has to be a number of 1 or more"))?,
        };
        let prompt = prompt_text(fields).ok_or_else(|| bad("'messages' or 'prompt' is missing"))?;
        fields.insert("stream".to_owned(), true.into());
        fields.insert("priority".to_owned(), class.tier.into());
        let prefix_bytes = prompt.len().min(PREFIX_BYTES);
        Ok(Self {
            model: Some(model),
            prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
            max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
            prefix: order::hash_bytes(&prompt.as_bytes()[..prefix_bytes]),
            wants_stream,
            body: serde_json::to_vec(&json).map_err(|e| bad(&e.to_string()))?,
        })
    }
}

/// Returns the text of a prompt, or of all its messages joined by line breaks.
fn prompt_text(fields: &serde_json::Map<String, serde_json::Value>) -> Option<String> {
    if let Some(messages) = fields.get("messages") {
        let texts: Option<Vec<&str>> = messages
            .as_array()?
            .iter()
            .map(|m| m.get("content")?.as_str())
            .collect();
        return texts.filter(|t| !t.is_empty()).map(|t| t.join("\n"));
    }
    fields.get("prompt")?.as_str().map(str::to_owned)
}

/// Returns the service for a request: by model for a completion, else by path.
fn service<'a>(
    snapshot: &'a Snapshot,
    parsed_body: &ParsedBody,
    path: &str,
) -> Result<&'a Service, BadRequest> {
    match &parsed_body.model {
        Some(model) => snapshot.config.service_of_model(model).ok_or_else(|| {
            BadRequest::new(404, "model", format!("no service has the model '{model}'"))
        }),
        None => snapshot.config.service_of_path(path).ok_or_else(|| {
            BadRequest::new(404, "path", format!("no service has the path '{path}'"))
        }),
    }
}
