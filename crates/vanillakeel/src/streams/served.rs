//! The software versions that have served lately.
//!
//! While only one version has served for as long as a stream may go on, it has begun every stream, also
//! one that no instance knows.

use crate::Millis;
use std::sync::Arc;

/// Longest time between two complete views of the upstreams in which no version can come and go unseen,
/// in ms: each upstream is listed for longer.
const MAX_GAP_MS: u64 = 2_500;

/// Longest time for which an upstream may still begin streams after it was removed from the list, in ms,
/// sent by an instance that has lost contact with the log.
const MAX_UNLISTED_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Served {
    service: Arc<str>,
    /// `None` for upstreams whose version is not known.
    software: Option<Arc<str>>,
    last_seen: Millis,
}

/// The software versions of each service, with the last time at which they were listed.
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    /// Sorted by service and version.
    served: Vec<Served>,
    /// Time since which all versions have been seen.
    complete_since: Option<Millis>,
    last_view: Millis,
}

impl ServedVersions {
    /// Records a complete view of the upstreams that was true at `seen_at`.
    pub fn on_view<'a>(
        &mut self,
        seen_at: Millis,
        upstreams: impl Iterator<Item = (&'a Arc<str>, Option<&'a Arc<str>>)>,
    ) {
        if self.complete_since.is_none() || seen_at.since(self.last_view) > MAX_GAP_MS {
            self.complete_since = Some(seen_at);
        }
        self.last_view = self.last_view.max(seen_at);
        for (service, software) in upstreams {
            let key = (&**service, software.map(|s| &**s));
            let at = self
                .served
                .binary_search_by(|s| (&*s.service, s.software.as_deref()).cmp(&key));
            match at {
                Ok(at) => self.served[at].last_seen = self.served[at].last_seen.max(seen_at),
                Err(at) => self.served.insert(
                    at,
                    Served {
                        service: Arc::clone(service),
                        software: software.cloned(),
                        last_seen: seen_at,
                    },
                ),
            }
        }
    }

    /// Returns the only version of a service that can have begun a stream in the last `life_ms`, or
    /// `None` if there were several or this instance has not seen all of them.
    #[must_use]
    pub fn sole(&self, now: Millis, service: &str, life_ms: u64) -> Option<&Arc<str>> {
        let since = self.complete_since?;
        let history_ms = life_ms + MAX_UNLISTED_MS;
        let is_seen = now.since(since) >= history_ms && now.since(self.last_view) <= MAX_GAP_MS;
        let is_recent = |s: &&Served| now.since(s.last_seen) <= history_ms + MAX_GAP_MS;
        let of_service = self.served.iter().filter(|s| *s.service == *service);
        let mut lately = of_service.filter(is_recent);
        let first = lately.next()?;
        let is_sole = is_seen && lately.next().is_none();
        first.software.as_ref().filter(|_| is_sole)
    }

    /// Drops the versions that were last seen before `seen_before`.
    pub fn forget(&mut self, seen_before: Millis) {
        self.served.retain(|s| s.last_seen >= seen_before);
    }
}
