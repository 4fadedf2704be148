//! The upstream from whose cache another one fetches the shared segments of a prompt.
//!
//! A transfer between engines takes less time than the prefill that it saves. Each request with a
//! shared prefix therefore names another upstream that probably has it: the one with the longest part
//! and, among equals, the most recently used one, since engines evict what is least recently used.
//! The chosen upstream fetches only what it lacks. Upstreams that leave or are ejected are not named,
//! because a transfer from them may fail after some delay.

use super::{
    request::{
        CacheSource,
        RequestInfo, //
    },
    state::Fleet, //
};
use std::sync::Arc;

impl Fleet {
    /// Returns the upstream that is known to have most of the request's shared prefix cached, other
    /// than `chosen`.
    pub(super) fn cache_source(
        &self,
        request: &RequestInfo<'_>,
        chosen: Option<&str>,
    ) -> Option<CacheSource> {
        let min_tokens = self.settings().min_fetched_tokens;
        if request.shared_tokens() < min_tokens {
            return None;
        }
        self.of_service(request.service)
            .filter(|u| u.is_live() && !u.health.is_ejected())
            .filter(|u| !request.tried.contains(&u.listed.name))
            .filter(|u| Some(&*u.listed.name) != chosen)
            .map(|u| (u.cached.computed_prefix(request.shared()), u))
            .filter(|(prefix, _)| prefix.tokens >= min_tokens)
            .max_by_key(|(prefix, _)| (prefix.tokens, prefix.last_use))
            .map(|(prefix, u)| CacheSource {
                name: Arc::clone(&u.listed.name),
                address: u.listed.address,
                cached_tokens: prefix.tokens,
            })
    }
}
