//! Schedules that check the bound on retries that all instances share.
//!
//! Callers send requests to instances that are killed, join, leave and are cut off from each other, and
//! callers move from one instance to another. After calm times, in which nothing fails, instances take as many
//! retries as their part of the budget allows. Cuts between instances and upstreams hold them up. The upstreams
//! count, in every window, the retries that reach them.

use super::{
    Guards,
    meshed::{
        Contents,
        INSTANCES,
        Meshed,
        Process,
        STEP_MS, //
    },
};
use std::collections::VecDeque;
use vanillakeel::{
    Millis,
    attempt::{
        WindowBudget,
        WindowSettings, //
    },
    order::Random,
};

/// Steps in the window of the budget.
const WINDOW_STEPS: usize = 100;

/// Requests that callers send in a step, and in a step of a burst.
const REQUESTS: u64 = 14;
const BURST_REQUESTS: u64 = 40;

/// Longest time for which callers keep to their instances, in steps.
const MAX_CALLER_STEPS: u64 = 400;

/// Time after which instances get faults, and time for which they do, in steps: they have budgets to lose only if
/// they were well for some time.
const CALM_STEPS: u64 = 250;
const FAULT_STEPS: u64 = 80;

/// Longest time for which requests fail or do not, in steps.
const MAX_FAILURE_STEPS: u64 = 150;

/// Bound on the retries of all instances together.
const BUDGET: WindowSettings = WindowSettings {
    ratio: 0.2,
    growth_ratio: 0.0,
    slack: 56.0,
    window_ms: WINDOW_STEPS as u64 * STEP_MS,
    arrival_ms: 0,
};

/// Time after which an instance gives up a request that is not acknowledged, in ms.
const UNACKNOWLEDGED_MS: u64 = 1_400;

/// Longest cut between an instance and the upstreams, in ms.
const MAX_CUT_MS: u64 = 3_000;

/// Share of its part of the budget that an instance spends.
const SPENT_SHARE: f64 = 0.9;

/// What an instance applies to its own requests, and to its part of the slack.
const OWN_PART: WindowSettings = WindowSettings {
    ratio: BUDGET.ratio * SPENT_SHARE,
    growth_ratio: BUDGET.ratio * (1.0 - SPENT_SHARE),
    slack: BUDGET.slack * SPENT_SHARE,
    window_ms: BUDGET.window_ms,
    arrival_ms: UNACKNOWLEDGED_MS,
};

/// Number of instances that a process without the safeguard assumes while it hears of none.
const ASSUMED_INSTANCES: u32 = 16;

/// Faults found in a schedule, and the number of retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Steps at which the window had more retries than the bound.
    pub(super) overspent: u64,
    /// Retries that the budgets allowed.
    pub(super) retries: u64,
}

/// Requests or retries in each step, newest last.
#[derive(Default)]
struct History(VecDeque<u64>);

impl History {
    /// Returns the sum over a window that ended `steps_ago`.
    fn window(&self, steps_ago: usize) -> u64 {
        let counts = self.0.iter().rev().skip(steps_ago);
        counts.take(WINDOW_STEPS).sum()
    }

    fn push(&mut self, count: u64) {
        self.0.push_back(count);
        if self.0.len() > 2 * WINDOW_STEPS {
            self.0.pop_front();
        }
    }
}

/// What callers do for some time.
struct Callers {
    steps_left: u64,
    requests: u64,
    /// Weight of each instance in the choice of a caller.
    weights: [u64; INSTANCES],
}

impl Callers {
    fn draw(random: &mut Random) -> Self {
        let is_burst = random.below(4) == 0;
        let is_even = random.below(2) == 0;
        Self {
            steps_left: random.below(MAX_CALLER_STEPS),
            requests: if is_burst { BURST_REQUESTS } else { REQUESTS },
            weights: std::array::from_fn(|_| if is_even { 1 } else { random.below(4) }),
        }
    }

    fn step(&mut self, random: &mut Random) {
        match self.steps_left.checked_sub(1) {
            Some(left) => self.steps_left = left,
            None => *self = Self::draw(random),
        }
    }
}

/// Whether the requests of a step fail.
struct Failures {
    steps_left: u64,
    percent: u64,
}

impl Failures {
    fn draw(random: &mut Random) -> Self {
        Self {
            steps_left: random.below(MAX_FAILURE_STEPS),
            percent: [0, 70, 100, 100][random.below(4) as usize],
        }
    }

    /// Goes on by one step; returns whether a time of failures begins.
    fn step(&mut self, random: &mut Random) -> bool {
        if let Some(left) = self.steps_left.checked_sub(1) {
            self.steps_left = left;
            return false;
        }
        let was_calm = self.percent == 0;
        *self = Self::draw(random);
        was_calm && self.percent > 0
    }
}

/// The links between instances and upstreams.
#[derive(Default)]
struct Links {
    /// Time at which the last cut of each instance ends.
    healed_at: [Millis; INSTANCES],
    /// Retries that a cut holds up, with the time at which it ends.
    held_up: Vec<(Millis, u64)>,
}

impl Links {
    /// Cuts off some instances; a cut of all of them is often why requests begin to fail.
    fn inject_fault(&mut self, random: &mut Random, now: Millis, failures_begin: bool) {
        let is_cut_of_all = failures_begin && random.below(3) == 0;
        let cut_off = if is_cut_of_all {
            0..INSTANCES
        } else if random.below(30) == 0 {
            let index = random.below(INSTANCES as u64) as usize;
            index..index + 1
        } else {
            return;
        };
        let healed_at = now.plus(random.below(MAX_CUT_MS));
        self.healed_at[cut_off].fill(healed_at);
    }

    /// Sends retries of an instance to upstreams.
    fn send(&mut self, now: Millis, index: usize, retries: u64, guards: Guards) {
        let arrives_at = self.healed_at[index].max(now);
        let is_given_up = arrives_at.since(now) > UNACKNOWLEDGED_MS;
        if !is_given_up || !guards.resets_given_up {
            self.held_up.push((arrives_at, retries));
        }
    }

    /// Returns the number of retries that arrive.
    fn arrived(&mut self, now: Millis) -> u64 {
        let arrived = self.held_up.extract_if(.., |(at, _)| *at <= now);
        arrived.map(|(_, retries)| retries).sum()
    }
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let contents: Contents<WindowBudget, ()> = Contents {
        start: if !guards.starts_without_slack {
            |_, _, _| WindowBudget::new(OWN_PART, Millis::ZERO, Millis::ZERO)
        } else if !guards.counts_earlier_window {
            |now, _, _| new_budget(now, OWN_PART.ratio, OWN_PART.arrival_ms)
        } else if !guards.counts_until_arrival {
            |now, _, _| new_budget(now, OWN_PART.growth_ratio, 0)
        } else {
            |now, _, _| new_budget(now, OWN_PART.growth_ratio, OWN_PART.arrival_ms)
        },
        tell: |_, _, _, _| (),
        hear: |_, _, _, _, ()| (),
        tick: |_, _, _| {},
        tells_skipped: false,
    };
    let mut meshed = Meshed::new(seed, steps, contents);
    let (mut requests, mut retries) = (History::default(), History::default());
    let mut counts = ScheduleCounts::default();
    let mut callers = Callers::draw(&mut meshed.random);
    let mut failures = Failures::draw(&mut meshed.random);
    let mut links = Links::default();
    for step in 0..steps {
        meshed.is_calm = step % (CALM_STEPS + FAULT_STEPS) < CALM_STEPS;
        meshed.step();
        callers.step(&mut meshed.random);
        let failures_begin = failures.step(&mut meshed.random);
        links.inject_fault(&mut meshed.random, meshed.now, failures_begin);
        requests.push(callers.requests);
        hand_over(&mut meshed, &callers);
        if meshed.random.below(100) < failures.percent {
            repeat(&mut meshed, &mut links, guards);
        }
        let arrived = links.arrived(meshed.now);
        retries.push(arrived);
        counts.retries += arrived;
        let before = [0, WINDOW_STEPS / 2, WINDOW_STEPS].map(|ago| requests.window(ago));
        let counted = before.into_iter().max().unwrap_or(0);
        let allowed = counted as f64 * BUDGET.ratio + BUDGET.slack;
        if retries.window(0) as f64 > allowed {
            counts.overspent += 1;
        }
    }
    counts
}

fn new_budget(now: Millis, growth_ratio: f64, arrival_ms: u64) -> WindowBudget {
    let settings = WindowSettings {
        growth_ratio,
        arrival_ms,
        ..OWN_PART
    };
    WindowBudget::new(settings, now.plus(BUDGET.window_ms), Millis::ZERO)
}

/// Hands the requests of a step to instances.
fn hand_over(meshed: &mut Meshed<WindowBudget, ()>, callers: &Callers) {
    let now = meshed.now;
    for _ in 0..callers.requests {
        if let Some(process) = choose_process(meshed, &callers.weights) {
            process.contents.on_request(now);
        }
    }
}

/// Sends all retries that the budgets allow.
fn repeat(meshed: &mut Meshed<WindowBudget, ()>, links: &mut Links, guards: Guards) {
    let now = meshed.now;
    for (index, instance) in meshed.instances.iter_mut().enumerate() {
        if let Ok(process) = &mut instance.process {
            let retries = std::iter::repeat_with(|| take_retry(process, now, guards));
            let taken = retries.take_while(|is_allowed| *is_allowed).count();
            links.send(now, index, taken as u64, guards);
        }
    }
}

/// Returns the running process that a caller chooses, by the weights of the instances.
fn choose_process<'a>(
    meshed: &'a mut Meshed<WindowBudget, ()>,
    weights: &[u64; INSTANCES],
) -> Option<&'a mut Process<WindowBudget>> {
    let random = meshed.random.below(u64::MAX);
    let running = meshed.instances.iter_mut().zip(weights);
    let running: Vec<_> = running
        .filter_map(|(i, weight)| Some((i.process.as_mut().ok()?, *weight)))
        .collect();
    let total: u64 = running.iter().map(|(_, weight)| weight).sum();
    let mut at = random.checked_rem(total)?;
    for (process, weight) in running {
        if at < weight {
            return Some(process);
        }
        at -= weight;
    }
    None
}

/// Takes a retry from the budget of an instance; returns whether it was allowed.
fn take_retry(process: &mut Process<WindowBudget>, now: Millis, guards: Guards) -> bool {
    let instances = if guards.counts_unheard {
        process.mesh.sharing_instances(now)
    } else {
        Some(process.mesh.instances(now).unwrap_or(ASSUMED_INSTANCES))
    };
    process.contents.take(now, instances)
}
