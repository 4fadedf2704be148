//! What is known of upstreams whose entries are missing.
//!
//! An entry may be missing for a moment while its upstream serves and answers: it could not be renewed, or an older
//! list is read. What the upstream has said of itself holds when the entry is back.

use super::{
    ListedUpstream,
    upstream::Upstream, //
};
use crate::{
    Millis,
    availability::Availability,
    membership::State,
    rate_limits::RateLimit, //
};
use std::sync::Arc;

/// Time for which a removed upstream is remembered, in ms: longer than a copy from which the log comes
/// back is old.
const REMEMBERED_MS: u64 = 60_000;

/// A removed upstream, with what its answers have said.
#[derive(Clone, Debug)]
pub(super) struct Absent {
    name: Arc<str>,
    pub(super) service: Arc<str>,
    incarnation: u64,
    at: Millis,
    pub(super) availability: Availability,
    pub(super) rate_limit: RateLimit,
}

/// Upstreams that have been removed a short time ago.
#[derive(Clone, Debug)]
pub(super) struct AbsentUpstreams(Vec<Absent>);

impl AbsentUpstreams {
    /// A collection without upstreams.
    pub(super) const NONE: Self = Self(Vec::new());

    /// Records that an upstream has been removed. If it was listed as leaving, that is final.
    pub(super) fn on_removed(&mut self, now: Millis, upstream: Upstream) {
        self.0.retain(|a| now.since(a.at) < REMEMBERED_MS);
        let mut availability = upstream.availability;
        if upstream.listed.state != State::Live {
            availability.on_leaving();
        }
        self.0.push(Absent {
            name: upstream.listed.name,
            service: upstream.listed.service,
            incarnation: upstream.listed.incarnation,
            at: now,
            availability,
            rate_limit: upstream.rate_limit,
        });
    }

    /// Returns an incarnation that has been removed.
    pub(super) fn find(&mut self, name: &str, incarnation: u64) -> Option<&mut Absent> {
        let mut all = self.0.iter_mut();
        all.find(|a| *a.name == *name && a.incarnation == incarnation)
    }

    /// Gives an upstream that is listed again what is known of it.
    pub(super) fn restore(&mut self, upstream: &mut Upstream) {
        let ListedUpstream {
            name, incarnation, ..
        } = &upstream.listed;
        let is_same = |a: &Absent| a.name == *name && a.incarnation == *incarnation;
        let Some(at) = self.0.iter().position(is_same) else {
            return;
        };
        let absent = self.0.swap_remove(at);
        upstream.availability = absent.availability;
        upstream.rate_limit = absent.rate_limit;
    }
}
