//! The discrete-event simulation: callers, routers, engines that batch, and a network with fixed
//! delays.
//!
//! Events wait in a queue that is ordered by time and then by the order in which they were
//! scheduled, and all random numbers come from one seeded generator, so that a seed always gives
//! the same run.

mod engines;
mod instances;
mod load;

use super::{
    outcome::{
        self,
        Figures,
        RequestOutcome, //
    },
    scenario::{
        Deployment,
        Fault,
        LOAD_DURATION_MS,
        Scenario, //
    },
    variant::Variant,
};
use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    sync::Arc,
};
use vanillakeel::{
    Millis,
    Router,
    attempt::End,
    order::Random,
    routing::LoadReport,
    share, //
};
use vanillakeel_standin::batch::{
    self,
    BatchScheduler, //
};

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// One-way network delay between any two processes, in µs.
const NETWORK_DELAY_US: u64 = 1_000;

/// Interval of a router's periodic work, in µs.
const TICK_INTERVAL_US: u64 = 20 * US_PER_MS;

/// Interval at which an instance polls the load of its next engine in turn, in µs.
const LOAD_POLL_INTERVAL_US: u64 = 800 * US_PER_MS;

/// Time until a change of an engine's prefix cache reaches the routers, in µs.
const CACHE_EVENT_DELAY_US: u64 = 1_000 * US_PER_MS;

/// Probability that a cache event is lost.
const CACHE_EVENT_LOSS_PROBABILITY: f64 = 0.2;

/// Time after the end of the load in which open requests can still be answered, in µs.
const DRAIN_US: u64 = 70_000 * US_PER_MS;

/// Bytes that the headers of a datagram add to a message.
const DATAGRAM_OVERHEAD_BYTES: usize = 60;

/// Interval of progress reports to the router, in tokens of an attempt.
const PROGRESS_INTERVAL_TOKENS: u32 = 64;

/// Age of the last progress report, in µs, at which an arriving token causes a new one.
const PROGRESS_INTERVAL_US: u64 = 250 * US_PER_MS;

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// The caller's request with this index reaches its instance.
    Arrival(usize),
    /// The periodic work of a router is due.
    Tick(usize),
    /// An instance polls the load of its next engine.
    PollLoad(usize),
    /// The request of an attempt reaches its engine.
    EngineRequest { engine: usize, attempt_index: usize },
    /// The cancellation of an attempt reaches its engine.
    Cancellation { attempt_index: usize },
    /// A batch step of an engine is complete.
    StepEnd(usize),
    /// A token reaches the instance of its attempt.
    Token {
        attempt_index: usize,
        index: u32,
        is_last: bool,
    },
    /// An instance learns that an attempt has ended without a whole answer.
    AttemptEnd { attempt_index: usize, end: End },
    /// A message of an instance reaches one of its peers.
    PeerMessage {
        to: usize,
        from: usize,
        pool: Arc<str>,
        message: share::Message,
    },
    /// A change of an engine's prefix cache reaches all routers.
    CacheChange {
        engine: usize,
        prefix: u64,
        is_cached: bool,
    },
    /// A fault of the scenario begins or ends.
    Fault(Fault),
}

/// An attempt that a router has sent to an engine.
#[derive(Clone, Copy, Debug)]
struct SimulatedAttempt {
    instance: usize,
    /// Identifier that the router has given to the attempt.
    attempt_id: u64,
    /// Index of the caller's request.
    request: usize,
    engine: usize,
    /// Number of tokens that the caller had before this attempt.
    resume_from: u32,
    /// Number of tokens of this attempt that have reached the instance.
    tokens: u32,
    /// Time of the last progress report to the router.
    last_progress_us: u64,
    is_cancelled: bool,
}

/// A simulated upstream, either a model engine or a plain service.
struct Engine {
    name: Arc<str>,
    pool: &'static str,
    batch: BatchScheduler,
    /// Factor on the duration of each batch step.
    slowness: f64,
    is_down: bool,
    is_stepping: bool,
    /// Tokens of the running step: attempt, position in the answer, and whether it is the last.
    step_tokens: Vec<(u64, u32, bool)>,
    /// Past loads with their times in µs, from which delayed load reports are taken.
    load_history: Vec<(u64, LoadReport)>,
}

/// A request of a caller, with what has become of it.
struct CallerRequest {
    outcome: RequestOutcome,
    /// Number of the prompt's prefix, which also serves as the prefix hash.
    prefix: u64,
    /// Length of the answer in tokens.
    output_tokens: u32,
    instance: usize,
    workspace: Arc<str>,
    /// Time by which the first token is due.
    due_us: u64,
}

/// State of a run.
pub(super) struct Simulation<'a> {
    deployment: &'a Deployment,
    scenario: &'a Scenario,
    variant: &'a Variant,
    now_us: u64,
    /// Number of events scheduled so far; the number of an event breaks ties between equal times.
    event_count: u64,
    /// Time and number of the scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by number.
    events: BTreeMap<u64, Event>,
    routers: Vec<Router>,
    instance_names: Vec<String>,
    engines: Vec<Engine>,
    requests: Vec<CallerRequest>,
    attempts: Vec<SimulatedAttempt>,
    /// The engine that each instance has polled last.
    last_polled: Vec<usize>,
    /// Tokens that model engines have produced.
    produced_tokens: u64,
    /// Bytes of all messages between instances.
    control_bytes: u64,
    random: Random,
}

/// Name of the pool of model engines.
const MODEL_POOL: &str = "models";

/// Name of the pool of plain services.
const PLAIN_POOL: &str = "register";

/// Runs a scenario for one deployment and one variant of the routers, and returns its figures.
pub(super) fn run(
    deployment: &Deployment,
    scenario: &Scenario,
    variant: &Variant,
    seed: u64,
) -> Figures {
    let mut simulation = Simulation::new(deployment, scenario, variant, seed);
    simulation.schedule_all();
    simulation.run_events();
    let classes = deployment.classes;
    let outcomes: Vec<RequestOutcome> = simulation.requests.iter().map(|r| r.outcome).collect();
    let counts: Vec<_> = simulation.routers.iter().map(|r| *r.counts()).collect();
    let control_bytes_per_instance = simulation.control_bytes as f64 / deployment.instances as f64;
    Figures {
        scenario: scenario.name.to_owned(),
        policy: variant.name.to_owned(),
        size: deployment.name.to_owned(),
        seed,
        ..outcome::figures(
            classes,
            &outcomes,
            simulation.produced_tokens,
            &counts,
            control_bytes_per_instance,
        )
    }
}

/// Returns the batch settings of a plain service, which answers all its calls in steps of 5 ms.
fn plain_batch_settings() -> batch::Settings {
    batch::Settings {
        slots: 64,
        max_waiting: 256,
        base_step_ms: 5.0,
        per_sequence_ms: 0.0,
        ..batch::Settings::default()
    }
}

impl<'a> Simulation<'a> {
    fn new(
        deployment: &'a Deployment,
        scenario: &'a Scenario,
        variant: &'a Variant,
        seed: u64,
    ) -> Self {
        let instance_names: Vec<String> = (0..deployment.instances)
            .map(|i| format!("entry-{i}"))
            .collect();
        let mut engines = Vec::new();
        for index in 0..deployment.engines + deployment.plain_services {
            let is_model = index < deployment.engines;
            let settings = if is_model {
                batch::Settings::default()
            } else {
                plain_batch_settings()
            };
            engines.push(Engine {
                name: Arc::from(format!("upstream-{index:03}")),
                pool: if is_model { MODEL_POOL } else { PLAIN_POOL },
                batch: BatchScheduler::new(settings),
                slowness: 1.0,
                is_down: false,
                is_stepping: false,
                step_tokens: Vec::new(),
                load_history: Vec::new(),
            });
        }
        let router = |(index, name): (usize, &String)| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(index as u64);
            let mut router = Router::new(name, seed, variant.settings);
            for engine in &engines {
                let slots = if engine.pool == MODEL_POOL { 16 } else { 64 };
                router.set_upstream(engine.pool, &engine.name, slots, "dc");
            }
            router.set_peers(instance_names.iter().map(String::as_str));
            router
        };
        Self {
            deployment,
            scenario,
            variant,
            now_us: 0,
            event_count: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            routers: instance_names.iter().enumerate().map(router).collect(),
            engines,
            requests: Vec::new(),
            attempts: Vec::new(),
            last_polled: vec![0; deployment.instances],
            produced_tokens: 0,
            control_bytes: 0,
            random: Random::new(seed),
            instance_names,
        }
    }

    /// Schedules an event at an absolute time.
    fn schedule_at(&mut self, time_us: u64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((time_us, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    /// Schedules an event after a delay.
    fn schedule_in(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    const fn now(&self) -> Millis {
        Millis::new(self.now_us / US_PER_MS)
    }

    fn now_ms(&self) -> f64 {
        self.now_us as f64 / US_PER_MS as f64
    }

    /// Handles events in order of time until the load has drained.
    fn run_events(&mut self) {
        let end_us = LOAD_DURATION_MS * US_PER_MS + DRAIN_US;
        while let Some(Reverse((time_us, number))) = self.queue.pop() {
            if time_us > end_us {
                return;
            }
            self.now_us = time_us;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.on_arrival(request),
            Event::Tick(index) => {
                let now = self.now();
                self.routers[index].tick(now);
                self.perform_actions(index);
                self.schedule_in(TICK_INTERVAL_US, Event::Tick(index));
            }
            Event::PollLoad(index) => self.poll_load(index),
            Event::EngineRequest {
                engine,
                attempt_index,
            } => self.on_engine_request(engine, attempt_index),
            Event::Cancellation { attempt_index } => self.cancel(attempt_index),
            Event::StepEnd(engine) => self.finish_step(engine),
            Event::Token {
                attempt_index,
                index,
                is_last,
            } => self.on_token(attempt_index, index, is_last),
            Event::AttemptEnd { attempt_index, end } => self.on_attempt_end(attempt_index, end),
            Event::PeerMessage {
                to,
                from,
                pool,
                message,
            } => {
                let now = self.now();
                let from = self.instance_names[from].clone();
                self.routers[to].on_peer_message(now, &from, &pool, message);
                self.perform_actions(to);
            }
            Event::CacheChange {
                engine,
                prefix,
                is_cached,
            } => {
                let name = Arc::clone(&self.engines[engine].name);
                for router in &mut self.routers {
                    router.on_cache_event(&name, prefix, is_cached);
                }
            }
            Event::Fault(fault) => self.inject_fault(fault),
        }
    }
}
