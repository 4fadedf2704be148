//! Whether a request is sent now or refused, and when its caller may come back.
//!
//! An engine takes more urgent requests first, so a request waits for the prompts of those that are
//! as urgent. What it has begun to read still delays all that come later, so the queue that a request
//! may join is bounded by its own target and by the tightest target of requests with long prompts
//! that go before it. A refusal comes at once, as not run, with the time after which the queue will
//! have gone.

use super::{
    choose::{
        Ask,
        Pick, //
    },
    state::Fleet,
    upstream::RANKS, //
};
use crate::Millis;

/// Time for which a kind of request counts as present after it was last seen, in ms.
const SEEN_MS: u64 = 10_000;

/// Targets of the requests with long prompts seen lately, by rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Targets([Option<(Millis, u64)>; RANKS]);

impl Targets {
    pub(super) const EMPTY: Self = Self([None; RANKS]);

    fn note(&mut self, now: Millis, rank: usize, target_ms: u64) {
        let is_old = |seen: Millis| now.since(seen) > SEEN_MS;
        let known = self.0[rank].filter(|(seen, _)| !is_old(*seen));
        let least = known.map_or(target_ms, |(_, ms)| ms.min(target_ms));
        self.0[rank] = Some((now, least));
    }

    /// The tightest target of requests that go before one with this rank and target: more urgent
    /// ones, and equally urgent ones with a tighter target.
    fn tightest_before(&self, now: Millis, rank: usize, target_ms: u64) -> Option<u64> {
        self.0[..=rank]
            .iter()
            .flatten()
            .filter(|(seen, _)| now.since(*seen) <= SEEN_MS)
            .map(|(_, ms)| *ms)
            .filter(|ms| *ms < target_ms)
            .min()
    }
}

impl Fleet {
    /// Decides whether a request may be sent where it was chosen to go, or to the upstream with the
    /// shortest wait.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may come back, in ms.
    pub fn admit(&mut self, now: Millis, ask: &Ask<'_>, pick: Pick) -> Result<Pick, u64> {
        if ask.prompt_tokens == 0 || ask.target_ms == 0 {
            return Ok(pick);
        }
        let rank = ask.rank();
        let is_light = self.is_light(ask);
        if !is_light {
            self.targets_mut().note(now, rank, ask.target_ms);
        }
        let cfg = self.settings();
        let own = ask.target_ms as f64 * cfg.queue_targets;
        let tightest = self.targets().tightest_before(now, rank, ask.target_ms);
        let before = tightest.filter(|_| !is_light);
        let limit = before.map_or(own, |ms| own.min(ms as f64 * cfg.urgent_targets));
        let excess = pick.wait_ms as f64 - limit;
        if excess <= 0.0 {
            return Ok(pick);
        }
        // Reading shared parts once more costs the others time, so only the most urgent requests
        // leave the upstreams that hold them.
        let other = before.is_none().then(|| self.shortest(now, ask)).flatten();
        match other {
            Some(other) if other.wait_ms as f64 <= limit => Ok(other),
            _ => Err((excess as u64).max(cfg.min_return_ms)),
        }
    }
}
