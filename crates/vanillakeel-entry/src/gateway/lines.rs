//! Bounds on log lines: above a rate, lines of a kind are counted instead of written.

use std::cell::Cell;
use vanillakeel::Millis;

/// Length of the window in which lines are counted, in ms.
const WINDOW_MS: u64 = 1_000;

/// Lines of one kind that are written in a window while all goes well.
const MAX_USUAL: u32 = 300;

/// Lines of one kind that are written in a window about failures and refusals.
const MAX_FAILURES: u32 = 1_000;

/// Kinds of lines that come with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Sends and whole answers.
    Usual,
    /// Misses, refusals and answers that were cut.
    Failure,
}

/// Lines of one kind in the present window.
#[derive(Debug, Default)]
struct Count {
    written: Cell<u32>,
    left_out: Cell<u64>,
}

/// Counts lines.
#[derive(Debug, Default)]
pub(super) struct Lines {
    window: Cell<Millis>,
    usual: Count,
    failures: Count,
}

impl Lines {
    /// Whether a line of a kind may be written; one that may not is counted.
    pub(super) fn may_write(&self, now: Millis, kind: Kind) -> bool {
        if now.since(self.window.get()) >= WINDOW_MS {
            self.begin_window(now);
        }
        let (count, most) = match kind {
            Kind::Usual => (&self.usual, MAX_USUAL),
            Kind::Failure => (&self.failures, MAX_FAILURES),
        };
        let may = count.written.get() < most;
        if may {
            count.written.set(count.written.get() + 1);
        } else {
            count.left_out.set(count.left_out.get() + 1);
        }
        may
    }

    fn begin_window(&self, now: Millis) {
        self.window.set(now);
        for (kind, count) in [("usual", &self.usual), ("failure", &self.failures)] {
            count.written.set(0);
            let left_out = count.left_out.take();
            if left_out > 0 {
                tracing::warn!(kind, count = left_out, "lines left out");
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/bounded_lines.rs"]
mod bounded_lines;
