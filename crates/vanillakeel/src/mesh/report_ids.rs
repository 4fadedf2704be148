//! Ids by which an instance recognises the answers to its own reports.

use crate::Millis;

/// Number of low bits of an id that hold the time at which the report was sent, in ms.
const TIME_BITS: u32 = 40;

const TIME_MASK: u64 = (1 << TIME_BITS) - 1;

/// Creates and reads the ids of the reports of one process.
///
/// An answer can arrive late, even at a new process that got the address of an earlier one, whose
/// clock had another origin. An id therefore holds a tag of the process beside the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportIds {
    tag: u64,
}

impl ReportIds {
    /// Creates the ids of a process; `seed` should differ from that of the process before it.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            tag: seed << TIME_BITS,
        }
    }

    /// Returns the id of a report that is sent at `sent_at`.
    #[must_use]
    pub const fn id(&self, sent_at: Millis) -> u64 {
        self.tag | (sent_at.get() & TIME_MASK)
    }

    /// Returns the time at which the report with this id was sent, or `None` if it is not a report of
    /// this process.
    #[must_use]
    pub fn sent_at(&self, id: u64, now: Millis) -> Option<Millis> {
        let sent_at = Millis::new(id & TIME_MASK);
        (id & !TIME_MASK == self.tag && sent_at <= now).then_some(sent_at)
    }
}
