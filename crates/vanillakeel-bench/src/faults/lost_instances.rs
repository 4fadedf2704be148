//! Schedules that check which streams go on after the loss of nearly all instances.
//!
//! Instances begin streams at upstreams of two software versions, and pass them on over a network that loses datagrams.
//! Now and then all but one to three of them end at the same time, and the streams that live are taken up at those
//! that are left. New streams would begin there, so the share that goes on is judged by itself.

use super::Guards;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    mesh::{
        Loads,
        Mesh,
        Peer,
        Settings as MeshSettings,
        Summary, //
    },
    order::Random,
    streams::{
        BegunStreams,
        Origin,
        Settings,
        Spread,
        StreamId,
        Towards, //
    },
};

const INSTANCES: usize = 14;

const DATA_CENTRES: usize = 4;

/// Time of a step, in which members report, hubs answer and hubs exchange, in ms.
const STEP_MS: u64 = 100;

/// Time for which a stream lives, in ms.
const STREAM_LIFE_MS: u64 = 6_000;

/// Streams that begin in a step.
const STREAMS_PER_STEP: u64 = 3;

/// Time between two losses, and time after one in which the lost instances start again, in ms.
const LOSS_EVERY_MS: u64 = 12_000;
const DOWN_MS: u64 = 2_000;

/// Most instances that are left.
const MAX_LEFT: u64 = 3;

/// Datagrams that are lost, of 100.
const LOST_PERCENT: u64 = 10;

struct Instance {
    mesh: Mesh,
    spread: Spread,
    begun: BegunStreams,
    is_alive: bool,
}

/// Faults found in a schedule, and the numbers of streams that were taken up after a loss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Losses after which under half of the streams could go on.
    pub(super) forgotten: u64,
    /// Streams that would have gone on at another version.
    pub(super) mixed: u64,
    pub(super) taken_up: u64,
    pub(super) continued: u64,
}

struct Simulation {
    random: Random,
    now: Millis,
    instances: Vec<Instance>,
    boots: u64,
    /// Streams that live, with their versions and times.
    streams: Vec<(StreamId, &'static str, Millis)>,
    begun: u64,
    counts: ScheduleCounts,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let mut simulation = Simulation {
        random: Random::new(seed),
        now: Millis::new(STREAM_LIFE_MS),
        instances: Vec::new(),
        boots: 0,
        streams: Vec::new(),
        begun: 0,
        counts: ScheduleCounts::default(),
    };
    for index in 0..INSTANCES {
        let instance = simulation.boot(index);
        simulation.instances.push(instance);
    }
    for step in 1..=steps {
        simulation.now = simulation.now.plus(STEP_MS);
        if guards.passes_streams {
            simulation.exchange();
        }
        let is_due = |at_ms: u64| (step * STEP_MS) % LOSS_EVERY_MS == at_ms;
        if is_due(0) {
            simulation.lose_nearly_all();
        } else if is_due(DOWN_MS) {
            simulation.start_lost();
        }
        simulation.begin_streams();
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
    /// Returns a newly started instance that knows all peers.
    fn boot(&mut self, index: usize) -> Instance {
        self.boots += 1;
        let mut mesh = Mesh::new(peer(index), MeshSettings::default());
        for other in (0..INSTANCES).filter(|i| *i != index) {
            mesh.on_peer(&peer(other));
        }
        Instance {
            mesh,
            spread: Spread::new(self.boots),
            begun: BegunStreams::new(Settings {
                remembered_ms: STREAM_LIFE_MS,
                ..Settings::default()
            }),
            is_alive: true,
        }
    }

    fn begin_streams(&mut self) {
        let now = self.now;
        self.streams
            .retain(|(.., begun)| now.since(*begun) < STREAM_LIFE_MS);
        for _ in 0..STREAMS_PER_STEP {
            let index = self.random.below(INSTANCES as u64) as usize;
            if !self.instances[index].is_alive {
                continue;
            }
            self.begun += 1;
            let stream = StreamId::of(&format!("request-{}", self.begun));
            let software = ["v1", "v2"][self.random.below(2) as usize];
            let origin = Origin::new("service", software);
            self.instances[index].begun.record(now, stream, &origin);
            for keeper in self.instances[index].mesh.keepers(stream) {
                if let Some(to) = self.delivered(&keeper) {
                    self.instances[to].begun.record_told(now, stream, &origin);
                }
            }
            self.streams.push((stream, software, now));
        }
    }

    /// Returns the living instance that gets a datagram, unless it is lost.
    fn delivered(&mut self, to: &Peer) -> Option<usize> {
        let index = |i: &Instance| *i.mesh.me().name == *to.name;
        let to = self.instances.iter().position(index)?;
        let is_lost = self.random.below(100) < LOST_PERCENT;
        (self.instances[to].is_alive && !is_lost).then_some(to)
    }

    /// Lets members report, hubs answer, and hubs exchange what they know.
    fn exchange(&mut self) {
        let now = self.now;
        for from in 0..INSTANCES {
            if !self.instances[from].is_alive {
                continue;
            }
            let hub = self.instances[from].mesh.hub(now).cloned();
            if let Some(hub) = hub {
                self.report(from, &hub);
            }
            if self.instances[from].mesh.is_hub(now) {
                for other in self.instances[from].mesh.other_hubs(now) {
                    self.instances[from].mesh.on_sent(now, &other.name);
                    self.send(from, &other, Towards::Hub, |mesh, me| {
                        mesh.on_exchange(now, &me.name, &me.data_centre, Loads::default(), 1);
                    });
                }
            }
        }
    }

    /// Sends the report of a member to its hub, which answers.
    fn report(&mut self, from: usize, hub: &Peer) {
        let now = self.now;
        self.instances[from].mesh.on_sent(now, &hub.name);
        let reported = self.send(from, hub, Towards::Hub, |mesh, me| {
            mesh.on_report(now, &me.name, Loads::default(), true);
        });
        let Some(at_hub) = reported else {
            return;
        };
        let member = self.instances[from].mesh.me().clone();
        self.send(at_hub, &member, Towards::Member, |mesh, me| {
            mesh.on_summary(now, &me.name, Summary::default());
        });
    }

    /// Sends what an instance tells a peer of streams; returns the peer unless all of it is lost.
    fn send(
        &mut self,
        from: usize,
        to: &Peer,
        towards: Towards,
        on_arrival: impl Fn(&mut Mesh, &Peer),
    ) -> Option<usize> {
        let now = self.now;
        let sender = &mut self.instances[from];
        let me = sender.mesh.me().clone();
        let messages = sender.spread.tell(now, &to.name, towards, &sender.begun);
        let mut arrived = None;
        for told in messages {
            let Some(to) = self.delivered(to) else {
                continue;
            };
            arrived = Some(to);
            let receiver = &mut self.instances[to];
            on_arrival(&mut receiver.mesh, &me);
            receiver
                .spread
                .on_told(now, &me.name, &told, &mut receiver.begun);
        }
        arrived
    }

    /// Ends all instances but a few, and takes up at these the streams that live.
    fn lose_nearly_all(&mut self) {
        let left = 1 + self.random.below(MAX_LEFT) as usize;
        let first = self.random.below(INSTANCES as u64) as usize;
        let survivors: Vec<usize> = (0..left).map(|n| (first + n) % INSTANCES).collect();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            instance.is_alive = survivors.contains(&index);
        }
        let mut continued = 0;
        for (stream, software, _) in &self.streams {
            let at = survivors[self.random.below(left as u64) as usize];
            let asked = survivors.iter().filter(|s| **s != at);
            // The others that are left are asked if the stream is not known.
            let known = std::iter::once(&at)
                .chain(asked)
                .find_map(|s| self.instances[*s].begun.software(self.now, *stream));
            continued += u64::from(known.is_some());
            self.counts.mixed += u64::from(known.is_some_and(|k| *k != **software));
        }
        let taken_up = self.streams.len() as u64;
        self.counts.taken_up += taken_up;
        self.counts.continued += continued;
        self.counts.forgotten += u64::from(continued * 2 < taken_up);
    }

    fn start_lost(&mut self) {
        for index in 0..INSTANCES {
            if !self.instances[index].is_alive {
                self.instances[index] = self.boot(index);
            }
        }
    }
}
