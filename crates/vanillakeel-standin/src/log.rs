//! Stand-in for the log service: append, read from an offset, retention, outages.
//!
//! `POST /append` with a body answers the offset in decimal. `GET /records?from=N&wait_ms=W`
//! answers a page of up to 512 records as a protobuf message, and waits up to `W` ms for one.
//! An answer other than 200 says nothing on whether an append took effect.

use crate::{
    Faults,
    reply, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use tiny_http::{
    Method,
    Request, //
};
use vanillakeel_http::{
    Server,
    query, //
};
use vanillakeel_wire::{
    Message as _,
    generated::{
        LogEntry,
        LogPage, //
    },
};

/// Most records on a page.
const PAGE_RECORDS: usize = 512;

/// Longest wait for a record, in ms.
const MAX_WAIT_MS: u64 = 10_000;

/// Settings of a [`Log`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Records are kept this long, in ms.
    pub retention_ms: u64,
    /// Appends taken a second; more are refused.
    pub appends_per_s: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention_ms: 60 * 60 * 1_000,
            appends_per_s: 400,
        }
    }
}

#[derive(Debug, Default)]
struct Records {
    first: u64,
    kept: Vec<(Instant, Vec<u8>)>,
    appends: u64,
    second: Option<(Instant, u32)>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    records: Mutex<Records>,
    grown: Condvar,
    faults: Faults,
}

/// The log service.
#[derive(Debug)]
pub struct Log {
    server: Server,
    state: Arc<State>,
}

impl Log {
    /// Starts a log at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, such as for an address in use.
    pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let state = Arc::new(State {
            settings,
            records: Mutex::default(),
            grown: Condvar::new(),
            faults: Faults::default(),
        });
        let inner = Arc::clone(&state);
        let server = Server::start(address, move |req| inner.handle(req))?;
        Ok(Self { server, state })
    }

    /// The address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults it has.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Appends taken so far.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.state.lock().appends
    }

    /// Drops all records before `offset`, as retention does.
    pub fn trim(&self, offset: u64) {
        let mut records = self.state.lock();
        let gone = offset.saturating_sub(records.first) as usize;
        let gone = gone.min(records.kept.len());
        records.kept.drain(..gone);
        records.first += gone as u64;
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, req: Request) {
        let path = req.url().to_owned();
        if path == "/faults" {
            reply::set_faults(req, &self.faults);
            return;
        }
        let fault = self.faults.get();
        thread::sleep(Duration::from_millis(fault.slow_ms));
        if fault.outage {
            reply::text(req, 503, "outage\n");
        } else if path == "/append" && *req.method() == Method::Post {
            self.append(req);
        } else if path.starts_with("/records") {
            self.read(req, &path);
        } else {
            reply::text(req, 404, "no such path\n");
        }
    }

    fn append(&self, mut req: Request) {
        let body = reply::body(&mut req);
        let Some(offset) = self.store(body) else {
            reply::text(req, 429, "too many appends\n");
            return;
        };
        if self.faults.loses_answer() {
            reply::text(req, 504, "the answer is lost\n");
        } else {
            reply::text(req, 200, &offset.to_string());
        }
    }

    fn store(&self, body: Vec<u8>) -> Option<u64> {
        let now = Instant::now();
        let mut records = self.lock();
        let (since, count) = records.second.unwrap_or((now, 0));
        let is_same = now.duration_since(since) < Duration::from_secs(1);
        if is_same && count >= self.settings.appends_per_s {
            return None;
        }
        records.second = Some(if is_same {
            (since, count + 1)
        } else {
            (now, 1)
        });
        let kept_for = Duration::from_millis(self.settings.retention_ms);
        let old = records
            .kept
            .partition_point(|r| now.duration_since(r.0) > kept_for);
        records.kept.drain(..old);
        records.first += old as u64;
        records.kept.push((now, body));
        records.appends += 1;
        self.grown.notify_all();
        Some(records.first + records.kept.len() as u64 - 1)
    }

    fn read(&self, req: Request, path: &str) {
        let number = |key: &str| query(path, key).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let wait_ms = number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let page = self.page(from, Duration::from_millis(wait_ms));
        reply::bytes(req, &page.encode_to_vec());
    }

    fn page(&self, from: u64, wait: Duration) -> LogPage {
        let is_empty = |r: &mut Records| r.first + r.kept.len() as u64 <= from;
        let records = self.lock();
        let (records, _) = self
            .grown
            .wait_timeout_while(records, wait, is_empty)
            .unwrap_or_else(PoisonError::into_inner);
        let start = from.max(records.first);
        let skip = (start - records.first) as usize;
        let entries = records.kept.iter().skip(skip).take(PAGE_RECORDS);
        LogPage {
            first: records.first,
            end: records.first + records.kept.len() as u64,
            entries: entries
                .zip(start..)
                .map(|(record, offset)| LogEntry {
                    offset,
                    body: record.1.clone(),
                })
                .collect(),
        }
    }
}
