//! Accepts connections of callers and serves HTTP/1.1 on them.
//!
//! A connection is closed when it stays idle or its next head stays incomplete for too long, and
//! when the instance stops.

use super::{
    bodies,
    callers::{
        Caller,
        Decision,
        HeldBytes, //
    },
    guard::{
        FramingScanner,
        ScannedStream, //
    },
    lines::Kind,
    request,
    shared::Shared, //
};
use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    convert::Infallible,
    io,
    pin::pin,
    rc::Rc,
    time::Duration, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::{
        spawn_local,
        yield_now, //
    },
    time::sleep,
};
use vanillakeel::{
    Millis,
    caller_budget::{
        Full,
        Phase, //
    },
};

/// Delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest read buffer that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Length up to which a head does not count as held, in bytes.
const FREE_HEAD_BYTES: usize = 4 << 10;

/// Copies of a head that a connection holds: as it arrived, and as it was read.
const HEAD_COPIES: usize = 2;

/// Time for a connection that has to give way to get its refusal, in ms.
const LAST_ANSWER_MS: u64 = bodies::DISCARD_MS + 200;

/// One connection of a caller.
#[derive(Debug)]
pub(super) struct CallerConnection {
    shared: Rc<Shared>,
    pub(super) caller: Rc<Caller>,
    /// What counts for the heads of requests that are not answered.
    held_head: RefCell<HeldBytes>,
    pub(super) scanner: RefCell<FramingScanner>,
    /// Whether the connection is reset if it is closed now, because it is the end of an answer that is
    /// not complete.
    pub(super) resets_on_close: Cell<bool>,
}

impl CallerConnection {
    /// Records that a response has ended.
    pub(super) fn on_response_end(&self) {
        let mut scanner = self.scanner.borrow_mut();
        scanner.end_response(self.shared.clock.now());
        self.held_head.borrow_mut().release();
        if self.caller.phase() == Phase::Running {
            let is_in_head = scanner.is_in_head();
            let phase = if is_in_head { Phase::Head } else { Phase::Idle };
            self.caller.set_phase(phase, u8::MAX);
        }
    }

    /// Records that `read` bytes were read, within a head or not; the longest one has `longest` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if there is no room for the head.
    pub(super) fn on_head(
        &self,
        is_in_head: bool,
        read: usize,
        longest: usize,
    ) -> Result<(), Full> {
        if is_in_head {
            if self.caller.phase() == Phase::Idle {
                self.caller.set_phase(Phase::Head, u8::MAX);
            }
            self.caller.on_received(read);
        }
        if longest <= FREE_HEAD_BYTES {
            return Ok(());
        }
        let held = self.held_head.borrow_mut().grow_to(HEAD_COPIES * longest);
        if self.caller.phase() == Phase::Running {
            // The next head has to wait for the answer, and must not end the request that is running.
            return Ok(());
        }
        held.inspect_err(|_| {
            let callers = self.caller.callers();
            callers.tell(Decision::HeadRefused, self.caller.phase());
        })
    }

    /// Returns the time at which the connection is closed because its caller does not read the answer, or `None` while
    /// it does.
    fn unread_deadline(&self) -> Option<Millis> {
        let idle_ms = self.shared.limits().idle_ms;
        self.caller.blocked_since().map(|t| t.plus(idle_ms))
    }

    /// Returns a guard that keeps the connection in use until it is dropped.
    pub(super) fn hold_in_use(self: &Rc<Self>) -> InUseGuard {
        InUseGuard(Rc::clone(self))
    }

    /// Returns the time at which the connection is closed because it is idle or its next head is
    /// incomplete, or `None` while a request is in progress.
    fn idle_deadline(&self) -> Option<Millis> {
        let limits = self.shared.limits();
        let scanner = self.scanner.borrow();
        let ms = if scanner.is_in_head() {
            limits.header_ms
        } else {
            limits.idle_ms
        };
        (scanner.open_requests == 0).then(|| scanner.last_active.plus(ms))
    }
}

/// Keeps a connection in use until it is dropped with the response.
#[derive(Debug)]
pub(super) struct InUseGuard(Rc<CallerConnection>);

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.0.on_response_end();
    }
}

/// Accepts connections of callers until the process ends.
pub(super) async fn accept_callers(shared: Rc<Shared>, listener: TcpListener) {
    let weak = Rc::downgrade(&shared);
    shared.callers.on_decision(Box::new(move |decision, phase| {
        if let Some(shared) = weak.upgrade() {
            log_decision(&shared, decision, phase);
        }
    }));
    loop {
        let stream = accept_connection(&listener).await;
        if let Ok(caller) = shared.callers.connect() {
            spawn_local(serve_connection(Rc::clone(&shared), caller, stream));
        }
        // A connection that was closed for this one frees its descriptor before the next one is accepted.
        if shared.callers.is_crowded() {
            yield_now().await;
        }
    }
}

/// Records a decision on a connection of a caller.
fn log_decision(shared: &Shared, decision: Decision, phase: Phase) {
    shared.metrics.on_caller_decision(decision);
    if !shared.may_log(Kind::Failure) {
        return;
    }
    let (held_bytes, connections) = shared.callers.totals();
    tracing::info!(
        decision = decision.as_str(),
        phase = ?phase,
        held_bytes,
        connections,
        "caller gave way"
    );
}

/// Returns the next connection; retries after an error.
pub(super) async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                tracing::warn!(error = %e, "could not accept a connection; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection until it is closed.
async fn serve_connection(shared: Rc<Shared>, caller: Rc<Caller>, stream: TcpStream) {
    if let Err(e) = set_socket_options(&stream) {
        tracing::debug!(error = %e, "could not set socket options; closing the connection");
        return;
    }
    let scanner = FramingScanner::new(shared.clock.now());
    let connection = Rc::new(CallerConnection {
        shared: Rc::clone(&shared),
        held_head: RefCell::new(Caller::hold_nothing(&caller)),
        caller,
        scanner: RefCell::new(scanner),
        resets_on_close: Cell::new(false),
    });
    let io = TokioIo::new(ScannedStream::new(
        stream,
        Rc::clone(&connection),
        shared.clock,
    ));
    let service = service_fn(|req| {
        let shared = Rc::clone(&shared);
        let connection = Rc::clone(&connection);
        async move { Ok::<_, Infallible>(request::handle(shared, connection, req).await) }
    });
    let head_bytes = shared.limits().header_bytes;
    let mut served = pin!(
        http1::Builder::new()
            .keep_alive(!shared.is_closing.get())
            .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service)
    );
    let mut is_closing = shared.is_closing.get();
    let mut leave_at: Option<Millis> = None;
    loop {
        if shared.is_closing.get() && !is_closing {
            is_closing = true;
            served.as_mut().graceful_shutdown();
        }
        let now = shared.clock.now();
        let idle_deadline = connection.idle_deadline();
        // While a request is in progress there is no deadline; the loop checks again in a second.
        let wait_ms = idle_deadline.map_or(1_000, |t| t.since(now).max(1));
        let wait_ms = leave_at.map_or(wait_ms, |t| t.since(now).max(1).min(wait_ms));
        tokio::select! {
            _ = served.as_mut() => return,
            () = shared.closing.notified(), if !is_closing => {}
            () = connection.caller.until_gives_way(), if leave_at.is_none() => {
                // Only a request whose body is being read is still answered, with its refusal.
                if !matches!(connection.caller.phase(), Phase::Body | Phase::Discarding) {
                    return;
                }
                leave_at = Some(shared.clock.now().plus(LAST_ANSWER_MS));
            }
            () = sleep(Duration::from_millis(wait_ms)) => {
                let now = shared.clock.now();
                let is_over = |deadline: Option<Millis>| deadline.is_some_and(|t| t <= now);
                if is_over(connection.unread_deadline()) {
                    shared.callers.tell(Decision::Unread, connection.caller.phase());
                    return;
                }
                if is_over(connection.idle_deadline()) || is_over(leave_at) {
                    return;
                }
            }
        }
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}
