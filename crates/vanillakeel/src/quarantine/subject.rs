//! What may crash an upstream.

use sha2::{
    Digest as _,
    Sha256, //
};
use std::{
    fmt,
    str::FromStr, //
};

/// What may crash an upstream: a part of a prompt, or a request as a whole.
///
/// It is shown as `segment 5c1e07a2` or `request 91bd3f06e4402b7d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A shared prompt segment, by its id.
    Segment(u64),
    /// All requests with the same [`request_digest`].
    Request(u64),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Segment(id) => write!(f, "segment {id:x}"),
            Self::Request(digest) => write!(f, "request {digest:016x}"),
        }
    }
}

impl FromStr for Subject {
    type Err = UnknownSubject;

    /// Reads a subject as it is shown.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, id) = text.split_once(' ').ok_or(UnknownSubject)?;
        let id = u64::from_str_radix(id, 16).map_err(|_| UnknownSubject)?;
        match kind {
            "segment" => Ok(Self::Segment(id)),
            "request" => Ok(Self::Request(id)),
            _ => Err(UnknownSubject),
        }
    }
}

/// the text is not that of a subject
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct UnknownSubject;

impl std::error::Error for UnknownSubject {}

/// Returns the digest by which instances know a request that comes again: that of its host, path with query,
/// workspace and body.
///
/// Callers can't choose a request with the digest of another one, since SHA-256 can't be inverted; the
/// workspace keeps those of different callers apart. Framing, method and headers are left out.
#[must_use]
pub fn request_digest(host: &str, path: &str, workspace: &str, body: &[u8]) -> u64 {
    let mut digest = Sha256::new();
    for part in [host.as_bytes(), path.as_bytes(), workspace.as_bytes(), body] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    let digest: [u8; 32] = digest.finalize().into();
    digest
        .first_chunk()
        .map_or(0, |start| u64::from_le_bytes(*start))
}
