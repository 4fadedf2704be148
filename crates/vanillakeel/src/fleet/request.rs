//! The request for which an upstream is chosen, and the result of the choice.

use super::upstream::RANK_COUNT;
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// A segment of a prompt that can be shared with other prompts and cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the segment together with everything before it, so equal ids mean equal prefixes.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The properties of a request that the choice of an upstream depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestInfo<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Segments of the prompt in order; the last one is not shared with other requests.
    pub segments: &'a [PromptSegment],
    /// Length of the prompt in tokens, zero if the request has no prompt.
    pub prompt_tokens: u32,
    /// Scheduling rank of the request; zero is the most urgent.
    pub rank: u8,
    /// Name of the workspace, empty if the request has none.
    pub workspace: &'a str,
    /// Target for the time to the first event, in ms; zero if there is none.
    pub target_ms: u64,
    /// Names of the upstreams that were already tried.
    pub tried: &'a [Arc<str>],
    /// Version of the software that an upstream has to run, if the request continues a stream: what two
    /// versions write does not fit together.
    pub software: Option<&'a str>,
}

impl RequestInfo<'_> {
    /// Returns the segments that other requests may share.
    pub(super) fn shared(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the length of the segments that other requests may share, in tokens.
    pub(super) fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|s| s.tokens).sum()
    }

    /// Returns whether an upstream that runs `software` may run the request.
    pub(super) fn allows(&self, software: Option<&str>) -> bool {
        self.software.is_none() || self.software == software
    }

    pub(super) fn rank_index(&self) -> usize {
        usize::from(self.rank).min(RANK_COUNT - 1)
    }

    /// Returns the id of the longest shared prefix, which decides the cache affinity, or zero if
    /// nothing is shared.
    pub(super) fn affinity_key(&self) -> u64 {
        self.shared().last().map_or(0, |s| s.id)
    }
}

/// The upstream that was chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Version of its software, if known.
    pub software: Option<Arc<str>>,
    /// Prompt tokens that are probably not cached there, nor fetched, and need prefill.
    pub prefill_tokens: u32,
    /// Shared prompt tokens that are probably cached there.
    pub cached_tokens: u32,
    /// Shared prompt tokens that are fetched from `cache_source`.
    pub fetched_tokens: u32,
    /// Another upstream that probably has more of the prompt cached, from which the chosen one
    /// should fetch it.
    pub cache_source: Option<CacheSource>,
    /// Tokens of other prompts whose prefill comes first there.
    pub tokens_ahead: u64,
    /// Expected wait until the prefill can start, in ms.
    pub wait_ms: u64,
}

/// An upstream from whose cache another one fetches shared segments of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSource {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Shared prompt tokens that it probably has cached.
    pub cached_tokens: u32,
}
