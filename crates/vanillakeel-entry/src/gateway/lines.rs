//! Rate limits for log lines that are written for requests.
//!
//! Lines above the rate of their kind are counted instead of written. The next window starts with one
//! line per kind that reports the count.

use std::cell::Cell;
use vanillakeel::Millis;

/// Length of the window in which lines are counted, in ms.
const WINDOW_MS: u64 = 1_000;

/// Largest number of lines about sends and complete answers that are written in a window.
const MAX_USUAL_LINES: u32 = 300;

/// Largest number of lines about failures and refusals that are written in a window.
const MAX_FAILURE_LINES: u32 = 1_000;

/// Kinds of log lines that are written for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Sends and complete answers.
    Usual,
    /// Failed sends, refusals and answers that ended early.
    Failure,
}

/// Numbers of lines of one kind in the current window.
#[derive(Debug, Default)]
struct LineCount {
    written: Cell<u32>,
    suppressed: Cell<u64>,
}

/// Limits the rate of log lines for each kind.
#[derive(Debug, Default)]
pub(super) struct LineLimiter {
    window_start: Cell<Millis>,
    usual: LineCount,
    failures: LineCount,
}

impl LineLimiter {
    /// Returns whether a line of a kind may be written; otherwise counts it as suppressed.
    pub(super) fn may_write(&self, now: Millis, kind: Kind) -> bool {
        if now.since(self.window_start.get()) >= WINDOW_MS {
            self.start_window(now);
        }
        let (count, max_lines) = match kind {
            Kind::Usual => (&self.usual, MAX_USUAL_LINES),
            Kind::Failure => (&self.failures, MAX_FAILURE_LINES),
        };
        let may_write = count.written.get() < max_lines;
        if may_write {
            count.written.set(count.written.get() + 1);
        } else {
            count.suppressed.set(count.suppressed.get() + 1);
        }
        may_write
    }

    fn start_window(&self, now: Millis) {
        self.window_start.set(now);
        for (kind, count) in [("usual", &self.usual), ("failure", &self.failures)] {
            count.written.set(0);
            let suppressed = count.suppressed.take();
            if suppressed > 0 {
                tracing::warn!(kind, count = suppressed, "lines left out");
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/bounded_lines.rs"]
mod bounded_lines;
