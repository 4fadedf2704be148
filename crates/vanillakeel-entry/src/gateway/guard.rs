//! Protection against request smuggling: checks the bytes of callers before the HTTP library parses
//! them.
//!
//! HTTP parsers disagree on bare line feeds, folded header lines, repeated `Content-Length` headers
//! and a `Content-Length` beside chunked encoding. Where two parsers disagree on the end of a
//! request, a second request can be hidden in the body of the first. [`FramingScanner`] follows the
//! requests on one connection and finds the first ambiguous head; [`ScannedStream`] passes the
//! bytes that are read from the socket to it.

use super::accept::CallerConnection;
use crate::Clock;
use socket2::SockRef;
use std::{
    io,
    os::fd::AsFd,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};
use vanillakeel::Millis;

/// Largest head that is scanned, in bytes; the HTTP library refuses longer ones.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Capacity that is kept for the next head of a connection, in bytes.
const KEPT_HEAD_BYTES: usize = 1 << 10;

/// Part of a request that the next bytes belong to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// A head, or the idle time before one.
    #[default]
    Head,
    /// A body with this many bytes remaining.
    Body(u64),
    /// A chunked body, whose end is not tracked; the connection is closed after the response, so
    /// that no unchecked request follows.
    Untracked,
}

/// Follows the framing of the requests on one connection.
#[derive(Debug, Default)]
pub(super) struct FramingScanner {
    phase: Phase,
    head: Vec<u8>,
    /// Length of the longest complete head since a response ended, in bytes.
    longest_head: usize,
    /// Number of heads that were completely received.
    complete_heads: u64,
    /// Index of the first ambiguous head, counted from 0.
    ambiguous_head: Option<u64>,
    /// Number of requests that the HTTP library has passed to the handler.
    begun_requests: u64,
    /// Number of requests whose response has not ended.
    pub(super) open_requests: u32,
    /// Time at which bytes were last read or a response ended.
    pub(super) last_active: Millis,
}

impl FramingScanner {
    /// Creates a scanner for a connection that was accepted at `now`.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            last_active: now,
            ..Self::default()
        }
    }

    /// Returns whether a head has been received in part.
    pub(super) fn is_in_head(&self) -> bool {
        self.phase == Phase::Head && !self.head.is_empty()
    }

    /// Returns the length of the longest head since a response ended, complete or not, in bytes.
    pub(super) fn longest_head(&self) -> usize {
        self.longest_head.max(self.head.len())
    }

    /// Records at `now` that a response has ended.
    pub(super) fn end_response(&mut self, now: Millis) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.last_active = now;
        self.longest_head = 0;
    }

    /// Records that the next request is handled; returns whether its head is unambiguous.
    pub(super) fn begin_request(&mut self) -> bool {
        let is_unambiguous = self
            .ambiguous_head
            .is_none_or(|at| at > self.begun_requests);
        self.begun_requests += 1;
        self.open_requests += 1;
        is_unambiguous
    }

    /// Returns whether the connection has to be closed after the current response.
    pub(super) fn must_close(&self) -> bool {
        self.ambiguous_head.is_some() || self.phase == Phase::Untracked
    }

    /// Scans bytes that were read.
    pub(super) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.ambiguous_head.is_none() {
            match self.phase {
                Phase::Untracked => return,
                Phase::Body(remaining) => {
                    let consumed = remaining.min(bytes.len() as u64);
                    bytes = &bytes[consumed as usize..];
                    self.phase = if consumed == remaining {
                        Phase::Head
                    } else {
                        Phase::Body(remaining - consumed)
                    };
                }
                Phase::Head => bytes = self.feed_head(bytes),
            }
        }
    }

    /// Scans bytes of a head; returns the bytes after it.
    fn feed_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        for (at, byte) in bytes.iter().enumerate() {
            let is_blank = self.head.is_empty() && matches!(byte, b'\r' | b'\n');
            if is_blank {
                continue;
            }
            self.head.push(*byte);
            let is_bare_line_feed = *byte == b'\n' && !self.head.ends_with(b"\r\n");
            if is_bare_line_feed || self.head.len() > MAX_HEAD_BYTES {
                self.ambiguous_head = Some(self.complete_heads);
                return &[];
            }
            if self.head.ends_with(b"\r\n\r\n") {
                match body_framing(&self.head) {
                    Some(phase) => self.phase = phase,
                    None => self.ambiguous_head = Some(self.complete_heads),
                }
                self.complete_heads += 1;
                self.longest_head = self.longest_head.max(self.head.len());
                self.head.clear();
                self.head.shrink_to(KEPT_HEAD_BYTES);
                return &bytes[at + 1..];
            }
        }
        &[]
    }
}

/// Returns what follows a head, or `None` if parsers may disagree on it.
fn body_framing(head: &[u8]) -> Option<Phase> {
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
        (None, true) => Some(Phase::Untracked),
        (None | Some(0), false) => Some(Phase::Head),
        (Some(n), false) => Some(Phase::Body(n)),
    }
}

/// A socket whose input is scanned.
///
/// While [`CallerConnection::resets_on_close`] is set, closing the socket resets the connection. This
/// is set on the socket itself before anything is written, so that it also holds if the process ends.
#[derive(Debug)]
pub(super) struct ScannedStream<S> {
    inner: S,
    connection: Rc<CallerConnection>,
    clock: Clock,
    /// Whether the socket is set to reset the connection on closing.
    resets_on_close: bool,
}

impl<S> ScannedStream<S> {
    pub(super) const fn new(inner: S, connection: Rc<CallerConnection>, clock: Clock) -> Self {
        Self {
            inner,
            connection,
            clock,
            resets_on_close: false,
        }
    }
}

impl<S: AsFd> ScannedStream<S> {
    /// Sets on the socket whether closing it resets the connection.
    fn apply_reset_on_close(&mut self) -> io::Result<()> {
        let resets_on_close = self.connection.resets_on_close.get();
        if resets_on_close != self.resets_on_close {
            let linger = resets_on_close.then_some(Duration::ZERO);
            SockRef::from(&self.inner).set_linger(linger)?;
            self.resets_on_close = resets_on_close;
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ScannedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let mut scanner = self.connection.scanner.borrow_mut();
        let bytes = &buf.filled()[before..];
        if !bytes.is_empty() {
            scanner.last_active = self.clock.now();
            scanner.feed(bytes);
            let (is_in_head, longest) = (scanner.is_in_head(), scanner.longest_head());
            drop(scanner);
            self.connection
                .on_head(is_in_head, bytes.len(), longest)
                .map_err(io::Error::other)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + AsFd + Unpin> AsyncWrite for ScannedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_reset_on_close()?;
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.connection.caller.set_blocked(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.caller.sync_answer();
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_reset_on_close()?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_reset_on_close()?;
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.connection.caller.set_blocked(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
