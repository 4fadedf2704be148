//! The body of an answer that is handed on as it comes.
//!
//! A stream that may be resumed is handed on by whole events; when its upstream fails, it goes on
//! at another one after the last event that the caller has. All others are handed on as they are,
//! and a failure ends them visibly broken.

use super::{
    answer::BodyError,
    call::Call,
    exchange::{
        self,
        Miss,
        Tries, //
    },
    lines,
    progress::Progress,
    request::Order,
    shared::Shared, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::future::LocalBoxFuture;
use http::{
    Response,
    StatusCode, //
};
use hyper::body::{
    Body as _,
    Frame,
    Incoming, //
};
use std::{
    any::Any,
    future::Future as _,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};
use tokio::time::{
    Sleep,
    sleep, //
};
use vanillakeel::{
    fleet::CallOutcome,
    routes::RouteKind, //
};

/// How the next attempt of a broken stream has begun.
type Resumed = (Tries, Result<(Call, Response<Incoming>), Miss>);

/// Next attempt of a broken stream.
type Resume = LocalBoxFuture<'static, Resumed>;

/// Where the bytes come from.
enum Flow {
    /// An upstream is answering.
    Running(Box<(Call, Incoming)>),
    /// Another upstream is being asked to go on.
    Resuming(Resume),
    /// All was handed on, or nothing more can be.
    Ended,
}

/// A body that is being handed on.
pub(super) struct Relay {
    shared: Rc<Shared>,
    order: Rc<Order>,
    tries: Option<Tries>,
    flow: Flow,
    deadline: Pin<Box<Sleep>>,
    events: Option<Events>,
    start: Option<Bytes>,
    progress: Progress,
    /// Values that are dropped with the answer.
    held: Option<Box<dyn Any>>,
}

impl Relay {
    pub(super) fn new(
        shared: &Rc<Shared>,
        order: &Rc<Order>,
        tries: Tries,
        call: Call,
        body: Incoming,
    ) -> Self {
        let left = Duration::from_millis(order.left_ms(shared.clock.now()));
        let is_resumable = order.route.kind == RouteKind::Stream { resumable: true };
        Self {
            shared: Rc::clone(shared),
            order: Rc::clone(order),
            tries: Some(tries),
            flow: Flow::Running(Box::new((call, body))),
            deadline: Box::pin(sleep(left)),
            events: is_resumable.then(Events::default),
            start: None,
            progress: Progress::default(),
            held: None,
        }
    }

    /// Hands `bytes` on before the rest.
    pub(super) fn with_start(self, bytes: Bytes) -> Self {
        Self {
            start: Some(bytes),
            ..self
        }
    }

    /// Keeps a value until the answer has ended.
    pub(super) fn until_end(&mut self, value: Box<dyn Any>) {
        self.held = Some(value);
    }

    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(self.fail("deadline"))));
        }
        loop {
            let next = match &mut self.flow {
                Flow::Ended => return Poll::Ready(None),
                Flow::Running(running) => {
                    Step::Frame(ready!(Pin::new(&mut running.1).poll_frame(cx)))
                }
                Flow::Resuming(resume) => Step::Resumed(Box::new(ready!(resume.as_mut().poll(cx)))),
            };
            match next {
                Step::Frame(Some(Ok(frame))) => {
                    if let Some(bytes) = self.on_frame(frame) {
                        self.progress.bytes += bytes.len() as u64;
                        return Poll::Ready(Some(Ok(Frame::data(bytes))));
                    }
                }
                Step::Frame(None) if self.is_whole() => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Step::Frame(None) => self.on_broken("ended within an event"),
                Step::Frame(Some(Err(_))) => self.on_broken("broke off"),
                Step::Resumed(resumed) => self.on_resumed(*resumed),
            }
            if let Flow::Ended = self.flow {
                return Poll::Ready(Some(Err("the upstream's answer broke off".into())));
            }
        }
    }

    /// Takes a frame; returns what can be handed on.
    fn on_frame(&mut self, frame: Frame<Bytes>) -> Option<Bytes> {
        let data = frame.into_data().ok()?;
        let now = self.shared.clock.now();
        self.progress.on_part(now);
        if let Flow::Running(running) = &mut self.flow {
            running.0.on_first(now);
        }
        match &mut self.events {
            None => Some(data),
            Some(events) => events.push(&data),
        }
    }

    /// Whether the answer may end here.
    fn is_whole(&self) -> bool {
        self.events.as_ref().is_none_or(Events::is_between)
    }

    fn finish(&mut self) {
        if let Flow::Running(running) = std::mem::replace(&mut self.flow, Flow::Ended) {
            let (call, _) = *running;
            let upstream = Arc::clone(call.upstream());
            call.end(CallOutcome::Success);
            exchange::log_answer(
                &self.shared,
                &self.order,
                &upstream,
                StatusCode::OK,
                &self.progress,
            );
        }
    }

    fn fail(&mut self, reason: &'static str) -> BodyError {
        self.log_end(reason);
        self.flow = Flow::Ended;
        reason.into()
    }

    fn log_end(&self, reason: &str) {
        let upstream = match &self.flow {
            Flow::Running(running) => Arc::clone(running.0.upstream()),
            _ => Arc::from(""),
        };
        self.shared.metrics.broken.inc();
        if !self.shared.may_log(lines::Kind::Failure) {
            return;
        }
        tracing::info!(
            request = %self.order.id,
            upstream = %upstream,
            bytes = self.progress.bytes,
            first_ms = self.progress.first_ms(self.order.arrived),
            after_ms = self.shared.clock.now().since(self.order.arrived),
            reason,
            "answer cut"
        );
    }

    /// The upstream has failed: goes on at another one if that is allowed.
    fn on_broken(&mut self, reason: &'static str) {
        self.log_end(reason);
        if let Flow::Running(running) = std::mem::replace(&mut self.flow, Flow::Ended) {
            running.0.end(CallOutcome::Failed);
        }
        let Some(events) = &mut self.events else {
            return;
        };
        events.drop_partial();
        let Some(mut tries) = self.tries.take() else {
            return;
        };
        let may_repeat = tries.runs < self.order.route.max_attempts
            && self.shared.take_repeat(&self.order.service);
        if !may_repeat {
            return;
        }
        let (shared, order) = (Rc::clone(&self.shared), Rc::clone(&self.order));
        let last = events.last_id.clone();
        self.flow = Flow::Resuming(Box::pin(async move {
            let result = exchange::send(&shared, &order, &mut tries, last.as_deref()).await;
            (tries, result)
        }));
    }

    fn on_resumed(&mut self, (tries, result): Resumed) {
        self.flow = match result {
            Ok((call, response)) if response.status().is_success() => {
                Flow::Running(Box::new((call, response.into_body())))
            }
            _ => Flow::Ended,
        };
        self.tries = Some(tries);
    }
}

/// What a poll has brought.
enum Step {
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    Resumed(Box<Resumed>),
}

/// Cuts a stream into whole events and remembers the id of the last one.
#[derive(Debug, Default)]
pub(super) struct Events {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Events {
    /// Takes bytes; returns the events that are whole now.
    fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = end_of_events(&self.partial)?;
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Whether no event has begun.
    fn is_between(&self) -> bool {
        self.partial.is_empty()
    }

    fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Length of the whole events at the start of `bytes`.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let plain = bytes
        .windows(2)
        .rposition(|w| w == b"\n\n")
        .map(|at| at + 2);
    let with_returns = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    plain.max(with_returns)
}

/// The id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|b| *b == b'\n')
        .rfind(|line| line.starts_with(b"id:"))?;
    let id = std::str::from_utf8(&line[3..]).ok()?;
    Some(id.trim().to_owned())
}
