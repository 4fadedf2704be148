//! Accepting requests, each on a thread of its own.

use super::{
    answer, parse,
    refuse::{
        self,
        BadRequest, //
    },
};
use crate::{
    message::Input,
    metrics::Metrics,
    settings::Limits,
    time::Clock,
    trace::Trace, //
};
use crossbeam::channel::Sender;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
};
use vanillakeel::{
    Config,
    Reason,
    Refusal,
    Verdict,
    config_log::Version, //
};
use vanillakeel_http::listen;

/// When a caller may come back to an instance that has no room, in ms.
const BUSY_RETRY_AFTER_MS: u64 = 500;

/// The text in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) text: Config,
}

/// What the threads of requests share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) limits: Limits,
    pub(crate) key_window_ms: u64,
    /// Name of this run of the instance, unique over restarts.
    pub(crate) boot: String,
    pub(crate) tx: Sender<Input>,
    pub(crate) metrics: Metrics,
    /// Whether new requests are refused, since the instance has stopped.
    pub(crate) is_refusing: AtomicBool,
    pub(crate) open: AtomicUsize,
    reading: AtomicUsize,
    last_request: AtomicU64,
    snapshot: RwLock<Arc<Snapshot>>,
}

impl Shared {
    pub(crate) fn new(boot: String, limits: Limits, key_window_ms: u64, tx: Sender<Input>) -> Self {
        Self {
            clock: Clock::start(),
            limits,
            key_window_ms,
            boot,
            tx,
            metrics: Metrics::default(),
            is_refusing: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            reading: AtomicUsize::new(0),
            last_request: AtomicU64::new(0),
            snapshot: RwLock::default(),
        }
    }

    pub(crate) fn next_request(&self) -> u64 {
        self.last_request.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshot.read();
        Arc::clone(&snapshot.unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn set_snapshot(&self, snapshot: Snapshot) {
        let mut slot = self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *slot = Arc::new(snapshot);
    }

    /// Counts a body that is being read; none if too many are.
    pub(crate) fn begin_read(&self) -> Option<Counted<'_>> {
        Counted::begin(&self.reading, self.limits.concurrent_reads)
    }
}

/// One of a bounded number, given back when dropped.
#[derive(Debug)]
pub(crate) struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn begin(count: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let before = count.fetch_add(1, Ordering::SeqCst);
        let counted = Self(count);
        (before < limit).then_some(counted)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts to accept requests; returns the server, whose `unblock` ends it, and its address.
pub(crate) fn spawn(
    address: SocketAddr,
    shared: &Arc<Shared>,
) -> io::Result<(Arc<tiny_http::Server>, SocketAddr)> {
    let server = Arc::new(listen(address)?);
    let address = server.server_addr().to_ip().unwrap_or(address);
    let (inner, shared) = (Arc::clone(&server), Arc::clone(shared));
    thread::spawn(move || {
        while let Ok(http) = inner.recv() {
            let shared = Arc::clone(&shared);
            let spawned = thread::Builder::new().spawn(move || handle(http, &shared));
            if let Err(e) = spawned {
                tracing::warn!(error = %e, "no thread for a request");
            }
        }
    });
    Ok((server, address))
}

/// Reads a request and sees it through to its final answer.
fn handle(mut http: tiny_http::Request, shared: &Arc<Shared>) {
    let trace = Trace::from_header(parse::header(&http, "traceparent"));
    let span = tracing::info_span!("request", trace = trace.id());
    let _entered = span.enter();
    let Some(_open) = Counted::begin(&shared.open, shared.limits.concurrent_calls) else {
        let _ = refuse::refuse(http, &no_room(), trace.id());
        return;
    };
    if shared.is_refusing.load(Ordering::Relaxed) {
        let refusal = Refusal::new(Verdict::NotRun, Reason::Stopping);
        let _ = refuse::refuse(http, &refusal, trace.id());
        return;
    }
    let snapshot = shared.snapshot();
    let parsed = if snapshot.version == 0 {
        Err(BadRequest::new(503, "not_ready", "no text is in force yet"))
    } else {
        let span = tracing::info_span!("read");
        let _entered = span.enter();
        parse::parse(&mut http, shared, &snapshot)
    };
    match parsed {
        Ok(parsed) => answer::serve(http, parsed, shared, &trace),
        Err(bad) => {
            shared
                .metrics
                .on_ending("", bad.reason, Verdict::NotRun.as_str());
            let _ = refuse::bad(http, &bad, trace.id());
        }
    }
}

/// The refusal of an instance that has no room for another request.
pub(super) const fn no_room() -> Refusal {
    Refusal {
        retry_after_ms: BUSY_RETRY_AFTER_MS,
        ..Refusal::new(Verdict::NotRun, Reason::QueueFull)
    }
}
