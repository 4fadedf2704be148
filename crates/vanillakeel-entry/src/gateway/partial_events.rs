//! What all streams together hold of events that are not complete.
//!
//! An event of a resumable stream is held back until it is complete, and an upstream in trouble may never complete it.
//! [`PartialEvents`] bounds the sum over all streams: when it is full, a stream that holds at least the mean and grows gives
//! way, as if its event had no end.
//!
//! ```ignore
//! let mut part = PartialEvents::part(&shared.partial_events);
//! part.set(bytes);
//! if part.gives_way() { /* close the connection to the upstream */ }
//! ```

use super::settings::Machine;
use std::{
    cell::Cell,
    rc::Rc, //
};

/// Part of the memory of the machine, as a divisor, that partial events may fill.
const MEMORY_DIVISOR: u64 = 16;

/// Bytes that they may fill if the memory is not known.
const DEFAULT_MAX_BYTES: u64 = 64 << 20;

/// Bytes of a MB.
const MB: u64 = 1_000_000;

/// The partial events of all streams.
#[derive(Debug, Default)]
pub(super) struct PartialEvents {
    max_bytes: Cell<u64>,
    held: Cell<u64>,
    /// Number of streams that hold any.
    holders: Cell<u64>,
}

impl PartialEvents {
    /// Creates the state on a machine.
    pub(super) fn new(machine: &Machine) -> Rc<Self> {
        let events = Self::default();
        events.set_machine(machine);
        Rc::new(events)
    }

    /// Replaces the bound by the one for a machine.
    pub(super) fn set_machine(&self, machine: &Machine) {
        let max_bytes = match machine.memory_mb {
            0 => DEFAULT_MAX_BYTES,
            memory_mb => memory_mb.saturating_mul(MB) / MEMORY_DIVISOR,
        };
        self.max_bytes.set(max_bytes);
    }

    /// Returns the part of a stream, which holds nothing yet.
    pub(super) fn part(self: &Rc<Self>) -> Part {
        Part {
            events: Rc::clone(self),
            bytes: 0,
        }
    }
}

/// What one stream holds of an event; it is released when it is dropped.
#[derive(Debug)]
pub(super) struct Part {
    events: Rc<PartialEvents>,
    bytes: u64,
}

impl Part {
    /// Records how many bytes the stream holds now.
    pub(super) fn set(&mut self, bytes: u64) {
        let Self {
            events,
            bytes: before,
        } = self;
        events.held.set(events.held.get() - *before + bytes);
        let joined = u64::from(*before == 0 && bytes > 0);
        let left = u64::from(*before > 0 && bytes == 0);
        events.holders.set(events.holders.get() + joined - left);
        *before = bytes;
    }

    /// Returns whether there is no room for all, and this stream holds at least as much as the mean.
    pub(super) fn gives_way(&self) -> bool {
        let held = self.events.held.get();
        let is_full = held > self.events.max_bytes.get();
        is_full && self.bytes.saturating_mul(self.events.holders.get()) >= held
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/partial_events.rs"]
mod tests;
