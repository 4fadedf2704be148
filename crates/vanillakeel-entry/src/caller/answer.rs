//! The session of one request: its attempts, and the relay of their output to the caller.
//!
//! The control thread decides when an attempt is started or cancelled; the session runs on the
//! request's own thread, starts a thread per attempt and sends the output of the first attempt that
//! has any to the caller.

use super::{
    parse::ParsedRequest,
    refuse,
    serve::{
        Shared,
        at_limit_refusal, //
    },
};
use crate::{
    message::{
        AttemptMessage,
        AttemptOutcome,
        Command,
        Input,
        Progress,
        WholeAnswer, //
    },
    metrics::ClassLabel,
    trace::Trace,
    upstream::{
        self,
        Attempt,
        UpstreamRequest, //
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

/// Capacity of the queue of commands; a request never has that many waiting.
const MAX_QUEUED_COMMANDS: usize = 64;

/// Capacity of the queue of messages from attempts, which fills up if the caller reads slowly.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Whether the session continues.
enum Flow {
    Continue,
    Done,
}

/// An attempt in progress.
#[derive(Debug)]
struct RunningAttempt {
    id: u64,
    is_cancelled: Arc<AtomicBool>,
    progress: Arc<Progress>,
    tokens: u32,
}

/// The state of a request that is being answered.
struct Session<'a> {
    /// The caller's request, until a response to it is started.
    http: Option<tiny_http::Request>,
    /// The streamed response, once it has started.
    stream: Option<ChunkedResponse>,
    shared: &'a Arc<Shared>,
    trace: &'a Trace,
    req: Request,
    upstream_request: Arc<UpstreamRequest>,
    wants_stream: bool,
    messages: Sender<AttemptMessage>,
    running: Vec<RunningAttempt>,
    /// The attempt whose output goes to the caller.
    winner: Option<u64>,
    /// Number of tokens sent or collected for the caller, over all attempts.
    delivered: u32,
    /// Text collected for a caller that did not ask for a stream.
    collected_text: String,
    /// The last event collected; the complete answer takes its other fields from it.
    last_event: Option<String>,
    whole_answer: Option<WholeAnswer>,
    /// Span of the wait for the claim and in the queue; it ends with the first command.
    wait_span: Option<tracing::Span>,
}

/// Serves a request until its final answer.
pub(super) fn serve(
    http: tiny_http::Request,
    parsed: ParsedRequest,
    shared: &Arc<Shared>,
    trace: &Trace,
) {
    let (tx, commands) = bounded(MAX_QUEUED_COMMANDS);
    let (messages, received) = bounded(MAX_QUEUED_MESSAGES);
    let class = parsed.req.class.to_string();
    let input = Input::Request {
        req: parsed.req.clone(),
        key: parsed.key,
        commands: tx,
    };
    if shared.tx.try_send(input).is_err() {
        let refusal = at_limit_refusal();
        let verdict = refusal.verdict.as_str();
        shared
            .metrics
            .count_request(&class, "control_full", verdict);
        let _ = refuse::refuse(http, &refusal, trace.id());
        return;
    }
    let mut session = Session {
        http: Some(http),
        stream: None,
        shared,
        trace,
        req: parsed.req,
        upstream_request: Arc::new(parsed.upstream_request),
        wants_stream: parsed.wants_stream,
        messages,
        running: Vec::new(),
        winner: None,
        delivered: 0,
        collected_text: String::new(),
        last_event: None,
        whole_answer: None,
        wait_span: Some(tracing::info_span!("wait")),
    };
    loop {
        let flow = select! {
            recv(commands) -> command => match command {
                Ok(command) => session.on_command(command),
                Err(_) => session.on_command(Command::Refuse(session.control_ended_refusal())),
            },
            recv(received) -> message => match message {
                Ok(message) => session.on_message(message),
                Err(_) => Flow::Done,
            },
        };
        if matches!(flow, Flow::Done) {
            session.cancel_all();
            return;
        }
    }
}

impl Session<'_> {
    fn notify_control(&self, input: Input) {
        let _ = self.shared.tx.send(input);
    }

    /// Returns the refusal for the case that the control thread has ended.
    fn control_ended_refusal(&self) -> Refusal {
        let verdict = if self.running.is_empty() && self.delivered == 0 {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        Refusal::new(verdict, Reason::Stopping)
    }

    fn on_command(&mut self, command: Command) -> Flow {
        self.wait_span = None;
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
                    let cancelled = self.running.remove(at);
                    cancelled.is_cancelled.store(true, Ordering::Relaxed);
                }
                if self.winner == Some(attempt) {
                    self.winner = None;
                }
                Flow::Continue
            }
            Command::Refuse(refusal) => {
                self.refuse(&refusal);
                Flow::Done
            }
        }
    }

    /// Starts an attempt, which resumes after the last token delivered.
    fn start(&mut self, id: u64, address: SocketAddr, progress: Arc<Progress>) {
        let now = self.shared.clock.now();
        let is_cancelled = Arc::new(AtomicBool::new(false));
        let remaining_ms = self.req.deadline.since(now);
        self.running.push(RunningAttempt {
            id,
            is_cancelled: Arc::clone(&is_cancelled),
            progress,
            tokens: 0,
        });
        let attempt = Attempt {
            id,
            name: format!("{}/{id}", self.shared.run_id),
            address,
            resume_from: self.delivered,
            time_left: Duration::from_millis(remaining_ms.max(1)),
            traceparent: self.trace.child_header(),
            is_cancelled,
        };
        let (upstream_request, messages) =
            (Arc::clone(&self.upstream_request), self.messages.clone());
        let span = tracing::Span::current();
        let spawned = if remaining_ms == 0 {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            thread::Builder::new().spawn(move || {
                let _entered = span.enter();
                upstream::run(&attempt, &upstream_request, &messages);
            })
        };
        if spawned.is_err() {
            let outcome = AttemptOutcome::Failed {
                verdict: Verdict::NotRun,
            };
            let _ = self.messages.try_send(AttemptMessage::Ended {
                attempt: id,
                outcome,
            });
        }
    }

    fn on_message(&mut self, message: AttemptMessage) -> Flow {
        match message {
            AttemptMessage::Head {
                attempt,
                rate,
                notice,
            } => {
                self.notify_control(Input::AnswerHead {
                    attempt,
                    rate,
                    notice,
                });
                Flow::Continue
            }
            AttemptMessage::Event { attempt, data } => self.on_event(attempt, data),
            AttemptMessage::Whole { attempt, answer } => {
                if self.try_win(attempt) {
                    self.whole_answer = Some(answer);
                }
                Flow::Continue
            }
            AttemptMessage::Ended { attempt, outcome } => self.on_ended(attempt, outcome),
        }
    }

    /// Returns whether the output of an attempt goes to the caller.
    ///
    /// Without a winner yet, a running attempt becomes the winner.
    fn try_win(&mut self, attempt: u64) -> bool {
        let is_running = self.running.iter().any(|r| r.id == attempt);
        match self.winner {
            Some(winner) => winner == attempt,
            None if is_running => {
                self.winner = Some(attempt);
                self.on_first_token(attempt);
                true
            }
            None => false,
        }
    }

    fn on_first_token(&mut self, attempt: u64) {
        let now = self.shared.clock.now();
        self.notify_control(Input::FirstToken { attempt });
        if self.delivered == 0 {
            let class = self.req.class.to_string();
            let waited = now.since(self.req.arrived) as f64 / 1_000.0;
            let histogram = &self.shared.metrics.first_token;
            histogram
                .get_or_create(&ClassLabel { class })
                .observe(waited);
        }
    }

    fn on_event(&mut self, attempt: u64, data: String) -> Flow {
        if !self.try_win(attempt) {
            self.notify_control(Input::WastedTokens { tokens: 1 });
            return Flow::Continue;
        }
        let is_token = carries_token(&data);
        if is_token {
            self.delivered += 1;
            self.shared.metrics.tokens.inc();
        }
        let result = if self.wants_stream {
            self.stream_event(&data)
        } else {
            self.collect_event(data);
            Ok(())
        };
        if result.is_err() {
            self.on_caller_gone();
            return Flow::Done;
        }
        if is_token {
            self.record_progress(attempt);
        }
        Flow::Continue
    }

    fn stream_event(&mut self, data: &str) -> io::Result<()> {
        if self.stream.is_none()
            && let Some(http) = self.http.take()
        {
            let head = ResponseHead::new(200)
                .header("Content-Type", "text/event-stream")
                .header("Cache-Control", "no-cache")
                .header("x-trace-id", self.trace.id());
            self.stream = Some(ChunkedResponse::start(http, &head)?);
        }
        match &mut self.stream {
            Some(stream) => stream.send_chunk(format!("data: {data}\n\n").as_bytes()),
            None => Ok(()),
        }
    }

    /// Collects the text of an event for a caller that did not ask for a stream.
    fn collect_event(&mut self, data: String) {
        let json: serde_json::Value = serde_json::from_str(&data).unwrap_or_default();
        let choice = &json["choices"][0];
        let piece = choice["delta"]["content"].as_str();
        self.collected_text
            .push_str(piece.or(choice["text"].as_str()).unwrap_or(""));
        self.last_event = Some(data);
    }

    fn record_progress(&mut self, attempt: u64) {
        let delivered = self.delivered;
        if let Some(running) = self.running.iter_mut().find(|r| r.id == attempt) {
            running.tokens += 1;
            running.progress.record(running.tokens, delivered);
        }
    }

    fn on_ended(&mut self, attempt: u64, outcome: AttemptOutcome) -> Flow {
        let Some(at) = self.running.iter().position(|r| r.id == attempt) else {
            return Flow::Continue;
        };
        self.running.remove(at);
        let is_winner = self.winner == Some(attempt);
        if is_winner {
            self.winner = None;
        }
        let end = match outcome {
            AttemptOutcome::Done if is_winner => return self.finish(attempt),
            // Its output was not used: another attempt has won, or it had none.
            AttemptOutcome::Done => failed(Verdict::MayHaveRun, self.delivered),
            AttemptOutcome::Busy => End::Busy,
            AttemptOutcome::Rejected(answer) => {
                self.notify_control(Input::AttemptEnded {
                    attempt,
                    end: End::Rejected,
                });
                self.forward_rejection(&answer);
                return Flow::Done;
            }
            AttemptOutcome::Failed { verdict } => failed(verdict, self.delivered),
        };
        self.notify_control(Input::AttemptEnded { attempt, end });
        Flow::Continue
    }

    /// Ends the stream, or sends the complete answer.
    fn finish(&mut self, attempt: u64) -> Flow {
        let result = if let Some(mut stream) = self.stream.take() {
            let last = format!("data: {}\n\n", upstream::DONE);
            stream
                .send_chunk(last.as_bytes())
                .and_then(|()| stream.finish())
        } else {
            self.respond_whole()
        };
        // The upstream has run the request, even if the caller has closed the connection.
        self.notify_control(Input::AttemptEnded {
            attempt,
            end: End::Answered {
                tokens: self.delivered,
            },
        });
        let outcome = if result.is_ok() {
            "answered"
        } else {
            "caller_gone"
        };
        self.count_outcome(outcome, Verdict::Ran);
        Flow::Done
    }

    fn respond_whole(&mut self) -> io::Result<()> {
        let Some(http) = self.http.take() else {
            return Ok(());
        };
        let answer = self.whole_answer.take().unwrap_or_else(|| self.assemble());
        ResponseHead::new(answer.status)
            .header("Content-Type", &answer.content_type)
            .header("x-trace-id", self.trace.id())
            .header("x-verdict", Verdict::Ran.as_str())
            .respond(http, &answer.body)
    }

    /// Assembles a complete answer from the collected events of a stream.
    fn assemble(&self) -> WholeAnswer {
        let last = self.last_event.as_deref().unwrap_or("{}");
        let mut json: serde_json::Value = serde_json::from_str(last).unwrap_or_default();
        let choice = &mut json["choices"][0];
        if choice.get("delta").is_some() {
            choice["message"] =
                serde_json::json!({"role": "assistant", "content": self.collected_text});
            if let Some(fields) = choice.as_object_mut() {
                fields.remove("delta");
            }
        } else {
            choice["text"] = serde_json::json!(self.collected_text);
        }
        WholeAnswer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: json.to_string().into_bytes(),
        }
    }

    /// Forwards the answer with which the upstream rejected the request as invalid.
    fn forward_rejection(&mut self, answer: &WholeAnswer) {
        self.count_outcome(Reason::UpstreamRefused.as_str(), Verdict::NotRun);
        if let Some(http) = self.http.take() {
            let _ = ResponseHead::new(answer.status)
                .header("Content-Type", &answer.content_type)
                .header("x-verdict", Verdict::NotRun.as_str())
                .header("x-trace-id", self.trace.id())
                .respond(http, &answer.body);
        }
    }

    /// Sends a refusal to the caller.
    ///
    /// A stream that has started gets an error event and is then cut without a regular end.
    fn refuse(&mut self, refusal: &Refusal) {
        self.count_outcome(refusal.reason.as_str(), refusal.verdict);
        if let Some(mut stream) = self.stream.take() {
            let reason = refusal.reason;
            let verdict = refusal.verdict;
            let body = refuse::body(verdict, reason.as_str(), &reason.to_string(), 0);
            let _ = stream.send_chunk(format!("event: error\ndata: {body}\n\n").as_bytes());
            return;
        }
        if let Some(http) = self.http.take() {
            let _ = refuse::refuse(http, refusal, self.trace.id());
        }
    }

    fn on_caller_gone(&mut self) {
        self.count_outcome("caller_gone", Verdict::MayHaveRun);
        self.notify_control(Input::CallerGone {
            request: self.req.id,
        });
    }

    fn cancel_all(&self) {
        for running in &self.running {
            running.is_cancelled.store(true, Ordering::Relaxed);
        }
    }

    /// Counts the outcome of the request in the metrics.
    fn count_outcome(&self, outcome: &str, verdict: Verdict) {
        let metrics = &self.shared.metrics;
        metrics.count_request(&self.req.class, outcome, verdict.as_str());
    }
}

/// Returns whether an event carries text.
///
/// The event that opens a stream with a role and the one that ends it with a finish reason carry none;
/// they do not count towards the position from which a stream is resumed.
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
    //! Guards against a wrong position of a resumed stream: if an event without text counted as a
    //! token, the next upstream would skip a token that the caller has not got.

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
