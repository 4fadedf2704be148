//! How the end of a response body is marked, and what else shows that a body is complete.

use http::{
    HeaderMap,
    header, //
};
use vanillakeel_http::EventScanner;

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

/// Returns whether a successful response consists of server-sent events.
///
/// A response without a content type is taken for what its route is for.
pub(super) fn has_events(headers: &HeaderMap, is_stream_route: bool) -> bool {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return is_stream_route;
    };
    let essence = value.as_bytes().split(|b| *b == b';').next();
    essence.is_some_and(|e| e.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
}

/// Returns whether events that have been received completely end between two events.
pub(super) fn is_between_events(bytes: &[u8]) -> bool {
    let mut scanner = EventScanner::default();
    scanner.scan(bytes);
    scanner.is_between_events()
}
