//! Where an instance reads the routing configuration and the upstreams from.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::{
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
    /// What the operator publishes.
    Configuration,
    /// What upstreams say of themselves.
    Upstreams,
    /// Where instances reach each other.
    Peers,
}

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key that it is about.
    pub key: String,
    /// What it says; without a value the key is dropped.
    pub value: Option<Bytes>,
}

/// Records of a topic, and where to read on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records in ascending order.
    pub entries: Vec<Entry>,
    /// Offset after the last of them, or the end of the topic when newest records were asked for.
    pub next: u64,
    /// Key to continue after, if there are more.
    pub more_after: Option<String>,
}

/// Why a read failed.
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

/// Reads the newest records of a topic after a key.
type Newest = dyn Fn(Topic, Option<String>) -> LocalBoxFuture<'static, Result<Page, ReadError>>;

/// Reads the records of a topic from an offset; waits so many ms for the first one.
type Tail = dyn Fn(Topic, u64, u64) -> LocalBoxFuture<'static, Result<Page, ReadError>>;

/// Writes the record of a key, or drops the key.
type Write = dyn Fn(Topic, Entry) -> LocalBoxFuture<'static, Result<(), ReadError>>;

/// Functions that read and decode what a platform keeps.
#[derive(Clone)]
pub struct Source {
    /// Newest record of each key, by pages.
    pub newest: Rc<Newest>,
    /// Records from an offset on.
    pub tail: Rc<Tail>,
    /// Writes a record.
    pub write: Rc<Write>,
    /// Key of the routing configuration.
    pub configuration_key: String,
    /// Reads the routing configuration; an error names the field.
    pub configuration: fn(&[u8]) -> Result<TableSpec, String>,
    /// Reads what an upstream says of itself; an error names the field.
    pub upstream: fn(&str, &[u8]) -> Result<ListedUpstream, String>,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

impl Default for Source {
    /// A source that is never reached.
    fn default() -> Self {
        let fail = || ReadError::NoAnswer("no source is set".to_owned());
        Self {
            newest: Rc::new(move |_, _| Box::pin(async move { Err(fail()) })),
            tail: Rc::new(move |_, _, _| Box::pin(async move { Err(fail()) })),
            write: Rc::new(move |_, _| Box::pin(async move { Err(fail()) })),
            configuration_key: "configuration".to_owned(),
            configuration: |_| Err("no source is set".to_owned()),
            upstream: |_, _| Err("no source is set".to_owned()),
        }
    }
}
