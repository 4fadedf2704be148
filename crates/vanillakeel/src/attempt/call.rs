//! One request from admission to its final answer.

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
    /// The whole answer has reached the caller.
    Answered {
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// The upstream was too busy and has not run it.
    Busy,
    /// The upstream refused the request itself, such as for its form; it has not run.
    Rejected,
    /// The upstream has failed.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// Tokens that the caller has of the answer.
        delivered: u32,
    },
}

/// One sending of a request to an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Unique on this instance, ascending.
    pub id: u64,
    /// Where it was sent.
    pub upstream: Arc<str>,
    /// When it was sent.
    pub sent: Millis,
    /// When its last token came, or when it was sent.
    pub progress: Millis,
    /// Tokens that it has produced.
    pub tokens: u32,
}

/// What to do after an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another attempt of the request goes on.
    Wait,
    /// The request goes back into the queue.
    Repeat,
    /// The request is given up.
    GiveUp,
}

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub req: Request,
    /// Attempts in progress.
    pub attempts: Vec<Attempt>,
    /// Upstreams that were tried.
    pub tried: Vec<Arc<str>>,
    /// Attempts so far.
    pub tries: u32,
    /// Tokens that the caller has.
    pub delivered: u32,
    /// What is known about attempts that have ended.
    pub verdict: Verdict,
    /// The attempt whose tokens go to the caller.
    pub winner: Option<u64>,
    /// Whether it waits in the queue.
    pub queued: bool,
}

impl Call {
    /// A request that waits for its first attempt.
    #[must_use]
    pub const fn new(req: Request) -> Self {
        Self {
            req,
            attempts: Vec::new(),
            tried: Vec::new(),
            tries: 0,
            delivered: 0,
            verdict: Verdict::NotRun,
            winner: None,
            queued: true,
        }
    }

    /// Whether the request may have run, seen from now.
    #[must_use]
    pub const fn verdict_now(&self) -> Verdict {
        if self.attempts.is_empty() {
            self.verdict
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Takes out an attempt.
    pub fn take(&mut self, attempt: u64) -> Option<Attempt> {
        let at = self.attempts.iter().position(|a| a.id == attempt)?;
        let taken = self.attempts.remove(at);
        if self.winner == Some(attempt) {
            self.winner = None;
        }
        Some(taken)
    }

    /// The attempt with number `id`.
    pub fn attempt_mut(&mut self, id: u64) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|a| a.id == id)
    }

    /// Decides on what follows an attempt that has ended without an answer.
    #[must_use]
    pub fn after_failure(&self, now: Millis, verdict: Verdict, settings: &Settings) -> Next {
        if !self.attempts.is_empty() {
            return Next::Wait;
        }
        let may_repeat = settings.blind_retry || verdict.allows_repeat(self.req.idempotent);
        let loses_tokens = self.delivered > 0 && !self.can_resume(settings);
        let is_late = now >= self.req.deadline;
        if may_repeat && !loses_tokens && !is_late && self.tries < settings.max_tries {
            Next::Repeat
        } else {
            Next::GiveUp
        }
    }

    /// Whether a broken stream can go on from its last token.
    #[must_use]
    pub const fn can_resume(&self, settings: &Settings) -> bool {
        settings.resume && self.req.resumable && self.req.idempotent
    }

    /// Whether a second attempt should be sent beside the first.
    #[must_use]
    pub fn wants_hedge(&self, now: Millis, settings: &Settings) -> bool {
        let is_eligible = settings.hedge
            && self.req.idempotent
            && self.req.tier <= settings.hedge_tier
            && self.attempts.len() == 1
            && self.winner.is_none()
            && self.delivered == 0
            && self.tries < settings.max_tries;
        let target = self.req.due.since(self.req.arrived) as f64;
        let waited = now.since(self.attempts.first().map_or(now, |a| a.sent)) as f64;
        is_eligible && waited >= target * settings.hedge_after
    }

    /// The attempt that has stalled, if one has.
    #[must_use]
    pub fn stalled(&self, now: Millis, settings: &Settings) -> Option<u64> {
        let has_stalled = |a: &&Attempt| {
            let limit = if a.tokens == 0 {
                settings.first_token_stall_ms
            } else {
                settings.stall_ms
            };
            now.since(a.progress) >= limit
        };
        self.attempts.iter().find(has_stalled).map(|a| a.id)
    }
}
