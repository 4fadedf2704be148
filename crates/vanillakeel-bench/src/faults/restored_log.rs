//! Schedules that check versions of the routing configuration on a log that comes back from copies.
//!
//! An operator writes versions. The log comes back from copies, also several times in a row, gives offsets
//! out again, and the operator writes what is lost again, at once or late. Instances read the log, hear of
//! versions from each other and take confirmations from a hub; they are cut off, pause and restart.
//!
//! The version of an instance never goes back, none counts as the newest although a newer one has been
//! on the log for longer than the limit, and all instances have the newest one soon after the faults.

use super::{
    Guards,
    copied_log::{
        CopiedLog,
        Follower,
        Link,
        Outcome, //
    },
};
use vanillakeel::{
    Millis,
    order::Random,
    routes::{
        Freshness,
        InForce,
        NewestRead,
        Standing,
        Table,
        TableSpec, //
    },
};

/// Number of instances; the first one is the hub of the others.
const INSTANCES: usize = 5;

/// Longest time between two steps, in ms.
const MAX_STEP_MS: u64 = 100;

/// Longest time after which the operator writes a lost version again, in ms.
const MAX_REWRITE_MS: u64 = 4_000;

/// Longest time that a report to the hub or its answer is on its way, in ms.
const MAX_DELAY_MS: u64 = 300;

/// Largest age of a hub's confirmation at which the hub counts as fresh, in ms.
const HUB_CONFIRMATION_MS: u64 = 1_200;

/// Time after the faults in which all instances have to confirm the newest version, in ms.
const RECOVERY_MS: u64 = 2_000;

/// A simulated instance.
#[derive(Default)]
struct Instance {
    in_force: InForce,
    newest: NewestRead,
    follower: Follower<u64>,
    /// Highest version that the instance has had since its start.
    highest_version: u64,
    is_disconnected: bool,
    is_paused: bool,
    starts: u64,
}

/// The answer of the hub to a member's report.
struct Summary {
    to: usize,
    /// Number of starts of the member when it sent the report.
    starts: u64,
    arrives_at: Millis,
    version: u64,
    era: u64,
    /// Time at the member before which the hub has confirmed its version; `None` if it is not fresh.
    confirmed_at: Option<Millis>,
}

/// Faults found in a schedule, and how often the log came back from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    pub(super) reverted: u64,
    /// Times that an instance took an outdated version for the newest.
    pub(super) outdated: u64,
    /// Instances without the newest version after the faults.
    pub(super) left_behind: u64,
    pub(super) restored: u64,
}

/// State of a schedule.
struct Simulation {
    random: Random,
    guards: Guards,
    now: Millis,
    /// Whether the faults have ended.
    is_recovering: bool,
    log: CopiedLog<u64>,
    /// Versions that the log has lost, with the time at which the operator writes them again.
    lost: Vec<(u64, Millis)>,
    last_version: u64,
    instances: Vec<Instance>,
    summaries: Vec<Summary>,
    counts: ScheduleCounts,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let mut simulation = Simulation {
        random: Random::new(seed),
        guards,
        now: Millis::ZERO,
        is_recovering: false,
        log: CopiedLog::new(),
        lost: Vec::new(),
        last_version: 0,
        instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
        summaries: Vec::new(),
        counts: ScheduleCounts::default(),
    };
    simulation.write_version();
    for _ in 0..steps {
        simulation.inject();
        simulation.advance();
    }
    simulation.recover();
    simulation.counts
}

impl Simulation {
    /// Injects a random fault, writes a version or sends a message.
    fn inject(&mut self) {
        let index = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..6 => self.write_version(),
            6..8 => self.restore(),
            8..12 => self.instances[index].is_disconnected ^= true,
            12..14 => self.instances[index].is_paused ^= true,
            14..16 => {
                self.instances[index] = Instance {
                    starts: self.instances[index].starts + 1,
                    ..Instance::default()
                }
            }
            16..19 => self.heal(),
            19..50 => self.announce(index),
            _ => self.send_summary(index),
        }
    }

    fn heal(&mut self) {
        for instance in &mut self.instances {
            instance.is_disconnected = false;
            instance.is_paused = false;
        }
    }

    /// Writes a new version, unless the log is away.
    fn write_version(&mut self) {
        if !self.log.is_away(self.now) {
            self.last_version += 1;
            self.log.write(self.now, self.last_version);
        }
    }

    /// Lets the log come back from a copy; the operator notices what is missing.
    fn restore(&mut self) {
        let lost = self.log.restore(self.now, &mut self.random);
        let rewrite_ms = self.random.below(MAX_REWRITE_MS);
        let rewritten_at = self.log.away_until().plus(rewrite_ms);
        self.lost.extend(lost.iter().map(|v| (*v, rewritten_at)));
        self.lost.sort_unstable();
        self.counts.restored += 1;
    }

    fn newest_version(&self) -> u64 {
        self.log.records().last().map_or(0, |(_, version)| *version)
    }

    /// Writes the lost versions that are due again, in their order.
    fn rewrite_lost(&mut self) {
        while !self.log.is_away(self.now)
            && let Some((version, due)) = self.lost.first().copied()
            && due <= self.now
        {
            self.lost.remove(0);
            // A version that was written meanwhile replaces those before it.
            if version > self.newest_version() {
                self.log.write(self.now, version);
            }
        }
    }

    /// Tells a random instance which version another one has.
    fn announce(&mut self, from: usize) {
        let to = self.random.below(INSTANCES as u64) as usize;
        let version = self.instances[from].in_force.version();
        if to != from && !self.instances[from].is_paused && !self.instances[to].is_paused {
            self.instances[to].in_force.on_announced(self.now, version);
        }
    }

    /// Lets the hub answer a report of a member that was sent a moment ago.
    fn send_summary(&mut self, to: usize) {
        let hub = &self.instances[0];
        if to == 0 || hub.is_paused {
            return;
        }
        let sent_at = self.now.minus(self.random.below(MAX_DELAY_MS));
        let arrives_at = self.now.plus(self.random.below(MAX_DELAY_MS));
        let age_ms = hub.in_force.confirmation_age_ms(self.now);
        let is_fresh = |age: &u64| *age < HUB_CONFIRMATION_MS && !hub.in_force.has_failed_read();
        self.summaries.push(Summary {
            to,
            starts: self.instances[to].starts,
            arrives_at,
            version: hub.in_force.version(),
            era: hub.follower.era(),
            confirmed_at: age_ms
                .filter(is_fresh)
                .and_then(|age| sent_at.checked_minus(age)),
        });
    }

    /// Advances the time and lets everything happen that is due.
    fn advance(&mut self) {
        self.now = self.now.plus(self.random.below(MAX_STEP_MS));
        self.rewrite_lost();
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.summaries)
            .into_iter()
            .partition(|s| s.arrives_at <= now);
        self.summaries = later;
        for summary in due {
            self.on_summary(&summary);
        }
        for index in 0..INSTANCES {
            self.follow(index);
        }
        self.check();
    }

    fn on_summary(&mut self, summary: &Summary) {
        let now = self.now;
        let instance = &mut self.instances[summary.to];
        if instance.is_paused || instance.starts != summary.starts {
            return;
        }
        instance.in_force.on_announced(now, summary.version);
        let is_fresh = summary.era >= instance.follower.era();
        let is_same = instance.in_force.version() == summary.version;
        if let Some(confirmed_at) = summary.confirmed_at
            && is_fresh
            && is_same
        {
            instance.in_force.confirm_newest(confirmed_at);
        }
    }

    /// Lets an instance go on with its read of the log.
    fn follow(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.follower.serve(now, &self.log, &mut self.random);
        if instance.is_paused {
            return;
        }
        let link = Link {
            is_cut: instance.is_disconnected,
            loses_answers: !self.is_recovering,
        };
        let follower = &mut instance.follower;
        match follower.poll(now, link, &mut self.random, self.guards.follows_era) {
            None => {}
            Some(Outcome::Page {
                asked_at,
                records,
                era,
                ..
            }) => instance.on_versions(asked_at, &records, era),
            Some(Outcome::Failed { asked_at }) => {
                instance.in_force.on_read_failed(asked_at, now);
            }
        }
    }

    /// Counts the faults that show now.
    fn check(&mut self) {
        let limit_ms = Freshness::default().version_ms;
        for instance in &mut self.instances {
            let version = instance.in_force.version();
            self.counts.reverted += u64::from(version < instance.highest_version);
            instance.highest_version = instance.highest_version.max(version);
            let is_trusted = instance.in_force.standing(self.now) == Standing::Confirmed;
            let is_late = |at: Millis| self.now.since(at) > limit_ms;
            let mut records = self.log.records().iter();
            let is_outdated = records.any(|(at, newer)| *newer > version && is_late(*at));
            self.counts.outdated += u64::from(!instance.is_paused && is_trusted && is_outdated);
        }
    }

    /// Ends all faults and counts the instances that have not confirmed the newest version in time.
    fn recover(&mut self) {
        self.heal();
        self.is_recovering = true;
        while self.log.is_away(self.now) || !self.lost.is_empty() {
            self.advance();
        }
        let recovered_at = self.now.plus(RECOVERY_MS);
        while self.now < recovered_at {
            self.advance();
        }
        let newest = self.newest_version();
        let has_newest = |instance: &&Instance| {
            let in_force = &instance.in_force;
            in_force.version() == newest && in_force.standing(self.now) == Standing::Confirmed
        };
        let behind = self.instances.iter().filter(|i| !has_newest(i)).count();
        self.counts.left_behind += behind as u64;
    }
}

impl Instance {
    /// Applies versions that were read from the log by a read that was sent at `asked_at`.
    fn on_versions(&mut self, asked_at: Millis, versions: &[u64], era: u64) {
        for version in versions {
            self.in_force.install(Table::new(TableSpec {
                version: *version,
                ..TableSpec::default()
            }));
        }
        let last = versions.last().map(|version| Ok(*version));
        self.newest.on_read(era, last);
        if self.newest.shows(self.in_force.newest_known(asked_at)) {
            self.in_force.confirm_newest(asked_at);
        } else {
            self.in_force.on_read_failed(asked_at, asked_at);
        }
    }
}
