//! Limit on what another process sends before the final head of its answer, and between two parts of its body.
//!
//! The HTTP library skips interim heads, and leading zeros of a chunk's size, for as long as there are bytes to read. One
//! upstream that sends them without end would take the thread from all requests. [`LimitedStream`] fails once too much
//! has come for a request.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Most bytes of all heads of an answer, and between two parts of its body, in bytes; the last read may hold the next
/// part as well.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Number of bytes that have come for a request since it was sent, or since the last part of the answer's body; `None`
/// while neither is awaited.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadBytes(Rc<Cell<Option<usize>>>);

impl HeadBytes {
    /// Counts from now on.
    pub(super) fn start(&self) {
        self.0.set(Some(0));
    }

    /// Ends the count, as the final head or the end of the body has come.
    pub(super) fn stop(&self) {
        self.0.set(None);
    }

    /// Adds bytes that were read; returns whether they are more than an answer may have before its body.
    fn exceeds(&self, read: usize) -> bool {
        let bytes = self.0.get().map(|b| b.saturating_add(read));
        self.0.set(bytes);
        bytes.is_some_and(|b| b > MAX_HEAD_BYTES)
    }
}

/// A connection whose reads fail once the heads of an answer are too long.
#[derive(Debug)]
pub(super) struct LimitedStream {
    pub(super) stream: TcpStream,
    pub(super) head_bytes: HeadBytes,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.head_bytes.exceeds(buf.filled().len() - before) {
            let reason =
                "too many bytes before the head of the answer or the next part of its body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
