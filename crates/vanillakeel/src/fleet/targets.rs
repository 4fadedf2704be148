//! The tightest target of the recent requests with long prompts, for each rank.
//!
//! Load shedding bounds the queues of long prompts by it.

use super::upstream::RANK_COUNT;
use crate::Millis;

/// Time after which the recorded target of a rank expires if no further long prompt of that rank
/// arrives, in ms.
const TARGET_TTL_MS: u64 = 10_000;

/// For each rank, the time of the last request with a long prompt, and the tightest target of the
/// recent ones in ms.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentTargets([Option<(Millis, u64)>; RANK_COUNT]);

impl RecentTargets {
    pub(super) const EMPTY: Self = Self([None; RANK_COUNT]);

    pub(super) fn record(&mut self, now: Millis, rank: usize, target_ms: u64) {
        let is_old = |seen: Millis| now.since(seen) > TARGET_TTL_MS;
        let known = self.0[rank].filter(|(seen, _)| !is_old(*seen));
        let least = known.map_or(target_ms, |(_, ms)| ms.min(target_ms));
        self.0[rank] = Some((now, least));
    }

    /// Returns the tightest recent target of `rank` and more urgent ones, in ms, if it is tighter
    /// than `target_ms`.
    pub(super) fn tightest_up_to(&self, now: Millis, rank: usize, target_ms: u64) -> Option<u64> {
        self.0[..=rank]
            .iter()
            .flatten()
            .filter(|(seen, _)| now.since(*seen) <= TARGET_TTL_MS)
            .map(|(_, ms)| *ms)
            .filter(|ms| *ms < target_ms)
            .min()
    }
}
