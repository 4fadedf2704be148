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
        Loads, //
    },
    quarantine::{
        BlamedSegment,
        CrashReport,
        Evidence,
        SoundSegment, //
    },
};
use vanillakeel_wire::generated::{
    MeshCrash,
    MeshCrashes,
    MeshLoads,
    MeshUpstream, //
};

/// Size of the unit in which token counts are sent, in tokens.
const TOKENS_PER_UNIT: u64 = 64;

/// Encodes loads; each upstream hash is sent as the difference from the previous one.
pub(super) fn loads_to_wire(loads: &Loads) -> MeshLoads {
    let mut wire = MeshLoads {
        light_calls: loads.short_prompt_calls,
        ..MeshLoads::default()
    };
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
        },
        is_removed: wire.gone,
    })
}

/// Encodes evidence on crashes; `None` if there is none.
pub(super) fn crashes_to_wire(evidence: &Evidence) -> Option<MeshCrashes> {
    if *evidence == Evidence::default() {
        return None;
    }
    let age = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
    let crash = |c: &CrashReport| MeshCrash {
        id: c.id,
        age: age(c.age_ms),
        segments: c.segments.clone(),
    };
    let Evidence {
        crashes,
        sound,
        blamed,
    } = evidence;
    Some(MeshCrashes {
        crashes: crashes.iter().map(crash).collect(),
        answered: sound.iter().map(|s| s.segment).collect(),
        answered_ages: sound.iter().map(|s| age(s.age_ms)).collect(),
        blamed: blamed.iter().map(|b| b.segment).collect(),
        blamed_ages: blamed.iter().map(|b| age(b.age_ms)).collect(),
        asked_ages: blamed.iter().map(|b| age(b.asked_ms)).collect(),
    })
}

/// Decodes evidence on crashes; lists of unequal length are cut to the shortest one.
pub(super) fn crashes_from_wire(wire: &MeshCrashes) -> Evidence {
    let crash = |c: &MeshCrash| CrashReport {
        id: c.id,
        age_ms: u64::from(c.age),
        segments: c.segments.clone(),
    };
    let sound = wire.answered.iter().zip(&wire.answered_ages);
    let blamed_ages = wire.blamed_ages.iter().zip(&wire.asked_ages);
    let blamed = wire.blamed.iter().zip(blamed_ages);
    Evidence {
        crashes: wire.crashes.iter().map(crash).collect(),
        sound: sound
            .map(|(segment, age)| SoundSegment {
                segment: *segment,
                age_ms: u64::from(*age),
            })
            .collect(),
        blamed: blamed
            .map(|(segment, (age, asked))| BlamedSegment {
                segment: *segment,
                age_ms: u64::from(*age),
                asked_ms: u64::from(*asked),
            })
            .collect(),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/mesh_wire_loads.rs"]
mod mesh_wire_loads;
