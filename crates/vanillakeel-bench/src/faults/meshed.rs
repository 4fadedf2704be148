//! Instances that exchange messages by way of hubs, for schedules of limits that all of them share.
//!
//! Processes are killed and restarted in series, join, leave and are cut off from each other, and datagrams are
//! lost. What the processes hold beside the mesh, and tell each other, is up to the schedule.

use std::sync::Arc;
use vanillakeel::{
    Millis,
    mesh::{
        Loads,
        Mesh,
        Peer,
        Settings,
        Summary, //
    },
    order::Random,
};

/// Number of instances, spread over the data centres.
pub(super) const INSTANCES: usize = 9;

const DATA_CENTRES: usize = 3;

/// Instances that are there from the start; the others join later.
const FIRST_INSTANCES: usize = 7;

/// Time between two steps, and between two reports of an instance, in ms.
pub(super) const STEP_MS: u64 = 100;

/// Datagrams that are lost, of 100.
const LOST_PERCENT: u64 = 5;

/// Longest time for which an instance is away, in ms.
const MAX_AWAY_MS: u64 = 3_000;

/// Messages between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// An instance that has started introduces itself.
    Introduction,
    /// A member reports to its hub.
    Report,
    /// A hub answers.
    Summary,
    /// A hub sends its totals to another one.
    Totals,
    /// A hub tells another one that it skips for now.
    Skipped,
}

/// What processes hold beside the mesh, a `P`, and tell each other, an `M`.
pub(super) struct Contents<P, M> {
    /// Creates what a process holds that has read the list of its peers.
    pub(super) start: fn(Millis, &Peer, &Mesh) -> P,
    /// Returns what a process tells a peer.
    pub(super) tell: fn(&mut P, Millis, &Peer, Kind) -> M,
    /// Applies what a process hears from a peer.
    pub(super) hear: fn(&mut P, Millis, &Peer, Kind, &M),
    /// Updates what a process holds, before each of its reports.
    pub(super) tick: fn(&mut P, Millis, &Mesh),
    /// Whether hubs tell others that they skip for now.
    pub(super) tells_skipped: bool,
}

/// A running process of an instance.
pub(super) struct Process<P> {
    pub(super) mesh: Mesh,
    pub(super) contents: P,
}

/// A simulated instance.
pub(super) struct Instance<P> {
    /// The process, or the time at which the next one starts.
    pub(super) process: Result<Process<P>, Millis>,
    /// Whether its address is in the list of peers.
    is_registered: bool,
    /// Whether it can't reach its peers.
    pub(super) is_isolated: bool,
    /// Time at which it could not reach its peers last.
    isolated_at: Option<Millis>,
}

impl<P> Instance<P> {
    /// Returns whether it could not reach its peers at some time in the last `ms` milliseconds.
    pub(super) fn was_isolated(&self, now: Millis, ms: u64) -> bool {
        self.isolated_at.is_some_and(|at| now.since(at) < ms)
    }
}

/// Instances in the course of a schedule.
pub(super) struct Meshed<P, M> {
    pub(super) random: Random,
    pub(super) now: Millis,
    pub(super) instances: Vec<Instance<P>>,
    /// Whether no fault is injected for now.
    pub(super) is_calm: bool,
    peers: Vec<Peer>,
    contents: Contents<P, M>,
}

fn peer(index: usize) -> Peer {
    Peer {
        name: Arc::from(format!("entry-{index}")),
        data_centre: Arc::from(format!("dc-{}", index % DATA_CENTRES)),
        ..Peer::default()
    }
}

impl<P, M> Meshed<P, M> {
    /// Creates the instances of a schedule of `steps` steps.
    pub(super) fn new(seed: u64, steps: u64, contents: Contents<P, M>) -> Self {
        let instance = |_| Instance {
            process: Err(Millis::ZERO),
            is_registered: false,
            is_isolated: false,
            isolated_at: None,
        };
        let mut meshed = Self {
            random: Random::new(seed),
            now: Millis::ZERO,
            instances: (0..INSTANCES).map(instance).collect(),
            is_calm: false,
            peers: (0..INSTANCES).map(peer).collect(),
            contents,
        };
        for late in FIRST_INSTANCES..INSTANCES {
            let joins_ms = meshed.random.below(steps * STEP_MS);
            meshed.instances[late].process = Err(Millis::new(joins_ms));
        }
        meshed
    }

    /// Goes on by one step: starts processes that are due, injects a fault and exchanges messages.
    pub(super) fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        for index in 0..INSTANCES {
            if let Err(starts) = self.instances[index].process
                && starts <= self.now
            {
                self.boot(index);
            }
        }
        if !self.is_calm {
            self.inject_fault();
        }
        for instance in self.instances.iter_mut().filter(|i| i.is_isolated) {
            instance.isolated_at = Some(self.now);
        }
        for index in 0..INSTANCES {
            self.report(index);
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

    /// Kills a process; the next one starts some time later.
    pub(super) fn stop(&mut self, index: usize) {
        if self.instances[index].process.is_ok() {
            let away_ms = self.random.below(MAX_AWAY_MS);
            self.instances[index].process = Err(self.now.plus(away_ms));
        }
    }

    /// Starts a process, which reads the list of peers and introduces itself.
    fn boot(&mut self, index: usize) {
        let now = self.now;
        let mut mesh = Mesh::new(self.peers[index].clone(), Settings::default());
        self.instances[index].is_registered = true;
        let mut introduced = Vec::new();
        for other in (0..INSTANCES).filter(|i| *i != index) {
            if self.instances[other].is_registered {
                mesh.on_peer(&self.peers[other]);
            }
            if self.is_delivered(index, other)
                && let Ok(process) = &mut self.instances[other].process
            {
                process.mesh.on_peer(&self.peers[index]);
                introduced.push(other);
            }
        }
        mesh.on_list_read();
        let contents = (self.contents.start)(now, &self.peers[index], &mesh);
        self.instances[index].process = Ok(Process { mesh, contents });
        for other in introduced {
            self.send(index, other, Kind::Introduction);
        }
    }

    /// Returns whether a datagram reaches its receiver.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.instances[from].is_isolated || self.instances[to].is_isolated;
        let is_lost = self.random.below(100) < LOST_PERCENT;
        self.instances[to].process.is_ok() && !is_cut && !is_lost
    }

    /// Hands over what a process tells another one in a message that is delivered.
    fn send(&mut self, from: usize, to: usize, kind: Kind) {
        let now = self.now;
        let Ok(sender) = &mut self.instances[from].process else {
            return;
        };
        let message = (self.contents.tell)(&mut sender.contents, now, &self.peers[to], kind);
        if let Ok(receiver) = &mut self.instances[to].process {
            let sender = &self.peers[from];
            (self.contents.hear)(&mut receiver.contents, now, sender, kind, &message);
        }
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
        (self.contents.tick)(&mut process.contents, now, &process.mesh);
        let hub = process.mesh.hub(now).cloned();
        let probes = process.mesh.due_probes(now);
        if let Some(hub) = hub {
            process.mesh.on_sent(now, &hub.name);
            self.report_to(index, self.index_of(&hub.name));
        }
        for probe in probes {
            let peer = self.index_of(&probe.name);
            if probe.data_centre == self.peers[index].data_centre {
                self.report_to(index, peer);
            } else {
                self.send_totals(index, peer);
            }
        }
        self.exchange_totals(index);
    }

    fn report_to(&mut self, index: usize, hub: usize) {
        if !self.is_delivered(index, hub) {
            return;
        }
        self.send(index, hub, Kind::Report);
        let answer = self.on_report(index, hub);
        if self.is_delivered(hub, index)
            && let Ok(process) = &mut self.instances[index].process
        {
            let hub_name = &self.peers[hub].name;
            process.mesh.on_summary(self.now, hub_name, answer);
            self.send(hub, index, Kind::Summary);
        }
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
        for other in process.mesh.other_hubs(now) {
            if let Ok(process) = &mut self.instances[index].process {
                process.mesh.on_sent(now, &other.name);
            }
            self.send_totals(index, self.index_of(&other.name));
        }
        if self.contents.tells_skipped {
            self.tell_skipped(index);
        }
    }

    fn send_totals(&mut self, index: usize, other: usize) {
        let now = self.now;
        let Ok(process) = &self.instances[index].process else {
            return;
        };
        let (_, instances) = process.mesh.own_data_centre(now, &Loads::default(), "");
        if self.is_delivered(index, other)
            && let Ok(process) = &mut self.instances[other].process
        {
            let me = &self.peers[index];
            let loads = Loads::default();
            process.mesh.on_peer(me);
            process
                .mesh
                .on_exchange(now, &me.name, &me.data_centre, loads, instances);
            self.send(index, other, Kind::Totals);
        }
    }

    fn tell_skipped(&mut self, index: usize) {
        let Ok(process) = &self.instances[index].process else {
            return;
        };
        let skipped = process.mesh.skipped_hubs(self.now).into_iter();
        let skipped: Vec<usize> = skipped.map(|p| self.index_of(&p.name)).collect();
        for other in skipped {
            if self.is_delivered(index, other) {
                self.send(index, other, Kind::Skipped);
            }
        }
    }
}
