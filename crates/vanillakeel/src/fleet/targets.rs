//! The tightest target of the recent requests of each rank, and of those with long prompts.
//!
//! Load shedding bounds the queues of less urgent requests by it.

use super::upstream::RANK_COUNT;
use crate::Millis;

/// Time after which the recorded target of a rank expires if no further request of that rank and kind
/// arrives, in ms.
const TARGET_TTL_MS: u64 = 10_000;

/// The time of the last request, and the tightest target of the recent ones in ms.
type Recent = Option<(Millis, u64)>;

/// The recent targets of each rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentTargets {
    of_all: [Recent; RANK_COUNT],
    of_long_prompts: [Recent; RANK_COUNT],
}

impl RecentTargets {
    pub(super) const EMPTY: Self = Self {
        of_all: [None; RANK_COUNT],
        of_long_prompts: [None; RANK_COUNT],
    };

    pub(super) fn record(&mut self, now: Millis, rank: usize, target_ms: u64, is_short: bool) {
        record(&mut self.of_all[rank], now, target_ms);
        if !is_short {
            record(&mut self.of_long_prompts[rank], now, target_ms);
        }
    }

    /// Returns the tightest recent target of ranks that are more urgent than `rank`, in ms.
    pub(super) fn tightest_above(&self, now: Millis, rank: usize) -> Option<u64> {
        current(&self.of_all[..rank], now).min()
    }

    /// Returns the tightest recent target of long prompts of `rank` and more urgent ones, in ms, if it
    /// is tighter than `target_ms`.
    pub(super) fn tightest_long_up_to(
        &self,
        now: Millis,
        rank: usize,
        target_ms: u64,
    ) -> Option<u64> {
        current(&self.of_long_prompts[..=rank], now)
            .filter(|ms| *ms < target_ms)
            .min()
    }

    /// Returns whether less urgent requests have arrived recently.
    pub(super) fn has_below(&self, now: Millis, rank: usize) -> bool {
        current(&self.of_all[rank + 1..], now).count() > 0
    }

    /// Returns whether less urgent requests with long prompts have arrived recently.
    pub(super) fn has_long_below(&self, now: Millis, rank: usize) -> bool {
        current(&self.of_long_prompts[rank + 1..], now).count() > 0
    }
}

fn record(recent: &mut Recent, now: Millis, target_ms: u64) {
    let known = recent.filter(|(seen, _)| is_current(now, *seen));
    let least = known.map_or(target_ms, |(_, ms)| ms.min(target_ms));
    *recent = Some((now, least));
}

fn is_current(now: Millis, seen: Millis) -> bool {
    now.since(seen) <= TARGET_TTL_MS
}

/// Returns the targets that have not expired, in ms.
fn current(targets: &[Recent], now: Millis) -> impl Iterator<Item = u64> {
    targets
        .iter()
        .flatten()
        .filter(move |(seen, _)| is_current(now, *seen))
        .map(|(_, ms)| *ms)
}
