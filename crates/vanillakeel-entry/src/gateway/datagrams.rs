//! Datagrams to other instances; see [`peers`](super::peers) for what they hold.

use super::shared::Shared;
use tokio::net::UdpSocket;
use vanillakeel::mesh::Peer;
use vanillakeel_wire::{
    Message as _,
    generated::{
        MeshMessage,
        mesh_message::Kind, //
    },
};

/// Sends a message to a peer; a message without a kind only introduces this instance.
pub(super) async fn send(
    shared: &Shared,
    socket: &UdpSocket,
    peer: &Peer,
    kind: impl Into<Option<Kind>>,
) {
    let message = encode_message(shared, kind.into());
    let sent = socket.send_to(&message, peer.address).await;
    if let Err(e) = sent {
        tracing::debug!(peer = %peer.name, error = %e, "datagram could not be sent");
    }
}

/// Sends a message to a peer now; it is lost if the socket can't take it, as a datagram may be.
pub(super) fn try_send(shared: &Shared, peer: &Peer, kind: Kind) {
    let socket = shared.mesh_socket.borrow();
    let Some(socket) = &*socket else {
        return;
    };
    let message = encode_message(shared, kind.into());
    if let Err(e) = socket.try_send_to(&message, peer.address) {
        tracing::debug!(peer = %peer.name, error = %e, "datagram could not be sent");
    }
}

/// Encodes a message of this instance.
fn encode_message(shared: &Shared, kind: Option<Kind>) -> Vec<u8> {
    let mesh = shared.mesh.borrow();
    let message = MeshMessage {
        from: mesh.me().name.to_string(),
        data_centre: mesh.me().data_centre.to_string(),
        link_mbps: mesh.me().link_mbps,
        kind,
    };
    message.encode_to_vec()
}
