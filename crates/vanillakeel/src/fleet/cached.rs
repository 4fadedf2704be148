//! The prompt segments that an upstream is believed to hold in its prefix cache.

use super::request::PromptSegment;
use crate::Millis;

/// Most segments that are remembered per upstream; the least recently used one is evicted.
const MAX_SEGMENTS: usize = 512;

/// A segment that an upstream holds, or will hold once a prefill is done.
#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    id: u64,
    last_use: Millis,
    /// Whether a prefill that included it is known to be done.
    is_computed: bool,
}

/// The segments of one upstream, sorted by id.
#[derive(Clone, Debug, Default)]
pub(super) struct CachedSegments(Vec<CachedSegment>);

/// The beginning of a prompt that an upstream is believed to have cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CachedPrefix {
    /// Length in tokens.
    pub(super) tokens: u32,
    /// Time of the last use of its last segment.
    pub(super) last_use: Millis,
}

impl CachedSegments {
    /// Records a use of a segment, which is computed if it is not cached yet.
    pub(super) fn on_use(&mut self, now: Millis, id: u64) {
        self.record(now, id, false);
    }

    /// Records that a segment is cached; returns whether this was not known.
    pub(super) fn on_computed(&mut self, now: Millis, id: u64) -> bool {
        self.record(now, id, true)
    }

    /// Adds or updates a segment; returns whether it was not known to be computed and now is.
    fn record(&mut self, now: Millis, id: u64, is_computed: bool) -> bool {
        match self.find(id) {
            Ok(at) => {
                let known = &mut self.0[at];
                known.last_use = now;
                let is_new = is_computed && !known.is_computed;
                known.is_computed |= is_computed;
                return is_new;
            }
            Err(at) => self.0.insert(
                at,
                CachedSegment {
                    id,
                    last_use: now,
                    is_computed,
                },
            ),
        }
        if self.0.len() > MAX_SEGMENTS {
            let oldest = (0..self.0.len()).min_by_key(|at| self.0[*at].last_use);
            if let Some(at) = oldest {
                self.0.remove(at);
            }
        }
        is_computed
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.0.binary_search_by_key(&id, |s| s.id)
    }

    /// Returns the longest beginning of `segments` that is cached or being computed.
    pub(super) fn prefix(&self, segments: &[PromptSegment]) -> CachedPrefix {
        self.prefix_while(segments, |_| true)
    }

    /// Returns the longest beginning of `segments` that is known to be computed.
    pub(super) fn computed_prefix(&self, segments: &[PromptSegment]) -> CachedPrefix {
        self.prefix_while(segments, |s| s.is_computed)
    }

    fn prefix_while(
        &self,
        segments: &[PromptSegment],
        counts: impl Fn(&CachedSegment) -> bool,
    ) -> CachedPrefix {
        let mut prefix = CachedPrefix::default();
        for segment in segments {
            let known = self.find(segment.id).ok().map(|at| self.0[at]);
            let Some(known) = known.filter(&counts) else {
                break;
            };
            prefix.tokens += segment.tokens;
            prefix.last_use = known.last_use;
        }
        prefix
    }
}
