//! Answers to completions, streamed or whole.

use super::state::{
    Open,
    State, //
};
use crate::{
    batch::{
        Sequence,
        Token, //
    },
    ledger::{
        answer_tokens,
        request_tag,
        token_text, //
    },
    reply,
};
use crossbeam::channel::{
    Receiver,
    unbounded, //
};
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use tiny_http::Request;
use vanillakeel_http::{
    Head,
    Stream, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a prompt that its prefix is hashed over.
const PREFIX_BYTES: usize = 256;

/// Bytes of text in a token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u8,
}

fn default_max_tokens() -> u32 {
    64
}

impl Completion {
    fn text(&self) -> String {
        let parts: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        if parts.is_empty() {
            self.prompt.clone()
        } else {
            parts.join("\n")
        }
    }
}

pub(super) fn completion(state: &Arc<State>, mut req: Request) {
    let body = reply::body(&mut req);
    let asked: Completion = match serde_json::from_slice(&body) {
        Ok(asked) => asked,
        Err(e) => {
            reply::json(req, 400, &json!({"error": {"message": e.to_string()}}));
            return;
        }
    };
    if !state.lock().models.contains(&asked.model) {
        let message = format!("the model '{}' is not loaded", asked.model);
        reply::json(req, 404, &json!({"error": {"message": message}}));
        return;
    }
    let prompt = asked.text();
    let header = |name| reply::header(&req, name).unwrap_or_default();
    let attempt = header("x-attempt-id");
    let from = header("x-resume-from").parse().unwrap_or(0);
    if from >= answer_tokens(&prompt, asked.max_tokens) {
        nothing_left(req, asked.stream, from);
        return;
    }
    let Some(tokens) = enqueue(state, &asked, &prompt, attempt, from) else {
        reply::json(req, 429, &json!({"error": {"message": "too many wait"}}));
        return;
    };
    if asked.stream {
        stream(req, &tokens, &prompt, from);
    } else {
        whole(req, &tokens, &prompt, from);
    }
}

/// Ends an answer that the caller has all tokens of.
fn nothing_left(req: Request, is_stream: bool, from: u32) {
    let end = json!({
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": from, "resumed_from": from},
    });
    if !is_stream {
        reply::json(req, 200, &end);
        return;
    }
    let head = Head::new(200).header("Content-Type", "text/event-stream");
    let events = format!("data: {end}\n\ndata: [DONE]\n\n");
    let _ = head.respond(req, events.as_bytes());
}

/// Puts a request into the batch; none if too many wait.
fn enqueue(
    state: &State,
    asked: &Completion,
    prompt: &str,
    attempt: String,
    from: u32,
) -> Option<Receiver<Token>> {
    let (out, tokens) = unbounded();
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let mut inner = state.lock();
    inner.last_id += 1;
    let id = inner.last_id;
    let sequence = Sequence {
        id,
        priority: asked.priority,
        prompt: (prompt.len() / BYTES_PER_TOKEN) as u32,
        prefix: xxh3_64(prefix),
        output: answer_tokens(prompt, asked.max_tokens),
        from,
    };
    if !inner.batch.push(sequence) {
        return None;
    }
    inner.open.push(Open {
        id,
        attempt,
        tag: request_tag(prompt).to_owned(),
        out,
    });
    Some(tokens)
}

/// Streams the tokens; a sequence that is dropped breaks the stream off.
fn stream(req: Request, tokens: &Receiver<Token>, prompt: &str, from: u32) {
    let head = Head::new(200).header("Content-Type", "text/event-stream");
    let Ok(mut out) = Stream::start(req, &head) else {
        return;
    };
    for token in tokens {
        let mut event = json!({
            "choices": [{"index": 0, "delta": {"content": token_text(prompt, token.index)}}],
        });
        if token.is_last {
            event["choices"][0]["finish_reason"] = json!("stop");
            event["usage"] = json!({"completion_tokens": token.index + 1, "resumed_from": from});
        }
        if out.part(format!("data: {event}\n\n").as_bytes()).is_err() {
            return;
        }
        if token.is_last {
            let _ = out.part(b"data: [DONE]\n\n");
            let _ = out.finish();
            return;
        }
    }
}

fn whole(req: Request, tokens: &Receiver<Token>, prompt: &str, from: u32) {
    let mut text = String::new();
    for token in tokens {
        text.push_str(&token_text(prompt, token.index));
        if token.is_last {
            let body = json!({
                "choices": [{"index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop"}],
                "usage": {"completion_tokens": token.index + 1, "resumed_from": from},
            });
            reply::json(req, 200, &body);
            return;
        }
    }
    // Dropping the writer ends the connection without an answer.
    drop(req.into_writer());
}
