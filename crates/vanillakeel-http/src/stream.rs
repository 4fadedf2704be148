//! Writing an answer part by part.

use std::io::{
    self,
    Write, //
};

/// Bytes that are no chunk, so that a client sees that the answer has broken off.
const BROKEN_CHUNK: &[u8] = b"broken\r\n";

/// Status line and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    status: u16,
    headers: Vec<(String, String)>,
}

impl Head {
    /// A head without headers.
    #[must_use]
    pub const fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
        }
    }

    /// Adds a header; line breaks in the value are dropped.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        let value = value.replace(['\r', '\n'], " ");
        self.headers.push((name.to_owned(), value));
        self
    }

    fn write(&self, out: &mut Vec<u8>) {
        let status = tiny_http::StatusCode(self.status);
        let reason = status.default_reason_phrase();
        out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", self.status).as_bytes());
        for (name, value) in &self.headers {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
}

/// An answer that is written in chunks, each sent at once.
///
/// If it is dropped before [`Self::finish`], the client sees a broken answer and never a clean end.
pub struct Stream {
    out: Box<dyn Write + Send>,
    is_open: bool,
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stream")
            .field("is_open", &self.is_open)
            .finish_non_exhaustive()
    }
}

impl Stream {
    /// Begins an answer with its head.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has gone.
    pub fn start(req: tiny_http::Request, head: &Head) -> io::Result<Self> {
        let mut out = req.into_writer();
        let mut bytes = Vec::new();
        head.write(&mut bytes);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        out.write_all(&bytes)?;
        out.flush()?;
        Ok(Self { out, is_open: true })
    }

    /// Sends one part.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has gone.
    pub fn part(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.out.write_all(&chunk)?;
        self.out.flush()
    }

    /// Ends the answer cleanly.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.is_open = false;
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.is_open {
            let _ = self.out.write_all(BROKEN_CHUNK);
            let _ = self.out.flush();
        }
    }
}

impl Head {
    /// Sends the head with a whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has gone.
    pub fn respond(&self, req: tiny_http::Request, body: &[u8]) -> io::Result<()> {
        let mut out = req.into_writer();
        let mut bytes = Vec::new();
        self.write(&mut bytes);
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        out.write_all(&bytes)?;
        out.flush()
    }
}
