//! Trace ids, read from the header `traceparent` and propagated in it.

use uuid::Uuid;

/// Length of a `traceparent` header of version 00, in bytes.
const TRACEPARENT_BYTES: usize = 55;

/// The trace that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Trace {
    id: String,
}

impl Trace {
    /// Returns the trace of a header, or a new one if the header is missing or invalid.
    pub(crate) fn from_header(header: Option<&str>) -> Self {
        let id = header.and_then(parse);
        Self {
            id: id.unwrap_or_else(|| Uuid::new_v4().simple().to_string()),
        }
    }

    /// Returns the trace id as 32 hexadecimal digits.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Returns a header with a new span id, for the next hop.
    pub(crate) fn child_header(&self) -> String {
        let span = Uuid::new_v4().as_u128() as u64;
        format!("00-{}-{span:016x}-01", self.id)
    }
}

/// Returns the trace id of a header, or `None` if the header is invalid.
fn parse(header: &str) -> Option<String> {
    let mut parts = header.split('-');
    let version = parts.next()?;
    let id = parts.next()?;
    let is_hex = id.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let is_zero = id.bytes().all(|b| b == b'0');
    let fits = header.len() == TRACEPARENT_BYTES && version == "00" && id.len() == 32;
    (fits && is_hex && !is_zero).then(|| id.to_owned())
}
