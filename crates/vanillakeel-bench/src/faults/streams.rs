//! Schedules that check at which software version a stream goes on.
//!
//! Instances begin streams at upstreams of several versions, tell the keepers over a network that loses
//! datagrams, crash, restart, and are cut off from each other and from the list of upstreams, whose
//! versions come and go. No stream goes on at another version than the one that began it.

use super::Guards;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    mesh::{
        Mesh,
        Peer,
        Settings as MeshSettings, //
    },
    order::Random,
    streams::{
        BegunStreams,
        Lookup,
        Origin,
        ServedVersions,
        Settings,
        StreamId, //
    },
};

/// Number of instances, spread over the data centres.
const INSTANCES: usize = 7;

const DATA_CENTRES: usize = 3;

/// Instances of an older build, which begin streams and know nothing of keepers.
const OLD_INSTANCES: usize = 1;

/// Longest time for which a stream goes on, in ms.
const STREAM_LIFE_MS: u64 = 4_000;

/// Time for which an upstream serves after it was removed from the list, in ms.
const LEAVING_MS: u64 = 2_000;

/// Shortest time for which an upstream is listed, in ms.
const MIN_LISTED_MS: u64 = 3_000;

/// Time between two steps in which a new version is released, in ms, at most.
const RELEASE_EVERY_MS: u64 = 40_000;

/// Steps in which an instance reads the list of upstreams, of 100.
const READ_PERCENT: u64 = 20;

/// Streams that began last, from which every other stream that is taken up is chosen.
const RECENT_STREAMS: usize = 2;

/// Datagrams that are lost, of 100.
const LOST_PERCENT: u64 = 10;

/// Most upstreams that serve at once.
const MAX_UPSTREAMS: usize = 6;

/// An upstream; the version is a number that rises with each release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Upstream {
    number: u64,
    version: u64,
    listed_at: Millis,
}

/// A simulated instance.
struct Instance {
    mesh: Mesh,
    begun: BegunStreams,
    served: ServedVersions,
    /// The list of upstreams when it was last read.
    view: Vec<Upstream>,
    has_view: bool,
    is_old: bool,
    /// Whether the instance can't read the list.
    is_disconnected: bool,
    /// Whether the instance can't reach its peers.
    is_isolated: bool,
}

/// A stream that may be taken up.
struct Stream {
    id: StreamId,
    version: u64,
    last_event: Millis,
}

/// Faults found in a schedule, and the numbers of streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Streams that went on at another version than the one that began them.
    pub(super) mixed: u64,
    pub(super) begun: u64,
    /// Times that a stream was taken up and went on.
    pub(super) continued: u64,
    /// Times that a stream was taken up and its version was not known.
    pub(super) unknown: u64,
}

/// State of a schedule.
struct Simulation {
    random: Random,
    guards: Guards,
    now: Millis,
    instances: Vec<Instance>,
    listed: Vec<Upstream>,
    /// Upstreams that were removed from the list, with the time at which they end.
    leaving: Vec<(Upstream, Millis)>,
    newest_version: u64,
    next_release: Millis,
    next_number: u64,
    streams: Vec<Stream>,
    counts: ScheduleCounts,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let mut simulation = Simulation {
        random: Random::new(seed),
        guards,
        now: Millis::ZERO,
        instances: (0..INSTANCES).map(boot).collect(),
        listed: Vec::new(),
        leaving: Vec::new(),
        newest_version: 1,
        next_release: Millis::new(RELEASE_EVERY_MS / 2),
        next_number: 0,
        streams: Vec::new(),
        counts: ScheduleCounts::default(),
    };
    for _ in 0..3 {
        simulation.add_upstream();
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

/// Returns a newly started instance that knows all peers.
fn boot(index: usize) -> Instance {
    let mut mesh = Mesh::new(peer(index), MeshSettings::default());
    for other in (0..INSTANCES).filter(|i| *i != index) {
        mesh.on_peer(&peer(other));
    }
    Instance {
        mesh,
        begun: BegunStreams::new(Settings {
            remembered_ms: STREAM_LIFE_MS,
            ..Settings::default()
        }),
        served: ServedVersions::default(),
        view: Vec::new(),
        has_view: false,
        is_old: index < OLD_INSTANCES,
        is_disconnected: false,
        is_isolated: false,
    }
}

fn software(version: u64) -> Arc<str> {
    Arc::from(format!("v{version}"))
}

impl Simulation {
    /// Advances the time and performs one random step.
    fn step(&mut self) {
        self.now = self.now.plus(self.random.below(200));
        let now = self.now;
        self.leaving.retain(|(_, ends)| now < *ends);
        self.streams
            .retain(|s| now.since(s.last_event) < STREAM_LIFE_MS);
        for index in 0..INSTANCES {
            // Each instance reads the list about twice a second, unless it can't.
            if self.random.below(100) < READ_PERCENT {
                self.read_list(index);
            }
        }
        let index = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..40 => self.begin_stream(index),
            40..76 => self.take_up_stream(index),
            76..80 => self.instances[index] = boot(index),
            80..83 => self.instances[index].is_disconnected ^= true,
            83..86 => self.instances[index].is_isolated ^= true,
            86..90 => {
                // All faults of the network end at once.
                for instance in &mut self.instances {
                    instance.is_disconnected = false;
                    instance.is_isolated = false;
                }
            }
            _ => self.replace_upstream(),
        }
    }

    fn add_upstream(&mut self) {
        self.next_number += 1;
        self.listed.push(Upstream {
            number: self.next_number,
            version: self.newest_version,
            listed_at: self.now,
        });
    }

    /// Adds an upstream of the newest version or removes one; now and then a version is released.
    fn replace_upstream(&mut self) {
        if self.now >= self.next_release {
            self.newest_version += 1;
            self.next_release = self.now.plus(self.random.below(RELEASE_EVERY_MS));
        }
        if self.listed.len() < 2 || self.random.below(2) == 0 && self.listed.len() < MAX_UPSTREAMS {
            self.add_upstream();
        } else {
            // Half of the upstreams that leave make room for a newer version.
            let removed = match self.random.below(2) {
                0 => 0,
                _ => self.random.below(self.listed.len() as u64) as usize,
            };
            if self.now.since(self.listed[removed].listed_at) >= MIN_LISTED_MS {
                let upstream = self.listed.remove(removed);
                self.leaving.push((upstream, self.now.plus(LEAVING_MS)));
            }
        }
    }

    fn read_list(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.is_disconnected {
            return;
        }
        instance.view.clone_from(&self.listed);
        instance.has_view = true;
        let service = Arc::from("service");
        let versions: Vec<Arc<str>> = self.listed.iter().map(|u| software(u.version)).collect();
        instance
            .served
            .on_view(self.now, versions.iter().map(|v| (&service, Some(v))));
    }

    /// Returns a random upstream of an instance's view that still serves, of a version if one is given.
    fn choose(&mut self, index: usize, version: Option<&str>) -> Option<Upstream> {
        let serves = |u: &&Upstream| {
            self.listed.contains(*u) || self.leaving.iter().any(|(leaving, _)| leaving == *u)
        };
        let allows = |u: &&Upstream| version.is_none_or(|v| *software(u.version) == *v);
        let view = &self.instances[index].view;
        let usable: Vec<_> = view.iter().filter(serves).filter(allows).copied().collect();
        // The upstream that was added last is idle, and is chosen more often.
        let at = match self.random.below(2) {
            0 => usable.len().saturating_sub(1),
            _ => self.random.below(usable.len().max(1) as u64) as usize,
        };
        usable.get(at).copied()
    }

    fn begin_stream(&mut self, index: usize) {
        let Some(upstream) = self.choose(index, None) else {
            return;
        };
        self.counts.begun += 1;
        let id = StreamId::of(&format!("request-{}", self.counts.begun));
        self.on_event(index, id, upstream.version);
        self.streams.push(Stream {
            id,
            version: upstream.version,
            last_event: self.now,
        });
    }

    /// Records the first event of an answer and tells the keepers.
    fn on_event(&mut self, index: usize, id: StreamId, version: u64) {
        if self.instances[index].is_old {
            return;
        }
        let (now, origin) = (self.now, Origin::new("service", &software(version)));
        self.instances[index].begun.record(now, id, &origin);
        for keeper in self.instances[index].mesh.keepers(id) {
            if let Some(to) = self.delivered(index, &keeper) {
                self.instances[to].begun.record(now, id, &origin);
            }
        }
    }

    /// Returns the instance that gets a datagram, unless it is lost.
    fn delivered(&mut self, from: usize, to: &Peer) -> Option<usize> {
        let to = (0..INSTANCES).find(|i| *self.instances[*i].mesh.me().name == *to.name)?;
        let is_cut = self.instances[from].is_isolated || self.instances[to].is_isolated;
        let is_lost = self.random.below(100) < LOST_PERCENT;
        (!is_cut && !is_lost && !self.instances[to].is_old).then_some(to)
    }

    /// Takes up a random stream at an instance.
    fn take_up_stream(&mut self, index: usize) {
        if self.streams.is_empty() || self.instances[index].is_old {
            return;
        }
        // Clients take up most streams soon after they began.
        let recent = match self.random.below(2) {
            0 => self.streams.len().min(RECENT_STREAMS),
            _ => self.streams.len(),
        };
        let at = self.streams.len() - 1 - self.random.below(recent as u64) as usize;
        let id = self.streams[at].id;
        let known = if self.guards.binds_streams {
            let Some(known) = self.software_of(index, id) else {
                self.counts.unknown += 1;
                return;
            };
            Some(known)
        } else {
            None
        };
        let Some(upstream) = self.choose(index, known.as_deref()) else {
            return;
        };
        self.counts.continued += 1;
        if upstream.version != self.streams[at].version {
            self.counts.mixed += 1;
        }
        self.on_event(index, id, upstream.version);
        self.streams[at].last_event = self.now;
    }

    /// Returns the version that began a stream, as far as an instance can find it.
    fn software_of(&mut self, index: usize, id: StreamId) -> Option<Arc<str>> {
        let now = self.now;
        if let Some(known) = self.instances[index].begun.software(now, id) {
            return Some(known);
        }
        let keepers = self.instances[index].mesh.keepers_to_ask(now, id);
        let mut lookup = Lookup::new(keepers.iter().map(|k| Arc::clone(&k.name)).collect());
        for keeper in &keepers {
            let asked = self.delivered(index, keeper);
            let me = self.instances[index].mesh.me().clone();
            let Some(asked) = asked.filter(|asked| self.delivered(*asked, &me).is_some()) else {
                continue;
            };
            let asked = &self.instances[asked];
            if let Some(known) = asked.begun.software(now, id) {
                return Some(known);
            }
            let sole = asked.served.sole(now, "service", STREAM_LIFE_MS);
            lookup.on_unknown(&keeper.name, sole.map(|s| &**s));
        }
        let own = self.instances[index]
            .served
            .sole(now, "service", STREAM_LIFE_MS);
        let sole = own.cloned().or(lookup.sole())?;
        if self.guards.reads_list_first {
            if self.instances[index].is_disconnected {
                return None;
            }
            self.read_list(index);
        }
        let view = &self.instances[index].view;
        let is_sole = view.iter().all(|u| *software(u.version) == *sole);
        is_sole.then_some(sole)
    }
}
