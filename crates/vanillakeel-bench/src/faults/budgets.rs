//! Schedules that check the bound on retries that all instances share.
//!
//! Callers send requests to instances that are killed, join, leave and are cut off from each other, and
//! callers move from one instance to another. After calm times, in which nothing fails, instances take as many
//! retries as their part of the budget allows. A count over all of them, from outside, checks the bound in every
//! window.

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
};

/// Share of its part of the budget that an instance spends.
const SPENT_SHARE: f64 = 0.9;

/// What an instance applies to its own requests, and to its part of the slack.
const OWN_PART: WindowSettings = WindowSettings {
    ratio: BUDGET.ratio * SPENT_SHARE,
    growth_ratio: BUDGET.ratio * (1.0 - SPENT_SHARE),
    slack: BUDGET.slack * SPENT_SHARE,
    window_ms: BUDGET.window_ms,
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

    fn step(&mut self, random: &mut Random) {
        match self.steps_left.checked_sub(1) {
            Some(left) => self.steps_left = left,
            None => *self = Self::draw(random),
        }
    }
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let contents: Contents<WindowBudget, ()> = Contents {
        start: if !guards.starts_without_slack {
            |_, _, _| WindowBudget::new(OWN_PART, Millis::ZERO)
        } else if !guards.counts_earlier_window {
            |now, _, _| new_budget(now, OWN_PART.ratio)
        } else {
            |now, _, _| new_budget(now, OWN_PART.growth_ratio)
        },
        tell: |_, _, _, _| (),
        hear: |_, _, _, _, ()| (),
    };
    let mut meshed = Meshed::new(seed, steps, contents);
    let (mut requests, mut retries) = (History::default(), History::default());
    let mut counts = ScheduleCounts::default();
    let mut callers = Callers::draw(&mut meshed.random);
    let mut failures = Failures::draw(&mut meshed.random);
    for step in 0..steps {
        meshed.is_calm = step % (CALM_STEPS + FAULT_STEPS) < CALM_STEPS;
        meshed.step();
        callers.step(&mut meshed.random);
        failures.step(&mut meshed.random);
        requests.push(callers.requests);
        hand_over(&mut meshed, &callers);
        let repeated = if meshed.random.below(100) < failures.percent {
            repeat(&mut meshed, guards)
        } else {
            0
        };
        retries.push(repeated);
        counts.retries += repeated;
        let before = [0, WINDOW_STEPS / 2, WINDOW_STEPS].map(|ago| requests.window(ago));
        let counted = before.into_iter().max().unwrap_or(0);
        let allowed = counted as f64 * BUDGET.ratio + BUDGET.slack;
        if retries.window(0) as f64 > allowed {
            counts.overspent += 1;
        }
    }
    counts
}

fn new_budget(now: Millis, growth_ratio: f64) -> WindowBudget {
    let settings = WindowSettings {
        growth_ratio,
        ..OWN_PART
    };
    WindowBudget::new(settings, now.plus(BUDGET.window_ms))
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

/// Takes all retries that the budgets allow; returns their number.
fn repeat(meshed: &mut Meshed<WindowBudget, ()>, guards: Guards) -> u64 {
    let now = meshed.now;
    let running = meshed.instances.iter_mut();
    let running = running.filter_map(|i| i.process.as_mut().ok());
    let taken = running.map(|process| {
        let retries = std::iter::repeat_with(|| take_retry(process, now, guards));
        retries.take_while(|is_allowed| *is_allowed).count() as u64
    });
    taken.sum()
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
