//! Messages with other instances: liveness, leaving members, and newer configurations.
//!
//! Each instance sends its state to a few random peers at a fixed interval (gossip), and to all
//! peers when it starts to leave. A message carries the sender's configuration version, so that the
//! peer with the older one gets the newer one.

use super::Control;
use crate::peer::Outgoing;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    membership::{
        Kind,
        Member,
        State, //
    },
    share,
};
use vanillakeel_wire::{
    compression::{
        compress,
        decompress, //
    },
    convert::{
        share_from_wire,
        share_to_wire, //
    },
    generated::{
        self as wire,
        PeerMessage, //
    },
};

/// Number of random peers that get a message in each gossip round.
const GOSSIP_FAN_OUT: usize = 2;

/// Maximum number of leaving members announced in a message.
const MAX_LEAVING_PER_MESSAGE: usize = 16;

impl Control {
    fn me(&self) -> &str {
        &self.settings.instance.name
    }

    pub(super) fn on_list(&mut self, now: Millis, members: &[Member]) {
        if self.membership.on_list(now, members) {
            self.on_members_changed(now);
        }
    }

    fn on_members_changed(&mut self, now: Millis) {
        let me: Arc<str> = Arc::from(self.me());
        let peers: Vec<Arc<str>> = self
            .membership
            .live(Kind::Entry)
            .map(|m| Arc::clone(&m.name))
            .filter(|name| *name != me)
            .collect();
        self.router.set_peers(peers.iter().map(|p| &**p));
        self.config_replica.set_peers(peers.iter().map(|p| &**p));
        let upstreams: Vec<Member> = self
            .membership
            .iter()
            .filter(|m| m.kind == Kind::Upstream)
            .cloned()
            .collect();
        for m in upstreams {
            let is_leaving = m.state == State::Leaving;
            self.router.set_leaving(now, &m.name, is_leaving);
        }
    }

    /// Returns a message with the state of this instance.
    fn status_message(&self) -> PeerMessage {
        let leaving = self.membership.leaving().take(MAX_LEAVING_PER_MESSAGE);
        PeerMessage {
            from: self.me().to_owned(),
            data_centre: self.settings.instance.data_centre.clone(),
            generation: self.started_wall_ms,
            version: self.config_replica.version(),
            members: leaving.map(wire::Member::from).collect(),
            leaving: self.is_leaving(),
            rates: self.rates_to_wire(),
            ..PeerMessage::default()
        }
    }

    fn send_to_peer(&self, to: &str, message: PeerMessage) {
        let member = self.membership.iter().find(|m| *m.name == *to);
        let address = member.and_then(|m| m.address.parse().ok());
        if let (Some(peers), Some(address)) = (&self.out.peers, address) {
            let _ = peers.try_send(Outgoing {
                name: to.to_owned(),
                address,
                message,
            });
        }
    }

    pub(super) fn send_share(&self, to: &str, pool: &str, message: share::Message) {
        let share = share_to_wire(pool, message);
        self.send_to_peer(
            to,
            PeerMessage {
                from: self.me().to_owned(),
                version: self.config_replica.version(),
                shares: vec![share],
                leaving: self.is_leaving(),
                ..PeerMessage::default()
            },
        );
    }

    fn live_peers(&self) -> Vec<Arc<str>> {
        self.membership
            .live(Kind::Entry)
            .filter(|m| *m.name != *self.me())
            .map(|m| Arc::clone(&m.name))
            .collect()
    }

    /// Sends the state of this instance to a few random peers when the gossip interval has passed.
    pub(super) fn gossip(&mut self, now: Millis) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now.plus(self.settings.timing.gossip_every_ms);
        let mut peers = self.live_peers();
        for _ in 0..GOSSIP_FAN_OUT.min(peers.len()) {
            let at = self.random.below(peers.len() as u64) as usize;
            let peer = peers.swap_remove(at);
            self.send_to_peer(&peer, self.status_message());
        }
    }

    /// Sends all live peers a message that this instance is leaving.
    pub(super) fn announce_leaving(&mut self, now: Millis) {
        let me = self.me().to_owned();
        self.membership.set_leaving(&me);
        for peer in self.live_peers() {
            let message = PeerMessage {
                leaving: true,
                ..self.status_message()
            };
            self.send_to_peer(&peer, message);
        }
        self.next_gossip = now;
    }

    pub(super) fn on_peer_message(&mut self, now: Millis, message: &PeerMessage) {
        let mut has_changed = false;
        for member in &message.members {
            has_changed |= self.membership.merge(&Member::from(member));
        }
        if message.leaving {
            has_changed |= self.membership.set_leaving(&message.from);
        }
        self.membership.on_message(now, &message.from);
        if has_changed {
            self.on_members_changed(now);
        }
        self.on_told_rates(now, message);
        for share in &message.shares {
            if let Some((pool, share)) = share_from_wire(share) {
                self.router.on_peer_message(now, &message.from, pool, share);
            }
        }
        self.compare_versions(message);
    }

    /// Passes the configuration in a message to the replica, or replies if the message has none and the
    /// versions differ.
    ///
    /// The reply carries the configuration if the peer has an older version; otherwise the
    /// lower version number in the reply makes the peer send the newer configuration.
    fn compare_versions(&mut self, message: &PeerMessage) {
        if let Some(text) = message.text.as_deref().and_then(decompress) {
            self.config_replica.on_peer(message.version, &text);
            return;
        }
        let own_version = self.config_replica.version();
        if message.version == own_version {
            return;
        }
        let is_behind = message.version < own_version;
        let reply = PeerMessage {
            text: is_behind.then(|| compress(self.config_replica.text())),
            ..self.status_message()
        };
        self.send_to_peer(&message.from, reply);
    }
}
