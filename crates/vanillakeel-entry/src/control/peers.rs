//! Talk with other instances: who is live, who leaves, and newer texts.

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
    convert::{
        share_from_wire,
        share_to_wire, //
    },
    generated::{
        self as wire,
        PeerMessage, //
    },
    pack::{
        pack,
        unpack, //
    },
};

/// Peers that hear of this instance in each round.
const FAN_OUT: usize = 2;

/// Members that are leaving told in a message.
const MAX_TOLD: usize = 16;

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
        self.configuration.set_peers(peers.iter().map(|p| &**p));
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

    fn message(&self) -> PeerMessage {
        let leaving = self.membership.leaving().take(MAX_TOLD);
        PeerMessage {
            from: self.me().to_owned(),
            data_centre: self.settings.instance.data_centre.clone(),
            generation: self.boot_wall_ms,
            version: self.configuration.version(),
            members: leaving.map(wire::Member::from).collect(),
            leaving: self.is_leaving(),
            ..PeerMessage::default()
        }
    }

    fn tell(&self, to: &str, message: PeerMessage) {
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

    pub(super) fn tell_share(&self, to: &str, pool: &str, message: share::Message) {
        let share = share_to_wire(pool, message);
        self.tell(
            to,
            PeerMessage {
                from: self.me().to_owned(),
                version: self.configuration.version(),
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

    /// Tells a few random peers of this instance.
    pub(super) fn gossip(&mut self, now: Millis) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now.plus(self.settings.timing.gossip_every_ms);
        let mut peers = self.live_peers();
        for _ in 0..FAN_OUT.min(peers.len()) {
            let at = self.random.below(peers.len() as u64) as usize;
            let peer = peers.swap_remove(at);
            self.tell(&peer, self.message());
        }
    }

    /// Tells all peers at once that this instance is leaving.
    pub(super) fn tell_leaving(&mut self, now: Millis) {
        let me = self.me().to_owned();
        self.membership.set_leaving(&me);
        for peer in self.live_peers() {
            let message = PeerMessage {
                leaving: true,
                ..self.message()
            };
            self.tell(&peer, message);
        }
        self.next_gossip = now;
    }

    pub(super) fn on_peer(&mut self, now: Millis, message: &PeerMessage) {
        let mut has_changed = false;
        for member in &message.members {
            has_changed |= self.membership.merge(&Member::from(member));
        }
        if message.leaving {
            has_changed |= self.membership.set_leaving(&message.from);
        }
        self.membership.on_heard(now, &message.from);
        if has_changed {
            self.on_members_changed(now);
        }
        for share in &message.shares {
            if let Some((pool, share)) = share_from_wire(share) {
                self.router.on_peer_message(now, &message.from, pool, share);
            }
        }
        self.compare_versions(message);
    }

    /// Takes a newer text, asks for it, or gives it to a peer that is behind.
    fn compare_versions(&mut self, message: &PeerMessage) {
        if let Some(text) = message.text.as_deref().and_then(unpack) {
            self.configuration.on_peer(message.version, &text);
            return;
        }
        let mine = self.configuration.version();
        if message.version == mine {
            return;
        }
        let is_behind = message.version < mine;
        let reply = PeerMessage {
            text: is_behind.then(|| pack(self.configuration.text())),
            ..self.message()
        };
        self.tell(&message.from, reply);
    }
}
