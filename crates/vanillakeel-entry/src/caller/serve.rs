//! The server for callers: accepts requests and handles each on a thread of its own.
//!
//! [`Shared`] is the state that these threads have in common with the control thread.

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

/// Delay after which a caller may retry when the instance is at its limit of requests, in ms.
const BUSY_RETRY_AFTER_MS: u64 = 500;

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) config: Config,
}

/// State shared by the threads of an instance.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) limits: Limits,
    pub(crate) key_window_ms: u64,
    /// Name of the instance with a random suffix, so that it differs after each restart.
    pub(crate) run_id: String,
    /// Channel to the control thread.
    pub(crate) tx: Sender<Input>,
    pub(crate) metrics: Metrics,
    /// Whether new requests are refused because the control thread has stopped.
    pub(crate) is_refusing: AtomicBool,
    /// Number of requests being handled.
    pub(crate) open_requests: AtomicUsize,
    /// Number of bodies being read.
    open_reads: AtomicUsize,
    last_request_id: AtomicU64,
    snapshot: RwLock<Arc<Snapshot>>,
}

impl Shared {
    pub(crate) fn new(
        run_id: String,
        limits: Limits,
        key_window_ms: u64,
        tx: Sender<Input>,
    ) -> Self {
        Self {
            clock: Clock::start(),
            limits,
            key_window_ms,
            run_id,
            tx,
            metrics: Metrics::default(),
            is_refusing: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            open_reads: AtomicUsize::new(0),
            last_request_id: AtomicU64::new(0),
            snapshot: RwLock::default(),
        }
    }

    pub(crate) fn next_request_id(&self) -> u64 {
        self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1
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

    /// Takes a slot for reading a body, or returns `None` if the limit is reached.
    pub(crate) fn acquire_read(&self) -> Option<CountGuard<'_>> {
        CountGuard::acquire(&self.open_reads, self.limits.concurrent_reads)
    }
}

/// A slot out of a limited number; dropping the guard frees it.
#[derive(Debug)]
pub(crate) struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn acquire(count: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let before = count.fetch_add(1, Ordering::SeqCst);
        let guard = Self(count);
        (before < limit).then_some(guard)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts the server and returns it with its address; its `unblock` ends the thread that accepts
/// requests.
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
                tracing::warn!(error = %e, "failed to start a thread for a request");
            }
        }
    });
    Ok((server, address))
}

/// Parses a request and serves it until its final answer.
fn handle(mut http: tiny_http::Request, shared: &Arc<Shared>) {
    let trace = Trace::from_header(parse::header(&http, "traceparent"));
    let span = tracing::info_span!("request", trace = trace.id());
    let _entered = span.enter();
    let Some(_open) = CountGuard::acquire(&shared.open_requests, shared.limits.concurrent_calls)
    else {
        let _ = refuse::refuse(http, &at_limit_refusal(), trace.id());
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
                .count_request("", bad.reason, Verdict::NotRun.as_str());
            let _ = refuse::bad(http, &bad, trace.id());
        }
    }
}

/// Returns the refusal of an instance that is at its limit of requests.
pub(super) const fn at_limit_refusal() -> Refusal {
    Refusal {
        retry_after_ms: BUSY_RETRY_AFTER_MS,
        ..Refusal::new(Verdict::NotRun, Reason::QueueFull)
    }
}
