//! Schedules that check the list of upstreams on a log that comes back from copies.
//!
//! Upstreams write their entries, leave and start again. The log comes back from copies, also several
//! times in a row: entries and deletions are lost, and upstreams that serve write theirs again. Instances
//! follow the list; they are cut off, pause and restart.
//!
//! An instance does not remove an upstream that has not left, nor takes back one that it has removed, and
//! soon after the faults it knows those that serve.

use super::{
    Guards,
    copied_log::{
        CopiedLog,
        Follower,
        Link,
        Outcome, //
    },
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};
use vanillakeel::{
    Millis,
    fleet::{
        Fleet,
        ListedUpstream,
        MissingUpstreams,
        RemovedUpstreams,
        Settings, //
    },
    order::Random,
};

/// Number of instances.
const INSTANCES: usize = 4;

/// Number of upstreams that serve or may start again.
const UPSTREAMS: usize = 12;

/// Longest time between two steps, in ms.
const MAX_STEP_MS: u64 = 100;

/// Longest time after which an upstream writes a lost entry again, in ms.
const MAX_REWRITE_MS: u64 = 2_000;

/// Time for which upstreams that a copy lacks are kept, in ms.
const RELISTED_MS: u64 = 2_200;

/// Time after the faults in which all instances have to know the upstreams that serve, in ms.
const RECOVERY_MS: u64 = 2_000;

/// A record of the list: the name of an upstream and its incarnation, or `None` if it has left.
type Entry = (usize, Option<u64>);

/// A simulated upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Upstream {
    incarnation: u64,
    serves: bool,
    /// Time at which it writes its entry again, which the log has lost.
    rewrites_at: Option<Millis>,
}

/// A simulated instance.
struct Instance {
    fleet: Fleet,
    missing: MissingUpstreams,
    removed: RemovedUpstreams,
    /// Entries of an earlier copy whose upstreams have left since.
    outdated: Vec<Entry>,
    /// Era in which the complete list was read.
    listed_era: Option<u64>,
    follower: Follower<Entry>,
    has_lost_log: bool,
    /// Upstreams that the instance has removed, with their incarnations.
    gone: Vec<(usize, u64)>,
    is_disconnected: bool,
    is_paused: bool,
}

impl Default for Instance {
    fn default() -> Self {
        Self {
            fleet: Fleet::new(Settings::default(), 1),
            missing: MissingUpstreams::default(),
            removed: RemovedUpstreams::default(),
            outdated: Vec::new(),
            listed_era: None,
            follower: Follower::default(),
            has_lost_log: false,
            gone: Vec::new(),
            is_disconnected: false,
            is_paused: false,
        }
    }
}

/// Faults found in a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Times that an instance removed an upstream that serves.
    pub(super) wrongly_removed: u64,
    /// Times that an instance took back an upstream that it had removed.
    pub(super) returned: u64,
    /// Upstreams that serve and that an instance does not know after the faults.
    pub(super) unknown: u64,
    /// Upstreams that an instance knows after the faults although they are no longer listed.
    pub(super) kept: u64,
    pub(super) restored: u64,
}

/// State of a schedule.
struct Simulation {
    random: Random,
    guards: Guards,
    now: Millis,
    /// Whether the faults have ended.
    is_recovering: bool,
    log: CopiedLog<Entry>,
    upstreams: [Upstream; UPSTREAMS],
    instances: Vec<Instance>,
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
        upstreams: [Upstream::default(); UPSTREAMS],
        instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
        counts: ScheduleCounts::default(),
    };
    for number in 0..UPSTREAMS {
        simulation.replace_upstream(number);
    }
    for _ in 0..steps {
        simulation.inject();
        simulation.advance();
    }
    simulation.recover();
    simulation.counts
}

impl Simulation {
    /// Injects a random fault, or lets an upstream leave or start.
    fn inject(&mut self) {
        let index = self.random.below(INSTANCES as u64) as usize;
        let number = self.random.below(UPSTREAMS as u64) as usize;
        match self.random.below(100) {
            0..8 => self.replace_upstream(number),
            8..10 => self.restore(),
            10..13 => self.instances[index].is_disconnected ^= true,
            13..15 => self.instances[index].is_paused ^= true,
            15..16 => self.instances[index] = Instance::default(),
            16..19 => self.heal(),
            _ => {}
        }
    }

    fn heal(&mut self) {
        for instance in &mut self.instances {
            instance.is_disconnected = false;
            instance.is_paused = false;
        }
    }

    /// Lets an upstream leave, or start again, unless the log is away.
    fn replace_upstream(&mut self, number: usize) {
        if self.log.is_away(self.now) {
            return;
        }
        let upstream = &mut self.upstreams[number];
        upstream.serves ^= true;
        upstream.rewrites_at = None;
        let entry = if upstream.serves {
            upstream.incarnation += 1;
            Some(upstream.incarnation)
        } else {
            None
        };
        self.log.write(self.now, (number, entry));
    }

    /// Lets the log come back from a copy; upstreams that serve notice that their entries are lost.
    fn restore(&mut self) {
        self.log.restore(self.now, &mut self.random);
        self.counts.restored += 1;
        let mut listed = BTreeMap::new();
        listed.extend(self.log.records().iter().map(|(_, entry)| *entry));
        for (number, upstream) in self.upstreams.iter_mut().enumerate() {
            let is_lost = listed.get(&number) != Some(&Some(upstream.incarnation));
            let rewrite_ms = self.random.below(MAX_REWRITE_MS);
            let rewrites_at = self.log.away_until().plus(rewrite_ms);
            upstream.rewrites_at = (upstream.serves && is_lost).then_some(rewrites_at);
        }
    }

    /// Lets the upstreams that are due write their entries again.
    fn rewrite_lost(&mut self) {
        for (number, upstream) in self.upstreams.iter_mut().enumerate() {
            if upstream.rewrites_at.is_some_and(|at| at <= self.now) {
                upstream.rewrites_at = None;
                self.log
                    .write(self.now, (number, Some(upstream.incarnation)));
            }
        }
    }

    /// Advances the time and lets everything happen that is due.
    fn advance(&mut self) {
        self.now = self.now.plus(self.random.below(MAX_STEP_MS));
        self.rewrite_lost();
        for index in 0..INSTANCES {
            self.follow(index);
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
            Some(Outcome::Failed { .. }) => instance.has_lost_log = true,
            Some(Outcome::Page {
                asked_at,
                records,
                is_list,
                era,
            }) => {
                instance.apply_records(now, &records, is_list, era);
                let dated_at = if self.guards.dates_reads {
                    asked_at
                } else {
                    now
                };
                for removed in instance.remove_due(dated_at) {
                    let upstream = self.upstreams[removed.0];
                    let serves = upstream.serves && upstream.incarnation == removed.1;
                    self.counts.wrongly_removed += u64::from(serves);
                }
                let has_returned = instance.gone.iter().any(|gone| instance.knows(*gone));
                self.counts.returned += u64::from(has_returned);
            }
        }
    }

    /// Ends all faults and counts the upstreams that are not known in time.
    fn recover(&mut self) {
        self.heal();
        self.is_recovering = true;
        while self.log.is_away(self.now) || self.upstreams.iter().any(|u| u.rewrites_at.is_some()) {
            self.advance();
        }
        let recovered_at = self.now.plus(RECOVERY_MS);
        while self.now < recovered_at {
            self.advance();
        }
        for (number, upstream) in self.upstreams.iter().enumerate().filter(|(_, u)| u.serves) {
            let knows = |i: &&Instance| i.knows((number, upstream.incarnation));
            let unknown = self.instances.iter().filter(|i| !knows(i)).count();
            self.counts.unknown += unknown as u64;
        }
        let kept_until = self.now.plus(RELISTED_MS + RECOVERY_MS);
        while self.now < kept_until {
            self.advance();
        }
        let entries: Vec<Entry> = self.log.records().iter().map(|(_, e)| *e).collect();
        let newest = newest_entries(&entries);
        for instance in &self.instances {
            let is_listed = |u: &ListedUpstream| {
                let mut listed = newest.iter();
                listed.any(|(number, _)| name(*number) == u.name)
            };
            let kept = instance.fleet.iter().filter(|u| !is_listed(u)).count();
            self.counts.kept += kept as u64;
        }
    }
}

fn name(number: usize) -> Arc<str> {
    Arc::from(format!("upstream-{number}"))
}

fn listed(number: usize, incarnation: u64) -> ListedUpstream {
    ListedUpstream {
        name: name(number),
        incarnation,
        ..ListedUpstream::default()
    }
}

impl Instance {
    /// Returns whether the instance knows this incarnation of an upstream.
    fn knows(&self, (number, incarnation): (usize, u64)) -> bool {
        let name = name(number);
        let mut known = self.fleet.iter();
        known.any(|u| u.name == name && u.incarnation == incarnation)
    }

    /// Applies all records of the list, or those that follow.
    fn apply_records(&mut self, now: Millis, records: &[Entry], is_list: bool, era: u64) {
        let relisted_at = now.plus(RELISTED_MS);
        if std::mem::take(&mut self.has_lost_log) {
            self.missing.on_outage_over(relisted_at);
        }
        let entries = if is_list {
            newest_entries(records)
        } else {
            records.to_vec()
        };
        let names: Vec<Arc<str>> = entries.iter().map(|(number, _)| name(*number)).collect();
        let names: Vec<&str> = names.iter().map(|n| &**n).collect();
        let previous_era = self.listed_era.replace(era);
        if previous_era.is_some_and(|previous| previous != era) {
            self.missing.on_copy(&self.fleet, &names, relisted_at);
            self.outdated = self.outdated_entries(&entries);
        } else if is_list {
            self.missing.on_list(&self.fleet, &names);
        }
        for entry in &entries {
            if !(is_list && self.outdated.contains(entry)) {
                self.apply(*entry);
            }
        }
    }

    /// Returns the entries whose upstreams have left since.
    fn outdated_entries(&self, entries: &[Entry]) -> Vec<Entry> {
        let has_left = |(number, incarnation): &Entry| {
            incarnation.is_some_and(|i| self.removed.contains(&listed(*number, i)))
        };
        entries.iter().copied().filter(has_left).collect()
    }

    fn apply(&mut self, (number, incarnation): Entry) {
        let Some(incarnation) = incarnation else {
            self.missing.on_deleted(&name(number));
            return;
        };
        self.missing.on_listed(&name(number));
        self.fleet.on_listed(&listed(number, incarnation));
    }

    /// Removes the upstreams that are missing for long enough; returns them with their incarnations.
    fn remove_due(&mut self, at: Millis) -> Vec<(usize, u64)> {
        let due = self.missing.take_due(at, &self.fleet);
        let numbers = (0..UPSTREAMS).filter(|n| due.contains(&name(*n)));
        let mut removed = Vec::new();
        for number in numbers {
            let upstream = self.fleet.iter().find(|u| u.name == name(number)).cloned();
            if let Some(upstream) = upstream {
                self.removed.on_removed(at, &upstream);
                self.fleet.on_removed(at, &upstream.name);
                removed.push((number, upstream.incarnation));
            }
        }
        self.gone.extend(&removed);
        removed
    }
}

/// Returns the newest entry of each upstream that has not left.
fn newest_entries(records: &[Entry]) -> Vec<Entry> {
    let newest: BTreeMap<_, _> = records.iter().copied().collect();
    newest.into_iter().filter(|(_, i)| i.is_some()).collect()
}
