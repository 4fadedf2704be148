//! One text in force everywhere, and no version that falls.

use super::{
    Guards,
    fake::{
        Cursor,
        Log, //
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

/// Instances of a schedule.
const INSTANCES: usize = 5;

/// Names of the instances.
const NAMES: [&str; INSTANCES] = ["a", "b", "c", "d", "e"];

/// What an instance's check thinks of a text; software versions differ.
type Check = fn(&str) -> Result<(), String>;

struct Instance {
    configuration: ConfigReplica<Check>,
    cursor: Cursor,
    is_cut: bool,
    is_paused: bool,
    highest: Version,
}

/// Faults found in a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Found {
    pub(super) reverted: u64,
    pub(super) diverged: u64,
    pub(super) versions: u64,
}

struct World {
    random: Random,
    log: Log<Record>,
    instances: Vec<Instance>,
    guards: Guards,
    now: Millis,
    last_edit: u128,
    texts: BTreeMap<Version, Arc<str>>,
    found: Found,
}

fn strict(text: &str) -> Result<(), String> {
    if text.ends_with('7') {
        return Err("an older version refuses this".to_owned());
    }
    Ok(())
}

fn lenient(_: &str) -> Result<(), String> {
    Ok(())
}

/// Runs a schedule of `steps` and returns what was found.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> Found {
    let mut world = World {
        random: Random::new(seed),
        log: Log::new(),
        instances: Vec::new(),
        guards,
        now: Millis::ZERO,
        last_edit: 0,
        texts: BTreeMap::new(),
        found: Found::default(),
    };
    for at in 0..INSTANCES {
        let instance = world.boot(at);
        world.instances.push(instance);
    }
    for _ in 0..steps {
        world.step();
    }
    world.found.versions = world.texts.len() as u64;
    world.found
}

impl World {
    fn boot(&self, at: usize) -> Instance {
        let check: Check = if at.is_multiple_of(2) {
            strict
        } else {
            lenient
        };
        let mut configuration = ConfigReplica::new(NAMES[at], check);
        configuration.set_peers(NAMES.into_iter());
        if !self.guards.version_never_falls {
            configuration = configuration.without_version_guard();
        }
        Instance {
            configuration,
            cursor: Cursor::default(),
            is_cut: false,
            is_paused: false,
            highest: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus(self.random.below(300));
        let at = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..4 => self.edit(),
            4..70 => self.work(at),
            70..84 => self.gossip(at),
            84..87 => self.log.land(&mut self.random, self.now),
            87..91 => {
                let stays = self.random.chance(0.4);
                self.instances[at].is_cut = !self.instances[at].is_cut && stays;
            }
            91..95 => {
                let stays = self.random.chance(0.4);
                self.instances[at].is_paused = !self.instances[at].is_paused && stays;
            }
            95..97 => self.instances[at] = self.boot(at),
            _ => self.trim(),
        }
        self.check(at);
    }

    /// An operator publishes a text made from some version, often not the newest.
    fn edit(&mut self) {
        self.last_edit += 1;
        let newest = self.texts.keys().last().copied().unwrap_or(0);
        let base = if self.random.chance(0.7) {
            newest
        } else {
            let older = self.texts.keys().rev().nth(1).copied();
            older.unwrap_or(0)
        };
        let edit = Proposal {
            id: self.last_edit,
            base,
            text: Arc::from(format!("text {}", self.last_edit)),
            author: Arc::from("operator"),
        };
        self.log
            .append(&mut self.random, self.now, Record::Proposal(edit));
    }

    /// An instance reads a part of the log and does its periodic work.
    fn work(&mut self, at: usize) {
        let most = self.random.below(40) as usize;
        let instance = &mut self.instances[at];
        if instance.is_paused {
            return;
        }
        if !instance.is_cut {
            let page = instance.cursor.read(&self.log, most);
            let first = self.log.first();
            instance
                .configuration
                .on_records(self.now, first, &page.records, page.next);
        }
        let at_risk = (self.log.first() + self.log.end()) / 2;
        instance.configuration.tick(self.now, at_risk);
        let actions: Vec<Action> = instance.configuration.drain().collect();
        let is_cut = instance.is_cut;
        for action in actions {
            if let Action::Append(record) = action
                && !is_cut
            {
                self.log.append(&mut self.random, self.now, record);
            }
        }
    }

    /// An instance tells another of its text.
    fn gossip(&mut self, from: usize) {
        let to = self.random.below(INSTANCES as u64) as usize;
        if self.instances[from].is_paused || self.instances[to].is_paused {
            return;
        }
        let configuration = &self.instances[from].configuration;
        let (version, text) = (configuration.version(), Arc::clone(configuration.text()));
        self.instances[to].configuration.on_peer(version, &text);
    }

    /// Retention takes old records, but none after the newest checkpoint that was written in time.
    fn trim(&mut self) {
        let length = self.log.end() - self.log.first();
        let keep = 12 + self.random.below(20);
        let to = self.log.first() + length.saturating_sub(keep);
        let records = self.log.read(to, usize::MAX);
        let has_checkpoint = records
            .iter()
            .any(|(_, r)| matches!(r, Record::Checkpoint(c) if c.applied_to >= to));
        // The log keeps records for hours, in which some instance writes a checkpoint.
        if has_checkpoint {
            self.log.trim(to.min(self.log.end()));
        }
    }

    /// A version must not fall, and has one text everywhere.
    fn check(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let version = instance.configuration.version();
        if version < instance.highest {
            self.found.reverted += 1;
        }
        instance.highest = instance.highest.max(version);
        if version == 0 {
            return;
        }
        let text = Arc::clone(instance.configuration.text());
        let known = self
            .texts
            .entry(version)
            .or_insert_with(|| Arc::clone(&text));
        if *known != text {
            self.found.diverged += 1;
        }
    }
}
