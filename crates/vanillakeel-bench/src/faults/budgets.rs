//! Schedules that check the bound on retries that all instances share.
//!
//! Instances take as many retries as their part of the budget allows. They are killed and restarted in
//! series, join, leave, and are cut off from each other. A count over all of them, from outside, checks the
//! bound in every window.

use super::Guards;
use std::{
    collections::VecDeque,
    sync::Arc, //
};
use vanillakeel::{
    Millis,
    attempt::{
        WindowBudget,
        WindowSettings, //
    },
    mesh::{
        Loads,
        Mesh,
        Peer,
        Settings as MeshSettings,
        Summary, //
    },
    order::Random,
};

/// Number of instances, spread over the data centres.
const INSTANCES: usize = 9;

const DATA_CENTRES: usize = 3;

/// Instances that are there from the start; the others join later.
const FIRST_INSTANCES: usize = 7;

/// Time between two steps, and between two reports of an instance, in ms.
const STEP_MS: u64 = 100;

/// Steps in the window of the budget.
const WINDOW_STEPS: usize = 100;

/// Datagrams that are lost, of 100.
const LOST_PERCENT: u64 = 5;

/// Longest time for which an instance is away, in ms.
const MAX_AWAY_MS: u64 = 3_000;

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

/// A running process of an instance.
struct Process {
    mesh: Mesh,
    budget: WindowBudget,
}

/// A simulated instance.
struct Instance {
    /// The process, or the time at which the next one starts.
    process: Result<Process, Millis>,
    /// Whether its address is in the list of peers.
    is_registered: bool,
    /// Whether it can't reach its peers.
    is_isolated: bool,
}

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

/// State of a schedule.
struct Simulation {
    random: Random,
    peers: Vec<Peer>,
    guards: Guards,
    now: Millis,
    instances: Vec<Instance>,
    requests: History,
    retries: History,
    counts: ScheduleCounts,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let instance = |_| Instance {
        process: Err(Millis::ZERO),
        is_registered: false,
        is_isolated: false,
    };
    let mut simulation = Simulation {
        random: Random::new(seed),
        peers: (0..INSTANCES).map(peer).collect(),
        guards,
        now: Millis::ZERO,
        instances: (0..INSTANCES).map(instance).collect(),
        requests: History::default(),
        retries: History::default(),
        counts: ScheduleCounts::default(),
    };
    for late in FIRST_INSTANCES..INSTANCES {
        let joins_ms = simulation.random.below(steps * STEP_MS);
        simulation.instances[late].process = Err(Millis::new(joins_ms));
    }
    for _ in 0..steps {
        simulation.step();
    }
    simulation.counts
}

fn peer(index: usize) -> Peer {
    Peer {
        name: Arc::from(format!("entry-{index}")),
        data_centre: Arc::from(format!("dc-{}", index % DATA_CENTRES)),
        ..Peer::default()
    }
}

impl Simulation {
    fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        for index in 0..INSTANCES {
            if let Err(starts) = self.instances[index].process
                && starts <= self.now
            {
                self.boot(index);
            }
        }
        self.inject_fault();
        for index in 0..INSTANCES {
            self.report(index);
        }
        let is_storm = self.random.below(10) < 7;
        let (mut requests, mut retries) = (0, 0);
        for index in 0..INSTANCES {
            let arrived = self.random.below(MAX_REQUESTS + 1);
            let Ok(process) = &mut self.instances[index].process else {
                continue;
            };
            for _ in 0..arrived {
                process.budget.on_request(self.now);
            }
            requests += arrived;
            while is_storm && take_retry(process, self.now, self.guards) {
                retries += 1;
            }
        }
        self.requests.push(requests);
        self.retries.push(retries);
        self.counts.retries += retries;
        self.check();
    }

    /// Checks the bound on the window that ends now.
    fn check(&mut self) {
        let before = [0, WINDOW_STEPS / 2, WINDOW_STEPS].map(|ago| self.requests.window(ago));
        let requests = before.into_iter().max().unwrap_or(0);
        let allowed = requests as f64 * BUDGET.ratio + BUDGET.slack;
        if self.retries.window(0) as f64 > allowed {
            self.counts.overspent += 1;
        }
    }

    fn inject_fault(&mut self) {
        let index = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(200) {
            // Kills come in series.
            0..6 => self.stop(index),
            6..9 => {
                self.tell_hubs_of_leaving(index);
                self.instances[index].is_registered = false;
                self.stop(index);
            }
            9..12 => self.instances[index].is_isolated ^= true,
            12 => {
                for index in 0..INSTANCES {
                    self.instances[index].is_isolated = self.random.below(2) == 0;
                }
            }
            13 => {
                for index in 0..INSTANCES {
                    self.stop(index);
                }
            }
            14..17 => {
                for instance in &mut self.instances {
                    instance.is_isolated = false;
                }
            }
            _ => {}
        }
    }

    fn stop(&mut self, index: usize) {
        if self.instances[index].process.is_ok() {
            let away_ms = self.random.below(MAX_AWAY_MS);
            self.instances[index].process = Err(self.now.plus(away_ms));
        }
    }

    /// Starts a process, which reads the list of peers and introduces itself.
    fn boot(&mut self, index: usize) {
        let mut mesh = Mesh::new(self.peers[index].clone(), MeshSettings::default());
        self.instances[index].is_registered = true;
        for other in (0..INSTANCES).filter(|i| *i != index) {
            if self.instances[other].is_registered {
                mesh.on_peer(&self.peers[other]);
            }
            if self.is_delivered(index, other)
                && let Ok(process) = &mut self.instances[other].process
            {
                process.mesh.on_peer(&self.peers[index]);
            }
        }
        mesh.on_list_read();
        let spent = WindowSettings {
            ratio: BUDGET.ratio * SPENT_SHARE,
            slack: BUDGET.slack * SPENT_SHARE,
            ..BUDGET
        };
        let slack_from = if self.guards.starts_without_slack {
            self.now.plus(BUDGET.window_ms)
        } else {
            Millis::ZERO
        };
        self.instances[index].process = Ok(Process {
            mesh,
            budget: WindowBudget::new(spent, slack_from),
        });
    }

    /// Returns whether a datagram reaches its receiver.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.instances[from].is_isolated || self.instances[to].is_isolated;
        let is_lost = self.random.below(100) < LOST_PERCENT;
        self.instances[to].process.is_ok() && !is_cut && !is_lost
    }

    fn index_of(&self, name: &str) -> usize {
        let found = self.peers.iter().position(|p| *p.name == *name);
        found.expect("all peers are instances")
    }

    fn tell_hubs_of_leaving(&mut self, index: usize) {
        let Ok(process) = &self.instances[index].process else {
            return;
        };
        let mut hubs = process.mesh.other_hubs(self.now);
        hubs.extend(process.mesh.hub(self.now).cloned());
        for hub in hubs {
            let hub = self.index_of(&hub.name);
            if self.is_delivered(index, hub)
                && let Ok(process) = &mut self.instances[hub].process
            {
                process.mesh.on_left(&self.peers[index].name);
            }
        }
    }

    /// Sends the report of an instance to its hub, which answers, and the totals of a hub to the others.
    fn report(&mut self, index: usize) {
        let now = self.now;
        let Ok(process) = &mut self.instances[index].process else {
            return;
        };
        // The number is remembered from report to report.
        let _ = process.mesh.sharing_instances(now);
        let hub = process.mesh.hub(now).cloned();
        if let Some(hub) = hub {
            process.mesh.on_sent(now, &hub.name);
            let hub = self.index_of(&hub.name);
            if self.is_delivered(index, hub) {
                let answer = self.on_report(index, hub);
                if self.is_delivered(hub, index)
                    && let Ok(process) = &mut self.instances[index].process
                {
                    process.mesh.on_summary(now, &self.peers[hub].name, answer);
                }
            }
        }
        self.exchange_totals(index);
    }

    fn on_report(&mut self, member: usize, hub: usize) -> Summary {
        let now = self.now;
        let Ok(process) = &mut self.instances[hub].process else {
            return Summary::default();
        };
        let member = &self.peers[member];
        process.mesh.on_peer(member);
        process
            .mesh
            .on_report(now, &member.name, Loads::default(), true);
        let (_, own) = process
            .mesh
            .own_data_centre(now, &Loads::default(), &member.name);
        Summary {
            is_fresh: true,
            instances: own + process.mesh.other_data_centres(now).1,
        }
    }

    fn exchange_totals(&mut self, index: usize) {
        let now = self.now;
        let Ok(process) = &mut self.instances[index].process else {
            return;
        };
        if !process.mesh.is_hub(now) {
            return;
        }
        let (_, instances) = process.mesh.own_data_centre(now, &Loads::default(), "");
        let me = process.mesh.me().clone();
        for other in process.mesh.other_hubs(now) {
            if let Ok(process) = &mut self.instances[index].process {
                process.mesh.on_sent(now, &other.name);
            }
            let other = self.index_of(&other.name);
            if self.is_delivered(index, other)
                && let Ok(process) = &mut self.instances[other].process
            {
                let loads = Loads::default();
                process.mesh.on_peer(&me);
                process
                    .mesh
                    .on_exchange(now, &me.name, &me.data_centre, loads, instances);
            }
        }
    }
}

/// Takes a retry from the budget of an instance; returns whether it was allowed.
fn take_retry(process: &mut Process, now: Millis, guards: Guards) -> bool {
    let instances = if guards.counts_unheard {
        process.mesh.sharing_instances(now)
    } else {
        Some(process.mesh.instances(now).unwrap_or(ASSUMED_INSTANCES))
    };
    process.budget.take(now, instances)
}
