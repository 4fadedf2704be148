//! The keepers of a stream: the instances that are told by which version it began before its caller gets
//! the first event.
//!
//! Among few instances all are keepers. Otherwise they follow from the stream and the names of the instances, so that an instance that is asked to go
//! on with a stream finds them without knowing which instance began it. Two are in the data centre of
//! the instance that began the stream, since its caller probably returns there and the data centre may
//! be cut off from the others, and one each in two other data centres. One more of each is asked than
//! told, since the asking instance may be one of them or know an instance that has gone. The hub is asked,
//! too: it has answered lately, while the keepers may all have ended.

use super::{
    Mesh,
    Peer, //
};
use crate::{
    Millis,
    order,
    streams::StreamId, //
};
use std::cmp::Reverse;

/// Largest number of peers of which all are keepers.
const MAX_PEERS_AS_KEEPERS: usize = 8;

/// Keepers in the data centre of the instance that began a stream.
const OWN_KEEPERS: usize = 2;

/// Other data centres with a keeper.
const OTHER_DATA_CENTRES: usize = 2;

impl Mesh {
    /// Returns the instances that are told of a stream which this instance has begun.
    #[must_use]
    pub fn keepers(&self, stream: StreamId) -> Vec<Peer> {
        self.ranked_keepers(stream, OWN_KEEPERS, OTHER_DATA_CENTRES)
    }

    /// Returns the instances that are asked for a stream which this instance does not know.
    #[must_use]
    pub fn keepers_to_ask(&self, now: Millis, stream: StreamId) -> Vec<Peer> {
        let mut asked = self.ranked_keepers(stream, OWN_KEEPERS + 1, OTHER_DATA_CENTRES + 1);
        let hub = self.hub(now).filter(|hub| !asked.contains(hub));
        asked.extend(hub.cloned());
        asked
    }

    /// Returns whether all peers are keepers of each stream, as there are few.
    #[must_use]
    pub fn are_all_keepers(&self) -> bool {
        self.len() <= MAX_PEERS_AS_KEEPERS
    }

    /// Returns the peers that are told when this instance begins to stop: all if there are few, otherwise the hubs.
    #[must_use]
    pub fn told_of_stop(&self, now: Millis) -> Vec<Peer> {
        if self.are_all_keepers() {
            return self.peers().cloned().collect();
        }
        let mut hubs = self.other_hubs(now);
        hubs.extend(self.hub(now).cloned());
        hubs
    }

    fn ranked_keepers(&self, stream: StreamId, own: usize, others: usize) -> Vec<Peer> {
        if self.are_all_keepers() {
            return self.peers().cloned().collect();
        }
        let weight = |name: &str| order::weight_for(stream.get(), name);
        let mut data_centres: Vec<&str> = self.peers().map(|p| &*p.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres.retain(|d| **d != *self.me().data_centre);
        data_centres.sort_by_cached_key(|d| Reverse(weight(d)));
        let first_of = |data_centre: &str| {
            let members = self.peers().filter(|p| *p.data_centre == *data_centre);
            members.max_by_key(|p| weight(&p.name))
        };
        let mut own_members: Vec<&Peer> = self
            .peers()
            .filter(|p| p.data_centre == self.me().data_centre)
            .collect();
        own_members.sort_by_cached_key(|p| Reverse(weight(&p.name)));
        let of_others = data_centres.into_iter().take(others).filter_map(first_of);
        own_members
            .into_iter()
            .take(own)
            .chain(of_others)
            .cloned()
            .collect()
    }
}
