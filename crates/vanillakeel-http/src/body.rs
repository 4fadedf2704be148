//! The body of an answer, checked for completeness.
//!
//! The client library takes the end of the connection for the end of a body that has a length, so a
//! body is only read through [`Body`].

use attohttpc::{
    Response, ResponseReader, StatusCode,
    header::{
        self,
        HeaderMap, //
    },
};
use std::io::{
    self,
    Error,
    ErrorKind,
    Read, //
};

/// The body of an answer; reading it fails if it ends before its framing says so.
#[derive(Debug)]
pub struct Body {
    reader: ResponseReader,
    /// Bytes that are still to come, if the answer has a length.
    remaining: Option<u64>,
    is_framed: bool,
}

impl Body {
    /// Splits an answer into its status, its headers and its body.
    #[must_use]
    #[expect(
        clippy::disallowed_methods,
        reason = "this is where the length is checked"
    )]
    pub fn split(answer: Response) -> (StatusCode, HeaderMap, Self) {
        let (status, headers, reader) = answer.split();
        let is_chunked = headers.contains_key(header::TRANSFER_ENCODING);
        let length = headers.get(header::CONTENT_LENGTH).filter(|_| !is_chunked);
        let length = length.and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let body = Self {
            reader,
            remaining: length,
            is_framed: is_chunked || length.is_some(),
        };
        (status, headers, body)
    }

    /// Returns the whole body of an answer of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails, or if the body is longer than `max_bytes` or shorter than
    /// its length.
    pub fn read_all(answer: Response, max_bytes: usize) -> io::Result<Vec<u8>> {
        Self::split(answer).2.into_bytes(max_bytes)
    }

    /// Returns whether a length or chunks mark the end of the body; otherwise it ends with the
    /// connection, and reading can't tell a cut body from a complete one.
    #[must_use]
    pub const fn is_framed(&self) -> bool {
        self.is_framed
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::read_all`].
    pub fn into_bytes(self, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let limit = max_bytes as u64 + 1;
        self.take(limit).read_to_end(&mut bytes)?;
        if bytes.len() > max_bytes {
            return Err(Error::new(ErrorKind::FileTooLarge, "the body is too long"));
        }
        Ok(bytes)
    }
}

impl Read for Body {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buf)?;
        if let Some(remaining) = &mut self.remaining {
            if count == 0 && !buf.is_empty() && *remaining > 0 {
                let reason = "the body ended before its length";
                return Err(Error::new(ErrorKind::UnexpectedEof, reason));
            }
            *remaining = remaining.saturating_sub(count as u64);
        }
        Ok(count)
    }
}
