//! HTTP/1.1 connection to an upstream or to the log service.
//!
//! The gateway pools connections itself instead of using the pool of the HTTP library: a request
//! that may run only once must not be sent on a connection that the other side is about to close.

use super::head_limit::{
    HeadBytes,
    LimitedStream, //
};
use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};
use tokio::{
    net::TcpStream,
    sync::Notify,
    task::JoinHandle,
    time::timeout, //
};

/// Largest size of the read buffer of a connection, in bytes.
pub(super) const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Time limit for establishing the connection.
    pub connect: Duration,
    /// Time without an acknowledgement of sent bytes after which the connection is closed.
    pub unacknowledged: Duration,
}

/// Why a request got no response.
///
/// The doc comment of each variant is its message.
#[derive(Debug, displaydoc::Display)]
pub enum SendError {
    /// the connection ended before the request was written
    NotSent,
    /// {0}
    Broken(hyper::Error),
}

impl std::error::Error for SendError {}

/// How a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The other side has closed it in order.
    Closed,
    /// It was reset, or failed in another way.
    Failed,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    tx: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Wakes the task to reset the connection.
    reset: Rc<Notify>,
    /// Whether the connection is reset instead of closed in order.
    resets: bool,
    end: Rc<Cell<Option<ConnectionEnd>>>,
    head_bytes: HeadBytes,
}

impl Drop for HttpConnection {
    /// Closes the socket at once, so that the other side stops working on the request.
    fn drop(&mut self) {
        if self.resets {
            self.reset.notify_one();
        } else {
            self.task.abort();
        }
    }
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be established, or not in time.
    pub async fn open(address: SocketAddr, timeouts: ConnectionTimeouts) -> io::Result<Self> {
        Self::open_buffered(address, timeouts, MAX_BUFFER_BYTES).await
    }

    /// Opens a connection whose read buffer grows to `buffer_bytes` at most; the head of an answer has to fit.
    ///
    /// # Errors
    ///
    /// Fails as [`open`](Self::open) does.
    pub(super) async fn open_buffered(
        address: SocketAddr,
        timeouts: ConnectionTimeouts,
        buffer_bytes: usize,
    ) -> io::Result<Self> {
        let stream = timeout(timeouts.connect, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        set_user_timeout(&stream, timeouts.unacknowledged)?;
        let head_bytes = HeadBytes::default();
        let stream = LimitedStream {
            stream,
            head_bytes: head_bytes.clone(),
        };
        let (tx, mut connection) = http1::Builder::new()
            .max_buf_size(buffer_bytes)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let end = Rc::new(Cell::new(None));
        let recorded = Rc::clone(&end);
        let reset = Rc::new(Notify::new());
        let reset_wanted = Rc::clone(&reset);
        let task = tokio::task::spawn_local(async move {
            let result = tokio::select! {
                biased;
                () = reset_wanted.notified() => {
                    let stream = connection.into_parts().io.into_inner().stream;
                    // Without the option the connection is closed in order.
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                result = &mut connection => result,
            };
            // An error of the connection also reaches the caller of `send`.
            let end = match result {
                Ok(()) => ConnectionEnd::Closed,
                Err(e) if e.is_incomplete_message() => ConnectionEnd::Closed,
                Err(_) => ConnectionEnd::Failed,
            };
            recorded.set(Some(end));
        });
        Ok(Self {
            tx,
            task,
            reset,
            resets: false,
            end,
            head_bytes,
        })
    }

    /// Resets the connection of a request that is given up.
    ///
    /// Bytes of the request that have not reached the other side are dropped. After an orderly close they
    /// would still arrive, once a cut has ended, as a request that nobody waits for.
    pub fn reset(mut self) {
        self.resets = true;
    }

    /// Returns how the connection has ended, or `None` while it is open.
    #[must_use]
    pub fn end(&self) -> Option<ConnectionEnd> {
        self.end.get()
    }

    /// Returns whether a request can be sent now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.tx.is_ready() && !self.tx.is_closed()
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Counts what comes from now on, until the next part of the body of the response has been read.
    ///
    /// Without such a call, only what comes before the final head is limited.
    pub fn await_data(&self) {
        self.head_bytes.start();
    }

    /// Ends that count, as the response has been read completely.
    pub fn on_response_end(&self) {
        self.head_bytes.stop();
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if no byte of the request was written, so that it certainly
    /// did not run, and [`SendError::Broken`] if the connection failed later.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_bytes.start();
        let sent = self.tx.try_send_request(req).await;
        self.head_bytes.stop();
        sent.map_err(|mut e| {
            if e.take_message().is_some() {
                SendError::NotSent
            } else {
                SendError::Broken(e.into_error())
            }
        })
    }
}

/// Sets the time after which a connection is closed if sent bytes are not acknowledged, for example
/// because the other side no longer responds.
fn set_user_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))
}
