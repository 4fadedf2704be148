//! Schedules that check the bound on retries that all instances share.
//!
//! Instances take as many retries as their part of the budget allows, while they are killed, join, leave and
//! are cut off from each other. A count over all of them, from outside, checks the bound in every window.

use super::{
    Guards,
    meshed::{
        Contents,
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
};

/// Steps in the window of the budget.
const WINDOW_STEPS: usize = 100;

/// Most requests that an instance gets in a step.
const MAX_REQUESTS: u64 = 4;

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
    for _ in 0..steps {
        meshed.step();
        let (asked, repeated) = serve(&mut meshed, guards);
        requests.push(asked);
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

/// Takes the requests of a step, and all retries that are allowed; returns the number of both.
fn serve(meshed: &mut Meshed<WindowBudget, ()>, guards: Guards) -> (u64, u64) {
    let now = meshed.now;
    let is_storm = meshed.random.below(10) < 7;
    let (mut requests, mut retries) = (0, 0);
    for instance in &mut meshed.instances {
        let arrived = meshed.random.below(MAX_REQUESTS + 1);
        let Ok(process) = &mut instance.process else {
            continue;
        };
        for _ in 0..arrived {
            process.contents.on_request(now);
        }
        requests += arrived;
        while is_storm && take_retry(process, now, guards) {
            retries += 1;
        }
    }
    (requests, retries)
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
