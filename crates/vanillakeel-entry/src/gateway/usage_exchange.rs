//! Who is told the counts of requests that upstreams began, and when.
//!
//! `peers` adds them to its messages; what does not fit, and what a stopping instance knows, is sent by itself.

use super::{
    datagrams,
    shared::Shared,
    usage, //
};
use vanillakeel::{
    Millis,
    mesh::Peer,
    usage::Towards, //
};
use vanillakeel_wire::generated::{
    MeshUsage,
    mesh_message::Kind, //
};

/// Returns what a peer is told of the counts of requests with the next message; sends what does not fit in one.
pub(super) fn tell(shared: &Shared, peer: &Peer, towards: Towards) -> Option<MeshUsage> {
    if !shared.counts_usage {
        return None;
    }
    let (now, metrics) = (shared.clock.now(), &shared.metrics.usage);
    usage::tell(&shared.usage, metrics, now, peer, towards, |peer, kind| {
        datagrams::try_send(shared, peer, kind);
    })
}

/// Tells an instance the counts of requests in a datagram of its own.
fn tell_directly(shared: &Shared, peer: &Peer, towards: Towards) {
    if let Some(told) = tell(shared, peer, towards) {
        datagrams::try_send(shared, peer, Kind::Usage(told));
    }
}

/// Tells the hubs, and the members that would follow this instance as hub, the counts of requests.
pub(super) fn hand_over(shared: &Shared, now: Millis) {
    let hub = shared.mesh.borrow().hub(now).cloned();
    if let Some(hub) = hub {
        tell_directly(shared, &hub, Towards::Hub);
    }
    if shared.mesh.borrow().is_hub(now) {
        for other in shared.mesh.borrow().other_hubs(now) {
            tell_directly(shared, &other, Towards::OtherHub);
        }
        for successor in shared.mesh.borrow().successors(now) {
            tell_directly(shared, successor, Towards::Successor);
        }
    }
    tell_skipped_hubs(shared, now);
}

/// Tells the counts of requests to hubs that are skipped for now, since they may skip this instance as well.
pub(super) fn tell_skipped_hubs(shared: &Shared, now: Millis) {
    let mesh = shared.mesh.borrow();
    if mesh.is_hub(now) {
        for hub in mesh.skipped_hubs(now) {
            let is_own = hub.data_centre == mesh.me().data_centre;
            let towards = if is_own {
                Towards::Hub
            } else {
                Towards::OtherHub
            };
            tell_directly(shared, hub, towards);
        }
    }
}

/// Returns what a member is told as.
pub(super) fn towards(shared: &Shared, now: Millis, member: &str) -> Towards {
    if shared.mesh.borrow().is_successor(now, member) {
        Towards::Successor
    } else {
        Towards::Member
    }
}

/// Records the counts of requests of which a peer tells.
pub(super) fn on_told(shared: &Shared, now: Millis, peer: &str, told: Option<&MeshUsage>) {
    if let Some(told) = told.filter(|_| shared.counts_usage) {
        usage::on_told(&shared.usage, &shared.metrics.usage, now, peer, told);
    }
}
