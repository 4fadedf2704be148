//! Counts of the requests that upstreams began, by workspace and window of the wall clock.
//!
//! Each process counts for itself, by window and workspace; its counts only rise. Instances tell each other the counts of
//! processes, and the larger count wins, so that repeats, losses and changes of order do no harm. A process that starts
//! again has another [`ProcessId`] and begins at zero. Members tell the hub of their data centre, hubs tell each other
//! and the members that would follow them; see [`Towards`]. A hub that holds the duty reports the sum over all
//! processes, once for each window: the report stands on the log before it is sent.
//!
//! ```
//! use vanillakeel::{Millis, usage::{Ledger, Settings, Towards}};
//!
//! let settings = Settings { window_ms: 5_000, due_ms: 9_000, ..Settings::default() };
//! let mut member = Ledger::new("a", settings).in_process("a", "dc-1", 1_000);
//! let mut hub = Ledger::new("b", settings).in_process("b", "dc-1", 1_000);
//! member.on_begun(7_000, &"clerks".into());
//! for told in member.tell(Millis::ZERO, "b", Towards::Hub) {
//!     hub.on_told(Millis::ZERO, 7_100, "a", &told);
//! }
//! // The member, which is silent since, is awaited for some seconds after the end of the window.
//! assert_eq!(hub.due(14_499), None);
//! let report = hub.due(14_500).expect("the window has ended some seconds ago");
//! assert_eq!((report.window, &*report.counts), (1, &[("clerks".into(), 1)][..]));
//! hub.on_recorded(&report);
//! assert_eq!(hub.due(14_500), None);
//! ```

mod counts;
mod ledger;
mod links;

pub use self::{
    counts::{
        MAX_PROCESSES,
        MAX_WORKSPACES,
        ProcessId, //
    },
    ledger::{
        Ledger,
        Role, //
    },
    links::{
        Told,
        ToldCount,
        Towards, //
    },
};

use std::sync::Arc;

/// Part of the time until a report is due, as a divisor, for which the counts of other instances are awaited.
const AWAITED_DIVISOR: u64 = 3;

/// Part of that time, as a divisor, for which an instance is awaited that has told counts before and is silent. Another
/// holder can follow in the rest.
const SILENT_DIVISOR: u64 = 2;

/// Settings of a [`Ledger`], all in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window.
    pub window_ms: u64,
    /// Time after the end of a window within which its report has to be sent.
    pub due_ms: u64,
    /// Largest difference between two clocks: counts of windows that begin later than this are passed over, and
    /// those of windows whose report is overdue are kept for as long.
    pub clock_error_ms: u64,
    /// Time without an acknowledgement after which counts are told again.
    pub resend_ms: u64,
    /// Time after which a peer is told at least that there is nothing new.
    pub heartbeat_ms: u64,
    /// Time for which an instance has to be told as a hub before its counts are taken for complete.
    pub settle_ms: u64,
}

impl Settings {
    /// Returns the window that holds a time of the wall clock.
    #[must_use]
    pub const fn window_of(&self, wall_ms: u64) -> u64 {
        wall_ms / self.window_ms
    }

    /// Returns the end of a window, in ms since 1970.
    #[must_use]
    pub const fn end_ms(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_ms)
    }

    /// Returns the time at which the report of a window is overdue, in ms since 1970.
    const fn overdue_ms(&self, window: u64) -> u64 {
        self.end_ms(window).saturating_add(self.due_ms)
    }

    /// Returns the time for which counts are awaited after the end of a window, in ms.
    const fn awaited_ms(&self) -> u64 {
        self.due_ms / AWAITED_DIVISOR
    }

    /// Returns the time for which counts of silent instances are awaited after the end of a window, in ms.
    const fn silent_ms(&self) -> u64 {
        self.due_ms / SILENT_DIVISOR
    }

    /// Returns the oldest window whose counts are kept.
    const fn oldest_kept(&self, wall_ms: u64) -> u64 {
        self.window_of(wall_ms.saturating_sub(self.due_ms + self.clock_error_ms))
    }

    /// Returns the newest window of which counts are taken.
    const fn newest_taken(&self, wall_ms: u64) -> u64 {
        self.window_of(wall_ms.saturating_add(self.clock_error_ms))
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window_ms: 60_000,
            due_ms: 60_000,
            clock_error_ms: 2_000,
            resend_ms: 500,
            heartbeat_ms: 1_000,
            settle_ms: 1_000,
        }
    }
}

/// The requests that began in one window, over all instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of the window, counted from the start of 1970.
    pub window: u64,
    /// Requests by workspace, sorted by workspace.
    pub counts: Vec<(Arc<str>, u64)>,
}
