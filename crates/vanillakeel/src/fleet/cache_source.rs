//! The upstream from whose cache another one fetches the shared segments of a prompt.
//!
//! A transfer between engines takes less time than the prefill that it saves. Each request with a
//! shared prefix therefore names another upstream that probably has it: the one with the longest part
//! and, among equals, the most recently used one, since engines evict what is least recently used.
//! The chosen upstream fetches only what it lacks. Upstreams that leave or are ejected are not named,
//! because a transfer from them may fail after some delay, and neither are those with another version of
//! the software, since what two versions write does not fit together.

use super::{
    request::{
        CacheSource,
        RequestInfo, //
    },
    state::Fleet, //
};
use std::sync::Arc;

/// The best source for upstreams of each software version.
#[derive(Debug, Default)]
pub(super) struct CacheSources<'a>(Vec<(Option<&'a str>, CacheSource)>);

impl CacheSources<'_> {
    /// Returns the source for an upstream with this version.
    pub(super) fn of(&self, software: Option<&str>) -> Option<&CacheSource> {
        let of_version = |(version, _): &&(Option<&str>, _)| *version == software;
        self.0.iter().find(of_version).map(|(_, source)| source)
    }
}

impl Fleet {
    /// Returns the upstreams that are known to have most of the request's shared prefix cached, other
    /// than `chosen`, one for each software version.
    pub(super) fn cache_sources(
        &self,
        request: &RequestInfo<'_>,
        chosen: Option<&str>,
    ) -> CacheSources<'_> {
        let mut sources = CacheSources::default();
        let min_tokens = self.settings().min_fetched_tokens;
        if request.shared_tokens() < min_tokens {
            return sources;
        }
        let mut candidates: Vec<_> = self
            .of_service(request.service)
            .filter(|u| u.is_live() && !u.health.is_ejected())
            .filter(|u| !request.tried.contains(&u.listed.name))
            .filter(|u| Some(&*u.listed.name) != chosen)
            .map(|u| (u.cached.computed_prefix(request.shared()), u))
            .filter(|(prefix, _)| prefix.tokens >= min_tokens)
            .collect();
        // The last one of equals is taken.
        candidates.sort_by_key(|(prefix, _)| (prefix.tokens, prefix.last_use));
        for (prefix, upstream) in candidates.into_iter().rev() {
            let software = upstream.listed.software.as_deref();
            if sources.of(software).is_none() {
                let source = CacheSource {
                    name: Arc::clone(&upstream.listed.name),
                    address: upstream.listed.address,
                    cached_tokens: prefix.tokens,
                };
                sources.0.push((software, source));
            }
        }
        sources
    }
}
