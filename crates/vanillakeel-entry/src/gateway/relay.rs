//! Response body that is relayed to the caller as it arrives.
//!
//! A resumable stream is relayed in complete events: if its upstream fails, another upstream
//! continues it after the last event that was relayed. Any other body is relayed unchanged, and a
//! failure of the upstream ends it with an error, so that the caller can tell it from a complete
//! one.
//!
//! The end of the bytes is the end of the body only if something says so: the length, a last chunk, or
//! an orderly end of the connection, if its upstream has not ended as well. A stream also has to end between two
//! events.

use super::{
    answer::BodyError,
    call::Call,
    crashes,
    exchange::{
        self,
        Attempts,
        SendFailure, //
    },
    framing::{
        self,
        BodyFraming, //
    },
    lines,
    partial_events::Part,
    progress::Progress,
    relayed_events::{
        RelayedEvents,
        ResumePoint, //
    },
    request::RoutedRequest,
    response::{
        self,
        Ending, //
    },
    shared::Shared,
    streams, //
};
use bytes::Bytes;
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
use tokio::{
    task::spawn_local,
    time::{
        Sleep,
        sleep, //
    },
};
use vanillakeel::{
    fleet::CallOutcome,
    routes::RouteKind,
    streams::Origin, //
};

/// Result of the attempt to resume a broken stream at another upstream.
type ResumeResult = (Attempts, Result<(Call, Response<Incoming>), SendFailure>);

/// A running attempt to resume a broken stream.
type ResumeFuture = LocalBoxFuture<'static, ResumeResult>;

/// A running check whether the upstream of a call has ended.
type ConfirmFuture = LocalBoxFuture<'static, (Call, bool)>;

/// State of a relayed body.
enum RelayState {
    /// An upstream is sending the body.
    Receiving(Box<(Call, Incoming)>),
    /// The body has ended with its connection, and its upstream may have ended as well.
    Confirming(ConfirmFuture),
    /// Another upstream is being asked to continue the stream.
    Resuming(ResumeFuture),
    /// The complete body has been relayed.
    Complete,
    /// The body has ended and is not complete.
    Broken,
}

/// A response body that is being relayed.
pub(super) struct Relay {
    shared: Rc<Shared>,
    request: Rc<RoutedRequest>,
    attempts: Option<Attempts>,
    state: RelayState,
    deadline: Pin<Box<Sleep>>,
    /// Events of a stream; `None` for any other body.
    events: Option<RelayedEvents>,
    /// What the stream holds of an event that is not complete.
    part: Part,
    /// Whether the keepers of a resumable stream have been told that it has begun.
    is_told: bool,
    /// Whether an upstream has answered for some time.
    is_settled: bool,
    /// Bytes that were read earlier and come first.
    buffered: Option<Bytes>,
    progress: Progress,
    /// Guards that count the request as open; they are dropped together with the body.
    held_until_end: Option<Box<dyn Any>>,
    /// Called at the end of a complete body.
    on_complete: Option<Box<dyn FnOnce()>>,
}

impl Relay {
    /// Creates a body that relays what the upstream of `call` sends.
    pub(super) fn new(
        shared: &Rc<Shared>,
        request: &Rc<RoutedRequest>,
        attempts: Attempts,
        call: Call,
        body: Incoming,
    ) -> Self {
        let remaining = Duration::from_millis(request.remaining_ms(shared.clock.now()));
        call.await_data();
        Self {
            shared: Rc::clone(shared),
            request: Rc::clone(request),
            attempts: Some(attempts),
            state: RelayState::Receiving(Box::new((call, body))),
            deadline: Box::pin(sleep(remaining)),
            events: None,
            part: shared.partial_events.part(),
            is_told: false,
            is_settled: false,
            buffered: None,
            progress: Progress::default(),
            held_until_end: None,
            on_complete: None,
        }
    }

    /// Follows the events of the body, which has to end between two of them.
    pub(super) fn with_events(self) -> Self {
        let is_resumable = self.request.route.kind == RouteKind::Stream { resumable: true };
        Self {
            events: Some(RelayedEvents::new(is_resumable)),
            ..self
        }
    }

    /// Relays `bytes`, the beginning of the body, before the rest.
    pub(super) fn add_buffered(&mut self, bytes: Bytes) {
        self.buffered = Some(bytes).filter(|b| !b.is_empty());
    }

    /// Keeps `value` until the body is dropped.
    pub(super) fn hold_until_end(&mut self, value: Box<dyn Any>) {
        self.held_until_end = Some(value);
    }

    /// Calls `on_complete` once the body has ended and is complete.
    pub(super) fn on_complete(&mut self, on_complete: Box<dyn FnOnce()>) {
        self.on_complete = Some(on_complete);
    }

    /// Polls for the next bytes for the caller.
    ///
    /// # Errors
    ///
    /// Returns an error once the deadline has passed or a broken body can't be resumed.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let buffered = self.buffered.take();
        if let Some(bytes) = buffered.and_then(|bytes| self.on_data(bytes)) {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(self.fail("deadline"))));
        }
        loop {
            let polled = match &mut self.state {
                RelayState::Complete | RelayState::Broken => return Poll::Ready(None),
                RelayState::Receiving(receiving) => {
                    Polled::Frame(ready!(Pin::new(&mut receiving.1).poll_frame(cx)))
                }
                RelayState::Confirming(confirm) => {
                    let (call, has_ended) = ready!(confirm.as_mut().poll(cx));
                    Polled::Confirmed(Box::new(call), has_ended)
                }
                RelayState::Resuming(resume) => {
                    Polled::Resumed(Box::new(ready!(resume.as_mut().poll(cx))))
                }
            };
            match polled {
                Polled::Frame(Some(Ok(frame))) => {
                    let data = frame.into_data().ok();
                    let relayed = data.and_then(|data| self.on_data(data));
                    if self.events.as_ref().is_some_and(RelayedEvents::is_too_long) {
                        self.on_endless_event("sent an event without end");
                    } else if self.part.gives_way() {
                        self.on_endless_event("sent a long event while many others did");
                    } else if self
                        .events
                        .as_ref()
                        .is_some_and(RelayedEvents::is_out_of_order)
                    {
                        self.on_unfit_run("continued with another event than the next one");
                    } else if let Some(bytes) = relayed {
                        return Poll::Ready(Some(Ok(Frame::data(bytes))));
                    }
                }
                Polled::Frame(None) => self.on_end(),
                Polled::Frame(Some(Err(e))) => self.on_error(&e),
                Polled::Confirmed(call, false) => self.complete(*call),
                Polled::Confirmed(call, true) => {
                    self.on_upstream_failure(*call, "ended with its upstream", None);
                }
                Polled::Resumed(resumed) => self.on_resumed(*resumed),
            }
            match self.state {
                RelayState::Complete => return Poll::Ready(None),
                RelayState::Broken => {
                    return Poll::Ready(Some(Err("the upstream's answer broke off".into())));
                }
                _ => {}
            }
        }
    }

    /// Processes bytes of the upstream; returns those that can be relayed now.
    fn on_data(&mut self, data: Bytes) -> Option<Bytes> {
        let now = self.shared.clock.now();
        self.progress.on_chunk(now);
        if let RelayState::Receiving(receiving) = &mut self.state {
            receiving.0.await_data();
            receiving.0.on_first_event(now);
        }
        let relayed = match &mut self.events {
            None => Some(data),
            Some(events) => {
                let relayed = events.push(data);
                self.part.set(events.held_bytes());
                relayed
            }
        };
        self.progress.bytes += relayed.as_ref().map_or(0, |b| b.len() as u64);
        if self.events.as_ref().is_none_or(RelayedEvents::has_events) {
            self.request.on_begun(&self.shared);
        }
        self.tell_of_first_event();
        self.record_settled();
        relayed.map(|bytes| self.request.held.caller().count_answer(bytes))
    }

    /// Records once that the upstream has answered for so long that the request has not crashed it.
    fn record_settled(&mut self) {
        if let RelayState::Receiving(receiving) = &self.state
            && !self.is_settled
            && receiving
                .0
                .answered_ms()
                .is_some_and(|ms| ms >= crashes::SETTLED_MS)
        {
            self.is_settled = true;
            crashes::record_answered(&self.shared, &self.request);
        }
    }

    /// Tells other instances by which version a resumable stream began, once its first event is complete.
    fn tell_of_first_event(&mut self) {
        let has_begun = self
            .events
            .as_ref()
            .is_some_and(RelayedEvents::has_begun_resumable);
        if self.is_told || !has_begun {
            return;
        }
        self.is_told = true;
        if let RelayState::Receiving(receiving) = &self.state
            && let Some(software) = &receiving.0.pick.software
        {
            let origin = Origin {
                service: Arc::clone(&self.request.service),
                software: Arc::clone(software),
            };
            streams::on_first_event(&self.shared, self.request.stream(), &origin);
        }
    }

    /// Returns how the body has ended, for the log.
    fn ending(&self, call: &Call) -> Ending {
        Ending {
            framing: call.framing,
            partial_event_bytes: self.events.as_ref().map(RelayedEvents::partial_bytes),
        }
    }

    /// Returns whether the body is complete if it ends here: a stream must not end within an event.
    fn is_complete(&self) -> bool {
        self.events
            .as_ref()
            .is_none_or(RelayedEvents::is_between_events)
    }

    /// Takes the call whose body is being received, which is then no longer received.
    fn take_call(&mut self) -> Option<Call> {
        match std::mem::replace(&mut self.state, RelayState::Broken) {
            RelayState::Receiving(receiving) => Some(receiving.0),
            _ => None,
        }
    }

    /// Handles the end of the upstream's body, as its framing marks it.
    fn on_end(&mut self) {
        let is_complete = self.is_complete();
        let Some(call) = self.take_call() else {
            return;
        };
        if !is_complete {
            self.on_upstream_failure(call, "ended within an event", None);
            return;
        }
        let awaits_next_event = self.events.as_ref();
        if awaits_next_event.is_some_and(RelayedEvents::awaits_next_event) {
            self.on_upstream_failure(call, "continued without an event", None);
            return;
        }
        if call.framing != BodyFraming::Connection {
            self.complete(call);
            return;
        }
        // The connection ends in the same way if the process ends.
        let shared = Rc::clone(&self.shared);
        self.state = RelayState::Confirming(Box::pin(async move {
            let has_ended = crashes::has_ended(&shared, &call.pick).await;
            (call, has_ended)
        }));
    }

    /// Handles an error of the connection to the upstream.
    fn on_error(&mut self, error: &hyper::Error) {
        if let Some(call) = self.take_call() {
            self.on_upstream_failure(call, "broke off", Some(error));
        }
    }

    /// Handles an event that does not end, or for which there is no room; closing the connection ends it.
    fn on_endless_event(&mut self, reason: &str) {
        if let Some(call) = self.take_call() {
            self.on_upstream_failure(call, reason, None);
        }
        self.part.set(0);
    }

    /// Ends the body, since the run that was to continue the stream does not.
    fn on_unfit_run(&mut self, reason: &str) {
        if let Some(call) = self.take_call() {
            self.log_cut(Some(&call), reason, None);
            call.finish(CallOutcome::Failed);
        }
    }

    /// Ends a complete body.
    fn complete(&mut self, call: Call) {
        let ending = self.ending(&call);
        let upstream = Arc::clone(call.upstream());
        call.finish(CallOutcome::Success);
        crashes::record_answered(&self.shared, &self.request);
        response::log_complete(
            &self.shared,
            &self.request,
            &upstream,
            StatusCode::OK,
            &self.progress,
            ending,
        );
        self.state = RelayState::Complete;
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }

    /// Ends the body with an error.
    fn fail(&mut self, reason: &'static str) -> BodyError {
        let call = self.take_call();
        self.log_cut(call.as_ref(), reason, None);
        reason.into()
    }

    /// Records in the metrics and the log that an upstream has not sent the complete body.
    ///
    /// `error` is what the HTTP library reports of the connection, if it has failed.
    fn log_cut(&self, call: Option<&Call>, reason: &str, error: Option<&hyper::Error>) {
        let ending = call.map(|call| self.ending(call));
        self.shared.metrics.broken_answers.inc();
        if !self.shared.may_log(lines::Kind::Failure) {
            return;
        }
        tracing::info!(
            request = %self.request.id,
            upstream = call.map_or("", |call| call.upstream()),
            bytes = self.progress.bytes,
            first_ms = self.progress.first_ms(self.request.arrived),
            after_ms = self.shared.clock.now().since(self.request.arrived),
            reason,
            framing = ending.map(|e| e.framing.as_str()),
            partial_event_bytes = ending.and_then(|e| e.partial_event_bytes),
            error = error.map(tracing::field::display),
            "answer cut"
        );
    }

    /// Handles a failure of the upstream: resumes the stream at another one if that is allowed.
    ///
    /// The partial event is discarded, since the next upstream sends it again from its start. Once an
    /// event has been relayed, only an upstream with the same software may go on.
    fn on_upstream_failure(&mut self, call: Call, reason: &str, error: Option<&hyper::Error>) {
        self.log_cut(Some(&call), reason, error);
        let software = call.pick.software.clone();
        let was_suspect = crashes::is_suspect(&self.shared, &self.request);
        // What was found is also recorded if the caller leaves meanwhile.
        let recorded = spawn_local(crashes::record_broken(
            Rc::clone(&self.shared),
            Rc::clone(&self.request),
            call.pick.clone(),
            call.answered_ms(),
        ));
        let is_settled = call
            .answered_ms()
            .is_some_and(|ms| ms >= crashes::SETTLED_MS);
        call.finish(CallOutcome::Failed);
        self.state = RelayState::Broken;
        let Some(events) = &mut self.events else {
            return;
        };
        let Some(resume_point) = events.resume_point() else {
            return;
        };
        events.restart();
        let Some(mut attempts) = self.attempts.take() else {
            return;
        };
        if resume_point != ResumePoint::Start {
            if software.is_none() {
                return;
            }
            attempts.software = software;
        }
        let (shared, request) = (Rc::clone(&self.shared), Rc::clone(&self.request));
        self.state = RelayState::Resuming(Box::pin(async move {
            let has_crashed = recorded.await.unwrap_or(false);
            let may_repeat = !has_crashed
                || is_settled
                || (!was_suspect && crashes::may_repeat(&shared, &request));
            if !may_repeat || !exchange::may_resume(&shared, &request, &attempts).await {
                return (attempts, Err(SendFailure::NoUpstream));
            }
            let result = exchange::send(&shared, &request, &mut attempts, &resume_point).await;
            (attempts, result)
        }));
    }

    /// Continues with the upstream that resumes the stream, or ends the body.
    fn on_resumed(&mut self, (attempts, result): ResumeResult) {
        self.attempts = Some(attempts);
        self.state = RelayState::Broken;
        let Ok((call, response)) = result else {
            return;
        };
        let is_stream = continues_stream(&response);
        call.await_data();
        self.state = RelayState::Receiving(Box::new((call, response.into_body())));
        if !is_stream {
            self.on_unfit_run("continued by an answer that is no stream");
        }
    }
}

/// Returns whether an answer can continue a stream: a 204 has no events, and a 206 is a part of another body.
fn continues_stream<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::OK && framing::has_events(response.headers(), true)
}

/// Result of a poll of the upstream.
enum Polled {
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// The call, and whether its upstream has ended.
    Confirmed(Box<Call>, bool),
    Resumed(Box<ResumeResult>),
}
