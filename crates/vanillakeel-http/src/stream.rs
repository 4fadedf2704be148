//! HTTP responses that are written directly to the connection, either in chunks or as a whole.

use std::io::{
    self,
    Write, //
};

/// Bytes that are not a valid chunk header.
///
/// They end a response that was not finished, so that the client sees an error and not a complete
/// body.
const INVALID_CHUNK: &[u8] = b"broken\r\n";

/// The status line and headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    status: u16,
    headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// Returns a response head without headers.
    #[must_use]
    pub const fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
        }
    }

    /// Adds a header. Line breaks in the value become spaces, so that a value can't add headers.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        let value = value.replace(['\r', '\n'], " ");
        self.headers.push((name.to_owned(), value));
        self
    }

    /// Appends the status line and the headers, without the empty line after them.
    fn write(&self, out: &mut Vec<u8>) {
        let status = tiny_http::StatusCode(self.status);
        let reason = status.default_reason_phrase();
        out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", self.status).as_bytes());
        for (name, value) in &self.headers {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
}

/// A response with chunked transfer encoding; each chunk is sent without buffering.
///
/// If it is dropped before [`Self::finish`], the client sees an invalid chunk and can't take the
/// body for complete.
pub struct ChunkedResponse {
    out: Box<dyn Write + Send>,
    is_open: bool,
}

impl std::fmt::Debug for ChunkedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ChunkedResponse")
            .field("is_open", &self.is_open)
            .finish_non_exhaustive()
    }
}

impl ChunkedResponse {
    /// Starts the response and sends its head.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has closed the connection.
    pub fn start(req: tiny_http::Request, head: &ResponseHead) -> io::Result<Self> {
        let mut out = req.into_writer();
        let mut bytes = Vec::new();
        head.write(&mut bytes);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        out.write_all(&bytes)?;
        out.flush()?;
        Ok(Self { out, is_open: true })
    }

    /// Sends `bytes` as one chunk; empty `bytes` send nothing, since an empty chunk ends the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has closed the connection.
    pub fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.out.write_all(&chunk)?;
        self.out.flush()
    }

    /// Ends the body with the final chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has closed the connection.
    pub fn finish(mut self) -> io::Result<()> {
        self.is_open = false;
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}

impl Drop for ChunkedResponse {
    fn drop(&mut self) {
        if self.is_open {
            let _ = self.out.write_all(INVALID_CHUNK);
            let _ = self.out.flush();
        }
    }
}

impl ResponseHead {
    /// Sends the head and a complete body with its `Content-Length`.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has closed the connection.
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
