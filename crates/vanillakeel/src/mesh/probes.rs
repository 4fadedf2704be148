//! Messages to peers that are skipped since they have not answered.
//!
//! After a cut both sides skip each other, and the hubs of two sides go on for as long as their backoffs
//! last without telling each other what their members know. A probe is an ordinary report or exchange to a
//! skipped peer. If it arrives, the answer ends the backoff.

use super::{
    Mesh,
    Peer,
    state::KnownPeer, //
};
use crate::Millis;
use std::cmp::Reverse;

/// Skipped peers of a data centre that are probed in turn, those with the highest priority as hub.
const PROBED_PEERS: usize = 3;

impl Mesh {
    /// Returns the skipped peers to which a message is sent now, at most one of each data centre.
    ///
    /// A member probes the peers of its own data centre that go before its hub. A hub also probes those of
    /// the other data centres.
    pub fn due_probes(&mut self, now: Millis) -> Vec<Peer> {
        let round = now.get() / self.settings.probe_every_ms.max(1);
        if round == self.probe_round {
            return Vec::new();
        }
        self.probe_round = round;
        let mut data_centres: Vec<&str> = self.peers().map(|p| &*p.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let is_hub = self.is_hub(now);
        data_centres
            .into_iter()
            .filter(|d| is_hub || **d == *self.me.data_centre)
            .filter_map(|d| self.probed_peer(now, d, round))
            .cloned()
            .collect()
    }

    /// Returns the skipped peer of a data centre that is probed in a round, if there is any.
    fn probed_peer(&self, now: Millis, data_centre: &str, round: u64) -> Option<&Peer> {
        let own_hub = self.hub(now).unwrap_or(&self.me);
        let is_own = *self.me.data_centre == *data_centre;
        let is_probed = |k: &&KnownPeer| {
            *k.peer.data_centre == *data_centre
                && now < k.backoff_until
                && (!is_own || k.peer.hub_priority() > own_hub.hub_priority())
        };
        let mut skipped: Vec<&Peer> = self
            .peers
            .iter()
            .filter(is_probed)
            .map(|k| &k.peer)
            .collect();
        skipped.sort_by_key(|p| Reverse(p.hub_priority()));
        skipped.truncate(PROBED_PEERS);
        let turn = round.checked_rem(skipped.len() as u64)?;
        Some(skipped[turn as usize])
    }
}
