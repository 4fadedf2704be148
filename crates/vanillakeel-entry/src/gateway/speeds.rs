//! Conversion of what instances tell each other of the speed of upstreams, see [`vanillakeel::fleet::Speed`].
//!
//! A member tells its hub the samples that it has taken, hubs tell each other those of their data centres, and a hub
//! tells its members what it has made of all of them. A lost datagram costs a few samples.

use std::cell::RefCell;
use vanillakeel::{
    Millis,
    fleet::{
        Fleet,
        ToldSpeed, //
    },
};
use vanillakeel_wire::generated::MeshSpeeds;

/// Steps of a factor on the wire for each doubling.
const STEPS_PER_DOUBLING: f64 = 16.0;

/// The byte of the factor one.
const EQUAL: f64 = 128.0;

/// Encodes speeds; `None` if there are none.
pub(super) fn to_wire(speeds: &[ToldSpeed]) -> Option<MeshSpeeds> {
    let mut wire = MeshSpeeds::default();
    for speed in speeds {
        let step = (speed.factor.log2() * STEPS_PER_DOUBLING + EQUAL).round();
        wire.upstreams.push(speed.upstream);
        wire.factors.push(step.clamp(0.0, f64::from(u8::MAX)) as u8);
        wire.samples
            .push(u8::try_from(speed.samples).unwrap_or(u8::MAX));
    }
    (!speeds.is_empty()).then_some(wire)
}

/// Decodes speeds; lists of unequal length are cut to the shortest one.
pub(super) fn from_wire(wire: &MeshSpeeds) -> Vec<ToldSpeed> {
    let values = wire.factors.iter().zip(&wire.samples);
    let told = wire.upstreams.iter().zip(values);
    told.map(|(upstream, (step, samples))| ToldSpeed {
        upstream: *upstream,
        factor: ((f64::from(*step) - EQUAL) / STEPS_PER_DOUBLING).exp2(),
        samples: u32::from(*samples),
    })
    .collect()
}

/// Applies the samples of a member of the own data centre, or those of another one.
pub(super) fn on_samples(
    fleet: &RefCell<Fleet>,
    now: Millis,
    wire: Option<&MeshSpeeds>,
    is_member: bool,
) {
    let mut fleet = fleet.borrow_mut();
    for told in wire.into_iter().flat_map(from_wire) {
        fleet.on_speed_samples(now, &told, is_member);
    }
}

/// Applies what the hub has made of all samples.
pub(super) fn on_told(fleet: &RefCell<Fleet>, now: Millis, wire: Option<&MeshSpeeds>) {
    let mut fleet = fleet.borrow_mut();
    for told in wire.into_iter().flat_map(from_wire) {
        fleet.on_told_speed(now, &told);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/told_speeds.rs"]
mod told_speeds;
