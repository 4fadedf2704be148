//! Timing of a response while it arrives: first chunk, longest gap and total time.

use vanillakeel::Millis;

/// Timing of one response.
///
/// A response that is read completely before it is forwarded counts as one chunk.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerTimes {
    /// Time from the arrival of the request to the first chunk, in ms.
    pub(super) first_ms: Option<u64>,
    /// Longest time between two chunks, in ms; `None` if there were fewer than two.
    pub(super) longest_gap_ms: Option<u64>,
    /// Time from the arrival of the request to the end of the response, in ms.
    pub(super) total_ms: u64,
}

/// Records the timing and size of a response while it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    first: Option<Millis>,
    last: Option<Millis>,
    longest_gap_ms: Option<u64>,
    /// Bytes that were forwarded to the caller.
    pub(super) bytes: u64,
}

impl Progress {
    /// Records a chunk that arrived at `now`.
    pub(super) fn on_chunk(&mut self, now: Millis) {
        self.first.get_or_insert(now);
        let gap_ms = self.last.map(|last| now.since(last));
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last = Some(now);
    }

    /// Returns the time from `arrived` to the first chunk, in ms.
    pub(super) fn first_ms(&self, arrived: Millis) -> Option<u64> {
        self.first.map(|first| first.since(arrived))
    }

    /// Returns the timing of a response that ended at `now`, to a request that arrived at
    /// `arrived`.
    pub(super) fn times(&self, arrived: Millis, now: Millis) -> AnswerTimes {
        AnswerTimes {
            first_ms: self.first_ms(arrived),
            longest_gap_ms: self.longest_gap_ms,
            total_ms: now.since(arrived),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/answer_progress.rs"]
mod answer_progress;
