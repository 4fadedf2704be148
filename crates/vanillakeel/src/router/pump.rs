//! Sending what waits, and the periodic work: deadlines, stalls, hedges and demands.

use super::{
    Action,
    Router, //
};
use crate::{
    Millis, Reason, Request, Verdict,
    attempt::{
        Attempt,
        Call,
        End, //
    },
};
use std::sync::Arc;

/// Tokens up to which work of a lower tier is worth preempting.
const PREEMPT_MAX_TOKENS: u32 = 32;

/// Quantile of the answer's length that a workspace is charged with when a request is sent.
const CHARGED_QUANTILE: f64 = 0.5;

/// Quantile of the answer's length by which a request is given up that can't end in time.
const LONG_ANSWER: f64 = 0.95;

impl Router {
    /// Sends waiting requests of a pool while there is room.
    pub(super) fn pump(&mut self, now: Millis, at: usize) {
        self.regroup(at);
        while self.send_next(now, at) {}
    }

    /// Sends the request that goes next; returns whether it did.
    fn send_next(&mut self, now: Millis, at: usize) -> bool {
        let Some(head) = self.pools[at].queue.peek(now) else {
            return false;
        };
        let (id, protected, deadline) = (head.id, head.protected, head.deadline);
        if now.plus(self.expected_ms(at, id)) >= deadline {
            self.pools[at].queue.remove(id);
            self.expire(now, at, id);
            return true;
        }
        let Some(upstream) = self.make_room(now, at, id, protected) else {
            return false;
        };
        let class = self.calls.get_mut(id).map(|c| Arc::clone(&c.req.class));
        let class = class.unwrap_or_else(|| Arc::from(""));
        let tokens = self.lengths.quantile(&class, CHARGED_QUANTILE, 0);
        let Some(req) = self.pools[at].queue.pop(now, tokens) else {
            return false;
        };
        self.send(now, at, &req, upstream);
        true
    }

    /// An upstream for a request: of the own group while the limit allows, else of another group,
    /// else, for a protected request, in the place of work of a lower tier.
    fn make_room(
        &mut self,
        now: Millis,
        at: usize,
        request: u64,
        protected: bool,
    ) -> Option<Arc<str>> {
        let has_room = self.pools[at].table.in_flight() < self.pools[at].limit(now, protected);
        if has_room && let Some(own) = self.pick(now, at, request) {
            return Some(own);
        }
        if let Some(foreign) = self.pick_foreign(now, at, request) {
            return Some(foreign);
        }
        if has_room || !protected || !self.preempt(now, at, request) {
            return None;
        }
        self.pick(now, at, request)
    }

    /// Time that the rest of a request's answer takes, but for few of them, in ms.
    fn expected_ms(&mut self, at: usize, request: u64) -> u64 {
        let Some(call) = self.calls.get_mut(request) else {
            return 0;
        };
        let delivered = call.delivered;
        let class = Arc::clone(&call.req.class);
        let most = call.req.max_tokens.max(delivered);
        let tokens = self.lengths.quantile(&class, LONG_ANSWER, delivered);
        let left = tokens.min(most).saturating_sub(delivered);
        let table = &self.pools[at].table;
        table.first_token_ms() + (f64::from(left) * table.median_step_ms()) as u64
    }

    fn pick(&mut self, now: Millis, at: usize, request: u64) -> Option<Arc<str>> {
        let call = self.calls.get_mut(request)?;
        let pool = &self.pools[at];
        let per_upstream = pool.limit_per_upstream(now, call.req.protected);
        pool.table
            .pick_within(now, &call.req, &call.tried, per_upstream, &mut self.random)
    }

    /// Picks an upstream of another group, if the calls there may be more.
    fn pick_foreign(&mut self, now: Millis, at: usize, request: u64) -> Option<Arc<str>> {
        let call = self.calls.get_mut(request)?;
        let pool = &self.pools[at];
        if !pool.may_spill(&self.settings) {
            return None;
        }
        pool.table
            .pick_foreign(now, &call.req, &call.tried, &mut self.random)
    }

    fn send(&mut self, now: Millis, at: usize, req: &Request, upstream: Arc<str>) {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let Some(call) = self.calls.get_mut(req.id) else {
            return;
        };
        call.queued = false;
        call.tries += 1;
        call.tried.push(Arc::clone(&upstream));
        call.attempts.push(Attempt {
            id: attempt,
            upstream: Arc::clone(&upstream),
            sent: now,
            progress: now,
            tokens: 0,
        });
        let resume_from = call.delivered;
        if resume_from > 0 {
            self.counts.resumes += 1;
        }
        self.calls.note_attempt(attempt, req.id);
        self.pools[at].table.on_send(&upstream);
        self.pools[at].budget.on_call();
        self.actions.push(Action::Send {
            request: req.id,
            attempt,
            upstream,
            resume_from,
        });
    }

    /// Cancels the least work of the lowest tier for a protected request, if that gains more than
    /// it throws away; returns whether it did.
    fn preempt(&mut self, now: Millis, at: usize, request: u64) -> bool {
        let settings = self.settings.attempt;
        let Some(tier) = self.calls.get_mut(request).map(|c| c.req.tier) else {
            return false;
        };
        let pool = Arc::clone(&self.pools[at].name);
        let may_go = |c: &&Call| {
            let work = c.attempts.first().map_or(0, |a| a.tokens);
            let keeps_tokens = c.delivered == 0 || c.can_resume(&settings);
            c.req.pool == pool
                && c.req.tier > tier
                && c.req.idempotent
                && !c.req.protected
                && c.attempts.len() == 1
                && keeps_tokens
                && work <= PREEMPT_MAX_TOKENS
        };
        let victim = self
            .calls
            .iter()
            .filter(may_go)
            .max_by_key(|c| (c.req.tier, u32::MAX - c.delivered, c.req.id));
        let Some(id) = victim.map(|c| c.req.id).filter(|_| settings.preempt) else {
            return false;
        };
        self.preempt_call(now, at, id);
        true
    }

    fn preempt_call(&mut self, now: Millis, at: usize, request: u64) {
        self.counts.preempted += 1;
        self.take_back(now, at, request);
    }

    /// Cancels the only attempt of a call and queues it again; it goes on from its last token.
    fn take_back(&mut self, now: Millis, at: usize, request: u64) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let Some(attempt) = call.attempts.pop() else {
            return;
        };
        call.winner = None;
        call.verdict = Verdict::MayHaveRun;
        call.tries = call.tries.saturating_sub(1);
        call.queued = true;
        let req = call.req.clone();
        self.pools[at].table.on_end(now, &attempt.upstream);
        self.calls.forget_attempt(attempt.id);
        self.actions.push(Action::Cancel {
            request,
            attempt: attempt.id,
            upstream: attempt.upstream,
        });
        self.pools[at].queue.requeue(req);
    }

    /// Moves the calls that may be repeated away from a straggling upstream, within the budget.
    pub(super) fn move_away(&mut self, now: Millis, at: usize, upstream: &str) {
        let settings = self.settings.attempt;
        let may_move = |c: &&Call| {
            let is_there = c.attempts.len() == 1 && *c.attempts[0].upstream == *upstream;
            let keeps_tokens = c.delivered == 0 || c.can_resume(&settings);
            is_there && c.req.idempotent && keeps_tokens
        };
        let ids: Vec<u64> = self
            .calls
            .iter()
            .filter(may_move)
            .map(|c| c.req.id)
            .collect();
        for id in ids {
            if !self.settings.attempt.move_away || !self.pools[at].budget.take() {
                return;
            }
            self.counts.moved += 1;
            self.take_back(now, at, id);
        }
        self.pump(now, at);
    }

    /// Does the periodic work; to be called about every 50 ms.
    pub fn tick(&mut self, now: Millis) {
        for at in 0..self.pools.len() {
            let expired = self.pools[at].queue.expire(now);
            for req in expired {
                self.expire(now, at, req.id);
            }
        }
        self.check_calls(now);
        for at in 0..self.pools.len() {
            self.pump(now, at);
            self.share_demand(now, at);
        }
    }

    fn expire(&mut self, now: Millis, at: usize, request: u64) {
        let is_sent = self.calls.get_mut(request).is_some_and(|c| c.tries > 0);
        let reason = if is_sent {
            Reason::DeadlineAfterSend
        } else {
            Reason::DeadlineBeforeSend
        };
        self.give_up(now, at, request, reason);
    }

    /// Looks for calls in flight that are past their deadline, have stalled or want a hedge.
    fn check_calls(&mut self, now: Millis) {
        let settings = self.settings.attempt;
        let mut late = Vec::new();
        let mut stalled = Vec::new();
        let mut hedged = Vec::new();
        for call in self.calls.iter().filter(|c| !c.attempts.is_empty()) {
            if now >= call.req.deadline {
                late.push(call.req.id);
            } else if let Some(attempt) = call.stalled(now, &settings) {
                stalled.push((call.req.id, attempt));
            } else if call.wants_hedge(now, &settings) {
                hedged.push(call.req.id);
            }
        }
        for id in late {
            if let Some(at) = self.pool_of(id) {
                self.give_up(now, at, id, Reason::DeadlineAfterSend);
            }
        }
        for (id, attempt) in stalled {
            self.stop_stalled(now, id, attempt);
        }
        for id in hedged {
            self.hedge(now, id);
        }
    }

    fn pool_of(&mut self, request: u64) -> Option<usize> {
        let pool = Arc::clone(&self.calls.get_mut(request)?.req.pool);
        self.find_pool(&pool)
    }

    /// Ends a stalled attempt, if the request may be sent again; else it goes on waiting.
    fn stop_stalled(&mut self, now: Millis, request: u64, attempt: u64) {
        let settings = self.settings.attempt;
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let can_go_on = call.delivered == 0 || call.can_resume(&settings);
        if !call.req.idempotent || !can_go_on || call.tries >= settings.max_tries {
            return;
        }
        let delivered = call.delivered;
        let upstream = call.attempt_mut(attempt).map(|a| Arc::clone(&a.upstream));
        let Some(upstream) = upstream else { return };
        self.counts.stalled += 1;
        self.actions.push(Action::Cancel {
            request,
            attempt,
            upstream,
        });
        let verdict = Verdict::MayHaveRun;
        self.on_end(now, attempt, End::Failed { verdict, delivered });
    }

    fn hedge(&mut self, now: Millis, request: u64) {
        let Some(at) = self.pool_of(request) else {
            return;
        };
        let limit = self.pools[at].limit(now, true);
        if self.pools[at].table.in_flight() >= limit {
            return;
        }
        let Some(upstream) = self.pick(now, at, request) else {
            return;
        };
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if call.tried.contains(&upstream) || !self.pools[at].budget.take() {
            return;
        }
        let req = call.req.clone();
        self.counts.hedges += 1;
        self.send(now, at, &req, upstream);
    }

    fn share_demand(&mut self, now: Millis, at: usize) {
        let pool = &mut self.pools[at];
        let calls = pool.table.in_flight() + pool.queue.len() as u32;
        for (to, message) in pool.share.tick(now, calls) {
            self.actions.push(Action::Peer {
                to,
                pool: Arc::clone(&pool.name),
                message,
            });
        }
    }
}
