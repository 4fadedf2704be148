//! A check of the bytes that callers send, ahead of the HTTP library.
//!
//! Parsers differ in what they make of bare line feeds, folded lines, several lengths, or a length
//! beside chunks, and a difference lets a request hide in the body of another. [`Scan`] follows the
//! messages of one connection and reports the first head that is ambiguous; [`Guarded`] feeds it
//! what a socket reads.

use super::accept::Connection;
use crate::Clock;
use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
};
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};
use vanillakeel::Millis;

/// Largest head that is looked at, in bytes; the HTTP library refuses longer ones.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What the next bytes belong to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// A head, or the pause before one.
    #[default]
    Head,
    /// A body with so many bytes left.
    Body(u64),
    /// A body whose end this check does not follow; the connection ends after its answer.
    Opaque,
}

/// Follows the messages of one connection.
#[derive(Debug, Default)]
pub(super) struct Scan {
    phase: Phase,
    head: Vec<u8>,
    /// Heads that are complete.
    heads: u64,
    /// The head that is ambiguous, counted from 0.
    faulty: Option<u64>,
    /// Requests handed to the service.
    served: u64,
    /// Requests being answered.
    pub(super) open: u32,
    /// When bytes were last read, or an answer ended.
    pub(super) last_used: Millis,
}

impl Scan {
    /// Starts with a connection that was accepted at `now`.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            last_used: now,
            ..Self::default()
        }
    }

    /// Whether a head has begun and is not complete.
    pub(super) fn is_in_head(&self) -> bool {
        self.phase == Phase::Head && !self.head.is_empty()
    }

    /// Takes the next request; returns whether its head is free of faults.
    pub(super) fn begin(&mut self) -> bool {
        let is_good = self.faulty.is_none_or(|at| at > self.served);
        self.served += 1;
        self.open += 1;
        is_good
    }

    /// Whether the connection has to end after the present answer.
    pub(super) fn must_close(&self) -> bool {
        self.faulty.is_some() || self.phase == Phase::Opaque
    }

    /// Looks at bytes that were read.
    pub(super) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.faulty.is_none() {
            match self.phase {
                Phase::Opaque => return,
                Phase::Body(left) => {
                    let step = left.min(bytes.len() as u64);
                    bytes = &bytes[step as usize..];
                    self.phase = if step == left {
                        Phase::Head
                    } else {
                        Phase::Body(left - step)
                    };
                }
                Phase::Head => bytes = self.feed_head(bytes),
            }
        }
    }

    /// Takes bytes of a head; returns what follows it.
    fn feed_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        for (at, byte) in bytes.iter().enumerate() {
            let is_blank = self.head.is_empty() && matches!(byte, b'\r' | b'\n');
            if is_blank {
                continue;
            }
            self.head.push(*byte);
            let is_bare = *byte == b'\n' && !self.head.ends_with(b"\r\n");
            if is_bare || self.head.len() > MAX_HEAD_BYTES {
                self.faulty = Some(self.heads);
                return &[];
            }
            if self.head.ends_with(b"\r\n\r\n") {
                match body_of(&self.head) {
                    Some(phase) => self.phase = phase,
                    None => self.faulty = Some(self.heads),
                }
                self.heads += 1;
                self.head.clear();
                return &bytes[at + 1..];
            }
        }
        &[]
    }
}

/// What follows a head, or nothing if that can be read in two ways.
fn body_of(head: &[u8]) -> Option<Phase> {
    let mut length = None;
    let mut is_chunked = false;
    let mut lines = head.split(|b| *b == b'\n');
    lines.next();
    for line in lines {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.first().is_some_and(|b| matches!(b, b' ' | b'\t')) {
            return None;
        }
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            continue;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return None;
            }
            is_chunked = true;
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            if length.is_some() || !is_number {
                return None;
            }
            let value = std::str::from_utf8(value).ok()?;
            length = Some(value.parse::<u64>().ok()?);
        }
    }
    match (length, is_chunked) {
        (Some(_), true) => None,
        (None, true) => Some(Phase::Opaque),
        (None | Some(0), false) => Some(Phase::Head),
        (Some(n), false) => Some(Phase::Body(n)),
    }
}

/// A socket whose input is checked.
#[derive(Debug)]
pub(super) struct Guarded<S> {
    inner: S,
    connection: Rc<Connection>,
    clock: Clock,
}

impl<S> Guarded<S> {
    pub(super) const fn new(inner: S, connection: Rc<Connection>, clock: Clock) -> Self {
        Self {
            inner,
            connection,
            clock,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let mut scan = self.connection.scan.borrow_mut();
        let bytes = &buf.filled()[before..];
        if !bytes.is_empty() {
            scan.last_used = self.clock.now();
            scan.feed(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
