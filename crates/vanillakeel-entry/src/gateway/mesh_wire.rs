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
};
use vanillakeel_wire::generated::{
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

#[cfg(test)]
#[path = "../../tests/unit/mesh_wire_loads.rs"]
mod mesh_wire_loads;
