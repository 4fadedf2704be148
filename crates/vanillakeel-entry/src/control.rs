//! The control thread, which owns all decisions of an instance.
//!
//! [`Control::run`] receives an [`Input`] from the other threads, passes it to the state machines of
//! the library (router, claims, configuration replica, lease, placement) and performs the actions
//! that they return: it sends a [`Command`] to the thread of a request, and log records, commands to
//! upstreams and peer messages through [`Outputs`]. It does no network I/O itself.

mod agreed;
mod notices;
mod peers;
mod placing;
mod rates;
mod requests;
mod status;

use crate::{
    caller::Shared,
    message::{
        Command,
        Input,
        Progress, //
    },
    metrics::Metrics,
    peer::Outgoing,
    platform::{
        Append,
        PollTarget,
        UpstreamCommand, //
    },
    settings::Settings,
    time::wall_ms,
};
use crossbeam::channel::{
    Receiver,
    RecvTimeoutError,
    Sender, //
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};
use tokio::sync::mpsc;
use vanillakeel::{
    Config, Millis, Reason, Refusal, Request, Router, admission,
    claim::{
        self,
        Claims, //
    },
    config_log::ConfigReplica,
    lease::{
        self,
        Lease, //
    },
    membership::Membership,
    order::{
        self,
        Random, //
    },
    placement::{
        self,
        Observed,
        Placement, //
    },
    router,
};

/// Interval of the periodic work while requests are open, in ms.
const TICK_MS: u64 = 20;

/// Interval of the periodic work while a request waits for its claim, in ms.
const CLAIM_TICK_MS: u64 = 5;

/// Interval of the periodic work while no request is open, in ms.
const IDLE_TICK_MS: u64 = 50;

/// Interval at which the progress of attempts is passed to the router, in ms.
const PROGRESS_EVERY_MS: u64 = 250;

/// Interval at which metrics and the status page are updated, in ms.
const REPORT_EVERY_MS: u64 = 1_000;

/// Name of the lease whose holder alone may command upstreams to load and unload models.
const PLACEMENT_LEASE: &str = "placement";

/// Maximum number of queued inputs handled before the periodic work is checked again.
const MAX_INPUTS_PER_ROUND: usize = 256;

/// Channels and shared state from the control thread to the other threads.
#[derive(Debug)]
pub(crate) struct Outputs {
    pub(crate) appends: Sender<Append>,
    pub(crate) claim_appends: Sender<Append>,
    pub(crate) upstream_commands: Sender<UpstreamCommand>,
    pub(crate) peers: Option<mpsc::Sender<Outgoing>>,
    /// Upstreams that the thread `vk-load` polls for load reports.
    pub(crate) poll_targets: Arc<Mutex<Vec<PollTarget>>>,
    /// The status page as JSON.
    pub(crate) status: Arc<Mutex<String>>,
    pub(crate) is_ready: Arc<AtomicBool>,
    /// Whether this instance holds the placement lease.
    pub(crate) is_lease_holder: Arc<AtomicBool>,
}

/// A request without its final answer.
#[derive(Debug)]
struct OpenRequest {
    id: u64,
    /// Channel to the thread of the request.
    commands: Sender<Command>,
    deadline: Millis,
    /// The request itself while it waits for its claim; afterwards the router holds it.
    awaiting_claim: Option<Request>,
    /// Id of the claim of its idempotency key, once it was won.
    claim: Option<u64>,
    attempts: Vec<SentAttempt>,
    /// Whether any attempt was sent.
    was_sent: bool,
}

/// An attempt that was sent.
#[derive(Debug)]
struct SentAttempt {
    id: u64,
    upstream: Arc<str>,
    sent: Millis,
    progress: Arc<Progress>,
    /// Number of tokens last reported to the router.
    reported_tokens: u32,
}

/// An upstream of the configuration, with the state that it last reported.
#[derive(Clone, Debug)]
struct KnownUpstream {
    name: Arc<str>,
    pool: Arc<str>,
    address: SocketAddr,
    /// The last load report and when it arrived.
    observed: Option<(Millis, Observed)>,
}

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    No,
    /// A stop was requested at this time; open requests may still end.
    Since(Millis),
    /// A second request to stop ends the instance without waiting.
    AtOnce,
}

/// State of the control thread.
pub(crate) struct Control {
    settings: Settings,
    shared: Arc<Shared>,
    out: Outputs,
    router: Router,
    claims: Claims,
    config_replica: ConfigReplica,
    membership: Membership,
    lease: Lease,
    placement: Placement,
    random: Random,
    /// The configuration in force, parsed.
    config: Config,
    /// Open requests in ascending order of id.
    requests: Vec<OpenRequest>,
    /// Upstreams of the data centres that this instance uses, in ascending order of name.
    upstreams: Vec<KnownUpstream>,
    /// Upstream and model that are being drained, and when the entry expires.
    draining: Vec<(Arc<str>, Arc<str>, Millis)>,
    pending_appends: VecDeque<Append>,
    /// Offset of the oldest record that the log holds.
    log_first: u64,
    /// Offset after the last record read.
    log_next: u64,
    /// When the log was last read, or `None` before the first page.
    log_read_at: Option<Millis>,
    next_gossip: Millis,
    next_report: Millis,
    next_progress: Millis,
    next_reconciliation: Millis,
    /// Start of the instance in ms since 1970; peers get it as the generation of this instance.
    started_wall_ms: u64,
    stopping: Stopping,
}

impl Control {
    pub(crate) fn new(settings: Settings, shared: Arc<Shared>, out: Outputs) -> Self {
        let me = settings.instance.name.clone();
        let run_id = shared.run_id.clone();
        let seed = order::hash(&run_id);
        let claims = claim::Settings {
            window_ms: settings.timing.key_window_ms,
            ..claim::Settings::default()
        };
        let router = router::Settings {
            admission: admission::Settings {
                limit: settings.limits.queue,
                ..admission::Settings::default()
            },
            ..router::Settings::default()
        };
        Self {
            router: Router::new(&me, seed, router),
            claims: Claims::new(&run_id, claims),
            config_replica: ConfigReplica::new(&me, check_config),
            membership: Membership::default(),
            lease: Lease::new(PLACEMENT_LEASE, &run_id, lease::Settings::default()),
            placement: Placement::new(placement::Settings::default()),
            random: Random::new(seed),
            config: Config::default(),
            requests: Vec::new(),
            upstreams: Vec::new(),
            draining: Vec::new(),
            pending_appends: VecDeque::new(),
            log_first: 0,
            log_next: 0,
            log_read_at: None,
            next_gossip: Millis::ZERO,
            next_report: Millis::ZERO,
            next_progress: Millis::ZERO,
            next_reconciliation: Millis::ZERO,
            started_wall_ms: wall_ms(),
            stopping: Stopping::No,
            settings,
            shared,
            out,
        }
    }

    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Handles inputs and periodic work until the instance has stopped.
    pub(crate) fn run(mut self, rx: &Receiver<Input>) {
        let mut next_tick = Millis::ZERO;
        loop {
            let wait = Duration::from_millis(next_tick.since(self.now()));
            match rx.recv_timeout(wait) {
                Ok(input) => {
                    self.on_input(input);
                    for input in rx.try_iter().take(MAX_INPUTS_PER_ROUND) {
                        self.on_input(input);
                    }
                    next_tick = next_tick.min(self.now().plus(self.tick_ms()));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.now();
            if now >= next_tick {
                self.tick(now);
                next_tick = now.plus(self.tick_ms());
            }
            self.perform_actions(now);
            if self.try_finish_stop(now) {
                self.shared.is_refusing.store(true, Ordering::SeqCst);
                self.publish_status(now);
                return;
            }
        }
    }

    fn on_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Request { req, key, commands } => self.on_request(now, req, key, commands),
            Input::FirstToken { attempt } => {
                self.router.on_first_token(now, attempt);
            }
            Input::AnswerHead {
                attempt,
                rate,
                notice,
            } => {
                self.on_answer_head(now, attempt, rate);
                self.on_notice(now, attempt, notice);
            }
            Input::AttemptEnded { attempt, end } => self.on_attempt_end(now, attempt, end),
            Input::WastedTokens { tokens } => self.router.on_wasted_tokens(tokens),
            Input::CallerGone { request } => self.on_caller_gone(now, request),
            Input::Log(page) => self.on_log(now, &page),
            Input::LogReadFailed => {
                self.metrics().log_errors.inc();
            }
            Input::ClaimsAppended { number, end } => self.claims.on_appended(number, end),
            Input::InstanceList(members) => self.on_list(now, &members),
            Input::LoadReport(load) => self.on_load(now, load),
            Input::CacheEvents { upstream, events } => {
                for (prefix, is_cached) in events {
                    self.router.on_cache_event(&upstream, prefix, is_cached);
                }
            }
            Input::PeerMessage(message) => self.on_peer_message(now, &message),
            Input::Stop => self.on_stop(now),
        }
    }

    fn tick_ms(&self) -> u64 {
        if self.claims.waiting() > 0 {
            CLAIM_TICK_MS
        } else if self.requests.is_empty() {
            IDLE_TICK_MS
        } else {
            TICK_MS
        }
    }

    fn tick(&mut self, now: Millis) {
        if now >= self.next_progress {
            self.next_progress = now.plus(PROGRESS_EVERY_MS);
            self.report_progress(now);
        }
        self.router.tick(now);
        self.claims.tick(now);
        self.config_replica.tick(now, self.first_safe_offset());
        self.reconcile_placement(now);
        self.gossip(now);
        if now >= self.next_report {
            self.next_report = now.plus(REPORT_EVERY_MS);
            self.publish_status(now);
        }
    }

    /// Performs the actions of all state machines.
    ///
    /// Records for which the channel to the log writer has no room stay queued for the next call.
    fn perform_actions(&mut self, now: Millis) {
        self.perform_claim_actions(now);
        self.perform_router_actions(now);
        self.perform_config_actions(now);
        self.perform_lease_actions();
        while let Some(append) = self.pending_appends.pop_front() {
            if let Err(e) = self.out.appends.try_send(append) {
                self.pending_appends.push_front(e.into_inner());
                break;
            }
        }
    }

    fn on_stop(&mut self, now: Millis) {
        self.stopping = match self.stopping {
            Stopping::No => {
                tracing::info!("stop requested; telling all peers that this instance is leaving");
                self.announce_leaving(now);
                Stopping::Since(now)
            }
            Stopping::Since(_) | Stopping::AtOnce => Stopping::AtOnce,
        };
    }

    fn is_leaving(&self) -> bool {
        self.stopping != Stopping::No
    }

    /// Ends a planned stop if it is due, and returns whether it has ended.
    ///
    /// It is due when the delay for the load balancer has passed and no request is open, when the time
    /// limit has passed, or at once after a second request to stop. The requests still open are then
    /// refused.
    fn try_finish_stop(&mut self, now: Millis) -> bool {
        let timing = self.settings.timing;
        let is_over = match self.stopping {
            Stopping::No => return false,
            Stopping::AtOnce => true,
            Stopping::Since(since) => {
                let waited = now.since(since);
                let is_empty = self.requests.is_empty()
                    && self.shared.open_requests.load(Ordering::SeqCst) == 0;
                waited >= timing.stop_limit_ms || (waited >= timing.balancer_delay_ms && is_empty)
            }
        };
        if is_over {
            self.refuse_all(now, Reason::Stopping);
        }
        is_over
    }

    /// Refuses all open requests, each with a verdict that says whether it may have run.
    fn refuse_all(&mut self, now: Millis, reason: Reason) {
        for request in std::mem::take(&mut self.requests) {
            let verdict = request.verdict();
            let refusal = Refusal::new(verdict, reason);
            let _ = request.commands.try_send(Command::Refuse(refusal));
            self.router.on_caller_gone(now, request.id);
        }
    }
}

/// Checks the text of a proposed configuration.
fn check_config(source: &str) -> Result<(), String> {
    Config::parse(source).map(|_| ()).map_err(|e| e.to_string())
}
