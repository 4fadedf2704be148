//! Notices by which instances tell each other which upstream has computed which prompt segments.

use crate::Millis;

/// Time for which a cache notice is repeated to other instances, in ms; repetition covers lost
/// datagrams.
const NOTICE_TTL_MS: u64 = 450;

/// Notice that an upstream has computed a shared prompt segment that it did not have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheNotice {
    at: Millis,
    /// Id of the segment, see [`PromptSegment::id`](super::PromptSegment::id).
    pub segment: u64,
    /// Hash of the upstream's name.
    pub upstream: u32,
}

/// The notices that are currently sent to other instances: those of this instance, and new ones
/// received from others.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentNotices(Vec<CacheNotice>);

impl RecentNotices {
    pub(super) const fn new() -> Self {
        Self(Vec::new())
    }

    pub(super) fn record(&mut self, now: Millis, segment: u64, upstream: u32) {
        self.0.retain(|n| now.since(n.at) <= NOTICE_TTL_MS);
        let is_known = |n: &CacheNotice| n.segment == segment && n.upstream == upstream;
        if !self.0.iter().any(is_known) {
            self.0.push(CacheNotice {
                at: now,
                segment,
                upstream,
            });
        }
    }

    pub(super) fn iter(&self, now: Millis) -> impl Iterator<Item = &CacheNotice> {
        self.0
            .iter()
            .filter(move |n| now.since(n.at) <= NOTICE_TTL_MS)
    }
}
