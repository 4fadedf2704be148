//! How the end of a response body is marked.

use http::{
    HeaderMap,
    header, //
};

/// How an upstream marks the end of a response body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// By its length, which the head gives.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    #[default]
    Connection,
}

impl BodyFraming {
    /// Returns the framing that the headers of a response announce.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns a short stable name for the log.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
