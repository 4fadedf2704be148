//! The fakes: engines that batch, a network of fixed delays, callers.

mod engines;

use super::{
    outcome::{
        self,
        Fate,
        Figures, //
    },
    scenario::{
        Fault,
        LENGTH_MS,
        Scenario,
        Size, //
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
    Request,
    Router,
    Verdict,
    attempt::End,
    order::Random,
    router::Action,
    routing::LoadReport,
    share, //
};
use vanillakeel_standin::batch::{
    self,
    BatchScheduler, //
};
use vanillakeel_wire::{
    Message as _,
    convert::share_to_wire,
    generated::PeerMessage, //
};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;

/// One way between any two processes, in µs.
const HOP_US: u64 = 1_000;

/// Time between two rounds of a router's periodic work, in µs.
const TICK_US: u64 = 20 * MS;

/// Time between two load reports that an instance asks for, in µs.
const REPORT_US: u64 = 800 * MS;

/// Delay of a cache event, in µs.
const CACHE_EVENT_US: u64 = 1_000 * MS;

/// Part of the cache events that is lost.
const CACHE_EVENTS_LOST: f64 = 0.2;

/// Time after the load in which what is left is answered, in µs.
const DRAIN_US: u64 = 70_000 * MS;

/// Bytes that a datagram adds to a message.
const DATAGRAM_BYTES: usize = 60;

/// Tokens between two notes of progress to a router.
const PROGRESS_TOKENS: u32 = 64;

/// Time between two notes of progress to a router, in µs.
const PROGRESS_US: u64 = 250 * MS;

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Tick(usize),
    Ask(usize),
    ToEngine {
        engine: usize,
        flight: usize,
    },
    Cancel {
        flight: usize,
    },
    Step(usize),
    News {
        flight: usize,
        index: u32,
        is_last: bool,
    },
    Ended {
        flight: usize,
        end: End,
    },
    Peer {
        to: usize,
        from: usize,
        pool: Arc<str>,
        message: share::Message,
    },
    Cache {
        engine: usize,
        prefix: u64,
        is_cached: bool,
    },
    Fault(Fault),
}

/// An attempt on its way.
#[derive(Clone, Copy, Debug)]
struct Flight {
    instance: usize,
    attempt: u64,
    request: usize,
    engine: usize,
    from: u32,
    tokens: u32,
    noted_us: u64,
    is_cancelled: bool,
}

struct Engine {
    name: Arc<str>,
    pool: &'static str,
    batch: BatchScheduler,
    slowness: f64,
    is_down: bool,
    is_stepping: bool,
    pending: Vec<(u64, u32, bool)>,
    loads: Vec<(u64, LoadReport)>,
}

/// A request of a caller.
struct Caller {
    fate: Fate,
    prefix: u64,
    output: u32,
    instance: usize,
    workspace: Arc<str>,
    due_us: u64,
}

pub(super) struct World<'a> {
    size: &'a Size,
    scenario: &'a Scenario,
    variant: &'a Variant,
    now_us: u64,
    count: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    routers: Vec<Router>,
    names: Vec<String>,
    engines: Vec<Engine>,
    callers: Vec<Caller>,
    flights: Vec<Flight>,
    asked: Vec<usize>,
    produced: u64,
    bytes: u64,
    random: Random,
}

/// Pool of model engines.
const MODELS: &str = "models";

/// Pool of plain services.
const PLAINS: &str = "register";

/// Runs a scenario at a size with a variant of the routers.
pub(super) fn run(size: &Size, scenario: &Scenario, variant: &Variant, seed: u64) -> Figures {
    let mut world = World::new(size, scenario, variant, seed);
    world.plan();
    world.go();
    let classes = size.classes;
    let fates: Vec<Fate> = world.callers.iter().map(|c| c.fate).collect();
    let counts: Vec<_> = world.routers.iter().map(|r| *r.counts()).collect();
    let bytes = world.bytes as f64 / size.instances as f64;
    Figures {
        scenario: scenario.name.to_owned(),
        policy: variant.name.to_owned(),
        size: size.name.to_owned(),
        seed,
        ..outcome::figures(classes, &fates, world.produced, &counts, bytes)
    }
}

fn plain_batch() -> batch::Settings {
    batch::Settings {
        slots: 64,
        max_waiting: 256,
        base_step_ms: 5.0,
        per_sequence_ms: 0.0,
        ..batch::Settings::default()
    }
}

impl<'a> World<'a> {
    fn new(size: &'a Size, scenario: &'a Scenario, variant: &'a Variant, seed: u64) -> Self {
        let names: Vec<String> = (0..size.instances).map(|i| format!("entry-{i}")).collect();
        let mut engines = Vec::new();
        for at in 0..size.engines + size.plains {
            let is_model = at < size.engines;
            let settings = if is_model {
                batch::Settings::default()
            } else {
                plain_batch()
            };
            engines.push(Engine {
                name: Arc::from(format!("upstream-{at:03}")),
                pool: if is_model { MODELS } else { PLAINS },
                batch: BatchScheduler::new(settings),
                slowness: 1.0,
                is_down: false,
                is_stepping: false,
                pending: Vec::new(),
                loads: Vec::new(),
            });
        }
        let router = |(at, name): (usize, &String)| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(at as u64);
            let mut router = Router::new(name, seed, variant.settings);
            for engine in &engines {
                let slots = if engine.pool == MODELS { 16 } else { 64 };
                router.set_upstream(engine.pool, &engine.name, slots, "dc");
            }
            router.set_peers(names.iter().map(String::as_str));
            router
        };
        Self {
            size,
            scenario,
            variant,
            now_us: 0,
            count: 0,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            routers: names.iter().enumerate().map(router).collect(),
            engines,
            callers: Vec::new(),
            flights: Vec::new(),
            asked: vec![0; size.instances],
            produced: 0,
            bytes: 0,
            random: Random::new(seed),
            names,
        }
    }

    fn at(&mut self, time_us: u64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((time_us, self.count)));
        self.events.insert(self.count, event);
    }

    fn soon(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    const fn now(&self) -> Millis {
        Millis::new(self.now_us / MS)
    }

    fn now_ms(&self) -> f64 {
        self.now_us as f64 / MS as f64
    }

    /// Plans arrivals, periodic work and faults.
    fn plan(&mut self) {
        for at in 0..self.size.classes.len() {
            self.plan_class(at);
        }
        for at in 0..self.size.instances {
            let offset = self.random.below(TICK_US);
            self.at(offset, Event::Tick(at));
            let offset = self.random.below(REPORT_US);
            self.at(offset, Event::Ask(at));
        }
        for (at_ms, fault) in self.scenario.faults.clone() {
            self.at(at_ms * MS, Event::Fault(fault));
        }
    }

    fn plan_class(&mut self, at: usize) {
        let class = self.size.classes[at];
        let mut t_ms = 0.0;
        loop {
            let rate = self.scenario.rate(self.size, &class, t_ms as u64);
            t_ms += self.random.exponential(1_000.0 / rate);
            if t_ms >= LENGTH_MS as f64 {
                return;
            }
            let unit = self.random.unit();
            let output = (f64::from(class.max_tokens) * unit * unit) as u32;
            let instance = if self.random.chance(self.scenario.skew) {
                0
            } else {
                self.random.below(self.size.instances as u64) as usize
            };
            let prefix = 1 + self.random.below(self.scenario.prefixes());
            // A few workspaces are large.
            let unit = self.random.unit();
            let workspace = (unit * unit * self.size.workspaces as f64) as u64;
            self.callers.push(Caller {
                fate: Fate {
                    class: at,
                    arrived_ms: t_ms,
                    ..Fate::default()
                },
                prefix: (at as u64 + 1) * 1_000 + prefix,
                output: output.max(1),
                instance,
                workspace: Arc::from(format!("ws-{workspace}")),
                due_us: 0,
            });
            let caller = self.callers.len() - 1;
            self.at((t_ms * MS as f64) as u64 + HOP_US, Event::Arrive(caller));
        }
    }

    fn go(&mut self) {
        let end_us = LENGTH_MS * MS + DRAIN_US;
        while let Some(Reverse((time_us, number))) = self.heap.pop() {
            if time_us > end_us {
                return;
            }
            self.now_us = time_us;
            if let Some(event) = self.events.remove(&number) {
                self.take(event);
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(caller) => self.arrive(caller),
            Event::Tick(at) => {
                let now = self.now();
                self.routers[at].tick(now);
                self.carry_out(at);
                self.soon(TICK_US, Event::Tick(at));
            }
            Event::Ask(at) => self.ask(at),
            Event::ToEngine { engine, flight } => self.reach(engine, flight),
            Event::Cancel { flight } => self.cancel(flight),
            Event::Step(engine) => self.end_step(engine),
            Event::News {
                flight,
                index,
                is_last,
            } => self.news(flight, index, is_last),
            Event::Ended { flight, end } => self.ended(flight, end),
            Event::Peer {
                to,
                from,
                pool,
                message,
            } => {
                let now = self.now();
                let from = self.names[from].clone();
                self.routers[to].on_peer_message(now, &from, &pool, message);
                self.carry_out(to);
            }
            Event::Cache {
                engine,
                prefix,
                is_cached,
            } => {
                let name = Arc::clone(&self.engines[engine].name);
                for router in &mut self.routers {
                    router.on_cache_event(&name, prefix, is_cached);
                }
            }
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn arrive(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        let class = self.size.classes[caller.fate.class];
        let arrived_us = (caller.fate.arrived_ms * MS as f64) as u64;
        caller.due_us = arrived_us + class.target_ms * MS;
        let arrived = Millis::new(arrived_us / MS);
        let req = Request {
            id: at as u64 + 1,
            class: Arc::from(class.name),
            workspace: Arc::clone(&caller.workspace),
            pool: Arc::from(if class.is_plain { PLAINS } else { MODELS }),
            tier: class.tier,
            protected: class.is_protected,
            idempotent: class.is_idempotent,
            weight: 1,
            arrived,
            due: arrived.plus(class.target_ms),
            deadline: arrived.plus(class.deadline_ms),
            prompt_tokens: class.prompt_tokens,
            max_tokens: class.max_tokens,
            prefix: caller.prefix,
            resumable: !class.is_plain,
        };
        let (instance, now) = (caller.instance, self.now());
        self.routers[instance].on_request(now, req);
        self.carry_out(instance);
    }

    fn carry_out(&mut self, instance: usize) {
        let actions: Vec<Action> = self.routers[instance].drain().collect();
        for action in actions {
            match action {
                Action::Send {
                    request,
                    attempt,
                    upstream,
                    resume_from,
                } => {
                    // As in the daemon, the thread of the request knows best what the caller has.
                    let given = self.callers[request as usize - 1].fate.tokens;
                    let may_resume = self.variant.settings.attempt.resume;
                    let from = resume_from.max(if may_resume { given } else { 0 });
                    self.send(instance, request, attempt, &upstream, from);
                }
                Action::Cancel { attempt, .. } => {
                    let flight = self
                        .flights
                        .iter()
                        .rposition(|f| f.instance == instance && f.attempt == attempt);
                    if let Some(flight) = flight {
                        self.flights[flight].is_cancelled = true;
                        self.soon(HOP_US, Event::Cancel { flight });
                    }
                }
                Action::Refuse { request, refusal } => {
                    let now_ms = self.now_ms();
                    let fate = &mut self.callers[request as usize - 1].fate;
                    fate.is_refused = true;
                    fate.says_not_run = refusal.verdict == Verdict::NotRun;
                    fate.last_ms = now_ms;
                }
                Action::Peer { to, pool, message } => self.tell(instance, &to, &pool, message),
            }
        }
    }

    fn tell(&mut self, from: usize, to: &str, pool: &Arc<str>, message: share::Message) {
        let wire = PeerMessage {
            from: self.names[from].clone(),
            version: 1,
            shares: vec![share_to_wire(pool, message)],
            ..PeerMessage::default()
        };
        self.bytes += (wire.encoded_len() + DATAGRAM_BYTES) as u64;
        let to = self.names.iter().position(|n| n == to);
        if let Some(to) = to.filter(|_| !self.scenario.peers_are_cut) {
            let pool = Arc::clone(pool);
            self.soon(
                HOP_US,
                Event::Peer {
                    to,
                    from,
                    pool,
                    message,
                },
            );
        }
    }

    fn send(&mut self, instance: usize, request: u64, attempt: u64, upstream: &str, from: u32) {
        let engine = self.engines.iter().position(|e| *e.name == *upstream);
        let Some(engine) = engine else { return };
        self.flights.push(Flight {
            instance,
            attempt,
            request: request as usize - 1,
            engine,
            from,
            tokens: 0,
            noted_us: self.now_us,
            is_cancelled: false,
        });
        let flight = self.flights.len() - 1;
        self.soon(HOP_US, Event::ToEngine { engine, flight });
    }

    /// A token reaches the instance and, if its attempt is the right one, the caller.
    fn news(&mut self, flight: usize, index: u32, is_last: bool) {
        let f = &mut self.flights[flight];
        if f.is_cancelled {
            return;
        }
        f.tokens += 1;
        let (instance, attempt, tokens) = (f.instance, f.attempt, f.tokens);
        let is_noted = tokens == 1 || tokens % PROGRESS_TOKENS == 0;
        let is_due = self.now_us - f.noted_us >= PROGRESS_US;
        if is_noted || is_due {
            f.noted_us = self.now_us;
        }
        let request = f.request;
        let (now, now_ms) = (self.now(), self.now_ms());
        let router = &mut self.routers[instance];
        if tokens == 1 && !router.on_first_token(now, attempt) {
            return;
        }
        if tokens > 1 && (is_noted || is_due) {
            router.on_progress(now, attempt, tokens, index + 1);
        }
        let fate = &mut self.callers[request].fate;
        if fate.is_answered || fate.is_refused {
            return;
        }
        fate.first_ms
            .get_or_insert(now_ms + HOP_US as f64 / MS as f64);
        fate.tokens = fate.tokens.max(index + 1);
        fate.last_ms = now_ms;
        if is_last {
            fate.is_answered = true;
            let end = End::Answered { tokens: index + 1 };
            if !self.routers[instance].on_end(now, attempt, end) {
                self.routers[instance].close(now, request as u64 + 1);
            }
        }
        self.carry_out(instance);
    }

    fn ended(&mut self, flight: usize, end: End) {
        let f = self.flights[flight];
        let now = self.now();
        self.routers[f.instance].on_end(now, f.attempt, end);
        self.carry_out(f.instance);
    }
}
