//! Interface to the log from which an instance reads the routing configuration and the upstreams.
//!
//! The log has keyed topics: each record belongs to a key, and the newest record of a key replaces
//! the earlier ones. An adapter for a platform fills a [`LogAdapter`] with functions that access
//! its log and decode its records.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::{
    cell::Cell,
    fmt,
    rc::Rc, //
};
use vanillakeel::{
    fleet::ListedUpstream,
    routes::TableSpec, //
};

/// A keyed topic of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The routing configuration, published by operators.
    Configuration,
    /// The entries that upstreams write about themselves.
    Upstreams,
    /// The addresses at which instances reach each other.
    Peers,
    /// The lease for the platform's tasks, and what its holders have done.
    Duties,
    /// Digests of the keys that versions of the configuration have held.
    Keys,
}

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key that the record belongs to.
    pub key: String,
    /// Value of the record; `None` is a tombstone, which deletes the key.
    pub value: Option<Bytes>,
}

/// Records of a topic, and the position from which to continue reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records in ascending order.
    pub entries: Vec<Entry>,
    /// Offset after the last record, or the end of the topic when the newest records were read.
    pub next_offset: u64,
    /// Whether no record follows that the log had when it answered.
    pub is_up_to_date: bool,
    /// Key after which the next page starts, or `None` on the last page.
    pub continue_after: Option<String>,
    /// Era of the log; see [`Position`].
    pub era: u64,
}

/// A position in a topic.
///
/// The era of a log rises each time that the log comes back from an earlier copy of its contents.
/// Records that were written after the copy are then lost, and their offsets are given out again, so
/// an offset means nothing in a later era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Era in which the offset was given out.
    pub era: u64,
    /// Offset of the next record to read.
    pub offset: u64,
}

/// What came of an append under a condition that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    /// The records were appended, from `offset` on.
    Done {
        /// Era of the log; see [`Position`].
        era: u64,
        /// Offset of the first record.
        offset: u64,
        /// Offset after the last record.
        end_offset: u64,
    },
    /// Nothing was appended, as the topic ends at another offset.
    Moved {
        /// Era of the log; see [`Position`].
        era: u64,
        /// Offset after the last record of the topic.
        end_offset: u64,
    },
}

/// Reason why a call to the log failed.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum ReadError {
    /// the records asked for are no longer kept
    Compacted,
    /// the log refused the call: {0}
    Refused(String),
    /// no answer: {0}
    NoAnswer(String),
    /// the answer can't be read: {0}
    Malformed(String),
}

impl std::error::Error for ReadError {}

/// How much of the answers to a read has arrived, which the adapter updates as bytes arrive.
#[derive(Clone, Debug, Default)]
pub struct ReadProgress(Rc<Cell<u64>>);

impl ReadProgress {
    /// Returns the bytes that have arrived, of all pages together.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.get()
    }

    /// Adds bytes that have arrived.
    pub fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes as u64);
    }
}

/// Result of a read that is under way.
type PageFuture = LocalBoxFuture<'static, Result<Page, ReadError>>;

/// Reads one page of the newest records of a topic, starting after a key.
type ReadNewest = dyn Fn(Topic, Option<String>, ReadProgress) -> PageFuture;

/// Reads the records of a topic from an offset.
///
/// The third argument is the time for which the log waits for the first record, in ms.
type ReadFrom = dyn Fn(Topic, u64, u64, ReadProgress) -> PageFuture;

/// Writes the record of a key; an entry without a value deletes the key.
type WriteEntry = dyn Fn(Topic, Entry) -> LocalBoxFuture<'static, Result<(), ReadError>>;

/// Result of an append that is under way.
type AppendFuture = LocalBoxFuture<'static, Result<Appended, ReadError>>;

/// Appends entries, all or none, if the topic ends at the offset.
type AppendAt = dyn Fn(Topic, u64, Vec<Entry>) -> AppendFuture;

/// Functions that access the log of a platform and decode its records.
#[derive(Clone)]
pub struct LogAdapter {
    /// Reads the newest record of each key, page by page.
    pub read_newest: Rc<ReadNewest>,
    /// Reads the records from an offset on.
    pub read_from: Rc<ReadFrom>,
    /// Writes or deletes a record.
    pub write: Rc<WriteEntry>,
    /// Writes or deletes several records under a condition.
    pub append_at: Rc<AppendAt>,
    /// Closes all idle connections, so that the next call opens a new one.
    pub drop_idle: Rc<dyn Fn()>,
    /// Key of the record with the routing configuration.
    pub configuration_key: String,
    /// Decodes the routing configuration; an error names the field.
    pub decode_configuration: fn(&[u8]) -> Result<TableSpec, String>,
    /// Decodes the entry of an upstream from its key and value; an error names the field.
    pub decode_upstream: fn(&str, &[u8]) -> Result<ListedUpstream, String>,
}

impl fmt::Debug for LogAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogAdapter").finish_non_exhaustive()
    }
}

impl Default for LogAdapter {
    /// Creates an adapter whose functions always fail.
    fn default() -> Self {
        let fail = || ReadError::NoAnswer("no source is set".to_owned());
        Self {
            read_newest: Rc::new(move |_, _, _| Box::pin(async move { Err(fail()) })),
            read_from: Rc::new(move |_, _, _, _| Box::pin(async move { Err(fail()) })),
            write: Rc::new(move |_, _| Box::pin(async move { Err(fail()) })),
            append_at: Rc::new(move |_, _, _| Box::pin(async move { Err(fail()) })),
            drop_idle: Rc::new(|| ()),
            configuration_key: "configuration".to_owned(),
            decode_configuration: |_| Err("no source is set".to_owned()),
            decode_upstream: |_, _| Err("no source is set".to_owned()),
        }
    }
}
