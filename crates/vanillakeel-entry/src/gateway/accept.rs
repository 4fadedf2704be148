//! Accepts connections of callers and serves HTTP/1.1 on them.
//!
//! A connection is closed when it stays idle or its next head stays incomplete for too long, and
//! when the instance stops.

use super::{
    guard::{
        FramingScanner,
        ScannedStream, //
    },
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
    task::spawn_local,
    time::sleep,
};
use vanillakeel::Millis;

/// Delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest read buffer that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// One connection of a caller.
#[derive(Debug)]
pub(super) struct CallerConnection {
    shared: Rc<Shared>,
    pub(super) scanner: RefCell<FramingScanner>,
    /// Whether the connection is reset if it is closed now, because it is the end of an answer that is
    /// not complete.
    pub(super) resets_on_close: Cell<bool>,
}

impl CallerConnection {
    /// Records that a response has ended.
    pub(super) fn on_response_end(&self) {
        let mut scanner = self.scanner.borrow_mut();
        scanner.open_requests = scanner.open_requests.saturating_sub(1);
        scanner.last_active = self.shared.clock.now();
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
    loop {
        let stream = accept_connection(&listener).await;
        spawn_local(serve_connection(Rc::clone(&shared), stream));
    }
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
async fn serve_connection(shared: Rc<Shared>, stream: TcpStream) {
    if let Err(e) = set_socket_options(&stream) {
        tracing::debug!(error = %e, "could not set socket options; closing the connection");
        return;
    }
    let scanner = FramingScanner::new(shared.clock.now());
    let connection = Rc::new(CallerConnection {
        shared: Rc::clone(&shared),
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
    loop {
        if shared.is_closing.get() && !is_closing {
            is_closing = true;
            served.as_mut().graceful_shutdown();
        }
        let now = shared.clock.now();
        let idle_deadline = connection.idle_deadline();
        // While a request is in progress there is no deadline; the loop checks again in a second.
        let wait_ms = idle_deadline.map_or(1_000, |t| t.since(now).max(1));
        tokio::select! {
            _ = served.as_mut() => return,
            () = shared.closing.notified(), if !is_closing => {}
            () = sleep(Duration::from_millis(wait_ms)) => {
                let is_over = connection.idle_deadline().is_some_and(|t| t <= shared.clock.now());
                if is_over {
                    return;
                }
            }
        }
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}
