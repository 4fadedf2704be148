//! Handles completion requests and sends their answers, streamed or whole.

use super::{
    named_rate::response_head,
    state::{
        ActiveCompletion,
        State, //
    },
};
use crate::{
    batch::{
        Sequence,
        Token, //
    },
    reply,
    run_counts::{
        answer_tokens,
        request_tag,
        token_text, //
    },
};
use crossbeam::channel::{
    Receiver,
    unbounded, //
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};
use std::sync::Arc;
use tiny_http::Request;
use vanillakeel_http::ChunkedResponse;
use xxhash_rust::xxh3::xxh3_64;

/// Number of leading bytes of a prompt whose hash identifies its prefix.
const PREFIX_BYTES: usize = 256;

/// Bytes of a prompt that count as one token.
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
    /// Returns the prompt: the contents of the messages, or the `prompt` if there are none.
    fn prompt_text(&self) -> String {
        let contents: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
        if contents.is_empty() {
            self.prompt.clone()
        } else {
            contents.join("\n")
        }
    }
}

/// Responds with `body` as JSON.
fn json(state: &State, req: Request, status: u16, body: &Value) {
    let head = response_head(state, status).header("Content-Type", "application/json");
    let _ = head.respond(req, body.to_string().as_bytes());
}

/// Handles a completion request, and blocks until its answer is sent.
pub(super) fn handle(state: &Arc<State>, mut req: Request) {
    let body = reply::read_body(&mut req);
    if state.faults.get().pause_s.is_some() {
        let error = json!({"error": {"message": "no requests are taken now"}});
        json(state, req, 503, &error);
        return;
    }
    let completion: Completion = match serde_json::from_slice(&body) {
        Ok(completion) => completion,
        Err(e) => {
            json(
                state,
                req,
                400,
                &json!({"error": {"message": e.to_string()}}),
            );
            return;
        }
    };
    if !state.lock().models.contains(&completion.model) {
        let message = format!("the model '{}' is not loaded", completion.model);
        json(state, req, 404, &json!({"error": {"message": message}}));
        return;
    }
    let prompt = completion.prompt_text();
    let header = |name| reply::header(&req, name).unwrap_or_default();
    let attempt_id = header("x-attempt-id");
    let resume_from = header("x-resume-from").parse().unwrap_or(0);
    if resume_from >= answer_tokens(&prompt, completion.max_tokens) {
        finish_delivered(state, req, completion.stream, resume_from);
        return;
    }
    let Some(tokens) = enqueue(state, &completion, &prompt, attempt_id, resume_from) else {
        json(
            state,
            req,
            429,
            &json!({"error": {"message": "too many wait"}}),
        );
        return;
    };
    if completion.stream {
        stream_answer(state, req, &tokens, &prompt, resume_from);
    } else {
        send_whole_answer(state, req, &tokens, &prompt, resume_from);
    }
}

/// Ends an answer of which the caller has all tokens already.
fn finish_delivered(state: &State, req: Request, is_stream: bool, resume_from: u32) {
    let end = json!({
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": resume_from, "resumed_from": resume_from},
    });
    if !is_stream {
        json(state, req, 200, &end);
        return;
    }
    let head = response_head(state, 200).header("Content-Type", "text/event-stream");
    let events = format!("data: {end}\n\ndata: [DONE]\n\n");
    let _ = head.respond(req, events.as_bytes());
}

/// Queues a request for the engine; returns the receiver of its tokens, or `None` if the queue is
/// full.
fn enqueue(
    state: &State,
    completion: &Completion,
    prompt: &str,
    attempt_id: String,
    resume_from: u32,
) -> Option<Receiver<Token>> {
    let (token_sender, tokens) = unbounded();
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let mut inner = state.lock();
    inner.last_sequence_id += 1;
    let id = inner.last_sequence_id;
    let sequence = Sequence {
        id,
        priority: completion.priority,
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
        prefix_hash: xxh3_64(prefix),
        output_tokens: answer_tokens(prompt, completion.max_tokens),
        resume_from,
    };
    if !inner.scheduler.push(sequence) {
        return None;
    }
    inner.active.push(ActiveCompletion {
        id,
        attempt_id,
        tag: request_tag(prompt).to_owned(),
        token_sender,
    });
    Some(tokens)
}

/// Streams the tokens as server-sent events.
///
/// If the sequence is dropped, the channel closes early and the stream ends without its final
/// chunk.
fn stream_answer(
    state: &State,
    req: Request,
    tokens: &Receiver<Token>,
    prompt: &str,
    resume_from: u32,
) {
    let head = response_head(state, 200).header("Content-Type", "text/event-stream");
    let Ok(mut out) = ChunkedResponse::start(req, &head) else {
        return;
    };
    for token in tokens {
        let mut event = json!({
            "choices": [{"index": 0, "delta": {"content": token_text(prompt, token.index)}}],
        });
        if token.is_last {
            event["choices"][0]["finish_reason"] = json!("stop");
            event["usage"] =
                json!({"completion_tokens": token.index + 1, "resumed_from": resume_from});
        }
        if out
            .send_chunk(format!("data: {event}\n\n").as_bytes())
            .is_err()
        {
            return;
        }
        if token.is_last {
            let _ = out.send_chunk(b"data: [DONE]\n\n");
            let _ = out.finish();
            return;
        }
    }
}

/// Sends the whole answer after its last token.
fn send_whole_answer(
    state: &State,
    req: Request,
    tokens: &Receiver<Token>,
    prompt: &str,
    resume_from: u32,
) {
    let mut text = String::new();
    for token in tokens {
        text.push_str(&token_text(prompt, token.index));
        if token.is_last {
            let body = json!({
                "choices": [{"index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop"}],
                "usage": {"completion_tokens": token.index + 1, "resumed_from": resume_from},
            });
            json(state, req, 200, &body);
            return;
        }
    }
    // Dropping the writer closes the connection without a response.
    drop(req.into_writer());
}
