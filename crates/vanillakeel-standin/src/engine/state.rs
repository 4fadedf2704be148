//! The engine's state, its step thread and its paths.

use super::{
    answer,
    orders, //
};
use crate::{
    Faults, Ledger,
    batch::{
        self,
        Batch,
        Step,
        Token, //
    },
    reply,
};
use crossbeam::channel::Sender;
use serde_json::json;
use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use tiny_http::Request;
use vanillakeel_http::{
    Server,
    query, //
};

/// How long the step thread sleeps when there is nothing to do.
const IDLE_SLEEP: Duration = Duration::from_micros(500);

/// Time between two load samples.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);

/// Load samples kept.
const MAX_SAMPLES: usize = 100;

/// Cache events kept; older ones are lost to readers.
const MAX_CACHE_EVENTS: usize = 256;

/// Settings of an [`Engine`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Batching.
    pub batch: batch::Settings,
    /// Models held at the start.
    pub models: Vec<String>,
    /// Lag of load reports, in ms.
    pub report_lag_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Where weights are fetched from; without it a load takes no time.
    pub weights: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch: batch::Settings::default(),
            models: Vec::new(),
            report_lag_ms: 500,
            checks_fencing: true,
            weights: None,
        }
    }
}

/// A sequence whose answer is being given.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) id: u64,
    pub(super) attempt: String,
    pub(super) tag: String,
    pub(super) out: Sender<Token>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) batch: Batch,
    pub(super) open: Vec<Open>,
    pub(super) last_id: u64,
    pub(super) models: Vec<String>,
    pub(super) loading: Option<String>,
    pub(super) fencing: u64,
    cache_events: VecDeque<(u64, u64, bool)>,
    last_event: u64,
    samples: VecDeque<(Instant, usize, usize)>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) inner: Mutex<Inner>,
    pub(super) faults: Faults,
    pub(super) ledger: Ledger,
    is_stopping: AtomicBool,
}

impl State {
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, such as for an address in use.
    pub fn start(address: SocketAddr, ledger: &Ledger, settings: Settings) -> io::Result<Self> {
        let inner = Inner {
            batch: Batch::new(settings.batch),
            open: Vec::new(),
            last_id: 0,
            models: settings.models.clone(),
            loading: None,
            fencing: 0,
            cache_events: VecDeque::new(),
            last_event: 0,
            samples: VecDeque::new(),
        };
        let state = Arc::new(State {
            settings,
            inner: Mutex::new(inner),
            faults: Faults::default(),
            ledger: ledger.clone(),
            is_stopping: AtomicBool::new(false),
        });
        let stepping = Arc::clone(&state);
        thread::spawn(move || run_steps(&stepping));
        let handling = Arc::clone(&state);
        let server = Server::start(address, move |req| handle(&handling, req))?;
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

    /// Sequences that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.lock().batch.running()
    }

    /// Completions taken so far.
    #[must_use]
    pub fn taken(&self) -> u64 {
        self.state.lock().last_id
    }

    /// Models that it holds.
    #[must_use]
    pub fn models(&self) -> Vec<String> {
        self.state.lock().models.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.state.is_stopping.store(true, Ordering::SeqCst);
    }
}

/// Makes steps until the engine stops, keeping to the time that each should take.
fn run_steps(state: &Arc<State>) {
    let mut next = Instant::now();
    while !state.is_stopping.load(Ordering::SeqCst) {
        let fault = state.faults.get();
        if fault.crashed {
            crash(state);
        }
        let step = if fault.crashed || fault.stalled {
            None
        } else {
            make_step(state)
        };
        sample(state);
        let Some(step) = step else {
            thread::sleep(IDLE_SLEEP);
            next = Instant::now();
            continue;
        };
        next += Duration::from_secs_f64(step.ms * fault.slowness.max(0.1) / 1_000.0);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        deliver(state, &step);
    }
    crash(state);
}

fn crash(state: &State) {
    let mut inner = state.lock();
    inner.batch.clear();
    inner.open.clear();
}

fn make_step(state: &State) -> Option<Step> {
    let mut inner = state.lock();
    if inner.batch.is_idle() {
        return None;
    }
    let step = inner.batch.step();
    for id in &step.started {
        if let Some(open) = inner.open.iter().find(|o| o.id == *id) {
            state.ledger.note_run(&open.tag);
        }
    }
    for (prefix, is_cached) in &step.cached {
        inner.last_event += 1;
        let number = inner.last_event;
        inner.cache_events.push_back((number, *prefix, *is_cached));
    }
    while inner.cache_events.len() > MAX_CACHE_EVENTS {
        inner.cache_events.pop_front();
    }
    Some(step)
}

/// Hands tokens to the threads that answer; those of callers that have gone are cancelled.
fn deliver(state: &State, step: &Step) {
    state.ledger.note_tokens(step.tokens.len() as u64);
    let mut inner = state.lock();
    for token in &step.tokens {
        let at = inner.open.iter().position(|o| o.id == token.id);
        let Some(at) = at else { continue };
        let is_taken = inner.open[at].out.send(*token).is_ok();
        if !is_taken || token.is_last {
            inner.open.remove(at);
        }
        if !is_taken {
            inner.batch.cancel(token.id);
        }
    }
}

fn sample(state: &State) {
    let mut inner = state.lock();
    let is_due = inner
        .samples
        .back()
        .is_none_or(|s| s.0.elapsed() >= SAMPLE_EVERY);
    if is_due {
        let (running, waiting) = (inner.batch.running(), inner.batch.waiting());
        inner.samples.push_back((Instant::now(), running, waiting));
    }
    if inner.samples.len() > MAX_SAMPLES {
        inner.samples.pop_front();
    }
}

fn handle(state: &Arc<State>, mut req: Request) {
    let path = req.url().to_owned();
    match path.split('?').next().unwrap_or("") {
        "/faults" => reply::set_faults(req, &state.faults),
        // Dropping the writer ends the connection without an answer.
        _ if state.faults.get().crashed => drop(req.into_writer()),
        "/v1/chat/completions" | "/v1/completions" => answer::completion(state, req),
        "/load" => load(state, req),
        "/cache-events" => cache_events(state, req, &path),
        "/orders" => orders::handle(state, req),
        "/cancel" => {
            let attempt = String::from_utf8_lossy(&reply::body(&mut req)).into_owned();
            cancel(state, &attempt);
            reply::text(req, 200, "cancelled\n");
        }
        _ => reply::text(req, 404, "no such path\n"),
    }
}

fn cancel(state: &State, attempt: &str) {
    let mut inner = state.lock();
    let at = inner.open.iter().position(|o| o.attempt == attempt);
    if let Some(at) = at {
        let open = inner.open.remove(at);
        inner.batch.cancel(open.id);
    }
}

fn load(state: &State, req: Request) {
    let lag = Duration::from_millis(state.settings.report_lag_ms);
    let inner = state.lock();
    let old = inner.samples.iter().rev().find(|s| s.0.elapsed() >= lag);
    let (running, waiting) = old.map_or((0, 0), |s| (s.1, s.2));
    let body = json!({
        "running": running,
        "waiting": waiting,
        "models": inner.models,
        "loading": inner.loading,
    });
    drop(inner);
    reply::json(req, 200, &body);
}

fn cache_events(state: &State, req: Request, path: &str) {
    let from = query(path, "from").and_then(|v| v.parse::<u64>().ok());
    let inner = state.lock();
    let newer = inner
        .cache_events
        .iter()
        .filter(|e| e.0 >= from.unwrap_or(0));
    let events: Vec<_> = newer
        .map(|e| json!({"prefix": format!("{:016x}", e.1), "cached": e.2}))
        .collect();
    let body = json!({"next": inner.last_event + 1, "events": events});
    drop(inner);
    reply::json(req, 200, &body);
}
