//! Settings of what callers may make an instance hold.
//!
//! The defaults follow from the machine: a quarter of its memory, and half of its descriptors, as each request that
//! is passed on takes a second one, after some are set aside for the log, peers and probes.

use super::{
    client::MAX_BUFFER_BYTES,
    settings::Machine, //
};
use crate::settings::{
    Error,
    fail, //
};
use serde::Deserialize;
use vanillakeel::caller_budget;

/// Part of the memory of the machine, as a divisor, that callers may fill by default.
const MEMORY_DIVISOR: u64 = 4;

/// Descriptors that are set aside for files, listening, the log, peers and probes.
const RESERVED_DESCRIPTORS: u64 = 232;

/// Largest part of the descriptors, as a divisor, that is set aside.
const RESERVED_DIVISOR: u64 = 4;

/// Part of the other descriptors, as a divisor, that callers may take by default, and that upstreams may take.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// Part of the memory of the machine, as a divisor, that answers which wait for their callers may fill.
const ANSWERS_DIVISOR: u64 = 2;

/// Buffers that an answer fills while its caller does not read: that of the connection to the upstream, the bytes that
/// are handed over, and those that wait to be written.
const BUFFERS_PER_ANSWER: usize = 3;

/// Memory that an answer takes beside these buffers, in bytes: both connections, and the state of the request.
const ANSWER_BYTES: usize = 60 << 10;

/// Smallest read buffer of a connection to an upstream, in bytes, which bounds the head of an answer.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Shortest time after which a connection gives way, in ms.
const MIN_MS: u64 = 100;

/// Bytes of a MB.
const MB: u64 = 1_000_000;

/// Bounds of what callers may make an instance hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// Most memory for their requests and for answers that they have not read, in MB; zero for a quarter of
    /// `machine.memory_mb`, or 256 MB if that is zero. The largest body that the configuration allows always fits.
    pub memory_mb: u64,
    /// Most connections of callers; zero for half of `machine.descriptors` less 32, or no limit if that is zero.
    pub connections: u64,
    /// Time without progress after which an incomplete request gives way to others that have no room, in ms.
    pub standstill_ms: u64,
    /// Time for which an answer is not read after which its connection gives way to others that have no room, in ms.
    pub unread_ms: u64,
}

/// Returns the part of the descriptors that callers may take, and that upstreams may take as well.
pub(super) fn descriptor_share(machine: &Machine) -> usize {
    let reserved = RESERVED_DESCRIPTORS.min(machine.descriptors / RESERVED_DIVISOR);
    let others = machine.descriptors.saturating_sub(reserved);
    match machine.descriptors {
        0 => usize::MAX,
        _ => usize::try_from((others / DESCRIPTOR_DIVISOR).max(1)).unwrap_or(usize::MAX),
    }
}

/// Returns the size to which the read buffer of a connection to an upstream may grow, in bytes, so that all answers
/// whose callers read slowly fit into half of the memory.
pub(super) fn upstream_buffer_bytes(machine: &Machine) -> usize {
    if machine.memory_mb == 0 || machine.descriptors == 0 {
        return MAX_BUFFER_BYTES;
    }
    let bytes = machine.memory_mb.saturating_mul(MB) / ANSWERS_DIVISOR;
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    let of_answer = bytes / descriptor_share(machine);
    let buffer_bytes = of_answer.saturating_sub(ANSWER_BYTES) / BUFFERS_PER_ANSWER;
    buffer_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES)
}

impl Callers {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value is not allowed.
    pub(super) fn check(&self) -> Result<(), Error> {
        if self.standstill_ms < MIN_MS {
            return fail("callers.standstill_ms", "has to be 100 or more");
        }
        if self.unread_ms < MIN_MS {
            return fail("callers.unread_ms", "has to be 100 or more");
        }
        Ok(())
    }

    /// Returns the bounds of the library on this machine.
    pub(super) fn to_library(self, machine: &Machine) -> caller_budget::Settings {
        let defaults = caller_budget::Settings::default();
        let max_bytes = match (self.memory_mb, machine.memory_mb) {
            (0, 0) => defaults.max_bytes,
            (0, memory_mb) => memory_mb.saturating_mul(MB) / MEMORY_DIVISOR,
            (memory_mb, _) => memory_mb.saturating_mul(MB),
        };
        let max_connections = match self.connections {
            0 => descriptor_share(machine),
            connections => usize::try_from(connections).unwrap_or(usize::MAX),
        };
        caller_budget::Settings {
            max_bytes,
            max_connections,
            standstill_ms: self.standstill_ms,
            unread_ms: self.unread_ms,
            ..defaults
        }
    }
}

impl Default for Callers {
    fn default() -> Self {
        let defaults = caller_budget::Settings::default();
        Self {
            memory_mb: 0,
            connections: 0,
            standstill_ms: defaults.standstill_ms,
            unread_ms: defaults.unread_ms,
        }
    }
}
