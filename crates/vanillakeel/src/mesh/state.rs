//! Who is hub, and what is known of the load of others.

use super::Loads;
use crate::{
    Millis,
    order, //
};
use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
};

/// An instance that takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Unique name.
    pub name: Arc<str>,
    /// The data centre it stands in.
    pub data_centre: Arc<str>,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s, zero if unknown.
    pub link_mbps: u32,
}

impl Peer {
    /// Its place among the instances that may be hub of a data centre; the highest is.
    ///
    /// A hub answers all others many times a second, so wide links go first.
    fn hub_rank(&self) -> (u32, u64) {
        (self.link_mbps, order::weight(&self.data_centre, &self.name))
    }
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            name: Arc::from(""),
            data_centre: Arc::from(""),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            link_mbps: 0,
        }
    }
}

/// Settings of a [`Mesh`], all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What was heard counts for this long.
    pub heard_ms: u64,
    /// A hub that has not answered for this long is passed over.
    pub silent_ms: u64,
    /// The largest number of instances is remembered for this long.
    pub remembered_ms: u64,
    /// First time for which a silent peer is passed over; it doubles.
    pub suspect_ms: u64,
    /// Longest time for which a silent peer is passed over.
    pub most_suspect_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heard_ms: 1_500,
            silent_ms: 800,
            remembered_ms: 15_000,
            suspect_ms: 3_000,
            most_suspect_ms: 30_000,
        }
    }
}

/// What a hub's answer says, beside the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Whether the hub reads the log itself.
    pub is_fresh: bool,
    /// Live instances.
    pub instances: u32,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    /// When it was first asked without an answer since.
    asked: Option<Millis>,
    passed_over_until: Millis,
    silences: u32,
    /// What it reported last, and when.
    report: Option<(Millis, Loads)>,
}

impl Known {
    fn new(peer: &Peer) -> Self {
        Self {
            peer: peer.clone(),
            asked: None,
            passed_over_until: Millis::ZERO,
            silences: 0,
            report: None,
        }
    }
}

/// The total of another data centre.
#[derive(Clone, Debug)]
struct Zone {
    data_centre: Arc<str>,
    heard: Millis,
    loads: Loads,
    instances: u32,
}

/// What one instance knows of the others.
#[derive(Clone, Debug)]
pub struct Mesh {
    me: Peer,
    settings: Settings,
    /// Sorted by name.
    peers: Vec<Known>,
    /// Sorted by data centre.
    zones: Vec<Zone>,
    summary: Option<(Millis, Summary)>,
    /// Most instances that were known lately, and when.
    most: (Millis, u32),
}

impl Mesh {
    /// Makes a view that knows nobody.
    #[must_use]
    pub const fn new(me: Peer, settings: Settings) -> Self {
        Self {
            me,
            settings,
            peers: Vec::new(),
            zones: Vec::new(),
            summary: None,
            most: (Millis::ZERO, 1),
        }
    }

    /// This instance.
    #[must_use]
    pub const fn me(&self) -> &Peer {
        &self.me
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|k| (*k.peer.name).cmp(name))
    }

    /// Takes note of a peer; a new address replaces the old one.
    pub fn on_peer(&mut self, peer: &Peer) {
        if peer.name == self.me.name {
            return;
        }
        match self.find(&peer.name) {
            Err(at) => self.peers.insert(at, Known::new(peer)),
            Ok(at) if self.peers[at].peer != *peer => self.peers[at] = Known::new(peer),
            Ok(_) => {}
        }
    }

    /// Forgets a peer that has left.
    pub fn on_left(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            self.peers.remove(at);
        }
    }

    /// Number of peers that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The peer that is hub of a data centre, or nothing if this instance is or none is known.
    fn hub_of(&self, now: Millis, data_centre: &str) -> Option<&Peer> {
        let best = self
            .peers
            .iter()
            .filter(|k| *k.peer.data_centre == *data_centre && now >= k.passed_over_until)
            .max_by_key(|k| k.peer.hub_rank())?;
        let is_own = *self.me.data_centre == *data_centre;
        let is_me = is_own && self.me.hub_rank() > best.peer.hub_rank();
        (!is_me).then_some(&best.peer)
    }

    /// The hub of the own data centre, unless it is this instance.
    #[must_use]
    pub fn hub(&self, now: Millis) -> Option<&Peer> {
        self.hub_of(now, &self.me.data_centre)
    }

    /// Whether this instance acts as a hub: by rank, or since others report to it.
    #[must_use]
    pub fn is_hub(&self, now: Millis) -> bool {
        self.hub(now).is_none() || self.members(now) > 0
    }

    /// Members whose reports count.
    #[must_use]
    pub fn members(&self, now: Millis) -> u32 {
        let count = self.peers.iter().filter(|k| self.counts(now, k)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn counts(&self, now: Millis, known: &Known) -> bool {
        let heard = known.report.as_ref().map(|r| r.0);
        heard.is_some_and(|t| now.since(t) < self.settings.heard_ms)
    }

    /// The hubs of the other data centres.
    #[must_use]
    pub fn other_hubs(&self, now: Millis) -> Vec<Peer> {
        let mut data_centres: Vec<&str> = self.peers.iter().map(|k| &*k.peer.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres
            .into_iter()
            .filter(|d| **d != *self.me.data_centre)
            .filter_map(|d| self.hub_of(now, d))
            .cloned()
            .collect()
    }

    /// Takes note that a peer was asked; passes it over once it has been silent for too long.
    pub fn on_asked(&mut self, now: Millis, name: &str) {
        let cfg = self.settings;
        let Ok(at) = self.find(name) else {
            return;
        };
        let known = &mut self.peers[at];
        let asked = *known.asked.get_or_insert(now);
        if now.since(asked) < cfg.silent_ms {
            return;
        }
        let ms = (cfg.suspect_ms << known.silences.min(8)).min(cfg.most_suspect_ms);
        known.silences = known.silences.saturating_add(1);
        known.passed_over_until = now.plus(ms);
        known.asked = None;
    }

    fn on_heard(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            let known = &mut self.peers[at];
            known.asked = None;
            known.silences = 0;
            known.passed_over_until = Millis::ZERO;
        }
    }

    /// Takes the report of a member.
    pub fn on_report(&mut self, now: Millis, name: &str, loads: Loads) {
        if let Ok(at) = self.find(name) {
            self.peers[at].report = Some((now, loads));
        }
    }

    /// Takes the total of another data centre.
    pub fn on_exchange(
        &mut self,
        now: Millis,
        name: &str,
        data_centre: &str,
        loads: Loads,
        instances: u32,
    ) {
        self.on_heard(name);
        let zone = Zone {
            data_centre: Arc::from(data_centre),
            heard: now,
            loads,
            instances,
        };
        let at = self
            .zones
            .binary_search_by(|z| (*z.data_centre).cmp(data_centre));
        match at {
            Ok(at) => self.zones[at] = zone,
            Err(at) => self.zones.insert(at, zone),
        }
    }

    /// Takes the answer of a hub.
    pub fn on_summary(&mut self, now: Millis, name: &str, summary: Summary) {
        self.on_heard(name);
        self.summary = Some((now, summary));
    }

    /// Whether a hub that reads the log has answered lately, so that this instance need not.
    #[must_use]
    pub fn is_covered(&self, now: Millis) -> bool {
        !self.is_hub(now)
            && self.summary.is_some_and(|(heard, summary)| {
                summary.is_fresh && now.since(heard) < self.settings.silent_ms
            })
    }

    /// Load of the own data centre without one member, and the number of its instances.
    #[must_use]
    pub fn own_zone(&self, now: Millis, own: &Loads, without: &str) -> (Loads, u32) {
        let mut loads = own.clone();
        let counted = self.peers.iter().filter(|k| self.counts(now, k));
        for known in counted.filter(|k| *k.peer.name != *without) {
            if let Some((_, report)) = &known.report {
                loads.merge(report);
            }
        }
        (loads, self.members(now) + 1)
    }

    /// Load of the other data centres, and the number of their instances.
    #[must_use]
    pub fn other_zones(&self, now: Millis) -> (Loads, u32) {
        let mut loads = Loads::default();
        let mut instances = 0;
        let heard = |z: &&Zone| now.since(z.heard) < self.settings.heard_ms;
        for zone in self.zones.iter().filter(heard) {
            loads.merge(&zone.loads);
            instances += zone.instances;
        }
        (loads, instances)
    }

    /// How many instances there probably are for each one that is heard.
    ///
    /// More than one behind a cut: those on the other side go on sending to the same upstreams.
    pub fn unheard_factor(&mut self, now: Millis) -> f64 {
        let heard = self.instances(now).unwrap_or(1).max(1);
        let is_old = now.since(self.most.0) >= self.settings.remembered_ms;
        if heard >= self.most.1 || is_old {
            self.most = (now, heard);
        }
        f64::from(self.most.1) / f64::from(heard)
    }

    /// Live instances as far as they are known, this one among them; nothing if nobody tells.
    #[must_use]
    pub fn instances(&self, now: Millis) -> Option<u32> {
        if self.is_hub(now) && !self.is_empty() {
            return Some(self.members(now) + 1 + self.other_zones(now).1);
        }
        let (heard, summary) = self.summary?;
        let counts = now.since(heard) < self.settings.heard_ms;
        counts.then_some(summary.instances.max(1))
    }
}
