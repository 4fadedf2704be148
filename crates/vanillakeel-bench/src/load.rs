//! The load tool: callers that send requests at given times and check their answers.
//!
//! ```
//! use std::time::Duration;
//! use vanillakeel_bench::{CLASSES, load};
//!
//! let planned = load::plan(&CLASSES, Duration::from_secs(1), 7);
//! assert!(planned.iter().all(|p| p.at < Duration::from_secs(1)));
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
    Events,
    Method,
    request, //
};
use vanillakeel_standin::{
    answer_tokens,
    token_text, //
};

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// One kind of load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// The class in the text.
    pub name: &'static str,
    /// Priority, zero is the highest.
    pub tier: u8,
    /// Time to the first token, in ms.
    pub target_ms: u64,
    /// Mean time between two tokens, in ms.
    pub between_ms: f64,
    /// Requests a second.
    pub per_second: f64,
    /// Factor on the rate in the middle third of a run.
    pub burst: f64,
    /// Path of a plain service; none for the model.
    pub path: Option<&'static str>,
    /// Whether it may run more than once; if not, it comes with a key.
    pub is_idempotent: bool,
    /// Most tokens of an answer.
    pub max_tokens: u32,
    /// Length of a prompt.
    pub prompt_bytes: usize,
    /// Different beginnings of prompts; few of them make good use of prefix caches.
    pub prefixes: u64,
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Place of its class in the list of classes.
    pub class: usize,
    /// When it is sent, from the start.
    pub at: Duration,
    /// First word of its prompt, unique.
    pub tag: String,
    /// Number of its workspace.
    pub workspace: u64,
    /// Beginning of its prompt.
    pub prefix: u64,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether it is sent again, with the same key, to another instance.
    pub is_repeated: bool,
}

/// What a caller saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A whole answer.
    Answered {
        /// Time to the first token, in ms.
        first_ms: f64,
        /// Mean time between two tokens, in ms.
        between_ms: f64,
        /// Tokens of the answer.
        tokens: u32,
    },
    /// A refusal or a broken answer with a verdict.
    Refused(Verdict),
    /// An answer that belongs to another request, or lacks a part.
    Crossed,
    /// No answer and no verdict.
    Lost,
}

/// A request with what its caller saw.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub planned: Planned,
    /// What the caller saw of it.
    pub seen: Seen,
    /// What the caller saw of the repeat, if there was one.
    pub repeat: Option<Seen>,
}

/// Plans the arrivals of a run, those of each class as a Poisson process.
#[must_use]
pub fn plan(classes: &[Class], length: Duration, seed: u64) -> Vec<Planned> {
    let mut random = Random::new(seed);
    let mut planned = Vec::new();
    let total = length.as_secs_f64();
    for (at, class) in classes.iter().enumerate() {
        let mut t = 0.0;
        loop {
            let is_burst = t > total / 3.0 && t < total * 2.0 / 3.0;
            let rate = class.per_second * if is_burst { class.burst } else { 1.0 };
            t += random.exponential(1.0 / rate);
            if t >= total {
                break;
            }
            let key = (!class.is_idempotent).then(|| Uuid::now_v7().to_string());
            planned.push(Planned {
                class: at,
                at: Duration::from_secs_f64(t),
                tag: format!("{}-{seed}-{}", class.name, planned.len()),
                workspace: 1 + random.below(3),
                prefix: random.below(class.prefixes.max(1)),
                is_repeated: key.is_some() && random.chance(0.25),
                key,
            });
        }
    }
    planned.sort_by_key(|p| p.at);
    planned
}

/// Sends the planned requests to the instances in turn; returns what the callers saw.
#[must_use]
pub fn run(
    classes: &[Class],
    planned: &[Planned],
    instances: &Arc<Mutex<Vec<SocketAddr>>>,
    model: &'static str,
    on_sent: impl Fn(usize),
) -> Vec<Outcome> {
    let start = Instant::now();
    let outcomes = Arc::new(Mutex::new(Vec::with_capacity(planned.len())));
    let mut callers = Vec::with_capacity(planned.len());
    for (at, p) in planned.iter().enumerate() {
        thread::sleep(p.at.saturating_sub(start.elapsed()));
        let (class, p) = (classes[p.class], p.clone());
        let (outcomes, instances) = (Arc::clone(&outcomes), Arc::clone(instances));
        callers.push(thread::spawn(move || {
            let outcome = call_and_repeat(&class, p, at, &instances, model);
            let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
            outcomes.push(outcome);
        }));
        on_sent(at);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *outcomes)
}

fn instance(instances: &Mutex<Vec<SocketAddr>>, turn: usize) -> SocketAddr {
    let instances = instances.lock().unwrap_or_else(PoisonError::into_inner);
    instances[turn % instances.len()]
}

fn call_and_repeat(
    class: &Class,
    planned: Planned,
    turn: usize,
    instances: &Mutex<Vec<SocketAddr>>,
    model: &str,
) -> Outcome {
    let first = instance(instances, turn);
    let seen = call(class, &planned, first, model);
    let repeat = planned.is_repeated.then(|| {
        let second = instance(instances, turn + 1);
        call(class, &planned, second, model)
    });
    Outcome {
        planned,
        seen,
        repeat,
    }
}

fn prompt(class: &Class, planned: &Planned) -> String {
    let fill = format!("part-{} ", planned.prefix);
    let mut prompt = format!("{} ", planned.tag);
    while prompt.len() < class.prompt_bytes {
        prompt.push_str(&fill);
    }
    prompt
}

/// Sends one request straight to an address and checks the answer.
#[must_use]
pub fn call(class: &Class, planned: &Planned, to: SocketAddr, model: &str) -> Seen {
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
        return Seen::Lost;
    };
    let verdict = answer
        .headers()
        .get("x-verdict")
        .and_then(|v| Verdict::parse(v.to_str().ok()?));
    if !answer.is_success() {
        return verdict.map_or(Seen::Lost, Seen::Refused);
    }
    if class.path.is_some() {
        return plain_answer(answer, planned, start);
    }
    let (_, _, reader) = answer.split();
    stream_answer(reader, &prompt, class.max_tokens, start)
}

fn plain_answer(answer: attohttpc::Response, planned: &Planned, start: Instant) -> Seen {
    let Ok(text) = answer.text() else {
        return Seen::Lost;
    };
    if text != format!("{} done", planned.tag) {
        return Seen::Crossed;
    }
    Seen::Answered {
        first_ms: ms_since(start),
        between_ms: 0.0,
        tokens: 1,
    }
}

fn ms_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}

/// Reads a stream and compares each token with the one that belongs to the prompt.
fn stream_answer(
    reader: impl std::io::Read,
    prompt: &str,
    max_tokens: u32,
    start: Instant,
) -> Seen {
    let mut tokens = 0;
    let mut first_ms = 0.0;
    for event in Events::new(reader) {
        let Ok(data) = event else { return Seen::Lost };
        if data == "[DONE]" {
            if tokens != answer_tokens(prompt, max_tokens) {
                return Seen::Crossed;
            }
            let between_ms = (ms_since(start) - first_ms) / f64::from(tokens.max(2) - 1);
            return Seen::Answered {
                first_ms,
                between_ms,
                tokens,
            };
        }
        let json: serde_json::Value = serde_json::from_str(&data).unwrap_or_default();
        if let Some(verdict) = json["error"]["verdict"].as_str() {
            return Verdict::parse(verdict).map_or(Seen::Lost, Seen::Refused);
        }
        let Some(piece) = json["choices"][0]["delta"]["content"].as_str() else {
            continue;
        };
        if tokens == 0 {
            first_ms = ms_since(start);
        }
        if piece != token_text(prompt, tokens) {
            return Seen::Crossed;
        }
        tokens += 1;
    }
    Seen::Lost
}
