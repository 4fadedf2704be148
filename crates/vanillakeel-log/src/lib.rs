//! Client of the platform's log service.
//!
//! [`Client::append`] writes a record and [`Client::read`] reads a page of records from an offset,
//! as a long poll if a wait is given. Records are protobuf messages of `vanillakeel_wire`.
//!
//! ```no_run
//! use std::time::Duration;
//! use vanillakeel_log::Client;
//!
//! let log = Client::new("127.0.0.1:7001".parse()?);
//! let page = log.read(0, Duration::ZERO);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use std::{
    net::SocketAddr,
    time::Duration, //
};
use vanillakeel_http::{
    Body,
    Method,
    request, //
};
use vanillakeel_wire::{
    Message as _,
    RecordBody,
    decode,
    encode,
    generated::LogPage, //
};

/// Time that a read may take in addition to the wait of its long poll.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

/// Time after which an append without a response is given up.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest page that is read; bounds the memory of a response.
const MAX_PAGE_BYTES: usize = 64 << 20;

/// A page of records of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest record that the log still holds.
    pub first_offset: u64,
    /// Offset from which the next page is to be read.
    pub next_offset: u64,
    /// Whether the log had no records after this page.
    pub is_end: bool,
    /// Records with their offsets; entries that can't be decoded are left out.
    pub records: Vec<(u64, RecordBody)>,
}

/// The error of a read: the log service did not return a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

impl std::fmt::Display for Unavailable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the log service gave no answer")
    }
}

impl std::error::Error for Unavailable {}

/// A client of the log service.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// Returns a client of the log service at `address`; it connects for each call.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads a page of records from offset `from`.
    ///
    /// The service answers at once if it has records, and otherwise waits for one for up to `wait`
    /// (long poll).
    ///
    /// # Errors
    ///
    /// Returns an error if there was no response, an error status, or a page that is cut or can't be
    /// decoded. A page has to have a length or come in chunks.
    pub fn read(&self, from: u64, wait: Duration) -> Result<Page, Unavailable> {
        let wait_ms = wait.as_millis();
        let address = self.address;
        let url = format!("http://{address}/records?from={from}&wait_ms={wait_ms}");
        let response = request(Method::GET, &url, wait + READ_TIMEOUT_MARGIN)
            .send()
            .map_err(|_| Unavailable)?;
        if !response.is_success() {
            return Err(Unavailable);
        }
        let (_, _, body) = Body::split(response);
        // A page that is cut between two entries can be decoded, as one with fewer entries.
        if !body.is_framed() {
            return Err(Unavailable);
        }
        let bytes = body.into_bytes(MAX_PAGE_BYTES).map_err(|_| Unavailable)?;
        let page = LogPage::decode(bytes.as_slice()).map_err(|_| Unavailable)?;
        Ok(decode_page(from, &page))
    }

    /// Appends a record; returns false if it is unknown whether the record was written.
    #[must_use]
    pub fn append(&self, body: &RecordBody) -> bool {
        let url = format!("http://{}/append", self.address);
        request(Method::POST, &url, APPEND_TIMEOUT)
            .bytes(encode(body))
            .send()
            .is_ok_and(|response| response.is_success())
    }
}

/// Decodes the entries of `page`, which was read from offset `from`.
fn decode_page(from: u64, page: &LogPage) -> Page {
    let after_last = page.entries.last().map(|e| e.offset + 1);
    let next_offset = after_last.unwrap_or(from.max(page.first));
    let records = page
        .entries
        .iter()
        .filter_map(|e| Some((e.offset, decode(&e.body).ok()?)));
    Page {
        first_offset: page.first,
        next_offset,
        is_end: next_offset >= page.end,
        records: records.collect(),
    }
}
