//! Reading a request: its class, workspace, service and body.

use super::{
    refuse::BadRequest,
    serve::{
        Shared,
        Snapshot, //
    },
};
use crate::{
    time::wall_ms,
    upstream::Call, //
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

/// Most tokens of an answer if the caller gives no number.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Bytes of text in a token of a prompt, on average.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of a prompt that its prefix is hashed over, as engines do.
const PREFIX_BYTES: usize = 256;

/// Paths of completions.
const COMPLETIONS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// A request that has been read.
#[derive(Debug)]
pub(super) struct Parsed {
    pub(super) req: Request,
    pub(super) key: Option<Key>,
    pub(super) call: Call,
    pub(super) wants_stream: bool,
}

/// The value of a header.
pub(super) fn header<'a>(http: &'a HttpRequest, name: &'static str) -> Option<&'a str> {
    http.headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
}

/// Reads a request and checks it against the text in force.
pub(super) fn parse(
    http: &mut HttpRequest,
    shared: &Shared,
    snapshot: &Snapshot,
) -> Result<Parsed, BadRequest> {
    let workspace = workspace(http, snapshot)?.clone();
    let class = class(http, snapshot)?.clone();
    let key = key(http, shared, &workspace, &class)?;
    let deadline_ms = deadline_ms(http, &class)?;
    let path = http.url().to_owned();
    let bare = path.split('?').next().unwrap_or("");
    let is_model = COMPLETIONS.contains(&bare);
    if is_model && *http.method() != tiny_http::Method::Post {
        return Err(BadRequest::new(405, "method", "completions take POST"));
    }
    let body = body(http, shared)?;
    let mut asked = if is_model {
        Asked::completion(&body, &class)?
    } else {
        Asked::plain(body)
    };
    let service = service(snapshot, &asked, bare)?;
    let now = shared.clock.now();
    let content_type = header(http, "content-type").unwrap_or("application/octet-stream");
    let req = Request {
        id: shared.next_request(),
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
        prompt_tokens: asked.prompt_tokens,
        max_tokens: asked.max_tokens,
        prefix: asked.prefix,
        resumable: is_model,
    };
    let call = Call {
        method: method(http)?,
        path,
        content_type: content_type.to_owned(),
        body: Arc::new(std::mem::take(&mut asked.body)),
        is_model,
        is_idempotent: class.idempotent,
        answer_bytes: shared.limits.answer_bytes,
    };
    Ok(Parsed {
        req,
        key,
        call,
        wants_stream: asked.wants_stream,
    })
}

fn method(http: &HttpRequest) -> Result<Method, BadRequest> {
    Method::from_bytes(http.method().as_str().as_bytes())
        .map_err(|_| BadRequest::new(405, "method", "the method is not known"))
}

fn workspace<'a>(http: &HttpRequest, snapshot: &'a Snapshot) -> Result<&'a Workspace, BadRequest> {
    let name = header(http, "x-workspace").unwrap_or("");
    let found = snapshot.text.workspace(name).ok_or_else(|| {
        BadRequest::new(
            400,
            "workspace",
            format!("no workspace '{name}' (x-workspace)"),
        )
    })?;
    if let Some(expected) = &found.token_sha256 {
        let sent = header(http, "authorization").and_then(|v| v.strip_prefix("Bearer "));
        if !sent.is_some_and(|token| is_token(token, expected)) {
            let message = "the workspace asks for a bearer token";
            return Err(BadRequest::new(401, "token", message));
        }
    }
    Ok(found)
}

/// Compares the hash of a token in constant time.
fn is_token(token: &str, expected: &str) -> bool {
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
        .text
        .class(name)
        .ok_or_else(|| BadRequest::new(400, "class", format!("no class '{name}' (x-class)")))
}

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

fn deadline_ms(http: &HttpRequest, class: &Class) -> Result<u64, BadRequest> {
    let most = class.deadline_ms();
    let Some(text) = header(http, "x-deadline-ms") else {
        return Ok(most);
    };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(ms.min(most)),
        _ => {
            let message = "x-deadline-ms has to be a number of 1 or more";
            Err(BadRequest::new(400, "deadline", message))
        }
    }
}

fn body(http: &mut HttpRequest, shared: &Shared) -> Result<Vec<u8>, BadRequest> {
    let limit = shared.limits.body_bytes;
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        BadRequest::new(413, "body_size", message)
    };
    if http.body_length().is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let Some(_reading) = shared.begin_read() else {
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

/// What the body asks for.
#[derive(Debug)]
struct Asked {
    model: Option<String>,
    body: Vec<u8>,
    prompt_tokens: u32,
    max_tokens: u32,
    prefix: u64,
    wants_stream: bool,
}

impl Asked {
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

    /// Reads the body of a completion; the upstream is always asked for a stream and told the
    /// priority.
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
        let prompt = prompt(fields).ok_or_else(|| bad("'messages' or 'prompt' is missing"))?;
        fields.insert("stream".to_owned(), true.into());
        fields.insert("priority".to_owned(), class.tier.into());
        let cut = prompt.len().min(PREFIX_BYTES);
        Ok(Self {
            model: Some(model),
            prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
            max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
            prefix: order::hash_bytes(&prompt.as_bytes()[..cut]),
            wants_stream,
            body: serde_json::to_vec(&json).map_err(|e| bad(&e.to_string()))?,
        })
    }
}

/// The text of a completion's prompt.
fn prompt(fields: &serde_json::Map<String, serde_json::Value>) -> Option<String> {
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

fn service<'a>(
    snapshot: &'a Snapshot,
    asked: &Asked,
    path: &str,
) -> Result<&'a Service, BadRequest> {
    match &asked.model {
        Some(model) => snapshot.text.service_of_model(model).ok_or_else(|| {
            BadRequest::new(404, "model", format!("no service has the model '{model}'"))
        }),
        None => snapshot.text.service_of_path(path).ok_or_else(|| {
            BadRequest::new(404, "path", format!("no service has the path '{path}'"))
        }),
    }
}
