//! The engine's state, the thread that runs its steps, and the handlers of its paths.

use super::{
    answer,
    orders, //
};
use crate::{
    FaultInjector, RunCounts,
    batch::{
        self,
        BatchScheduler,
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
    path::PathBuf,
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
    query_value, //
};

/// Time that the step thread sleeps while there are no sequences.
const IDLE_SLEEP: Duration = Duration::from_micros(500);

/// Time between two load samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of load samples that are kept, which cover about 10 s; if the lag of load reports is
/// longer, they find no sample and show no load.
const MAX_LOAD_SAMPLES: usize = 100;

/// Number of cache events that are kept; a reader that falls further behind misses events.
const MAX_CACHE_EVENTS: usize = 256;

/// Settings of an [`Engine`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Settings of the continuous batching.
    pub batch: batch::Settings,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Lag of load reports, in ms.
    pub report_lag_ms: u64,
    /// Whether commands with a stale fencing token are refused.
    pub checks_fencing: bool,
    /// Address of the weight store; without it, a load takes no time.
    pub weight_store: Option<SocketAddr>,
    /// File with the rate limit that is named; it is read for each answer, and an empty one names none.
    pub rate_file: Option<PathBuf>,
    /// Rate limit in requests a second, and the number of waiting sequences above which it is named.
    pub rate_above_waiting: Option<(f64, usize)>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch: batch::Settings::default(),
            models: Vec::new(),
            report_lag_ms: 500,
            checks_fencing: true,
            weight_store: None,
            rate_file: None,
            rate_above_waiting: None,
        }
    }
}

/// A completion whose sequence waits or runs.
#[derive(Debug)]
pub(super) struct ActiveCompletion {
    pub(super) id: u64,
    pub(super) attempt_id: String,
    pub(super) tag: String,
    pub(super) token_sender: Sender<Token>,
}

/// The part of the state that steps and requests change.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) scheduler: BatchScheduler,
    pub(super) active: Vec<ActiveCompletion>,
    pub(super) last_sequence_id: u64,
    pub(super) models: Vec<String>,
    /// The model that is being loaded, if any.
    pub(super) loading: Option<String>,
    /// The highest fencing token of a command so far.
    pub(super) highest_fencing_token: u64,
    /// Event number, hash of the prefix, and whether it was added (true) or evicted (false).
    cache_events: VecDeque<(u64, u64, bool)>,
    last_event_number: u64,
    /// Time, running sequences and waiting sequences.
    load_samples: VecDeque<(Instant, usize, usize)>,
}

/// The state that the step thread and the request threads share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) inner: Mutex<Inner>,
    pub(super) faults: FaultInjector,
    pub(super) run_counts: RunCounts,
    is_stopping: AtomicBool,
}

impl State {
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running stand-in of a model engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine that listens at `address`; it records its runs and tokens in `run_counts`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example if the address is in use.
    pub fn start(
        address: SocketAddr,
        run_counts: &RunCounts,
        settings: Settings,
    ) -> io::Result<Self> {
        let inner = Inner {
            scheduler: BatchScheduler::new(settings.batch),
            active: Vec::new(),
            last_sequence_id: 0,
            models: settings.models.clone(),
            loading: None,
            highest_fencing_token: 0,
            cache_events: VecDeque::new(),
            last_event_number: 0,
            load_samples: VecDeque::new(),
        };
        let state = Arc::new(State {
            settings,
            inner: Mutex::new(inner),
            faults: FaultInjector::default(),
            run_counts: run_counts.clone(),
            is_stopping: AtomicBool::new(false),
        });
        let step_state = Arc::clone(&state);
        thread::spawn(move || run_step_loop(&step_state));
        let handler_state = Arc::clone(&state);
        let server = Server::start(address, move |req| handle(&handler_state, req))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the engine listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault injector of the engine.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.state.faults
    }

    /// Returns the number of running sequences.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.lock().scheduler.running()
    }

    /// Returns the number of completions that were received so far.
    ///
    /// This includes completions that were refused because the queue was full. It does not include
    /// malformed ones, those for models that are not loaded, and those with no token left to send.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.state.lock().last_sequence_id
    }

    /// Returns the loaded models.
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

/// Runs steps until the engine stops.
///
/// The sleeps follow a schedule of absolute times, so that the overhead of a step does not add up.
fn run_step_loop(state: &Arc<State>) {
    let mut step_end = Instant::now();
    while !state.is_stopping.load(Ordering::SeqCst) {
        let fault = state.faults.get();
        if fault.crashed {
            drop_sequences(state);
        }
        let step = if fault.crashed || fault.stalled {
            None
        } else {
            run_step(state)
        };
        sample_load(state);
        let Some(step) = step else {
            thread::sleep(IDLE_SLEEP);
            step_end = Instant::now();
            continue;
        };
        step_end += Duration::from_secs_f64(step.duration_ms * fault.slowness.max(0.1) / 1_000.0);
        thread::sleep(step_end.saturating_duration_since(Instant::now()));
        deliver_tokens(state, &step);
    }
    drop_sequences(state);
}

/// Drops all sequences and the prefix cache, as a crash does; their answers are aborted.
fn drop_sequences(state: &State) {
    let mut inner = state.lock();
    inner.scheduler.clear();
    inner.active.clear();
}

/// Runs one step and records what it started and cached; returns `None` if there is nothing to do.
fn run_step(state: &State) -> Option<Step> {
    let mut inner = state.lock();
    if inner.scheduler.is_idle() {
        return None;
    }
    let step = inner.scheduler.step();
    for id in &step.started {
        if let Some(completion) = inner.active.iter().find(|c| c.id == *id) {
            state.run_counts.record_run(&completion.tag);
        }
    }
    for (prefix, is_cached) in &step.cache_changes {
        inner.last_event_number += 1;
        let number = inner.last_event_number;
        inner.cache_events.push_back((number, *prefix, *is_cached));
    }
    while inner.cache_events.len() > MAX_CACHE_EVENTS {
        inner.cache_events.pop_front();
    }
    Some(step)
}

/// Sends tokens to the threads that write the answers, and cancels the sequences of callers that
/// have disconnected.
fn deliver_tokens(state: &State, step: &Step) {
    state.run_counts.record_tokens(step.tokens.len() as u64);
    let mut inner = state.lock();
    for token in &step.tokens {
        let at = inner.active.iter().position(|c| c.id == token.id);
        let Some(at) = at else { continue };
        let is_received = inner.active[at].token_sender.send(*token).is_ok();
        if !is_received || token.is_last {
            inner.active.remove(at);
        }
        if !is_received {
            inner.scheduler.cancel(token.id);
        }
    }
}

/// Takes a load sample if the last one is old enough.
fn sample_load(state: &State) {
    let mut inner = state.lock();
    let is_due = inner
        .load_samples
        .back()
        .is_none_or(|s| s.0.elapsed() >= SAMPLE_INTERVAL);
    if is_due {
        let (running, waiting) = (inner.scheduler.running(), inner.scheduler.waiting());
        inner
            .load_samples
            .push_back((Instant::now(), running, waiting));
    }
    if inner.load_samples.len() > MAX_LOAD_SAMPLES {
        inner.load_samples.pop_front();
    }
}

/// Dispatches a request to the handler of its path.
fn handle(state: &Arc<State>, mut req: Request) {
    let path = req.url().to_owned();
    match path.split('?').next().unwrap_or("") {
        "/faults" => reply::set_faults(req, &state.faults),
        // Dropping the writer closes the connection without a response.
        _ if state.faults.get().crashed => drop(req.into_writer()),
        "/v1/chat/completions" | "/v1/completions" => answer::handle(state, req),
        "/load" => send_load_report(state, req),
        "/cache-events" => send_cache_events(state, req, &path),
        "/orders" => orders::handle(state, req),
        "/cancel" => {
            let attempt_id = String::from_utf8_lossy(&reply::read_body(&mut req)).into_owned();
            cancel(state, &attempt_id);
            reply::text(req, 200, "cancelled\n");
        }
        _ => reply::text(req, 404, "no such path\n"),
    }
}

/// Cancels the completion of an attempt, if it is active; its answer is aborted.
fn cancel(state: &State, attempt_id: &str) {
    let mut inner = state.lock();
    let at = inner.active.iter().position(|c| c.attempt_id == attempt_id);
    if let Some(at) = at {
        let completion = inner.active.remove(at);
        inner.scheduler.cancel(completion.id);
    }
}

/// Sends the newest load sample that is at least as old as the lag of reports.
fn send_load_report(state: &State, req: Request) {
    let lag = Duration::from_millis(state.settings.report_lag_ms);
    let inner = state.lock();
    let old = inner
        .load_samples
        .iter()
        .rev()
        .find(|s| s.0.elapsed() >= lag);
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

/// Sends the kept cache events from the number `from` of the query.
fn send_cache_events(state: &State, req: Request, path: &str) {
    let from = query_value(path, "from").and_then(|v| v.parse::<u64>().ok());
    let inner = state.lock();
    let newer = inner
        .cache_events
        .iter()
        .filter(|e| e.0 >= from.unwrap_or(0));
    let events: Vec<_> = newer
        .map(|e| json!({"prefix": format!("{:016x}", e.1), "cached": e.2}))
        .collect();
    let body = json!({"next": inner.last_event_number + 1, "events": events});
    drop(inner);
    reply::json(req, 200, &body);
}
