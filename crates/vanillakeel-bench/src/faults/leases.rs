//! Schedules that check the lease under which placement commands are sent.
//!
//! No command is sent under an old lease after a newer holder has sent one.

use super::{
    Guards,
    faulty_log::{
        Cursor,
        FaultyLog, //
    },
};
use vanillakeel::{
    Millis,
    lease::{
        Action,
        Lease,
        Record,
        Settings, //
    },
    order::Random,
};

/// Number of instances in a schedule.
const INSTANCES: usize = 4;

/// Name of the lease.
const LEASE_NAME: &str = "placement";

/// Longest pause of an instance in ms, longer than the duration of a lease.
const LONGEST_PAUSE_MS: u64 = 30_000;

/// A simulated instance.
struct Instance {
    lease: Lease,
    cursor: Cursor,
    /// Whether the instance cannot reach the log.
    is_disconnected: bool,
    paused_until: Millis,
}

/// Faults found in a schedule, and the numbers of commands and holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Commands sent under an old lease, which an upstream that ignores fencing tokens would carry
    /// out.
    pub(super) stale_commands_accepted: u64,
    pub(super) commands: u64,
    pub(super) holders: u64,
}

/// State of a schedule.
struct Simulation {
    random: Random,
    log: FaultyLog<Record>,
    instances: Vec<Instance>,
    guards: Guards,
    boot_count: u64,
    now: Millis,
    /// Highest fencing token under which a command was sent.
    highest_fencing_token: u64,
    counts: ScheduleCounts,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let mut simulation = Simulation {
        random: Random::new(seed),
        log: FaultyLog::new(),
        instances: Vec::new(),
        guards,
        boot_count: 0,
        now: Millis::ZERO,
        highest_fencing_token: 0,
        counts: ScheduleCounts::default(),
    };
    for _ in 0..INSTANCES {
        let instance = simulation.boot();
        simulation.instances.push(instance);
    }
    for _ in 0..steps {
        simulation.step();
    }
    simulation.counts
}

impl Simulation {
    /// Returns a newly started instance under a name that was not used before.
    fn boot(&mut self) -> Instance {
        self.boot_count += 1;
        let settings = Settings {
            expires: self.guards.lease_expires,
            ..Settings::default()
        };
        let mut lease = Lease::new(LEASE_NAME, &format!("boot-{}", self.boot_count), settings);
        lease.begin(self.log.first_offset());
        Instance {
            lease,
            cursor: Cursor::default(),
            is_disconnected: false,
            paused_until: Millis::ZERO,
        }
    }

    /// Advances the time and performs one random step.
    fn step(&mut self) {
        self.now = self.now.plus(self.random.below(800));
        let index = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..60 => self.do_periodic_work(index),
            60..88 => self.send_command(index),
            88..90 => self.log.deliver_delayed(&mut self.random, self.now),
            90..93 => self.instances[index].is_disconnected ^= true,
            93..96 => {
                let ms = self.random.below(LONGEST_PAUSE_MS);
                self.instances[index].paused_until = self.now.plus(ms);
            }
            96..98 => self.instances[index] = self.boot(),
            _ => self.trim(),
        }
    }

    /// Reads a random number of records from the log and does the instance's periodic work.
    fn do_periodic_work(&mut self, index: usize) {
        let now = self.now;
        let limit = self.random.below(5) as usize;
        let instance = &mut self.instances[index];
        if now < instance.paused_until {
            return;
        }
        if !instance.is_disconnected {
            // If records were trimmed before the instance read them, its view of the lease starts
            // again at the oldest record that is left.
            if self.log.first_offset() > instance.cursor.next_offset {
                instance.lease.begin(self.log.first_offset());
            }
            let page = instance.cursor.read(&self.log, limit);
            instance.lease.on_records(now, &page.records, page.is_end);
        }
        instance.lease.tick(now, true);
        let actions: Vec<Action> = instance.lease.drain().collect();
        let is_disconnected = instance.is_disconnected;
        for Action::Append(record) in actions {
            if !is_disconnected {
                self.log.append(&mut self.random, self.now, record);
            }
        }
    }

    /// Sends a command if the instance holds the lease, which is checked right before.
    fn send_command(&mut self, index: usize) {
        let instance = &self.instances[index];
        if self.now < instance.paused_until {
            return;
        }
        let Some(fencing_token) = instance.lease.fencing_token(self.now) else {
            return;
        };
        self.counts.commands += 1;
        if fencing_token < self.highest_fencing_token {
            self.counts.stale_commands_accepted += 1;
        }
        if fencing_token > self.highest_fencing_token {
            self.highest_fencing_token = fencing_token;
            self.counts.holders += 1;
        }
    }

    /// Trims all records but a random number of the newest.
    fn trim(&mut self) {
        let length = self.log.end_offset() - self.log.first_offset();
        let keep = 6 + self.random.below(10);
        self.log
            .trim(self.log.first_offset() + length.saturating_sub(keep));
    }
}
