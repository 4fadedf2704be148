//! One connection to an upstream or to the log service.
//!
//! The HTTP library's pooling is not used: which kept connection a request goes on is decided here,
//! since a request that may run only once must not meet a connection that is about to end.

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
    io,
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::timeout, //
};

/// Size up to which the read buffer of a connection grows, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Times of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dial {
    /// Time to establish it.
    pub connect: Duration,
    /// Time after which unacknowledged bytes end it.
    pub unacknowledged: Duration,
}

/// Why a request got no answer.
#[derive(Debug, displaydoc::Display)]
pub enum SendError {
    /// the connection ended before the request was written
    NotSent,
    /// {0}
    Broken(hyper::Error),
}

impl std::error::Error for SendError {}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Client {
    tx: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Client {
    /// Closes the socket at once, so that the other side stops its work.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not established in time.
    pub async fn open(address: SocketAddr, dial: Dial) -> io::Result<Self> {
        let stream = timeout(dial.connect, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        set_unacknowledged(&stream, dial.unacknowledged)?;
        let (tx, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // How a connection ended is told to whoever waits for an answer on it.
            let _ = connection.await;
        });
        Ok(Self { tx, task })
    }

    /// Whether a request may be sent on it now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.tx.is_ready() && !self.tx.is_closed()
    }

    /// Whether it has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] says that no byte was written.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.tx.try_send_request(req).await.map_err(|mut e| {
            if e.take_message().is_some() {
                SendError::NotSent
            } else {
                SendError::Broken(e.into_error())
            }
        })
    }
}

/// Ends a connection whose bytes are not acknowledged in time, or whose peer has gone silent.
fn set_unacknowledged(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(limit))
}
