//! Schedules that check the bound on retries that all instances share.
//!
//! Callers send requests to instances that are killed, join, leave and are cut off from each other, and
//! callers move from one instance to another. After calm times, in which nothing fails, instances take as many
//! retries as their part of the budget allows. The upstreams count, in every window, the requests that reach
//! them beyond the first copy of each.

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

/// Longest time for which callers keep to their instances, and requests fail or do not, in steps.
const MAX_PHASE_STEPS: u64 = 150;

/// Bound on the retries of all instances together.
const BUDGET: WindowSettings = WindowSettings {
    ratio: 0.2,
    slack: 56.0,
    window_ms: WINDOW_STEPS as u64 * STEP_MS,
};

/// Share of its part of the budget that an instance spends.
const SPENT_SHARE: f64 = 0.9;

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

/// When the requests of a phase fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failures {
    Never,
    Sometimes,
    Always,
}

/// What callers and upstreams do for some time.
struct Phase {
    steps_left: u64,
    failures: Failures,
    requests: u64,
    /// Weight of each instance in the choice of the callers.
    weights: [u64; INSTANCES],
}

impl Phase {
    fn draw(random: &mut Random) -> Self {
        let failures = match random.below(4) {
            0 => Failures::Never,
            1 => Failures::Sometimes,
            _ => Failures::Always,
        };
        let is_burst = random.below(4) == 0;
        let is_even = random.below(2) == 0;
        Self {
            steps_left: 1 + random.below(MAX_PHASE_STEPS),
            failures,
            requests: if is_burst { BURST_REQUESTS } else { REQUESTS },
            weights: std::array::from_fn(|_| if is_even { 1 } else { random.below(4) }),
        }
    }

    fn has_failures(&self, random: &mut Random) -> bool {
        match self.failures {
            Failures::Never => false,
            Failures::Sometimes => random.below(10) < 7,
            Failures::Always => true,
        }
    }
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let contents: Contents<WindowBudget, ()> = Contents {
        start: if guards.starts_without_slack {
            |now, _, _| new_budget(now.plus(BUDGET.window_ms))
        } else {
            |_, _, _| new_budget(Millis::ZERO)
        },
        tell: |_, _, _, _| (),
        hear: |_, _, _, _, ()| (),
    };
    let mut meshed = Meshed::new(seed, steps, contents);
    let (mut requests, mut retries) = (History::default(), History::default());
    let mut counts = ScheduleCounts::default();
    let mut phase = Phase::draw(&mut meshed.random);
    for _ in 0..steps {
        meshed.step();
        if phase.steps_left == 0 {
            phase = Phase::draw(&mut meshed.random);
        }
        phase.steps_left -= 1;
        requests.push(phase.requests);
        let repeated = serve(&mut meshed, &phase, guards);
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

fn new_budget(slack_from: Millis) -> WindowBudget {
    let spent = WindowSettings {
        ratio: BUDGET.ratio * SPENT_SHARE,
        slack: BUDGET.slack * SPENT_SHARE,
        ..BUDGET
    };
    WindowBudget::new(spent, slack_from)
}

/// Hands the requests of a step to instances, and takes all retries that are allowed if they fail; returns
/// their number.
fn serve(meshed: &mut Meshed<WindowBudget, ()>, phase: &Phase, guards: Guards) -> u64 {
    let now = meshed.now;
    for _ in 0..phase.requests {
        if let Some(process) = choose_process(meshed, &phase.weights) {
            process.contents.on_request(now);
        }
    }
    if !phase.has_failures(&mut meshed.random) {
        return 0;
    }
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
