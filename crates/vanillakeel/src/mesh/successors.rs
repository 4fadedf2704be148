//! Members that would become hub if the hub ends, and hubs that are skipped for now.

use super::{
    Mesh,
    Peer,
    state::KnownPeer, //
};
use crate::Millis;
use std::{
    cmp::Reverse,
    sync::Arc, //
};

/// Number of members that are told what the hub knows, beside the hubs of other data centres.
const SUCCESSORS: usize = 3;

impl Mesh {
    /// Returns the members that would follow this instance as hub, the first one first.
    #[must_use]
    pub fn successors(&self, now: Millis) -> Vec<&Peer> {
        let members = self.peers.iter().filter(|k| self.is_report_fresh(now, k));
        let mut members: Vec<&Peer> = members.map(|k| &k.peer).collect();
        members.sort_unstable_by_key(|p| Reverse(p.hub_priority()));
        members.truncate(SUCCESSORS);
        members
    }

    /// Returns whether a member is among those that would follow this instance as hub.
    #[must_use]
    pub fn is_successor(&self, now: Millis, name: &str) -> bool {
        self.successors(now).iter().any(|p| *p.name == *name)
    }

    /// Returns the instances that would be the hubs of data centres if they had answered lately.
    ///
    /// Two instances may each skip the other one although they could reach each other again.
    #[must_use]
    pub fn skipped_hubs(&self, now: Millis) -> Vec<&Peer> {
        let mut first: Vec<&KnownPeer> = self.peers.iter().collect();
        let key = |k: &KnownPeer| {
            (
                Arc::clone(&k.peer.data_centre),
                Reverse(k.peer.hub_priority()),
            )
        };
        first.sort_by_cached_key(|k| key(k));
        first.dedup_by(|later, k| later.peer.data_centre == k.peer.data_centre);
        let is_first = |k: &&KnownPeer| {
            let is_own = k.peer.data_centre == self.me.data_centre;
            !is_own || k.peer.hub_priority() > self.me.hub_priority()
        };
        let skipped = first.into_iter().filter(|k| now < k.backoff_until);
        skipped.filter(is_first).map(|k| &k.peer).collect()
    }
}
