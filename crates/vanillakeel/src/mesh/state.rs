//! Election of hubs, and the load that other instances report.

use super::{
    Loads,
    relay::Relay, //
};
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

/// An instance of the mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Unique name.
    pub name: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Address on which it receives datagrams.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s, zero if unknown.
    pub link_mbps: u32,
}

impl Peer {
    /// Returns its priority in the election of a data centre's hub; the highest one wins.
    ///
    /// A hub answers all other instances many times a second, so link bandwidth decides first.
    pub(super) fn hub_priority(&self) -> (u32, u64) {
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
    /// Time to live of a report, a total or a summary.
    pub report_ttl_ms: u64,
    /// Time without an answer after which a hub is skipped for a backoff, and after which its last
    /// answer no longer makes an instance [covered](Mesh::is_covered).
    pub answer_timeout_ms: u64,
    /// Time for which the largest number of instances is remembered; at least the window of limits that
    /// the instances share.
    pub peak_ttl_ms: u64,
    /// First backoff of a peer that does not answer; it doubles each time.
    pub first_backoff_ms: u64,
    /// Longest backoff of a peer that does not answer.
    pub max_backoff_ms: u64,
    /// Time between two probes of peers that are skipped.
    pub probe_every_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            report_ttl_ms: 1_500,
            answer_timeout_ms: 800,
            peak_ttl_ms: 15_000,
            first_backoff_ms: 3_000,
            max_backoff_ms: 30_000,
            probe_every_ms: 1_000,
        }
    }
}

/// A hub's answer to a report, apart from the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Whether the hub reads the log itself and has received an answer from it recently.
    pub is_fresh: bool,
    /// Number of live instances.
    pub instances: u32,
}

/// The last report of a member.
#[derive(Clone, Debug)]
struct MemberReport {
    received: Millis,
    loads: Loads,
    /// Whether the configuration in force at the member is confirmed.
    is_confirmed: bool,
}

#[derive(Clone, Debug)]
pub(super) struct KnownPeer {
    pub(super) peer: Peer,
    /// Time at which the oldest unanswered message was sent.
    unanswered_since: Option<Millis>,
    pub(super) backoff_until: Millis,
    timeouts: u32,
    report: Option<MemberReport>,
    /// Time until which it is not asked for the contents of the log.
    pub(super) no_reader_until: Millis,
}

impl KnownPeer {
    fn new(peer: &Peer) -> Self {
        Self {
            peer: peer.clone(),
            unanswered_since: None,
            backoff_until: Millis::ZERO,
            timeouts: 0,
            report: None,
            no_reader_until: Millis::ZERO,
        }
    }

    /// Returns whether its last report says that its configuration is confirmed.
    pub(super) fn is_confirmed(&self) -> bool {
        self.report.as_ref().is_some_and(|r| r.is_confirmed)
    }
}

/// The total load of another data centre.
#[derive(Clone, Debug)]
struct DataCentreTotal {
    data_centre: Arc<str>,
    received: Millis,
    loads: Loads,
    instances: u32,
}

/// The view that one instance has of the others.
#[derive(Clone, Debug)]
pub struct Mesh {
    pub(super) me: Peer,
    pub(super) settings: Settings,
    /// Sorted by name.
    pub(super) peers: Vec<KnownPeer>,
    /// Sorted by data centre.
    totals: Vec<DataCentreTotal>,
    summary: Option<(Millis, Summary)>,
    /// Whether the list of peers has been read.
    has_list: bool,
    /// Whether a peer has answered or reported, and thus knows this instance.
    is_known: bool,
    /// Largest number of instances heard of recently, with the time at which it was seen last.
    peak_instances: (Millis, u32),
    /// Largest number of instances that may have been alive recently, with the time at which it was seen
    /// last.
    peak_sharing: (Millis, u32),
    pub(super) relay: Relay,
    /// Number of the last round of probes, counted from the origin of the clock.
    pub(super) probe_round: u64,
}

impl Mesh {
    /// Creates a view without peers.
    #[must_use]
    pub const fn new(me: Peer, settings: Settings) -> Self {
        Self {
            me,
            settings,
            peers: Vec::new(),
            totals: Vec::new(),
            summary: None,
            has_list: false,
            is_known: false,
            peak_instances: (Millis::ZERO, 1),
            peak_sharing: (Millis::ZERO, 1),
            relay: Relay::NONE,
            probe_round: 0,
        }
    }

    /// Returns this instance.
    #[must_use]
    pub const fn me(&self) -> &Peer {
        &self.me
    }

    pub(super) fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|k| (*k.peer.name).cmp(name))
    }

    /// Adds a peer; if the data of a known peer have changed, its report and backoff are reset.
    ///
    /// Returns whether the peer was not known with these data.
    pub fn on_peer(&mut self, peer: &Peer) -> bool {
        if peer.name == self.me.name {
            return false;
        }
        match self.find(&peer.name) {
            Err(at) => self.peers.insert(at, KnownPeer::new(peer)),
            Ok(at) if self.peers[at].peer != *peer => self.peers[at] = KnownPeer::new(peer),
            Ok(_) => return false,
        }
        true
    }

    /// Adds a peer of the list, unless it is known; one that has been heard is where it sent from, and the list may be
    /// older.
    pub fn on_listed_peer(&mut self, peer: &Peer) {
        if self.find(&peer.name).is_err() {
            self.on_peer(peer);
        }
    }

    /// Records that the list of peers has been read to its end, and each of them added.
    pub const fn on_list_read(&mut self) {
        self.has_list = true;
    }

    /// Returns whether the list of peers has been read.
    #[must_use]
    pub const fn has_list(&self) -> bool {
        self.has_list
    }

    /// Removes a peer that has left.
    pub fn on_left(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            self.peers.remove(at);
        }
    }

    /// Returns whether a peer has been heard lately that has not left: a member, the hub, or a hub of another data
    /// centre.
    #[must_use]
    pub fn has_live_peer(&self, now: Millis) -> bool {
        let is_recent = |received| now.since(received) < self.settings.report_ttl_ms;
        let has_peer =
            |data_centre: &str| self.peers().any(|peer| *peer.data_centre == *data_centre);
        let mut totals = self.totals.iter().filter(|t| is_recent(t.received));
        self.reporting_members(now) > 0
            || self.hears_hub(now)
            || totals.any(|t| has_peer(&t.data_centre))
    }

    /// Returns all known peers in ascending order of name.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().map(|k| &k.peer)
    }

    /// Returns the number of known peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the peer that is hub of a data centre, or `None` if this instance is the hub or
    /// no peer qualifies.
    fn hub_of(&self, now: Millis, data_centre: &str) -> Option<&Peer> {
        let best = self
            .peers
            .iter()
            .filter(|k| *k.peer.data_centre == *data_centre && now >= k.backoff_until)
            .max_by_key(|k| k.peer.hub_priority())?;
        let is_own = *self.me.data_centre == *data_centre;
        let is_me = is_own && self.me.hub_priority() > best.peer.hub_priority();
        (!is_me).then_some(&best.peer)
    }

    /// Returns the hub of the own data centre, or `None` if it is this instance.
    #[must_use]
    pub fn hub(&self, now: Millis) -> Option<&Peer> {
        self.hub_of(now, &self.me.data_centre)
    }

    /// Returns whether this instance acts as a hub: because of its priority, or because others
    /// report to it.
    #[must_use]
    pub fn is_hub(&self, now: Millis) -> bool {
        self.hub(now).is_none() || self.reporting_members(now) > 0
    }

    /// Returns the number of members whose last report is still valid.
    #[must_use]
    pub fn reporting_members(&self, now: Millis) -> u32 {
        let count = self
            .peers
            .iter()
            .filter(|k| self.is_report_fresh(now, k))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    pub(super) fn is_report_fresh(&self, now: Millis, known: &KnownPeer) -> bool {
        let received = known.report.as_ref().map(|r| r.received);
        received.is_some_and(|t| now.since(t) < self.settings.report_ttl_ms)
    }

    /// Returns the hubs of the other data centres.
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

    /// Records a message that was sent to a peer and expects an answer.
    ///
    /// If the oldest unanswered message was sent at least [`Settings::answer_timeout_ms`] ago, the
    /// peer is skipped with exponential backoff.
    pub fn on_sent(&mut self, now: Millis, name: &str) {
        let cfg = self.settings;
        let Ok(at) = self.find(name) else {
            return;
        };
        let known = &mut self.peers[at];
        let unanswered_since = *known.unanswered_since.get_or_insert(now);
        if now.since(unanswered_since) < cfg.answer_timeout_ms {
            return;
        }
        let ms = (cfg.first_backoff_ms << known.timeouts.min(8)).min(cfg.max_backoff_ms);
        known.timeouts = known.timeouts.saturating_add(1);
        known.backoff_until = now.plus(ms);
        known.unanswered_since = None;
    }

    fn on_answer(&mut self, name: &str) {
        self.is_known = true;
        if let Ok(at) = self.find(name) {
            let known = &mut self.peers[at];
            known.unanswered_since = None;
            known.timeouts = 0;
            known.backoff_until = Millis::ZERO;
        }
    }

    /// Stores the report of a member: its load, and whether its configuration is confirmed.
    pub fn on_report(&mut self, now: Millis, name: &str, loads: Loads, is_confirmed: bool) {
        self.is_known = true;
        if let Ok(at) = self.find(name) {
            self.peers[at].report = Some(MemberReport {
                received: now,
                loads,
                is_confirmed,
            });
        }
    }

    /// Stores the total load of another data centre, sent by its hub `name`.
    pub fn on_exchange(
        &mut self,
        now: Millis,
        name: &str,
        data_centre: &str,
        loads: Loads,
        instances: u32,
    ) {
        self.on_answer(name);
        let total = DataCentreTotal {
            data_centre: Arc::from(data_centre),
            received: now,
            loads,
            instances,
        };
        let at = self
            .totals
            .binary_search_by(|t| (*t.data_centre).cmp(data_centre));
        match at {
            Ok(at) => self.totals[at] = total,
            Err(at) => self.totals.insert(at, total),
        }
    }

    /// Stores the answer of a hub.
    pub fn on_summary(&mut self, now: Millis, name: &str, summary: Summary) {
        self.on_answer(name);
        self.summary = Some((now, summary));
    }

    /// Returns whether this instance is covered: a hub that reads the log has answered recently, so
    /// that this instance does not have to read it, and the hub does not rely on it for that.
    #[must_use]
    pub fn is_covered(&self, now: Millis) -> bool {
        !self.is_hub(now)
            && !self.reads_for_hub(now)
            && self.summary.is_some_and(|(received, summary)| {
                summary.is_fresh && now.since(received) < self.settings.answer_timeout_ms
            })
    }

    /// Returns whether this instance has heard a hub of its data centre recently that is not itself.
    #[must_use]
    pub fn hears_hub(&self, now: Millis) -> bool {
        let is_recent = |received| now.since(received) < self.settings.report_ttl_ms;
        !self.is_hub(now)
            && self
                .summary
                .is_some_and(|(received, _)| is_recent(received))
    }

    /// Returns whether other instances of the data centre have probably a confirmed configuration while
    /// this one has not, because it has lost contact with the log.
    ///
    /// If no instance is heard, this one is cut off from the others, which are taken to be well. If
    /// the hub or all members have lost contact too, the data centre is cut off or the log is down.
    #[must_use]
    pub fn are_others_confirmed(&self, now: Millis) -> bool {
        let is_recent = |received| now.since(received) < self.settings.report_ttl_ms;
        let summary = self.summary.filter(|(received, _)| is_recent(*received));
        let mut heard = summary.map(|(_, s)| s.is_fresh).into_iter().chain(
            self.peers
                .iter()
                .filter_map(|k| k.report.as_ref())
                .filter(|r| is_recent(r.received))
                .map(|r| r.is_confirmed),
        );
        match heard.next() {
            None => true,
            Some(first) => first || heard.any(|is_confirmed| is_confirmed),
        }
    }

    /// Returns the load of the own data centre without the member `excluded`, and the number of
    /// instances there, which includes that member.
    #[must_use]
    pub fn own_data_centre(&self, now: Millis, own: &Loads, excluded: &str) -> (Loads, u32) {
        let mut loads = own.clone();
        let reporting = self.peers.iter().filter(|k| self.is_report_fresh(now, k));
        for known in reporting.filter(|k| *k.peer.name != *excluded) {
            if let Some(report) = &known.report {
                loads.merge(&report.loads);
            }
        }
        (loads, self.reporting_members(now) + 1)
    }

    /// Returns the load of the other data centres, and the number of their instances.
    #[must_use]
    pub fn other_data_centres(&self, now: Millis) -> (Loads, u32) {
        let mut loads = Loads::default();
        let mut instances = 0;
        let is_recent = |t: &&DataCentreTotal| now.since(t.received) < self.settings.report_ttl_ms;
        for total in self.totals.iter().filter(is_recent) {
            loads.merge(&total.loads);
            instances += total.instances;
        }
        (loads, instances)
    }

    /// Returns the estimated number of live instances per instance that the current reports
    /// cover.
    ///
    /// The estimate is the largest number of instances that was known recently. The factor thus
    /// exceeds one during a network partition, while the instances on the other side still send to
    /// the same upstreams.
    pub fn extrapolation_factor(&mut self, now: Millis) -> f64 {
        let reporting = self.instances(now).unwrap_or(1).max(1);
        self.peak_instances = self.peak(now, self.peak_instances, reporting);
        f64::from(self.peak_instances.1) / f64::from(reporting)
    }

    /// Returns the position of this instance among all known ones, in the order that a key gives them.
    #[must_use]
    pub fn position(&self, key: u64) -> usize {
        let weight = |name: &str| order::weight_for(key, name);
        let mine = weight(&self.me.name);
        let is_before = |p: &&Peer| weight(&p.name) > mine;
        self.peers().filter(is_before).count()
    }

    /// Returns the number of instances that share limits with this one, which is included, or `None`
    /// until the list of peers has been read and one of them knows this instance.
    ///
    /// All that may be alive count, whether or not they are heard, since each one that is cut off uses its
    /// part as well. One that has left or joined counts for as long as a window of the limits may hold what
    /// it has used.
    pub fn sharing_instances(&mut self, now: Millis) -> Option<u32> {
        let known = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let known = known.saturating_add(1);
        let heard = self.instances(now).unwrap_or(1);
        self.peak_sharing = self.peak(now, self.peak_sharing, known.max(heard));
        let is_counted = self.is_known || self.peers.is_empty();
        (self.has_list && is_counted).then_some(self.peak_sharing.1)
    }

    /// Returns the larger one of a count and an earlier peak that is still remembered.
    fn peak(&self, now: Millis, peak: (Millis, u32), count: u32) -> (Millis, u32) {
        let is_old = now.since(peak.0) >= self.settings.peak_ttl_ms;
        if count >= peak.1 || is_old {
            (now, count)
        } else {
            peak
        }
    }

    /// Returns the known number of live instances, including this one, or `None` without recent
    /// information.
    #[must_use]
    pub fn instances(&self, now: Millis) -> Option<u32> {
        if self.is_hub(now) && !self.is_empty() {
            return Some(self.reporting_members(now) + 1 + self.other_data_centres(now).1);
        }
        let (received, summary) = self.summary?;
        let is_recent = now.since(received) < self.settings.report_ttl_ms;
        is_recent.then_some(summary.instances.max(1))
    }
}
