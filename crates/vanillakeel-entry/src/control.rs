//! The control thread, which owns all decisions of an instance.

mod agreed;
mod peers;
mod placing;
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
        Order,
        Target, //
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

/// Time between two rounds of periodic work.
const TICK_MS: u64 = 20;

/// The same while a claim is on its way, in ms.
const CLAIM_TICK_MS: u64 = 5;

/// The same while nothing is in progress, in ms.
const IDLE_TICK_MS: u64 = 50;

/// Time between two looks at how far attempts are, in ms.
const PROGRESS_MS: u64 = 250;

/// Time between two rounds of metrics and status.
const REPORT_MS: u64 = 1_000;

/// The chore whose lease allows to give orders to upstreams.
const PLACEMENT: &str = "placement";

/// Most inputs taken before periodic work is looked at.
const BURST: usize = 256;

/// Channels from the control thread to others.
#[derive(Debug)]
pub(crate) struct Outputs {
    pub(crate) appends: Sender<Append>,
    pub(crate) claim_appends: Sender<Append>,
    pub(crate) orders: Sender<Order>,
    pub(crate) peers: Option<mpsc::Sender<Outgoing>>,
    pub(crate) targets: Arc<Mutex<Vec<Target>>>,
    pub(crate) status: Arc<Mutex<String>>,
    pub(crate) is_ready: Arc<AtomicBool>,
    pub(crate) is_holder: Arc<AtomicBool>,
}

/// A request that is not finally answered.
#[derive(Debug)]
struct OpenRequest {
    id: u64,
    to: Sender<Command>,
    deadline: Millis,
    /// The request while it waits for its claim.
    claiming: Option<Request>,
    claim: Option<u64>,
    attempts: Vec<Sent>,
    is_sent: bool,
}

/// An attempt that was sent.
#[derive(Debug)]
struct Sent {
    id: u64,
    progress: Arc<Progress>,
    /// Tokens that the router has been told of.
    told: u32,
}

/// Where an upstream is.
#[derive(Clone, Debug)]
struct Known {
    name: Arc<str>,
    pool: Arc<str>,
    address: SocketAddr,
    observed: Option<(Millis, Observed)>,
}

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    No,
    Since(Millis),
    AtOnce,
}

/// State of the control thread.
pub(crate) struct Control {
    settings: Settings,
    shared: Arc<Shared>,
    out: Outputs,
    router: Router,
    claims: Claims,
    configuration: ConfigReplica,
    membership: Membership,
    lease: Lease,
    placement: Placement,
    random: Random,
    text: Config,
    requests: Vec<OpenRequest>,
    upstreams: Vec<Known>,
    withdrawn: Vec<(Arc<str>, Arc<str>, Millis)>,
    waiting_appends: VecDeque<Append>,
    log_first: u64,
    log_next: u64,
    log_heard: Option<Millis>,
    next_gossip: Millis,
    next_report: Millis,
    next_progress: Millis,
    next_placing: Millis,
    boot_wall_ms: u64,
    stopping: Stopping,
}

impl Control {
    pub(crate) fn new(settings: Settings, shared: Arc<Shared>, out: Outputs) -> Self {
        let me = settings.instance.name.clone();
        let boot = shared.boot.clone();
        let seed = order::hash(&boot);
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
            claims: Claims::new(&boot, claims),
            configuration: ConfigReplica::new(&me, check_text),
            membership: Membership::default(),
            lease: Lease::new(PLACEMENT, &boot, lease::Settings::default()),
            placement: Placement::new(placement::Settings::default()),
            random: Random::new(seed),
            text: Config::default(),
            requests: Vec::new(),
            upstreams: Vec::new(),
            withdrawn: Vec::new(),
            waiting_appends: VecDeque::new(),
            log_first: 0,
            log_next: 0,
            log_heard: None,
            next_gossip: Millis::ZERO,
            next_report: Millis::ZERO,
            next_progress: Millis::ZERO,
            next_placing: Millis::ZERO,
            boot_wall_ms: wall_ms(),
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

    /// Runs until the instance has stopped.
    pub(crate) fn run(mut self, rx: &Receiver<Input>) {
        let mut next_tick = Millis::ZERO;
        loop {
            let wait = Duration::from_millis(next_tick.since(self.now()));
            match rx.recv_timeout(wait) {
                Ok(input) => {
                    self.take(input);
                    for input in rx.try_iter().take(BURST) {
                        self.take(input);
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
            self.carry_out(now);
            if self.is_stopped(now) {
                self.shared.is_refusing.store(true, Ordering::SeqCst);
                self.report(now);
                return;
            }
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Arrive { req, key, to } => self.arrive(now, req, key, to),
            Input::FirstToken { attempt } => {
                self.router.on_first_token(now, attempt);
            }
            Input::End { attempt, end } => self.on_end(now, attempt, end),
            Input::Wasted { tokens } => self.router.on_wasted_tokens(tokens),
            Input::CallerGone { request } => self.on_caller_gone(now, request),
            Input::Log(news) => self.on_log(now, &news),
            Input::LogDown => {
                self.metrics().log_errors.inc();
            }
            Input::Appended { number, end } => self.claims.on_appended(number, end),
            Input::List(members) => self.on_list(now, &members),
            Input::Load(news) => self.on_load(now, news),
            Input::Cache { upstream, events } => {
                for (prefix, is_cached) in events {
                    self.router.on_cache_event(&upstream, prefix, is_cached);
                }
            }
            Input::Peer(message) => self.on_peer(now, &message),
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
            self.next_progress = now.plus(PROGRESS_MS);
            self.tell_progress(now);
        }
        self.router.tick(now);
        self.claims.tick(now);
        self.configuration.tick(now, self.first_at_risk());
        self.place(now);
        self.gossip(now);
        if now >= self.next_report {
            self.next_report = now.plus(REPORT_MS);
            self.report(now);
        }
    }

    /// Carries out the actions of all slices.
    fn carry_out(&mut self, now: Millis) {
        self.carry_out_claims(now);
        self.carry_out_traffic(now);
        self.carry_out_configuration(now);
        self.carry_out_lease();
        while let Some(append) = self.waiting_appends.pop_front() {
            if let Err(e) = self.out.appends.try_send(append) {
                self.waiting_appends.push_front(e.into_inner());
                break;
            }
        }
    }

    fn on_stop(&mut self, now: Millis) {
        self.stopping = match self.stopping {
            Stopping::No => {
                tracing::info!("stop: leaving");
                self.tell_leaving(now);
                Stopping::Since(now)
            }
            Stopping::Since(_) | Stopping::AtOnce => Stopping::AtOnce,
        };
    }

    fn is_leaving(&self) -> bool {
        self.stopping != Stopping::No
    }

    /// Whether a planned stop is over: nothing is in progress, or the limit has passed.
    fn is_stopped(&mut self, now: Millis) -> bool {
        let timing = self.settings.timing;
        let is_over = match self.stopping {
            Stopping::No => return false,
            Stopping::AtOnce => true,
            Stopping::Since(since) => {
                let waited = now.since(since);
                let is_empty =
                    self.requests.is_empty() && self.shared.open.load(Ordering::SeqCst) == 0;
                waited >= timing.stop_limit_ms || (waited >= timing.balancer_delay_ms && is_empty)
            }
        };
        if is_over {
            self.end_all(now, Reason::Stopping);
        }
        is_over
    }

    /// Gives all requests their final answer with a truthful verdict.
    fn end_all(&mut self, now: Millis, reason: Reason) {
        for request in std::mem::take(&mut self.requests) {
            let verdict = request.verdict();
            let refusal = Refusal::new(verdict, reason);
            let _ = request.to.try_send(Command::Refuse(refusal));
            self.router.on_caller_gone(now, request.id);
        }
    }
}

/// What an edit's text has to pass.
fn check_text(source: &str) -> Result<(), String> {
    Config::parse(source).map(|_| ()).map_err(|e| e.to_string())
}
