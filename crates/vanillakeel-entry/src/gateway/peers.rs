//! Talk with other instances, by datagrams.
//!
//! Each instance writes where it is reached to the log once and reads the others there. From then on
//! members report to their hub and take its answers, and hubs exchange totals; see
//! [`vanillakeel::mesh`]. A datagram that is lost, late or not understood changes nothing for good.

use super::{
    shared::Shared,
    source::{
        Entry,
        Source,
        Topic, //
    },
    told::{
        change_from_wire,
        change_to_wire,
        loads_from_wire,
        loads_to_wire, //
    },
};
use bytes::Bytes;
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::UdpSocket,
    time::sleep, //
};
use vanillakeel::{
    Millis,
    mesh::{
        Loads,
        Peer,
        Summary, //
    },
};
use vanillakeel_wire::{
    Message as _,
    generated::{
        MeshExchange,
        MeshMessage,
        MeshReads,
        MeshReport,
        MeshSummary,
        mesh_message::Kind, //
    },
};

/// Largest datagram that is read, in bytes; UDP carries hardly more.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Pause after the log could not be written or read, in ms.
const RETRY_MS: u64 = 1_000;

/// Upstreams have to be read again within this time for a hub to count as fresh, in ms.
const FRESH_MS: u64 = 1_500;

/// Age of a hub's proof of the configuration up to which it counts as fresh, in ms.
const FRESH_PROOF_MS: u64 = 2_600;

/// Talks with peers for as long as the process runs.
pub(super) async fn run(shared: Rc<Shared>, source: Source, socket: Rc<UdpSocket>) {
    tokio::join!(
        register(&shared, &source, &socket),
        receive(&shared, &socket),
        tell(&shared, &socket),
    );
}

/// Writes where this instance is reached and reads where the others are.
async fn register(shared: &Shared, source: &Source, socket: &UdpSocket) {
    let me = shared.mesh.borrow().me().clone();
    let address = match socket.local_addr() {
        Ok(address) => address,
        Err(e) => {
            tracing::error!(error = %e, "the socket for peers has no address");
            return;
        }
    };
    let entry = Entry {
        key: me.name.to_string(),
        value: Some(Bytes::from(format!(
            "{address} {} {}",
            me.link_mbps, me.data_centre
        ))),
    };
    while let Err(e) = (source.write)(Topic::Peers, entry.clone()).await {
        tracing::warn!(error = %e, "where this instance is reached could not be written");
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
    let mut after = None;
    loop {
        match (source.newest)(Topic::Peers, after.clone()).await {
            Ok(page) => {
                let peers = page.entries.iter().filter_map(read_peer);
                for peer in peers {
                    shared.mesh.borrow_mut().on_peer(&peer);
                    // A report here would make each peer take itself for a hub.
                    send(shared, socket, &peer, None).await;
                }
                after = page.more_after;
                if after.is_none() {
                    break;
                }
            }
            Err(e) => {
                tracing::warn!(error = %e, "peers could not be read");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
    tracing::info!(peers = shared.mesh.borrow().len(), "peers known");
}

/// Tells the others that this instance stops.
pub(super) async fn leave(shared: &Shared, source: &Source, socket: &UdpSocket) {
    let hubs = {
        let mesh = shared.mesh.borrow();
        let now = shared.clock.now();
        let mut hubs = mesh.other_hubs(now);
        hubs.extend(mesh.hub(now).cloned());
        hubs
    };
    for peer in hubs {
        send(shared, socket, &peer, Kind::Leaving(true)).await;
    }
    let key = shared.mesh.borrow().me().name.to_string();
    let entry = Entry { key, value: None };
    if let Err(e) = (source.write)(Topic::Peers, entry).await {
        tracing::warn!(error = %e, "the entry of this instance could not be dropped");
    }
}

fn read_peer(entry: &Entry) -> Option<Peer> {
    let text = std::str::from_utf8(entry.value.as_deref()?).ok()?;
    let mut words = text.splitn(3, ' ');
    Some(Peer {
        name: Arc::from(&*entry.key),
        address: words.next()?.parse().ok()?,
        link_mbps: words.next()?.parse().ok()?,
        data_centre: Arc::from(words.next()?),
    })
}

/// Reports to the hub, or exchanges with other hubs, at an even pace.
async fn tell(shared: &Shared, socket: &UdpSocket) {
    loop {
        let every = shared.settings.borrow().timing.mesh_every_ms;
        sleep(Duration::from_millis(every)).await;
        if shared.stopping.get().is_some() {
            return;
        }
        let now = shared.clock.now();
        show(shared, now);
        let hub = shared.mesh.borrow().hub(now).cloned();
        if let Some(hub) = hub {
            shared.mesh.borrow_mut().on_sent(now, &hub.name);
            send(shared, socket, &hub, report(shared)).await;
        }
        let factor = shared.mesh.borrow_mut().extrapolation_factor(now);
        shared.fleet.borrow_mut().set_extrapolation_factor(factor);
        if shared.mesh.borrow().is_hub(now) {
            exchange(shared, socket, now).await;
        }
    }
}

fn show(shared: &Shared, now: Millis) {
    let mesh = shared.mesh.borrow();
    let peers = i64::try_from(mesh.len()).unwrap_or(i64::MAX);
    shared.metrics.peers.set(peers);
    shared.metrics.covered.set(i64::from(mesh.is_covered(now)));
}

/// Sends the total of the own data centre to the other hubs, and takes theirs into account.
async fn exchange(shared: &Shared, socket: &UdpSocket, now: Millis) {
    let (peers, members, instances) = {
        let mesh = shared.mesh.borrow();
        let (members, instances) = mesh.own_data_centre(now, &Loads::default(), "");
        (mesh.other_hubs(now), members, instances)
    };
    let mut total = shared.fleet.borrow().loads();
    total.merge(&members);
    for peer in peers {
        shared.mesh.borrow_mut().on_sent(now, &peer.name);
        let message = MeshExchange {
            loads: Some(loads_to_wire(&total)),
            instances,
            reads: Some(reads_to_wire(shared, now)),
        };
        send(shared, socket, &peer, Kind::Exchange(message)).await;
    }
    let mut remote = members;
    remote.merge(&shared.mesh.borrow().other_data_centres(now).0);
    shared.fleet.borrow_mut().set_remote(&remote);
}

fn report(shared: &Shared) -> Kind {
    let now = shared.clock.now();
    Kind::Report(MeshReport {
        sent: now.get(),
        loads: Some(loads_to_wire(&shared.fleet.borrow().loads())),
        reads: Some(reads_to_wire(shared, now)),
    })
}

/// Sends a message; one without a kind only makes this instance known.
async fn send(shared: &Shared, socket: &UdpSocket, peer: &Peer, kind: impl Into<Option<Kind>>) {
    let message = {
        let mesh = shared.mesh.borrow();
        MeshMessage {
            from: mesh.me().name.to_string(),
            data_centre: mesh.me().data_centre.to_string(),
            link_mbps: mesh.me().link_mbps,
            kind: kind.into(),
        }
    };
    let sent = socket.send_to(&message.encode_to_vec(), peer.address).await;
    if let Err(e) = sent {
        tracing::debug!(peer = %peer.name, error = %e, "datagram not sent");
    }
}

async fn receive(shared: &Shared, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => on_datagram(shared, socket, &buf[..length], from).await,
            // A peer that is gone makes the socket report its port as closed.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) => {
                tracing::warn!(error = %e, "datagrams can't be read");
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn on_datagram(shared: &Shared, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let Ok(message) = MeshMessage::decode(bytes) else {
        shared.metrics.bad_datagrams.inc();
        return;
    };
    let now = shared.clock.now();
    let peer = Peer {
        name: Arc::from(&*message.from),
        data_centre: Arc::from(&*message.data_centre),
        address: from,
        link_mbps: message.link_mbps,
    };
    let name = &peer.name;
    if matches!(message.kind, Some(Kind::Leaving(_))) {
        shared.mesh.borrow_mut().on_left(name);
        return;
    }
    shared.mesh.borrow_mut().on_peer(&peer);
    match message.kind {
        Some(Kind::Report(report)) => {
            take_reads(shared, now, report.reads.as_ref());
            let loads = loads_from_wire(report.loads.as_ref());
            let is_mate = {
                let mut mesh = shared.mesh.borrow_mut();
                let is_mate = mesh.me().data_centre == peer.data_centre;
                if is_mate {
                    mesh.on_report(now, name, loads);
                }
                is_mate
            };
            if is_mate && shared.stopping.get().is_none() {
                let summary = summary(shared, now, name, report.sent);
                send(shared, socket, &peer, Kind::Summary(summary)).await;
            }
        }
        Some(Kind::Exchange(exchange)) => {
            take_reads(shared, now, exchange.reads.as_ref());
            let loads = loads_from_wire(exchange.loads.as_ref());
            let mut mesh = shared.mesh.borrow_mut();
            mesh.on_exchange(now, name, &message.data_centre, loads, exchange.instances);
        }
        Some(Kind::Summary(summary)) => on_summary(shared, now, name, &summary),
        Some(Kind::Leaving(_)) | None => {}
    }
}

/// What this instance knows, as an answer to a member's report.
fn summary(shared: &Shared, now: Millis, member: &str, sent: u64) -> MeshSummary {
    let own = shared.fleet.borrow().loads();
    let (loads, instances) = {
        let mesh = shared.mesh.borrow();
        let (mut loads, own_instances) = mesh.own_data_centre(now, &own, member);
        let (others, other_instances) = mesh.other_data_centres(now);
        loads.merge(&others);
        (loads, own_instances + other_instances)
    };
    let in_force = shared.in_force.borrow();
    let proof_age = in_force.confirmation_age_ms(now);
    let read = shared.upstreams_read.get();
    let is_read = read.is_some_and(|t| now.since(t) < FRESH_MS);
    let is_proved = proof_age.is_some_and(|age| age < FRESH_PROOF_MS);
    let changes = shared.changes.borrow();
    MeshSummary {
        sent,
        fresh: is_read && is_proved,
        version: in_force.table().map_or(0, |t| t.version()),
        proof_age: proof_age.unwrap_or(u64::MAX),
        digest: shared.fleet.borrow().digest(),
        loads: Some(loads_to_wire(&loads)),
        changes: changes.iter().map(|(_, c)| change_to_wire(c)).collect(),
        instances,
        reads: Some(reads_to_wire(shared, now)),
    }
}

fn on_summary(shared: &Shared, now: Millis, hub: &str, summary: &MeshSummary) {
    let sent = Millis::new(summary.sent);
    let heard = Summary {
        is_fresh: summary.fresh,
        instances: summary.instances,
    };
    shared.mesh.borrow_mut().on_summary(now, hub, heard);
    take_reads(shared, now, summary.reads.as_ref());
    let loads = loads_from_wire(summary.loads.as_ref());
    shared.fleet.borrow_mut().set_remote(&loads);
    if !summary.fresh {
        return;
    }
    take_proof(shared, summary, sent);
    let changes = summary.changes.iter().filter_map(change_from_wire);
    let mut has_changed = false;
    for change in changes {
        if change.is_gone {
            shared.on_gone(&change.listed.name);
        } else {
            has_changed |= shared.on_listed(&change.listed);
        }
    }
    if has_changed {
        shared.fleet_changed.notify_waiters();
    }
    let is_same = shared.fleet.borrow().digest() == summary.digest;
    let differs = (!is_same).then(|| shared.differs_since.get().unwrap_or(now));
    shared.differs_since.set(differs);
}

/// Takes the hub's proof that a version is the newest.
///
/// The hub got the report after it was sent here, so what was proved so long before that moment at
/// the hub was proved no longer before the report was sent, whatever the datagrams' delays.
fn take_proof(shared: &Shared, summary: &MeshSummary, sent: Millis) {
    let mut in_force = shared.in_force.borrow_mut();
    let version = in_force.table().map_or(0, |t| t.version());
    if version == summary.version {
        in_force.confirm_newest(sent.minus(summary.proof_age));
    } else if version < summary.version {
        shared.newer.notify_one();
    }
}

fn reads_to_wire(shared: &Shared, now: Millis) -> MeshReads {
    let mut wire = MeshReads::default();
    for read in shared.fleet.borrow().cache_notices(now) {
        wire.parts.push(read.segment);
        wire.upstreams.push(read.upstream);
    }
    wire
}

fn take_reads(shared: &Shared, now: Millis, wire: Option<&MeshReads>) {
    let Some(wire) = wire else {
        return;
    };
    let mut fleet = shared.fleet.borrow_mut();
    for (part, upstream) in wire.parts.iter().zip(&wire.upstreams) {
        fleet.on_cache_notice(now, *part, *upstream);
    }
}
