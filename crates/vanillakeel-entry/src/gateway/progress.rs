//! When the parts of an answer came.

use vanillakeel::Millis;

/// Times of one answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    /// From the arrival of the request to the first event, in ms.
    pub(super) first_ms: Option<u64>,
    /// Longest pause between two events in ms, if there was more than one.
    pub(super) longest_gap_ms: Option<u64>,
    /// From the arrival of the request to the end of the answer, in ms.
    pub(super) whole_ms: u64,
}

/// What is known of an answer while it comes in.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    first: Option<Millis>,
    last: Option<Millis>,
    longest_gap_ms: Option<u64>,
    /// Bytes that were handed on.
    pub(super) bytes: u64,
}

impl Progress {
    /// Takes note of a part that has come in.
    pub(super) fn on_part(&mut self, now: Millis) {
        self.first.get_or_insert(now);
        let gap_ms = self.last.map(|last| now.since(last));
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last = Some(now);
    }

    /// Time from `arrived` to the first part, in ms.
    pub(super) fn first_ms(&self, arrived: Millis) -> Option<u64> {
        self.first.map(|first| first.since(arrived))
    }

    /// The times of an answer that has ended at `now`.
    pub(super) fn times(&self, arrived: Millis, now: Millis) -> Times {
        Times {
            first_ms: self.first_ms(arrived),
            longest_gap_ms: self.longest_gap_ms,
            whole_ms: now.since(arrived),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/answer_progress.rs"]
mod answer_progress;
