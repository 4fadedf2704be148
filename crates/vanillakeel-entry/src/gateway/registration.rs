//! The address of an instance on the log, and what it finds there beside the addresses of its peers.
//!
//! An instance writes its address once, reads the addresses of the others, with the verdicts, crashes, streams and software
//! versions that stand beside them, and keeps these up to date. When it stops, it deletes its address.
//!
//! ```ignore
//! registration::register(&shared, &log, &socket).await;
//! registration::leave(&shared, &log, &socket).await;
//! ```

use super::{
    crash_records,
    datagrams,
    log_adapter::{
        Entry,
        LogAdapter,
        ReadProgress,
        Topic, //
    },
    log_writes,
    peers,
    saved_streams,
    shared::Shared,
    streams,
    usage_exchange,
    verdicts,
    version_records, //
};
use bytes::Bytes;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::UdpSocket,
    time::sleep, //
};
use vanillakeel::mesh::Peer;
use vanillakeel_wire::generated::mesh_message::Kind;

/// Time by which the tasks that read the log go first when it is asked again after a failure, in ms.
const ASK_DELAY_MS: u64 = 200;

/// Time between the two announcements of a stop, in ms.
const ANNOUNCE_AGAIN_MS: u64 = 50;

/// Writes the address of this instance to the log and reads the addresses of its peers.
pub(super) async fn register(shared: &Shared, log: &LogAdapter, socket: &UdpSocket) {
    let me = shared.mesh.borrow().me().clone();
    let address = match socket.local_addr() {
        Ok(address) => address,
        Err(e) => {
            tracing::error!(error = %e, "the local address of the socket for peers could not be read");
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
    let written_in = shared.log_era();
    write_address(shared, log, &entry).await;
    let mut after = None;
    let mut of_quarantine = Vec::new();
    let mut expired = Vec::new();
    let mut versions = Vec::new();
    let begun_at = shared.clock.now();
    let era = loop {
        let asked_at = shared.clock.now();
        match (log.read_newest)(Topic::Peers, after.clone(), ReadProgress::default()).await {
            Ok(page) => {
                shared.log_access.on_served();
                let peers = page.entries.iter().filter_map(parse_peer);
                for peer in peers {
                    shared.mesh.borrow_mut().on_listed_peer(&peer);
                    peers::hear(shared, &peer.name);
                    // The message has no kind: a report would make each peer act as a hub.
                    datagrams::send(shared, socket, &peer, None).await;
                }
                of_quarantine.extend(verdicts::of_quarantine(&page.entries));
                of_quarantine.extend(crash_records::of_crashes(&page.entries));
                expired.extend(saved_streams::restore(shared, &page.entries));
                versions.extend(version_records::decode(&page.entries));
                after = page.continue_after;
                if after.is_none() {
                    break page.era;
                }
            }
            Err(e) => {
                tracing::warn!(error = %e, "the addresses of peers could not be read from the log");
                shared.on_log_failed(asked_at);
                shared
                    .log_access
                    .wait_to_ask(shared.clock, ASK_DELAY_MS)
                    .await;
            }
        }
    };
    let stored_verdicts = verdicts::restore(shared, &of_quarantine, era);
    let outdated = crash_records::restore(shared, &of_quarantine);
    version_records::restore(shared, begun_at, era, &versions);
    shared.mesh.borrow_mut().on_list_read();
    shared.roster.borrow_mut().on_list_read();
    tracing::info!(peers = shared.mesh.borrow().len(), "peers known");
    tokio::join!(
        rewrite_address(shared, log, &entry, written_in),
        verdicts::store(shared, log, stored_verdicts),
        crash_records::keep(shared, log, outdated),
        saved_streams::delete(shared, log, expired),
        saved_streams::keep(shared, log),
        version_records::keep(shared, log),
    );
}

/// Writes the address of this instance again when the log has come back from a copy.
async fn rewrite_address(shared: &Shared, log: &LogAdapter, entry: &Entry, written_in: u64) {
    let mut written_in = written_in;
    // The address may have been written after the copy from which the log came back.
    while shared.stopping_since.get().is_none() {
        let era_risen = shared.era_risen.notified();
        if written_in == shared.log_era() {
            era_risen.await;
            continue;
        }
        written_in = shared.log_era();
        write_address(shared, log, entry).await;
    }
}

/// Writes the address of this instance to the log; tries again until the log has answered.
async fn write_address(shared: &Shared, log: &LogAdapter, entry: &Entry) {
    let what = "the address of this instance";
    while !log_writes::write(shared, log, entry.clone(), what, ASK_DELAY_MS).await {}
}

/// Announces that this instance is stopping, tells the keepers of streams what it knows, and deletes its address from
/// the log; then saves the streams that no other instance keeps, for as long as the process runs.
pub(super) async fn leave(shared: &Shared, log: &LogAdapter, socket: &UdpSocket) {
    let now = shared.clock.now();
    let has_successor = saved_streams::has_successor(shared, now);
    streams::hand_over(shared, has_successor);
    usage_exchange::hand_over(shared, now);
    let told = shared.mesh.borrow().told_of_stop(now);
    announce_stop(shared, socket, &told).await;
    tokio::join!(
        delete_address(shared, log),
        async {
            // The first announcement may be lost.
            sleep(Duration::from_millis(ANNOUNCE_AGAIN_MS)).await;
            announce_stop(shared, socket, &told).await;
        },
        saved_streams::save(shared, log, has_successor),
    );
}

async fn announce_stop(shared: &Shared, socket: &UdpSocket, told: &[Peer]) {
    for peer in told {
        datagrams::send(shared, socket, peer, Kind::Leaving(true)).await;
    }
}

async fn delete_address(shared: &Shared, log: &LogAdapter) {
    let key = shared.mesh.borrow().me().name.to_string();
    let entry = Entry { key, value: None };
    if let Err(e) = (log.write)(Topic::Peers, entry).await {
        tracing::warn!(error = %e, "the address of this instance could not be deleted from the log");
    }
}

/// Parses the record of a peer: its address, the bandwidth of its link and its data centre.
fn parse_peer(entry: &Entry) -> Option<Peer> {
    let text = std::str::from_utf8(entry.value.as_deref()?).ok()?;
    let mut fields = text.splitn(3, ' ');
    Some(Peer {
        name: Arc::from(&*entry.key),
        address: fields.next()?.parse().ok()?,
        link_mbps: fields.next()?.parse().ok()?,
        data_centre: Arc::from(fields.next()?),
    })
}
