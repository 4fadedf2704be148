//! Seeing a request through: its attempts, and their parts on the way to the caller.

use super::{
    parse::Parsed,
    refuse,
    serve::{
        Shared,
        no_room, //
    },
};
use crate::{
    message::{
        Command,
        Ended,
        Input,
        Part,
        Progress,
        Whole, //
    },
    metrics::OfClass,
    trace::Trace,
    upstream::{
        self,
        Attempt,
        Call, //
    },
};
use crossbeam::channel::{
    Sender,
    bounded,
    select, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};
use vanillakeel::{
    Reason,
    Refusal,
    Request,
    Verdict,
    attempt::End, //
};
use vanillakeel_http::{
    ChunkedResponse,
    ResponseHead, //
};

/// Commands of the control thread that may wait; there are fewer for a request.
const COMMANDS: usize = 64;

/// Parts of an answer that may wait for a slow caller.
const PARTS: usize = 256;

/// Whether the request goes on.
enum Flow {
    Continue,
    Over,
}

/// An attempt in progress.
#[derive(Debug)]
struct Running {
    id: u64,
    is_cancelled: Arc<AtomicBool>,
    progress: Arc<Progress>,
    tokens: u32,
}

/// A request that is being answered.
struct Session<'a> {
    http: Option<tiny_http::Request>,
    out: Option<ChunkedResponse>,
    shared: &'a Arc<Shared>,
    trace: &'a Trace,
    req: Request,
    call: Arc<Call>,
    wants_stream: bool,
    parts: Sender<Part>,
    running: Vec<Running>,
    winner: Option<u64>,
    delivered: u32,
    text: String,
    last_event: Option<String>,
    whole: Option<Whole>,
    /// The span of the wait for a claim and a turn; it ends with the first command.
    wait: Option<tracing::Span>,
}

/// Sees a request through to its final answer.
pub(super) fn serve(http: tiny_http::Request, parsed: Parsed, shared: &Arc<Shared>, trace: &Trace) {
    let (tx, commands) = bounded(COMMANDS);
    let (parts, news) = bounded(PARTS);
    let class = parsed.req.class.to_string();
    let arrival = Input::Arrive {
        req: parsed.req.clone(),
        key: parsed.key,
        to: tx,
    };
    if shared.tx.try_send(arrival).is_err() {
        let refusal = no_room();
        let verdict = refusal.verdict.as_str();
        shared.metrics.on_ending(&class, "control_full", verdict);
        let _ = refuse::refuse(http, &refusal, trace.id());
        return;
    }
    let mut session = Session {
        http: Some(http),
        out: None,
        shared,
        trace,
        req: parsed.req,
        call: Arc::new(parsed.call),
        wants_stream: parsed.wants_stream,
        parts,
        running: Vec::new(),
        winner: None,
        delivered: 0,
        text: String::new(),
        last_event: None,
        whole: None,
        wait: Some(tracing::info_span!("wait")),
    };
    loop {
        let flow = select! {
            recv(commands) -> command => match command {
                Ok(command) => session.on_command(command),
                Err(_) => session.on_command(Command::Refuse(session.lost_control())),
            },
            recv(news) -> part => match part {
                Ok(part) => session.on_part(part),
                Err(_) => Flow::Over,
            },
        };
        if matches!(flow, Flow::Over) {
            session.cancel_all();
            return;
        }
    }
}

impl Session<'_> {
    fn tell(&self, input: Input) {
        let _ = self.shared.tx.send(input);
    }

    /// What is known if the control thread has gone.
    fn lost_control(&self) -> Refusal {
        let verdict = if self.running.is_empty() && self.delivered == 0 {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        Refusal::new(verdict, Reason::Stopping)
    }

    fn on_command(&mut self, command: Command) -> Flow {
        self.wait = None;
        match command {
            Command::Send {
                attempt,
                upstream,
                address,
                progress,
            } => {
                tracing::debug!(attempt, %upstream, "send");
                self.start(attempt, address, progress);
                Flow::Continue
            }
            Command::Cancel { attempt } => {
                if let Some(at) = self.running.iter().position(|r| r.id == attempt) {
                    let gone = self.running.remove(at);
                    gone.is_cancelled.store(true, Ordering::Relaxed);
                }
                if self.winner == Some(attempt) {
                    self.winner = None;
                }
                Flow::Continue
            }
            Command::Refuse(refusal) => {
                self.refuse(&refusal);
                Flow::Over
            }
        }
    }

    /// Starts an attempt from the token that the caller has.
    fn start(&mut self, id: u64, address: SocketAddr, progress: Arc<Progress>) {
        let now = self.shared.clock.now();
        let is_cancelled = Arc::new(AtomicBool::new(false));
        let left_ms = self.req.deadline.since(now);
        self.running.push(Running {
            id,
            is_cancelled: Arc::clone(&is_cancelled),
            progress,
            tokens: 0,
        });
        let attempt = Attempt {
            id,
            name: format!("{}/{id}", self.shared.boot),
            address,
            resume_from: self.delivered,
            time_left: Duration::from_millis(left_ms.max(1)),
            traceparent: self.trace.child(),
            is_cancelled,
        };
        let (call, parts) = (Arc::clone(&self.call), self.parts.clone());
        let span = tracing::Span::current();
        let spawned = if left_ms == 0 {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            thread::Builder::new().spawn(move || {
                let _entered = span.enter();
                upstream::run(&attempt, &call, &parts);
            })
        };
        if spawned.is_err() {
            let how = Ended::Failed {
                has_run: Verdict::NotRun,
            };
            let _ = self.parts.try_send(Part::Ended { attempt: id, how });
        }
    }

    fn on_part(&mut self, part: Part) -> Flow {
        match part {
            Part::Event { attempt, data } => self.on_event(attempt, data),
            Part::Whole { attempt, answer } => {
                if self.wins(attempt) {
                    self.whole = Some(answer);
                }
                Flow::Continue
            }
            Part::Ended { attempt, how } => self.on_ended(attempt, how),
        }
    }

    /// Whether the parts of an attempt go to the caller; the first one to have any wins.
    fn wins(&mut self, attempt: u64) -> bool {
        let is_running = self.running.iter().any(|r| r.id == attempt);
        match self.winner {
            Some(winner) => winner == attempt,
            None if is_running => {
                self.winner = Some(attempt);
                self.note_first_token(attempt);
                true
            }
            None => false,
        }
    }

    fn note_first_token(&mut self, attempt: u64) {
        let now = self.shared.clock.now();
        self.tell(Input::FirstToken { attempt });
        if self.delivered == 0 {
            let class = self.req.class.to_string();
            let waited = now.since(self.req.arrived) as f64 / 1_000.0;
            let histogram = &self.shared.metrics.first_token;
            histogram.get_or_create(&OfClass { class }).observe(waited);
        }
    }

    fn on_event(&mut self, attempt: u64, data: String) -> Flow {
        if !self.wins(attempt) {
            self.tell(Input::Wasted { tokens: 1 });
            return Flow::Continue;
        }
        let is_token = carries_token(&data);
        if is_token {
            self.delivered += 1;
            self.shared.metrics.tokens.inc();
        }
        let given = if self.wants_stream {
            self.give_event(&data)
        } else {
            self.keep_event(data);
            Ok(())
        };
        if given.is_err() {
            self.on_caller_gone();
            return Flow::Over;
        }
        if is_token {
            self.note_progress(attempt);
        }
        Flow::Continue
    }

    fn give_event(&mut self, data: &str) -> io::Result<()> {
        if self.out.is_none()
            && let Some(http) = self.http.take()
        {
            let head = ResponseHead::new(200)
                .header("Content-Type", "text/event-stream")
                .header("Cache-Control", "no-cache")
                .header("x-trace-id", self.trace.id());
            self.out = Some(ChunkedResponse::start(http, &head)?);
        }
        match &mut self.out {
            Some(out) => out.send_chunk(format!("data: {data}\n\n").as_bytes()),
            None => Ok(()),
        }
    }

    /// Keeps the text of an event for a caller that wants the answer as a whole.
    fn keep_event(&mut self, data: String) {
        let json: serde_json::Value = serde_json::from_str(&data).unwrap_or_default();
        let choice = &json["choices"][0];
        let piece = choice["delta"]["content"].as_str();
        self.text
            .push_str(piece.or(choice["text"].as_str()).unwrap_or(""));
        self.last_event = Some(data);
    }

    fn note_progress(&mut self, attempt: u64) {
        let delivered = self.delivered;
        if let Some(running) = self.running.iter_mut().find(|r| r.id == attempt) {
            running.tokens += 1;
            running.progress.note(running.tokens, delivered);
        }
    }

    fn on_ended(&mut self, attempt: u64, how: Ended) -> Flow {
        let Some(at) = self.running.iter().position(|r| r.id == attempt) else {
            return Flow::Continue;
        };
        self.running.remove(at);
        let is_winner = self.winner == Some(attempt);
        if is_winner {
            self.winner = None;
        }
        let end = match how {
            Ended::Done if is_winner => return self.finish(attempt),
            Ended::Done => failed(Verdict::MayHaveRun, self.delivered),
            Ended::Busy => End::Busy,
            Ended::Rejected(answer) => {
                self.tell(Input::End {
                    attempt,
                    end: End::Rejected,
                });
                self.reject(&answer);
                return Flow::Over;
            }
            Ended::Failed { has_run } => failed(has_run, self.delivered),
        };
        self.tell(Input::End { attempt, end });
        Flow::Continue
    }

    /// Gives the end of a whole answer.
    fn finish(&mut self, attempt: u64) -> Flow {
        let given = if let Some(mut out) = self.out.take() {
            let last = format!("data: {}\n\n", upstream::DONE);
            out.send_chunk(last.as_bytes()).and_then(|()| out.finish())
        } else {
            self.give_whole()
        };
        // The upstream has run it, whether the caller has taken the end or not.
        self.tell(Input::End {
            attempt,
            end: End::Answered {
                tokens: self.delivered,
            },
        });
        let outcome = if given.is_ok() {
            "answered"
        } else {
            "caller_gone"
        };
        self.count(outcome, Verdict::Ran);
        Flow::Over
    }

    fn give_whole(&mut self) -> io::Result<()> {
        let Some(http) = self.http.take() else {
            return Ok(());
        };
        let answer = self.whole.take().unwrap_or_else(|| self.assemble());
        ResponseHead::new(answer.status)
            .header("Content-Type", &answer.content_type)
            .header("x-trace-id", self.trace.id())
            .header("x-verdict", Verdict::Ran.as_str())
            .respond(http, &answer.body)
    }

    /// Makes a whole answer of the events of a stream.
    fn assemble(&self) -> Whole {
        let last = self.last_event.as_deref().unwrap_or("{}");
        let mut json: serde_json::Value = serde_json::from_str(last).unwrap_or_default();
        let choice = &mut json["choices"][0];
        if choice.get("delta").is_some() {
            choice["message"] = serde_json::json!({"role": "assistant", "content": self.text});
            if let Some(fields) = choice.as_object_mut() {
                fields.remove("delta");
            }
        } else {
            choice["text"] = serde_json::json!(self.text);
        }
        Whole {
            status: 200,
            content_type: "application/json".to_owned(),
            body: json.to_string().into_bytes(),
        }
    }

    /// Passes on that the upstream refused the request for its form.
    fn reject(&mut self, answer: &Whole) {
        self.count(Reason::UpstreamRefused.as_str(), Verdict::NotRun);
        if let Some(http) = self.http.take() {
            let _ = ResponseHead::new(answer.status)
                .header("Content-Type", &answer.content_type)
                .header("x-verdict", Verdict::NotRun.as_str())
                .header("x-trace-id", self.trace.id())
                .respond(http, &answer.body);
        }
    }

    /// Gives a refusal; a stream that has begun ends with an error event and breaks off.
    fn refuse(&mut self, refusal: &Refusal) {
        self.count(refusal.reason.as_str(), refusal.verdict);
        if let Some(mut out) = self.out.take() {
            let reason = refusal.reason;
            let verdict = refusal.verdict;
            let body = refuse::body(verdict, reason.as_str(), &reason.to_string(), 0);
            let _ = out.send_chunk(format!("event: error\ndata: {body}\n\n").as_bytes());
            return;
        }
        if let Some(http) = self.http.take() {
            let _ = refuse::refuse(http, refusal, self.trace.id());
        }
    }

    fn on_caller_gone(&mut self) {
        self.count("caller_gone", Verdict::MayHaveRun);
        self.tell(Input::CallerGone {
            request: self.req.id,
        });
    }

    fn cancel_all(&self) {
        for running in &self.running {
            running.is_cancelled.store(true, Ordering::Relaxed);
        }
    }

    fn count(&self, outcome: &str, verdict: Verdict) {
        let metrics = &self.shared.metrics;
        metrics.on_ending(&self.req.class, outcome, verdict.as_str());
    }
}

/// Whether an event has text; the one that opens a stream with a role, and the one that ends it
/// with a reason, have none and don't count where a stream is resumed.
fn carries_token(data: &str) -> bool {
    ["\"content\":", "\"text\":"].iter().any(|key| {
        let rest = data.split_once(key).map(|(_, rest)| rest.trim_start());
        rest.is_some_and(|r| r.starts_with('"') && !r.starts_with("\"\""))
    })
}

const fn failed(verdict: Verdict, delivered: u32) -> End {
    End::Failed { verdict, delivered }
}

#[cfg(test)]
mod tests {
    use super::carries_token;
    use rstest::rstest;

    #[rstest]
    #[case::token(r#"{"choices":[{"delta":{"content":"a"}}]}"#, true)]
    #[case::spaced(r#"{"choices": [{"delta": {"content": "a"}}]}"#, true)]
    #[case::text(r#"{"choices":[{"text":"a"}]}"#, true)]
    #[case::role(r#"{"choices":[{"delta":{"role":"assistant","content":""}}]}"#, false)]
    #[case::end(r#"{"choices":[{"delta":{},"finish_reason":"stop"}]}"#, false)]
    #[case::none(r#"{"choices":[{"delta":{"content":null}}]}"#, false)]
    fn tokens_counted(#[case] data: &str, #[case] expected: bool) {
        assert_eq!(carries_token(data), expected);
    }
}
