//! Schedules that check the agreement on the configuration.
//!
//! Each version has the same content on all instances, and the version of an instance never goes
//! back unless the instance restarts.

use super::{
    Guards,
    faulty_log::{
        Cursor,
        FaultyLog, //
    },
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};
use vanillakeel::{
    Millis,
    config_log::{
        Action,
        ConfigReplica,
        Proposal,
        Record,
        Version, //
    },
    order::Random,
};

/// Number of instances in a schedule.
const INSTANCES: usize = 5;

/// Names of the instances.
const NAMES: [&str; INSTANCES] = ["a", "b", "c", "d", "e"];

/// The check that an instance makes before it accepts a configuration.
///
/// Instances of different software versions may accept different configurations.
type Check = fn(&str) -> Result<(), String>;

/// A simulated instance.
struct Instance {
    replica: ConfigReplica<Check>,
    cursor: Cursor,
    /// Whether the instance cannot reach the log.
    is_disconnected: bool,
    is_paused: bool,
    /// Highest version that the instance has had since its start.
    highest_version: Version,
}

/// Faults found in a schedule, and the number of versions that came into force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    pub(super) reverted: u64,
    pub(super) diverged: u64,
    pub(super) versions: u64,
}

/// State of a schedule.
struct Simulation {
    random: Random,
    log: FaultyLog<Record>,
    instances: Vec<Instance>,
    guards: Guards,
    now: Millis,
    last_proposal_id: u128,
    /// The configuration that was first seen for each version.
    configs: BTreeMap<Version, Arc<str>>,
    counts: ScheduleCounts,
}

/// Refuses some configurations, as an older software version may do.
fn strict_check(config: &str) -> Result<(), String> {
    if config.ends_with('7') {
        return Err("an older version refuses this".to_owned());
    }
    Ok(())
}

/// Accepts all configurations.
fn lenient_check(_: &str) -> Result<(), String> {
    Ok(())
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let mut simulation = Simulation {
        random: Random::new(seed),
        log: FaultyLog::new(),
        instances: Vec::new(),
        guards,
        now: Millis::ZERO,
        last_proposal_id: 0,
        configs: BTreeMap::new(),
        counts: ScheduleCounts::default(),
    };
    for index in 0..INSTANCES {
        let instance = simulation.boot(index);
        simulation.instances.push(instance);
    }
    for _ in 0..steps {
        simulation.step();
    }
    simulation.counts.versions = simulation.configs.len() as u64;
    simulation.counts
}

impl Simulation {
    /// Returns a newly started instance, whose check depends on its index.
    fn boot(&self, index: usize) -> Instance {
        let check: Check = if index.is_multiple_of(2) {
            strict_check
        } else {
            lenient_check
        };
        let mut replica = ConfigReplica::new(NAMES[index], check);
        replica.set_peers(NAMES.into_iter());
        if !self.guards.version_never_falls {
            replica = replica.without_version_guard();
        }
        Instance {
            replica,
            cursor: Cursor::default(),
            is_disconnected: false,
            is_paused: false,
            highest_version: 0,
        }
    }

    /// Advances the time and performs one random step.
    fn step(&mut self) {
        self.now = self.now.plus(self.random.below(300));
        let index = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..4 => self.publish(),
            4..70 => self.do_periodic_work(index),
            70..84 => self.gossip(index),
            84..87 => self.log.deliver_delayed(&mut self.random, self.now),
            87..91 => {
                let may_disconnect = self.random.chance(0.4);
                self.instances[index].is_disconnected =
                    !self.instances[index].is_disconnected && may_disconnect;
            }
            91..95 => {
                let may_pause = self.random.chance(0.4);
                self.instances[index].is_paused = !self.instances[index].is_paused && may_pause;
            }
            95..97 => self.instances[index] = self.boot(index),
            _ => self.trim(),
        }
        self.check_invariants(index);
    }

    /// Appends an operator's proposal, which may be based on an older version than the newest.
    fn publish(&mut self) {
        self.last_proposal_id += 1;
        let newest = self.configs.keys().last().copied().unwrap_or(0);
        let base = if self.random.chance(0.7) {
            newest
        } else {
            let older = self.configs.keys().rev().nth(1).copied();
            older.unwrap_or(0)
        };
        let proposal = Proposal {
            id: self.last_proposal_id,
            base,
            text: Arc::from(format!("text {}", self.last_proposal_id)),
            author: Arc::from("operator"),
        };
        self.log
            .append(&mut self.random, self.now, Record::Proposal(proposal));
    }

    /// Reads a random number of records from the log and does the instance's periodic work.
    fn do_periodic_work(&mut self, index: usize) {
        let limit = self.random.below(40) as usize;
        let instance = &mut self.instances[index];
        if instance.is_paused {
            return;
        }
        if !instance.is_disconnected {
            let page = instance.cursor.read(&self.log, limit);
            let first = self.log.first_offset();
            instance
                .replica
                .on_records(self.now, first, &page.records, page.next_offset);
        }
        // Records before this offset are taken to be at risk of being trimmed soon.
        let first_safe_offset = (self.log.first_offset() + self.log.end_offset()) / 2;
        instance.replica.tick(self.now, first_safe_offset);
        let actions: Vec<Action> = instance.replica.drain().collect();
        let is_disconnected = instance.is_disconnected;
        for action in actions {
            if let Action::Append(record) = action
                && !is_disconnected
            {
                self.log.append(&mut self.random, self.now, record);
            }
        }
    }

    /// Sends an instance's configuration and version to a random peer.
    fn gossip(&mut self, from: usize) {
        let to = self.random.below(INSTANCES as u64) as usize;
        if self.instances[from].is_paused || self.instances[to].is_paused {
            return;
        }
        let replica = &self.instances[from].replica;
        let (version, config) = (replica.version(), Arc::clone(replica.text()));
        self.instances[to].replica.on_peer(version, &config);
    }

    /// Trims old records as retention does, if a checkpoint that covers them stays on the log.
    fn trim(&mut self) {
        let length = self.log.end_offset() - self.log.first_offset();
        let keep = 12 + self.random.below(20);
        let to = self.log.first_offset() + length.saturating_sub(keep);
        let records = self.log.read(to, usize::MAX);
        let has_checkpoint = records
            .iter()
            .any(|(_, r)| matches!(r, Record::Checkpoint(c) if c.applied_to >= to));
        // A real log keeps records for hours, long enough for an instance to write a checkpoint.
        if has_checkpoint {
            self.log.trim(to.min(self.log.end_offset()));
        }
    }

    /// Counts a fault if the instance's version went back or if its configuration differs from the
    /// one that is known for its version.
    fn check_invariants(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let version = instance.replica.version();
        if version < instance.highest_version {
            self.counts.reverted += 1;
        }
        instance.highest_version = instance.highest_version.max(version);
        if version == 0 {
            return;
        }
        let config = Arc::clone(instance.replica.text());
        let known = self
            .configs
            .entry(version)
            .or_insert_with(|| Arc::clone(&config));
        if *known != config {
            self.counts.diverged += 1;
        }
    }
}
