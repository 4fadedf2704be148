//! Schedules that check the rates that upstreams name and all instances share.
//!
//! Upstreams name rates that change, end and begin again, while instances are killed, join, leave and are cut off
//! from each other. A count from outside, over every four seconds, checks how many requests an upstream gets
//! from instances that have been told. A cut excuses the instance that is cut off, until it has been in contact
//! again for some time.

use super::{
    Guards,
    meshed::{
        Contents,
        INSTANCES,
        Kind,
        Meshed,
        STEP_MS, //
    },
};
use std::collections::VecDeque;
use vanillakeel::{
    Millis,
    division::{
        Roster,
        Scope,
        Settings,
        instance_id, //
    },
    mesh::{
        Mesh,
        Peer, //
    },
    rate_limits::{
        Rate,
        RateLimit,
        ToldRate, //
    },
};

const UPSTREAMS: usize = 4;

/// Steps in the window in which requests are counted.
const WINDOW_STEPS: usize = 40;

/// Steps after a rate was first named from which windows are counted.
const NAMED_STEPS: u64 = 30;

/// Steps after an instance was told from which its requests count.
const TOLD_STEPS: u64 = 5;

/// Time after the end of a cut from which the requests of an instance count again, in ms.
const EXCUSED_MS: u64 = 3_000;

/// Steps for which a rate still counts that has been lowered: answers are under way for as long.
const LOWERED_STEPS: usize = 20;

/// Longest time from a request to the head of its answer, in steps.
const MAX_ANSWER_STEPS: u64 = 12;

/// Longest time for which a head is on its way, in steps; one of ten is, the others arrive at once.
const MAX_TRANSIT_STEPS: u64 = 15;

/// Most requests that an instance gets in a step.
const MAX_REQUESTS: u64 = 3;

/// Rates that upstreams name, in tenths of a request a second.
const RATES: [u32; 6] = [5, 10, 19, 30, 80, 200];

/// Faults found in a schedule, and the use of the rates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Steps at which an upstream had got more requests than allowed in four seconds.
    pub(super) exceeded: u64,
    /// Requests that were sent to upstreams that named a rate.
    pub(super) limited_sends: u64,
    /// Requests that the named rates allowed, in tenths.
    pub(super) named_tenths: u64,
}

/// What a process holds.
struct Held {
    roster: Roster,
    limits: Vec<RateLimit>,
    /// Step at which a head with the rate was seen first, since the upstream named a lower one last.
    told_at: [Option<u64>; UPSTREAMS],
}

/// What processes tell each other.
#[derive(Default)]
struct Told {
    rates: Vec<ToldRate>,
    instances: Vec<u32>,
}

/// A request whose answer has not arrived.
struct Pending {
    instance: usize,
    sent: Millis,
    /// Steps at which the head is written, and at which it arrives.
    written: u64,
    arrives: u64,
    /// Rate that the head names.
    rate: Option<Rate>,
}

#[derive(Default)]
struct Upstream {
    /// Rate that it names.
    rate: Option<Rate>,
    /// Step at which it began to name one, and at which it named a lower one last.
    named_since: u64,
    lowered_at: u64,
    pending: Vec<Pending>,
    /// Rates named in each step, and requests that count, newest last.
    rates: VecDeque<f64>,
    counted: VecDeque<u64>,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let contents: Contents<Held, Told> = Contents {
        start: if guards.counts_silent {
            |now, me, mesh| new_held(now, me, mesh, Settings::default())
        } else {
            |now, me, mesh| new_held(now, me, mesh, only_heard())
        },
        tell: |held, now, to, kind| held.tell(now, &to.name, kind),
        hear: |held, now, from, kind, told| held.hear(now, &from.name, kind, told),
        tick: |_, _, _| {},
        tells_skipped: false,
    };
    let mut meshed = Meshed::new(seed, steps, contents);
    let mut upstreams: Vec<Upstream> = (0..UPSTREAMS).map(|_| Upstream::default()).collect();
    let mut counts = ScheduleCounts::default();
    for step in 0..steps {
        meshed.step();
        change_rates(&mut meshed, &mut upstreams, step);
        answer(&mut meshed, &mut upstreams, step, guards);
        divide(&mut meshed, guards);
        send(&mut meshed, &mut upstreams, step, &mut counts);
        for upstream in &mut upstreams {
            counts.exceeded += u64::from(upstream.is_exceeded(step));
        }
    }
    counts.named_tenths /= 1_000 / STEP_MS;
    counts
}

/// Settings of a process for which only those instances count that it hears.
fn only_heard() -> Settings {
    Settings {
        silent_ttl_ms: 1_500,
        ..Settings::default()
    }
}

fn new_held(now: Millis, me: &Peer, mesh: &Mesh, settings: Settings) -> Held {
    let mut roster = Roster::new(&me.name, settings);
    let peers: Vec<u32> = mesh.peers().map(|p| instance_id(&p.name)).collect();
    roster.on_heard(now, &peers);
    roster.on_list_read();
    Held {
        roster,
        limits: (0..UPSTREAMS).map(|u| RateLimit::new(u as u32)).collect(),
        told_at: [None; UPSTREAMS],
    }
}

impl Held {
    fn tell(&mut self, now: Millis, to: &str, kind: Kind) -> Told {
        let scope = match kind {
            Kind::Introduction | Kind::Skipped => return Told::default(),
            Kind::Report => None,
            Kind::Summary => Some(Scope::All),
            Kind::Totals => Some(Scope::OwnDataCentre),
        };
        let list = |scope| self.roster.list_for(now, instance_id(to), scope);
        Told {
            instances: scope.map(list).unwrap_or_default(),
            rates: self.limits.iter().filter_map(|l| l.told(now)).collect(),
        }
    }

    fn hear(&mut self, now: Millis, from: &str, kind: Kind, told: &Told) {
        let from = instance_id(from);
        self.roster.on_heard(now, &[from]);
        if kind == Kind::Report {
            self.roster.on_report(now, from);
        }
        self.roster.on_heard(now, &told.instances);
        for rate in &told.rates {
            self.limits[rate.upstream as usize].on_told(now, rate);
        }
    }
}

/// Lets upstreams begin to name a rate, change it or end it.
fn change_rates(meshed: &mut Meshed<Held, Told>, upstreams: &mut [Upstream], step: u64) {
    for (at, upstream) in upstreams.iter_mut().enumerate() {
        if meshed.random.below(150) != 0 {
            continue;
        }
        let ends = upstream.rate.is_some() && meshed.random.below(3) == 0;
        if ends {
            upstream.rate = None;
            continue;
        }
        let tenths = RATES[meshed.random.below(RATES.len() as u64) as usize];
        let rate = Rate::new(f64::from(tenths) / 10.0);
        if upstream.rate.is_none() {
            upstream.named_since = step;
        }
        // An instance can only know a lower rate from an answer that names it.
        if upstream.rate.is_none() || rate < upstream.rate {
            upstream.lowered_at = step;
            for instance in &mut meshed.instances {
                if let Ok(process) = &mut instance.process {
                    process.contents.told_at[at] = None;
                }
            }
        }
        upstream.rate = rate;
    }
}

/// Hands the heads of answers that are due to the instances that wait for them.
fn answer(meshed: &mut Meshed<Held, Told>, upstreams: &mut [Upstream], step: u64, guards: Guards) {
    let now = meshed.now;
    for (at, upstream) in upstreams.iter_mut().enumerate() {
        let rate = upstream.rate;
        for pending in upstream.pending.iter_mut().filter(|p| p.written == step) {
            pending.rate = rate;
        }
        for pending in upstream.pending.extract_if(.., |p| p.arrives <= step) {
            let Ok(process) = &mut meshed.instances[pending.instance].process else {
                continue;
            };
            let held = &mut process.contents;
            let sent = if guards.orders_answers {
                pending.sent
            } else {
                now
            };
            held.limits[at].on_answer(now, sent, pending.rate);
            if pending.rate.is_some() && pending.written >= upstream.lowered_at {
                held.told_at[at].get_or_insert(step);
            }
        }
    }
}

/// Works out the parts of all instances anew.
fn divide(meshed: &mut Meshed<Held, Told>, guards: Guards) {
    let now = meshed.now;
    for instance in &mut meshed.instances {
        let Ok(process) = &mut instance.process else {
            continue;
        };
        let held = &mut process.contents;
        held.roster.tick(now);
        for limit in &mut held.limits {
            let Some(rate) = limit.rate() else {
                limit.set_part(now, Default::default());
                continue;
            };
            let mut part = held.roster.rate_part(limit.id(), rate);
            if !guards.divides_rates {
                part.per_second = rate.per_second();
            }
            limit.set_part(now, part);
        }
    }
}

/// Sends the requests of a step, each to the first upstream that has room for its instance.
fn send(
    meshed: &mut Meshed<Held, Told>,
    upstreams: &mut [Upstream],
    step: u64,
    counts: &mut ScheduleCounts,
) {
    let now = meshed.now;
    for upstream in upstreams.iter_mut() {
        upstream.begin_step();
        let named = upstream.rate.map_or(0.0, Rate::per_second);
        counts.named_tenths += (named * 10.0) as u64;
    }
    for index in 0..INSTANCES {
        for _ in 0..meshed.random.below(MAX_REQUESTS + 1) {
            let first = meshed.random.below(UPSTREAMS as u64) as usize;
            let written = step + 1 + meshed.random.below(MAX_ANSWER_STEPS);
            let is_slow = meshed.random.below(10) == 0;
            let transit = meshed.random.below(MAX_TRANSIT_STEPS);
            let instance = &mut meshed.instances[index];
            let is_excused = instance.was_isolated(now, EXCUSED_MS);
            let Ok(process) = &mut instance.process else {
                continue;
            };
            let held = &mut process.contents;
            let order = (0..UPSTREAMS).map(|n| (first + n) % UPSTREAMS);
            let Some(at) = order.into_iter().find(|at| held.limits[*at].has_room(now)) else {
                continue;
            };
            held.limits[at].on_send(now);
            let is_told = held.told_at[at].is_some_and(|told| step >= told + TOLD_STEPS);
            let upstream = &mut upstreams[at];
            upstream.pending.push(Pending {
                instance: index,
                sent: now,
                written,
                arrives: written + if is_slow { transit } else { 0 },
                rate: None,
            });
            if upstream.rate.is_some() {
                counts.limited_sends += 1;
                upstream.count(is_told && !is_excused);
            }
        }
    }
}

impl Upstream {
    fn begin_step(&mut self) {
        self.rates
            .push_back(self.rate.map_or(0.0, Rate::per_second));
        self.counted.push_back(0);
        if self.rates.len() > WINDOW_STEPS + LOWERED_STEPS {
            self.rates.pop_front();
        }
        if self.counted.len() > WINDOW_STEPS {
            self.counted.pop_front();
        }
    }

    fn count(&mut self, is_counted: bool) {
        if let Some(last) = self.counted.back_mut() {
            *last += u64::from(is_counted);
        }
    }

    /// Returns whether the window that ends now has more requests than one and a half times what the rates of its
    /// steps allow, and five.
    fn is_exceeded(&self, step: u64) -> bool {
        if self.rate.is_none() || step < self.named_since + NAMED_STEPS {
            return false;
        }
        let rates: Vec<f64> = self.rates.iter().copied().collect();
        let highest = |end: usize| {
            let from = end.saturating_sub(LOWERED_STEPS);
            rates[from..=end].iter().copied().fold(0.0, f64::max)
        };
        let from = rates.len().saturating_sub(WINDOW_STEPS);
        let seconds = STEP_MS as f64 / 1_000.0;
        let named: f64 = (from..rates.len()).map(|end| highest(end) * seconds).sum();
        let counted: u64 = self.counted.iter().sum();
        counted as f64 > named * 1.5 + 5.0
    }
}
