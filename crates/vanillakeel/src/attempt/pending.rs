//! State of one request from admission to its final answer.

use super::Settings;
use crate::{
    Millis,
    Request,
    Verdict, //
};
use std::sync::Arc;

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The caller has received the whole answer.
    Answered {
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// The upstream was overloaded and did not run the request.
    Busy,
    /// The upstream refused the request itself, for instance as malformed; it did not run.
    Rejected,
    /// The upstream failed.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Tokens of the answer that the caller has received.
        delivered: u32,
    },
}

/// One attempt of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id, unique on this instance and ascending.
    pub id: u64,
    /// Where it was sent.
    pub upstream: Arc<str>,
    /// When it was sent.
    pub sent_at: Millis,
    /// When its last token arrived, or when it was sent if there is none.
    pub last_progress: Millis,
    /// Tokens that it has generated.
    pub tokens: u32,
}

/// What to do after an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Wait for another attempt of the request that is still in progress.
    Wait,
    /// Queue the request again.
    Retry,
    /// Give the request up.
    GiveUp,
}

/// A request that was admitted and has no final answer yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request.
    pub req: Request,
    /// Attempts in progress.
    pub attempts: Vec<Attempt>,
    /// Upstreams that it was sent to.
    pub tried_upstreams: Vec<Arc<str>>,
    /// Attempts so far, without those cancelled by preemption or migration.
    pub attempts_used: u32,
    /// Tokens that the caller has received.
    pub delivered: u32,
    /// Whether the request may have run in one of the attempts that have ended.
    pub verdict: Verdict,
    /// The attempt whose tokens go to the caller.
    pub winner: Option<u64>,
    /// Whether the request waits in the queue.
    pub queued: bool,
}

impl PendingRequest {
    /// Creates the state of a request that waits for its first attempt.
    #[must_use]
    pub const fn new(req: Request) -> Self {
        Self {
            req,
            attempts: Vec::new(),
            tried_upstreams: Vec::new(),
            attempts_used: 0,
            delivered: 0,
            verdict: Verdict::NotRun,
            winner: None,
            queued: true,
        }
    }

    /// Returns whether the request may have run, including attempts still in progress.
    #[must_use]
    pub const fn current_verdict(&self) -> Verdict {
        if self.attempts.is_empty() {
            self.verdict
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Removes and returns an attempt in progress.
    pub fn remove_attempt(&mut self, attempt: u64) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| a.id == attempt)?;
        let removed = self.attempts.remove(index);
        if self.winner == Some(attempt) {
            self.winner = None;
        }
        Some(removed)
    }

    /// Returns the attempt in progress with the id `id`.
    pub fn attempt_mut(&mut self, id: u64) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|a| a.id == id)
    }

    /// Decides what follows an attempt that ended without an answer.
    #[must_use]
    pub fn after_failure(
        &self,
        now: Millis,
        verdict: Verdict,
        settings: &Settings,
    ) -> RetryDecision {
        if !self.attempts.is_empty() {
            return RetryDecision::Wait;
        }
        let may_retry = settings.blind_retry || verdict.allows_retry(self.req.idempotent);
        let loses_tokens = self.delivered > 0 && !self.can_resume(settings);
        let is_late = now >= self.req.deadline;
        if may_retry && !loses_tokens && !is_late && self.attempts_used < settings.max_attempts {
            RetryDecision::Retry
        } else {
            RetryDecision::GiveUp
        }
    }

    /// Returns whether a broken stream can be resumed after its last delivered token.
    #[must_use]
    pub const fn can_resume(&self, settings: &Settings) -> bool {
        settings.resume && self.req.resumable && self.req.idempotent
    }

    /// Returns whether a hedge, a second attempt beside the first, should be sent.
    #[must_use]
    pub fn wants_hedge(&self, now: Millis, settings: &Settings) -> bool {
        let is_eligible = settings.hedge
            && self.req.idempotent
            && self.req.tier <= settings.lowest_hedged_tier
            && self.attempts.len() == 1
            && self.winner.is_none()
            && self.delivered == 0
            && self.attempts_used < settings.max_attempts;
        let target = self.req.due.since(self.req.arrived) as f64;
        let waited = now.since(self.attempts.first().map_or(now, |a| a.sent_at)) as f64;
        is_eligible && waited >= target * settings.hedge_after_fraction
    }

    /// Returns the id of an attempt that has stalled, if there is one.
    #[must_use]
    pub fn stalled(&self, now: Millis, settings: &Settings) -> Option<u64> {
        let has_stalled = |a: &&Attempt| {
            let limit = if a.tokens == 0 {
                settings.first_token_stall_ms
            } else {
                settings.stall_ms
            };
            now.since(a.last_progress) >= limit
        };
        self.attempts.iter().find(has_stalled).map(|a| a.id)
    }
}
