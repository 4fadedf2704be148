//! Client of the platform's log service.
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
    io::Read as _,
    net::SocketAddr,
    time::Duration, //
};
use vanillakeel_http::{
    Method,
    client, //
};
use vanillakeel_wire::{
    Body,
    Message as _,
    decode,
    encode,
    generated::LogPage, //
};

/// Time beyond the wait after which a read is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which an append is given up.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest page in bytes.
const MAX_PAGE_BYTES: u64 = 64 << 20;

/// Records of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that the log holds.
    pub first: u64,
    /// The offset to read from next.
    pub next: u64,
    /// Whether the log held no more.
    pub is_end: bool,
    /// Records with their offsets; bytes that are no record are left out.
    pub records: Vec<(u64, Body)>,
}

/// Why the log gave no page.
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
    /// Makes a client of the service at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads a page from offset `from`; the service may hold it back for `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no answer or none that can be read.
    pub fn read(&self, from: u64, wait: Duration) -> Result<Page, Unavailable> {
        let wait_ms = wait.as_millis();
        let address = self.address;
        let url = format!("http://{address}/records?from={from}&wait_ms={wait_ms}");
        let answer = client(Method::GET, &url, wait + READ_TIMEOUT)
            .send()
            .map_err(|_| Unavailable)?;
        if !answer.is_success() {
            return Err(Unavailable);
        }
        let (_, _, reader) = answer.split();
        let mut bytes = Vec::new();
        reader
            .take(MAX_PAGE_BYTES)
            .read_to_end(&mut bytes)
            .map_err(|_| Unavailable)?;
        let page = LogPage::decode(bytes.as_slice()).map_err(|_| Unavailable)?;
        Ok(read_page(from, &page))
    }

    /// Appends a record; returns false if it is not known whether it was written.
    #[must_use]
    pub fn append(&self, body: &Body) -> bool {
        let url = format!("http://{}/append", self.address);
        client(Method::POST, &url, APPEND_TIMEOUT)
            .bytes(encode(body))
            .send()
            .is_ok_and(|answer| answer.is_success())
    }
}

fn read_page(from: u64, page: &LogPage) -> Page {
    let last = page.entries.last().map(|e| e.offset + 1);
    let next = last.unwrap_or(from.max(page.first));
    let records = page
        .entries
        .iter()
        .filter_map(|e| Some((e.offset, decode(&e.body).ok()?)));
    Page {
        first: page.first,
        next,
        is_end: next >= page.end,
        records: records.collect(),
    }
}
