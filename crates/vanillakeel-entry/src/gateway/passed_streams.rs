//! Streams that are passed on to all instances, so that any one which is left can go on with them.
//!
//! They travel in the reports of members, the answers of hubs and the exchange between hubs; what does not fit
//! goes in datagrams of its own. [`Spread`](vanillakeel::streams::Spread) decides what a peer is told.

use super::{
    datagrams,
    shared::Shared, //
};
use vanillakeel::{
    mesh::Peer,
    streams::{
        Known,
        Origin,
        PassedStream,
        StreamId,
        Told,
        Towards, //
    },
};
use vanillakeel_wire::generated::{
    MeshPassedStreams,
    mesh_message::Kind, //
};

/// Unit in which ages of streams are sent, in ms.
const AGE_UNIT_MS: u64 = 100;

/// Returns what a peer is told of streams with the next message; sends what does not fit in one.
pub(super) fn tell(shared: &Shared, peer: &Peer, towards: Towards) -> Option<MeshPassedStreams> {
    let now = shared.clock.now();
    let begun = shared.begun_streams.borrow();
    let messages = shared
        .spread
        .borrow_mut()
        .tell(now, &peer.name, towards, &begun);
    let mut messages = messages.iter().map(to_wire);
    let first = messages.next();
    for message in messages {
        datagrams::try_send(shared, peer, Kind::PassedStreams(message));
    }
    first
}

/// Records the streams of which a peer tells.
pub(super) fn on_told(shared: &Shared, peer: &str, wire: Option<&MeshPassedStreams>) {
    let Some(wire) = wire else {
        return;
    };
    let now = shared.clock.now();
    let mut begun = shared.begun_streams.borrow_mut();
    let mut spread = shared.spread.borrow_mut();
    spread.on_told(now, peer, &from_wire(wire), &mut begun);
}

fn to_wire(told: &Told) -> MeshPassedStreams {
    let mut wire = MeshPassedStreams {
        log: told.log,
        first: told.first,
        next: told.next,
        start: told.is_start,
        relayed: told.is_relayed,
        ..MeshPassedStreams::default()
    };
    match told.known {
        Known::UpTo { log, next } => (wire.known_log, wire.known_next) = (log, next),
        Known::Since { age_ms, wants_all } => {
            wire.missed_age = Some(u32::try_from(age_ms).unwrap_or(u32::MAX));
            wire.wants_all = wants_all;
        }
    }
    add_streams(&mut wire, &told.streams);
    wire
}

/// Adds streams to the lists of a message.
pub(super) fn add_streams(wire: &mut MeshPassedStreams, streams: &[PassedStream]) {
    for passed in streams {
        let Origin { service, software } = &passed.origin;
        let mut known = wire.versions.iter().zip(&wire.services);
        let at = known.position(|(v, s)| **v == **software && **s == **service);
        let at = at.unwrap_or_else(|| {
            wire.versions.push(software.to_string());
            wire.services.push(service.to_string());
            wire.versions.len() - 1
        });
        wire.streams.push(passed.stream.get());
        wire.version_at.push(at as u32);
        let age = u32::try_from(passed.age_ms / AGE_UNIT_MS);
        wire.ages.push(age.unwrap_or(u32::MAX));
    }
}

/// Decodes the lists of a message; a stream without its version is left out, and lists of unequal length are cut to the
/// shortest one.
pub(super) fn streams_of(wire: &MeshPassedStreams) -> Vec<PassedStream> {
    let details = wire.version_at.iter().zip(&wire.ages);
    let passed = wire.streams.iter().zip(details);
    let streams = passed.filter_map(|(stream, (at, age))| {
        let software = wire.versions.get(*at as usize)?;
        let service = wire.services.get(*at as usize);
        Some(PassedStream {
            stream: StreamId::new(*stream),
            origin: Origin::new(service.map_or("", |s| s), software),
            age_ms: u64::from(*age) * AGE_UNIT_MS,
        })
    });
    streams.collect()
}

fn from_wire(wire: &MeshPassedStreams) -> Told {
    let known = match wire.missed_age {
        None => Known::UpTo {
            log: wire.known_log,
            next: wire.known_next,
        },
        Some(age_ms) => Known::Since {
            age_ms: u64::from(age_ms),
            wants_all: wire.wants_all,
        },
    };
    Told {
        log: wire.log,
        first: wire.first,
        next: wire.next,
        is_start: wire.start,
        is_relayed: wire.relayed,
        streams: streams_of(wire),
        known,
    }
}
