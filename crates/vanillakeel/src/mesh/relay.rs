//! A member that reads the log for a hub that the log does not serve.
//!
//! A log in trouble may serve some instances and turn others away. A hub that is turned away asks one of the members
//! whose reports say that their configuration is confirmed what the log holds, and passes the answer on to all others
//! as if it had read the log itself. The member reads the log itself for as long as it is asked. Two such members at
//! once, or none, only cost calls to the log.

use super::{
    Mesh,
    Peer,
    state::KnownPeer, //
};
use crate::{
    Millis,
    order, //
};
use std::sync::Arc;

/// Time without a fresh view after which another member is asked, in ms.
pub const VIEW_TIMEOUT_MS: u64 = 400;

/// Time for which a member that has given no fresh view is not asked again, in ms.
const NO_READER_MS: u64 = 2_000;

/// Time after the last query for which a member reads the log for its hub, in ms.
const QUERY_TTL_MS: u64 = 1_000;

/// The member that a hub asks, and the queries that this instance has had.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    reader: Option<Reader>,
    /// Time of the last query of a hub.
    queried_at: Option<Millis>,
    /// Time of the last fresh view.
    viewed_at: Option<Millis>,
}

/// The member that is asked.
#[derive(Clone, Debug)]
struct Reader {
    name: Arc<str>,
    /// Time of its last fresh view, or else of the first query.
    good_at: Millis,
}

impl Relay {
    pub(super) const NONE: Self = Self {
        reader: None,
        queried_at: None,
        viewed_at: None,
    };
}

impl Mesh {
    /// Returns the member to ask for the contents of the log now, if there is one.
    ///
    /// It stays the same while its answers are fresh.
    pub fn log_reader(&mut self, now: Millis) -> Option<Peer> {
        if let Some(reader) = &self.relay.reader {
            let is_good = now.since(reader.good_at) < VIEW_TIMEOUT_MS;
            let known = self.find(&reader.name).ok().map(|at| &self.peers[at]);
            if let Some(known) = known.filter(|_| is_good) {
                return Some(known.peer.clone());
            }
        }
        self.drop_reader(now);
        let may_read = |k: &&KnownPeer| {
            self.is_report_fresh(now, k) && k.is_confirmed() && now >= k.no_reader_until
        };
        let candidates = self.peers.iter().filter(may_read);
        let best = candidates.max_by_key(|k| order::weight(&self.me.name, &k.peer.name))?;
        let peer = best.peer.clone();
        self.relay.reader = Some(Reader {
            name: Arc::clone(&peer.name),
            good_at: now,
        });
        Some(peer)
    }

    /// Returns the instance that has the text of the newest configuration: the hub, or the member that reads for this hub.
    #[must_use]
    pub fn text_source(&self, now: Millis) -> Option<&Peer> {
        let reader = || {
            let reader = self
                .relay
                .reader
                .as_ref()
                .filter(|_| self.has_log_view(now))?;
            let at = self.find(&reader.name).ok()?;
            Some(&self.peers[at].peer)
        };
        self.hub(now).or_else(reader)
    }

    /// Does not ask the present reader again for a while.
    fn drop_reader(&mut self, now: Millis) {
        let Some(reader) = self.relay.reader.take() else {
            return;
        };
        if let Ok(at) = self.find(&reader.name) {
            self.peers[at].no_reader_until = now.plus(NO_READER_MS);
        }
    }

    /// Records the answer of a member to a query for the contents of the log.
    pub fn on_log_view(&mut self, now: Millis, name: &str, is_fresh: bool) {
        if is_fresh {
            self.relay.viewed_at = Some(now);
        }
        let Some(reader) = self.relay.reader.as_mut().filter(|r| *r.name == *name) else {
            return;
        };
        if is_fresh {
            reader.good_at = now;
        } else {
            self.drop_reader(now);
        }
    }

    /// Records that a hub asks this instance for the contents of the log.
    pub const fn on_log_query(&mut self, now: Millis) {
        self.relay.queried_at = Some(now);
    }

    /// Returns whether this instance reads the log for its hub.
    #[must_use]
    pub fn reads_for_hub(&self, now: Millis) -> bool {
        let queried_at = self.relay.queried_at;
        queried_at.is_some_and(|at| now.since(at) < QUERY_TTL_MS)
    }

    /// Returns whether a member has given a fresh view of the log a short time ago.
    #[must_use]
    pub fn has_log_view(&self, now: Millis) -> bool {
        let viewed_at = self.relay.viewed_at;
        viewed_at.is_some_and(|at| now.since(at) < VIEW_TIMEOUT_MS)
    }
}
