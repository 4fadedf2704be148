//! Connections of callers.

use super::{
    guard::{
        Guarded,
        Scan, //
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
    cell::RefCell,
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

/// Pause after a connection could not be accepted, for example since descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest read buffer that the HTTP library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// One connection of a caller.
#[derive(Debug)]
pub(super) struct Connection {
    shared: Rc<Shared>,
    pub(super) scan: RefCell<Scan>,
}

impl Connection {
    /// Takes note that an answer has ended.
    pub(super) fn used(&self) {
        let mut scan = self.scan.borrow_mut();
        scan.open = scan.open.saturating_sub(1);
        scan.last_used = self.shared.clock.now();
    }

    /// Keeps the connection in use until the value is dropped.
    pub(super) fn use_until_drop(self: &Rc<Self>) -> InUse {
        InUse(Rc::clone(self))
    }

    /// When the connection has been idle, or in a head, for too long; nothing while it is in use.
    fn ends(&self) -> Option<Millis> {
        let limits = self.shared.limits();
        let scan = self.scan.borrow();
        let ms = if scan.is_in_head() {
            limits.header_ms
        } else {
            limits.idle_ms
        };
        (scan.open == 0).then(|| scan.last_used.plus(ms))
    }
}

/// A connection whose answer goes on.
#[derive(Debug)]
pub(super) struct InUse(Rc<Connection>);

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.used();
    }
}

/// Accepts callers for as long as the process runs.
pub(super) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let stream = next(&listener).await;
        spawn_local(connection(Rc::clone(&shared), stream));
    }
}

/// The next connection that can be accepted.
pub(super) async fn next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                tracing::warn!(error = %e, "a connection could not be accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(shared: Rc<Shared>, stream: TcpStream) {
    if let Err(e) = prepare(&stream) {
        tracing::debug!(error = %e, "a socket could not be set up");
        return;
    }
    let scan = Scan::new(shared.clock.now());
    let connection = Rc::new(Connection {
        shared: Rc::clone(&shared),
        scan: RefCell::new(scan),
    });
    let io = TokioIo::new(Guarded::new(stream, Rc::clone(&connection), shared.clock));
    let service = service_fn(|req| {
        let shared = Rc::clone(&shared);
        let connection = Rc::clone(&connection);
        async move { Ok::<_, Infallible>(request::answer(shared, connection, req).await) }
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
        let ends = connection.ends();
        let limits_ms = ends.map_or(1_000, |t| t.since(now).max(1));
        tokio::select! {
            _ = served.as_mut() => return,
            () = shared.closing.notified(), if !is_closing => {}
            () = sleep(Duration::from_millis(limits_ms)) => {
                let is_over = connection.ends().is_some_and(|t| t <= shared.clock.now());
                if is_over {
                    return;
                }
            }
        }
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}
