//! No order under an old lease is carried out.

use super::{
    Guards,
    fake::{
        Cursor,
        Log, //
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

/// Instances of a schedule.
const INSTANCES: usize = 4;

/// The chore of the lease.
const CHORE: &str = "placement";

/// Longest pause of an instance in ms, longer than a lease.
const LONGEST_PAUSE_MS: u64 = 30_000;

struct Instance {
    lease: Lease,
    cursor: Cursor,
    is_cut: bool,
    paused_until: Millis,
}

/// Faults found in a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Found {
    /// Orders that an upstream which ignores fencing numbers took under an old lease.
    pub(super) stale_orders_accepted: u64,
    pub(super) orders: u64,
    pub(super) holders: u64,
}

struct World {
    random: Random,
    log: Log<Record>,
    instances: Vec<Instance>,
    guards: Guards,
    boots: u64,
    now: Millis,
    newest_fencing: u64,
    found: Found,
}

/// Runs a schedule of `steps` and returns what was found.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> Found {
    let mut world = World {
        random: Random::new(seed),
        log: Log::new(),
        instances: Vec::new(),
        guards,
        boots: 0,
        now: Millis::ZERO,
        newest_fencing: 0,
        found: Found::default(),
    };
    for _ in 0..INSTANCES {
        let instance = world.boot();
        world.instances.push(instance);
    }
    for _ in 0..steps {
        world.step();
    }
    world.found
}

impl World {
    fn boot(&mut self) -> Instance {
        self.boots += 1;
        let settings = Settings {
            expires: self.guards.lease_expires,
            ..Settings::default()
        };
        let mut lease = Lease::new(CHORE, &format!("boot-{}", self.boots), settings);
        lease.begin(self.log.first());
        Instance {
            lease,
            cursor: Cursor::default(),
            is_cut: false,
            paused_until: Millis::ZERO,
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus(self.random.below(800));
        let at = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..60 => self.work(at),
            60..88 => self.order(at),
            88..90 => self.log.land(&mut self.random, self.now),
            90..93 => self.instances[at].is_cut ^= true,
            93..96 => {
                let ms = self.random.below(LONGEST_PAUSE_MS);
                self.instances[at].paused_until = self.now.plus(ms);
            }
            96..98 => self.instances[at] = self.boot(),
            _ => self.trim(),
        }
    }

    fn work(&mut self, at: usize) {
        let now = self.now;
        let most = self.random.below(5) as usize;
        let instance = &mut self.instances[at];
        if now < instance.paused_until {
            return;
        }
        if !instance.is_cut {
            if self.log.first() > instance.cursor.next {
                instance.lease.begin(self.log.first());
            }
            let page = instance.cursor.read(&self.log, most);
            instance.lease.on_records(now, &page.records, page.is_end);
        }
        instance.lease.tick(now, true);
        let actions: Vec<Action> = instance.lease.drain().collect();
        let is_cut = instance.is_cut;
        for Action::Append(record) in actions {
            if !is_cut {
                self.log.append(&mut self.random, self.now, record);
            }
        }
    }

    /// An instance gives an order if it holds the lease, with the lease looked at right before.
    fn order(&mut self, at: usize) {
        let instance = &self.instances[at];
        if self.now < instance.paused_until {
            return;
        }
        let Some(fencing) = instance.lease.fencing_token(self.now) else {
            return;
        };
        self.found.orders += 1;
        if fencing < self.newest_fencing {
            self.found.stale_orders_accepted += 1;
        }
        if fencing > self.newest_fencing {
            self.newest_fencing = fencing;
            self.found.holders += 1;
        }
    }

    fn trim(&mut self) {
        let length = self.log.end() - self.log.first();
        let keep = 6 + self.random.below(10);
        self.log
            .trim(self.log.first() + length.saturating_sub(keep));
    }
}
