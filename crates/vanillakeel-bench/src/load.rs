//! Callers that send requests at planned times and check the answers.
//!
//! ```
//! use std::time::Duration;
//! use vanillakeel_bench::{CLASSES, load};
//!
//! let planned = load::plan(&CLASSES, Duration::from_secs(1), 7);
//! assert!(planned.iter().all(|p| p.send_at < Duration::from_secs(1)));
//! ```

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use uuid::Uuid;
use vanillakeel::{
    Verdict,
    order::Random, //
};
use vanillakeel_http::{
    Body,
    Events,
    Method,
    request, //
};
use vanillakeel_standin::{
    answer_tokens,
    token_text, //
};

/// Largest answer of a plain service that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// A class of requests with its rate, its targets and its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Name of the class in the configuration.
    pub name: &'static str,
    /// Priority; 0 is the highest.
    pub tier: u8,
    /// Target time to the first token, in ms.
    pub target_ms: u64,
    /// Target mean time between two tokens, in ms.
    pub inter_token_ms: f64,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Factor on the rate in the middle third of a run.
    pub burst_factor: f64,
    /// Path of the plain service that is called; `None` if the model is called.
    pub path: Option<&'static str>,
    /// Whether a request may run more than once; if not, it carries an idempotency key.
    pub is_idempotent: bool,
    /// Limit on the length of an answer, in tokens.
    pub max_tokens: u32,
    /// Least length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// Number of different filler texts that follow the tag in the prompts.
    ///
    /// The fewer there are, the more text the prompts share. Prefix caches cannot make use of the
    /// shared text, because a prefix starts at the start of the prompt, where the unique tag is.
    pub prefixes: u64,
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Index of its class in the list of classes.
    pub class: usize,
    /// Time from the start of the run at which the request is sent.
    pub send_at: Duration,
    /// First word of its prompt, which is unique and identifies the request.
    pub tag: String,
    /// Number of its workspace.
    pub workspace: u64,
    /// Number of the filler text that follows its tag, which it shares with other requests.
    pub prefix: u64,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// Whether it is sent a second time, with the same key, to another instance.
    pub is_retried: bool,
}

/// The result of one call as the caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// A whole answer.
    Answered {
        /// Time to the first token, in ms.
        first_token_ms: f64,
        /// Mean time between two tokens, in ms.
        inter_token_ms: f64,
        /// Tokens of the answer.
        tokens: u32,
    },
    /// A refusal with a verdict, or an answer that ended early with one.
    Refused(Verdict),
    /// An answer that belongs to another request or is incomplete.
    Crossed,
    /// Neither a whole answer nor a verdict.
    Lost,
}

/// A request with the results of its calls.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub planned: PlannedRequest,
    /// The result of the first call.
    pub result: CallResult,
    /// The result of the retry, if there was one.
    pub retry: Option<CallResult>,
}

/// Plans the requests of a run, in order of time.
///
/// The requests of each class arrive as a Poisson process.
#[must_use]
pub fn plan(classes: &[Class], length: Duration, seed: u64) -> Vec<PlannedRequest> {
    let mut random = Random::new(seed);
    let mut planned = Vec::new();
    let total = length.as_secs_f64();
    for (index, class) in classes.iter().enumerate() {
        let mut t = 0.0;
        loop {
            let is_burst = t > total / 3.0 && t < total * 2.0 / 3.0;
            let rate = class.requests_per_s * if is_burst { class.burst_factor } else { 1.0 };
            t += random.exponential(1.0 / rate);
            if t >= total {
                break;
            }
            let key = (!class.is_idempotent).then(|| Uuid::now_v7().to_string());
            planned.push(PlannedRequest {
                class: index,
                send_at: Duration::from_secs_f64(t),
                tag: format!("{}-{seed}-{}", class.name, planned.len()),
                workspace: 1 + random.below(3),
                prefix: random.below(class.prefixes.max(1)),
                is_retried: key.is_some() && random.chance(0.25),
                key,
            });
        }
    }
    planned.sort_by_key(|p| p.send_at);
    planned
}

/// Sends the planned requests to the instances in turn and returns the outcomes.
///
/// Each request is sent at its time from a thread of its own, and `on_sent` is called with its
/// index. Addresses may be added to and removed from `instances` during the run, but it must never
/// be empty.
#[must_use]
pub fn run(
    classes: &[Class],
    planned: &[PlannedRequest],
    instances: &Arc<Mutex<Vec<SocketAddr>>>,
    model: &'static str,
    on_sent: impl Fn(usize),
) -> Vec<Outcome> {
    let start = Instant::now();
    let outcomes = Arc::new(Mutex::new(Vec::with_capacity(planned.len())));
    let mut callers = Vec::with_capacity(planned.len());
    for (index, p) in planned.iter().enumerate() {
        thread::sleep(p.send_at.saturating_sub(start.elapsed()));
        let (class, p) = (classes[p.class], p.clone());
        let (outcomes, instances) = (Arc::clone(&outcomes), Arc::clone(instances));
        callers.push(thread::spawn(move || {
            let outcome = call_and_retry(&class, p, index, &instances, model);
            let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
            outcomes.push(outcome);
        }));
        on_sent(index);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *outcomes)
}

/// Returns the address of the instance whose turn it is.
fn instance(instances: &Mutex<Vec<SocketAddr>>, turn: usize) -> SocketAddr {
    let instances = instances.lock().unwrap_or_else(PoisonError::into_inner);
    instances[turn % instances.len()]
}

/// Sends a request, and sends it again to the next instance if that is planned.
fn call_and_retry(
    class: &Class,
    planned: PlannedRequest,
    turn: usize,
    instances: &Mutex<Vec<SocketAddr>>,
    model: &str,
) -> Outcome {
    let first = instance(instances, turn);
    let result = call(class, &planned, first, model);
    let retry = planned.is_retried.then(|| {
        let second = instance(instances, turn + 1);
        call(class, &planned, second, model)
    });
    Outcome {
        planned,
        result,
        retry,
    }
}

/// Returns the prompt of a request: its tag, then its filler text up to the length of the class.
fn prompt(class: &Class, planned: &PlannedRequest) -> String {
    let filler = format!("part-{} ", planned.prefix);
    let mut prompt = format!("{} ", planned.tag);
    while prompt.len() < class.prompt_bytes {
        prompt.push_str(&filler);
    }
    prompt
}

/// Sends one request to an address and checks the answer.
#[must_use]
pub fn call(class: &Class, planned: &PlannedRequest, to: SocketAddr, model: &str) -> CallResult {
    let prompt = prompt(class, planned);
    let path = class.path.unwrap_or("/v1/chat/completions");
    let body = match class.path {
        Some(_) => prompt.clone(),
        None => serde_json::json!({
            "model": model,
            "stream": true,
            "max_tokens": class.max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        })
        .to_string(),
    };
    let mut req = request(Method::POST, &format!("http://{to}{path}"), CALLER_TIMEOUT)
        .header("x-workspace", format!("ws-{}", planned.workspace))
        .header("x-class", class.name);
    if let Some(key) = &planned.key {
        req = req.header("Idempotency-Key", key.as_str());
    }
    let start = Instant::now();
    let Ok(answer) = req.text(body).send() else {
        return CallResult::Lost;
    };
    let verdict = answer
        .headers()
        .get("x-verdict")
        .and_then(|v| Verdict::parse(v.to_str().ok()?));
    if !answer.is_success() {
        return verdict.map_or(CallResult::Lost, CallResult::Refused);
    }
    if class.path.is_some() {
        return plain_answer(answer, planned, start);
    }
    let (_, _, body) = Body::split(answer);
    stream_answer(body, &prompt, class.max_tokens, start)
}

/// Reads the answer of a plain service and compares it with the expected one.
fn plain_answer(
    answer: attohttpc::Response,
    planned: &PlannedRequest,
    start: Instant,
) -> CallResult {
    let Ok(body) = Body::read_all(answer, MAX_ANSWER_BYTES) else {
        return CallResult::Lost;
    };
    if body != format!("{} done", planned.tag).into_bytes() {
        return CallResult::Crossed;
    }
    CallResult::Answered {
        first_token_ms: ms_since(start),
        inter_token_ms: 0.0,
        tokens: 1,
    }
}

fn ms_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}

/// Reads a stream and compares each token with the one that the stand-in gives for the prompt.
fn stream_answer(
    reader: impl std::io::Read,
    prompt: &str,
    max_tokens: u32,
    start: Instant,
) -> CallResult {
    let mut tokens = 0;
    let mut first_token_ms = 0.0;
    for event in Events::new(reader) {
        let Ok(data) = event else {
            return CallResult::Lost;
        };
        if data == "[DONE]" {
            if tokens != answer_tokens(prompt, max_tokens) {
                return CallResult::Crossed;
            }
            let inter_token_ms = (ms_since(start) - first_token_ms) / f64::from(tokens.max(2) - 1);
            return CallResult::Answered {
                first_token_ms,
                inter_token_ms,
                tokens,
            };
        }
        let json: serde_json::Value = serde_json::from_str(&data).unwrap_or_default();
        if let Some(verdict) = json["error"]["verdict"].as_str() {
            return Verdict::parse(verdict).map_or(CallResult::Lost, CallResult::Refused);
        }
        let Some(piece) = json["choices"][0]["delta"]["content"].as_str() else {
            continue;
        };
        if tokens == 0 {
            first_token_ms = ms_since(start);
        }
        if piece != token_text(prompt, tokens) {
            return CallResult::Crossed;
        }
        tokens += 1;
    }
    CallResult::Lost
}
