//! Conversion of mesh messages between the types of the library and those of the wire protocol.
//!
//! `peers` converts the load and the changes of upstreams with these functions before it sends a
//! datagram, and after it has received one.

use super::shared::UpstreamChange;
use std::sync::Arc;
use vanillakeel::{
    fleet::ListedUpstream,
    membership::State,
    mesh::{
        Load,
        Loads,
        ServedWorkspace, //
    },
    quarantine::{
        BlamedSubject,
        CrashReport,
        Evidence,
        SoundSubject,
        Subject, //
    },
};
use vanillakeel_wire::generated::{
    MeshCrash,
    MeshCrashes,
    MeshLoads,
    MeshRefused,
    MeshServed,
    MeshUpstream, //
};

/// Size of the unit in which token counts are sent, in tokens.
const TOKENS_PER_UNIT: u64 = 64;

/// Most services whose refused requests one message names.
const MAX_REFUSED_SERVICES: usize = 256;

/// Most workspaces of a service and rank that are told in one message, those that have got most.
const MAX_TOLD_WORKSPACES: usize = 32;

/// Most services and ranks together of which workspaces are told in one message.
const MAX_TOLD_RANKS: usize = 32;

/// Most workspaces, services and ranks together whose amounts are read from one message.
const MAX_SERVED_WORKSPACES: usize = 1_024;

/// Encodes loads; each upstream hash is sent as the difference from the previous one.
pub(super) fn loads_to_wire(loads: &Loads) -> MeshLoads {
    let mut wire = MeshLoads {
        light_calls: loads.short_prompt_calls,
        ..MeshLoads::default()
    };
    let refused = loads.refused().iter().take(MAX_REFUSED_SERVICES);
    wire.refused
        .extend(refused.map(|(service, count)| MeshRefused {
            service: *service,
            count: *count,
        }));
    wire.served = served_to_wire(loads.served());
    let mut previous = 0;
    for load in loads.iter() {
        wire.steps.push(load.upstream - previous);
        previous = load.upstream;
        wire.ranks.push(u32::from(load.rank));
        wire.calls.push(load.calls);
        let units = load.prefill_tokens.div_ceil(TOKENS_PER_UNIT);
        wire.tokens.push(u32::try_from(units).unwrap_or(u32::MAX));
    }
    wire
}

/// Decodes loads; returns empty loads if there is no message.
///
/// Lists of unequal length are cut to the shortest one.
pub(super) fn loads_from_wire(wire: Option<&MeshLoads>) -> Loads {
    let mut loads = Loads::default();
    let Some(wire) = wire else {
        return loads;
    };
    loads.short_prompt_calls = wire.light_calls;
    for refused in wire.refused.iter().take(MAX_REFUSED_SERVICES) {
        loads.add_refused(refused.service, refused.count);
    }
    add_served(&mut loads, &wire.served);
    let counts = wire.calls.iter().zip(&wire.tokens);
    let keys = wire.steps.iter().zip(&wire.ranks);
    let mut upstream = 0_u32;
    for ((step, rank), (calls, units)) in keys.zip(counts) {
        upstream = upstream.wrapping_add(*step);
        loads.add(Load {
            upstream,
            rank: u8::try_from(*rank).unwrap_or(u8::MAX),
            calls: *calls,
            prefill_tokens: u64::from(*units) * TOKENS_PER_UNIT,
        });
    }
    loads
}

/// Encodes what workspaces have got, one message for each service and rank.
fn served_to_wire(served: &[ServedWorkspace]) -> Vec<MeshServed> {
    let of_rank = served.chunk_by(|a, b| (a.service, a.rank) == (b.service, b.rank));
    let message = |of_rank: &[ServedWorkspace]| {
        let mut of_rank = of_rank.to_vec();
        of_rank.sort_unstable_by_key(|s| std::cmp::Reverse(s.tokens));
        of_rank.truncate(MAX_TOLD_WORKSPACES);
        let units = |s: &ServedWorkspace| u32::try_from(s.tokens / TOKENS_PER_UNIT);
        MeshServed {
            service: of_rank[0].service,
            rank: u32::from(of_rank[0].rank),
            workspaces: of_rank.iter().map(|s| s.workspace).collect(),
            tokens: of_rank
                .iter()
                .map(|s| units(s).unwrap_or(u32::MAX))
                .collect(),
        }
    };
    of_rank.map(message).take(MAX_TOLD_RANKS).collect()
}

/// Decodes what workspaces have got; lists of unequal length are cut to the shorter one.
fn add_served(loads: &mut Loads, wire: &[MeshServed]) {
    let mut left = MAX_SERVED_WORKSPACES;
    for message in wire {
        let counts = message.workspaces.iter().zip(&message.tokens);
        for (workspace, units) in counts.take(left) {
            left -= 1;
            loads.add_served(ServedWorkspace {
                service: message.service,
                rank: u8::try_from(message.rank).unwrap_or(u8::MAX),
                workspace: *workspace,
                tokens: u64::from(*units) * TOKENS_PER_UNIT,
            });
        }
    }
}

/// Encodes the change of an upstream.
pub(super) fn change_to_wire(change: &UpstreamChange) -> MeshUpstream {
    let listed = &change.listed;
    MeshUpstream {
        name: listed.name.to_string(),
        incarnation: listed.incarnation,
        service: listed.service.to_string(),
        address: listed.address.to_string(),
        data_centre: listed.data_centre.to_string(),
        slots: listed.slots,
        leaving: listed.state == State::Leaving,
        gone: change.is_removed,
        software: listed.software.as_deref().map(str::to_owned),
        spot: listed.is_spot,
    }
}

/// Decodes the change of an upstream; returns `None` if its address can't be parsed.
pub(super) fn change_from_wire(wire: &MeshUpstream) -> Option<UpstreamChange> {
    let state = if wire.leaving {
        State::Leaving
    } else {
        State::Live
    };
    Some(UpstreamChange {
        listed: ListedUpstream {
            name: Arc::from(&*wire.name),
            incarnation: wire.incarnation,
            service: Arc::from(&*wire.service),
            address: wire.address.parse().ok()?,
            data_centre: Arc::from(&*wire.data_centre),
            slots: wire.slots,
            state,
            software: wire.software.as_deref().map(Arc::from),
            is_spot: wire.spot,
        },
        is_removed: wire.gone,
    })
}

/// Encodes evidence on crashes; `None` if there is none.
pub(super) fn crashes_to_wire(evidence: &Evidence) -> Option<MeshCrashes> {
    if *evidence == Evidence::default() {
        return None;
    }
    let segment_of = |subject| match subject {
        Subject::Segment(id) => Some(id),
        Subject::Request(_) => None,
    };
    let request_of = |subject| match subject {
        Subject::Segment(_) => None,
        Subject::Request(digest) => Some(digest),
    };
    let requests = evidence_to_wire(evidence, request_of);
    Some(MeshCrashes {
        requests: (requests != MeshCrashes::default()).then(|| Box::new(requests)),
        ..evidence_to_wire(evidence, segment_of)
    })
}

/// Encodes the evidence on subjects of one kind; `id_of` returns the id of those.
fn evidence_to_wire(evidence: &Evidence, id_of: fn(Subject) -> Option<u64>) -> MeshCrashes {
    let age = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
    let mut wire = MeshCrashes::default();
    for crash in &evidence.crashes {
        let segments: Vec<u64> = crash.suspects.iter().copied().filter_map(id_of).collect();
        if !segments.is_empty() {
            wire.crashes.push(MeshCrash {
                id: crash.id,
                age: age(crash.age_ms),
                segments,
            });
        }
    }
    for sound in &evidence.sound {
        if let Some(id) = id_of(sound.subject) {
            wire.answered.push(id);
            wire.answered_ages.push(age(sound.age_ms));
        }
    }
    for blamed in &evidence.blamed {
        if let Some(id) = id_of(blamed.subject) {
            wire.blamed.push(id);
            wire.blamed_ages.push(age(blamed.age_ms));
            wire.asked_ages.push(age(blamed.asked_ms));
            wire.provisional.extend(blamed.is_provisional.then_some(id));
            wire.trials.push(blamed.trials);
            let tried_age = blamed.tried_ms.map_or(0, |ms| age(ms).saturating_add(1));
            wire.tried_ages.push(tried_age);
        }
    }
    wire
}

/// Decodes evidence on crashes; lists of unequal length are cut to the shortest one.
pub(super) fn crashes_from_wire(wire: &MeshCrashes) -> Evidence {
    let mut evidence = Evidence::default();
    add_from_wire(&mut evidence, wire, Subject::Segment);
    if let Some(requests) = &wire.requests {
        add_from_wire(&mut evidence, requests, Subject::Request);
    }
    evidence
}

/// Decodes the evidence on subjects of one kind.
fn add_from_wire(evidence: &mut Evidence, wire: &MeshCrashes, subject: fn(u64) -> Subject) {
    let crashes = wire.crashes.iter().map(|c| CrashReport {
        id: c.id,
        age_ms: u64::from(c.age),
        suspects: c.segments.iter().copied().map(subject).collect(),
    });
    evidence.crashes.extend(crashes);
    let sound = wire.answered.iter().zip(&wire.answered_ages);
    evidence.sound.extend(sound.map(|(id, age)| SoundSubject {
        subject: subject(*id),
        age_ms: u64::from(*age),
    }));
    let ages = wire.blamed_ages.iter().zip(&wire.asked_ages);
    let blamed = wire.blamed.iter().zip(ages).enumerate();
    evidence
        .blamed
        .extend(blamed.map(|(at, (id, (age, asked)))| {
            let tried_age = wire.tried_ages.get(at).copied().unwrap_or(0);
            BlamedSubject {
                subject: subject(*id),
                age_ms: u64::from(*age),
                asked_ms: u64::from(*asked),
                is_provisional: wire.provisional.contains(id),
                trials: wire.trials.get(at).copied().unwrap_or(0),
                tried_ms: tried_age.checked_sub(1).map(u64::from),
            }
        }));
}

#[cfg(test)]
#[path = "../../tests/unit/mesh_wire_loads.rs"]
mod mesh_wire_loads;
