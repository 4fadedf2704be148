//! Stand-in for the log service: appends, long-poll reads from an offset, retention, faults.
//!
//! `POST /append` appends its body as a record and answers its offset in decimal. A status other
//! than 200 does not tell whether the append took effect.
//!
//! `GET /records?from=N&wait_ms=W` answers a page of up to 512 records from offset `N` as a
//! protobuf message. If there is none, it waits up to `W` ms for a record (long poll).

use crate::{
    FaultInjector,
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
    query_value, //
};
use vanillakeel_wire::{
    Message as _,
    generated::{
        LogEntry,
        LogPage, //
    },
};

/// Largest number of records on a page.
const MAX_PAGE_RECORDS: usize = 512;

/// Longest wait of a long poll, in ms; longer ones are shortened.
const MAX_WAIT_MS: u64 = 10_000;

/// Settings of a [`LogService`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time for which a record is kept, in ms. Old records are removed by the next append.
    pub retention_ms: u64,
    /// Largest number of appends per second; further ones are refused.
    pub max_appends_per_s: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention_ms: 60 * 60 * 1_000,
            max_appends_per_s: 400,
        }
    }
}

#[derive(Debug, Default)]
struct Records {
    /// Offset of the first retained record.
    first_offset: u64,
    /// Records with the times of their appends.
    retained: Vec<(Instant, Vec<u8>)>,
    /// Number of appends that took effect.
    appends: u64,
    /// Start of the current second of the rate limit, and the appends in it.
    rate_window: Option<(Instant, u32)>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    records: Mutex<Records>,
    /// Notified after each append, for the long polls.
    appended: Condvar,
    faults: FaultInjector,
}

/// A running stand-in of the log service.
#[derive(Debug)]
pub struct LogService {
    server: Server,
    state: Arc<State>,
}

impl LogService {
    /// Starts a log service that listens at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example if the address is in use.
    pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let state = Arc::new(State {
            settings,
            records: Mutex::default(),
            appended: Condvar::new(),
            faults: FaultInjector::default(),
        });
        let handler_state = Arc::clone(&state);
        let server = Server::start(address, move |req| handler_state.handle(req))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the log service listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault injector of the log service.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.state.faults
    }

    /// Returns the number of appends that took effect so far.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.state.lock().appends
    }

    /// Removes all records before `offset`, as retention does.
    pub fn trim(&self, offset: u64) {
        let mut records = self.state.lock();
        let trimmed = offset.saturating_sub(records.first_offset) as usize;
        let trimmed = trimmed.min(records.retained.len());
        records.retained.drain(..trimmed);
        records.first_offset += trimmed as u64;
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Dispatches a request by its path.
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

    /// Handles `POST /append`.
    fn append(&self, mut req: Request) {
        let body = reply::read_body(&mut req);
        let Some(offset) = self.append_record(body) else {
            reply::text(req, 429, "too many appends\n");
            return;
        };
        if self.faults.take_lost_answer() {
            reply::text(req, 504, "the answer is lost\n");
        } else {
            reply::text(req, 200, &offset.to_string());
        }
    }

    /// Appends a record and returns its offset; `None` if the rate limit is reached.
    fn append_record(&self, body: Vec<u8>) -> Option<u64> {
        let now = Instant::now();
        let mut records = self.lock();
        let (window_start, count) = records.rate_window.unwrap_or((now, 0));
        let is_in_window = now.duration_since(window_start) < Duration::from_secs(1);
        if is_in_window && count >= self.settings.max_appends_per_s {
            return None;
        }
        records.rate_window = Some(if is_in_window {
            (window_start, count + 1)
        } else {
            (now, 1)
        });
        let retention = Duration::from_millis(self.settings.retention_ms);
        let expired = records
            .retained
            .partition_point(|r| now.duration_since(r.0) > retention);
        records.retained.drain(..expired);
        records.first_offset += expired as u64;
        records.retained.push((now, body));
        records.appends += 1;
        self.appended.notify_all();
        Some(records.first_offset + records.retained.len() as u64 - 1)
    }

    /// Handles `GET /records`.
    fn read(&self, req: Request, path: &str) {
        let query_number = |key: &str| query_value(path, key).and_then(|v| v.parse::<u64>().ok());
        let from = query_number("from").unwrap_or(0);
        let wait_ms = query_number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let page = self.wait_for_page(from, Duration::from_millis(wait_ms));
        reply::bytes(req, &page.encode_to_vec());
    }

    /// Returns the records from offset `from`; if there is none, waits up to `wait` for one.
    fn wait_for_page(&self, from: u64, wait: Duration) -> LogPage {
        let is_empty = |r: &mut Records| r.first_offset + r.retained.len() as u64 <= from;
        let records = self.lock();
        let (records, _) = self
            .appended
            .wait_timeout_while(records, wait, is_empty)
            .unwrap_or_else(PoisonError::into_inner);
        let start = from.max(records.first_offset);
        let skip = (start - records.first_offset) as usize;
        let entries = records.retained.iter().skip(skip).take(MAX_PAGE_RECORDS);
        LogPage {
            first: records.first_offset,
            end: records.first_offset + records.retained.len() as u64,
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
