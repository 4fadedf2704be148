//! What peers tell each other, between the library's types and those of the wire.

use super::shared::Change;
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

/// Tokens in a unit of the wire.
const TOKENS_PER_UNIT: u64 = 64;

pub(super) fn loads_to_wire(loads: &Loads) -> MeshLoads {
    let mut wire = MeshLoads {
        light_calls: loads.short_prompt_calls,
        ..MeshLoads::default()
    };
    let mut before = 0;
    for load in loads.iter() {
        wire.steps.push(load.upstream - before);
        before = load.upstream;
        wire.ranks.push(u32::from(load.rank));
        wire.calls.push(load.calls);
        let units = load.prefill_tokens.div_ceil(TOKENS_PER_UNIT);
        wire.tokens.push(u32::try_from(units).unwrap_or(u32::MAX));
    }
    wire
}

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

pub(super) fn change_to_wire(change: &Change) -> MeshUpstream {
    let listed = &change.listed;
    MeshUpstream {
        name: listed.name.to_string(),
        incarnation: listed.incarnation,
        service: listed.service.to_string(),
        address: listed.address.to_string(),
        data_centre: listed.data_centre.to_string(),
        slots: listed.slots,
        leaving: listed.state == State::Leaving,
        gone: change.is_gone,
    }
}

pub(super) fn change_from_wire(wire: &MeshUpstream) -> Option<Change> {
    let state = if wire.leaving {
        State::Leaving
    } else {
        State::Live
    };
    Some(Change {
        listed: ListedUpstream {
            name: Arc::from(&*wire.name),
            incarnation: wire.incarnation,
            service: Arc::from(&*wire.service),
            address: wire.address.parse().ok()?,
            data_centre: Arc::from(&*wire.data_centre),
            slots: wire.slots,
            state,
        },
        is_gone: wire.gone,
    })
}

#[cfg(test)]
#[path = "../../tests/unit/told_loads.rs"]
mod told_loads;
