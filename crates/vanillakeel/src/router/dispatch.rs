//! Dispatch of queued requests, preemption and migration, and the periodic work: deadlines, stalled
//! streams, hedges and messages about capacity shares.

use super::{
    Action,
    Router, //
};
use crate::{
    Millis, Reason, Request, Verdict,
    attempt::{
        Attempt,
        End,
        PendingRequest, //
    },
};
use std::sync::Arc;

/// Most generated tokens of an attempt that may be preempted; more would waste too much work.
const PREEMPT_MAX_TOKENS: u32 = 32;

/// Quantile of the answer length that a workspace is charged with when a request is sent.
const CHARGE_LENGTH_QUANTILE: f64 = 0.5;

/// Quantile of the answer length that has to fit before the deadline; otherwise the request is not
/// sent.
const DEADLINE_LENGTH_QUANTILE: f64 = 0.95;

impl Router {
    /// Sends queued requests of a pool while there is capacity.
    pub(super) fn dispatch(&mut self, now: Millis, pool_index: usize) {
        self.regroup(pool_index);
        while self.dispatch_next(now, pool_index) {}
    }

    /// Sends the request at the head of the queue, or expires it if it cannot end in time.
    ///
    /// Returns whether the request has left the queue.
    fn dispatch_next(&mut self, now: Millis, pool_index: usize) -> bool {
        let Some(head) = self.pools[pool_index].queue.peek(now) else {
            return false;
        };
        let (id, protected, deadline) = (head.id, head.protected, head.deadline);
        if now.plus(self.remaining_ms(pool_index, id)) >= deadline {
            self.pools[pool_index].queue.remove(id);
            self.expire(now, pool_index, id);
            return true;
        }
        let Some(upstream) = self.select_upstream(now, pool_index, id, protected) else {
            return false;
        };
        let class = self.pending.get_mut(id).map(|p| Arc::clone(&p.req.class));
        let class = class.unwrap_or_else(|| Arc::from(""));
        let tokens = self
            .answer_lengths
            .quantile(&class, CHARGE_LENGTH_QUANTILE, 0);
        let Some(req) = self.pools[pool_index].queue.pop(now, tokens) else {
            return false;
        };
        self.send(now, pool_index, &req, upstream);
        true
    }

    /// Selects an upstream for a request.
    ///
    /// An upstream of the own group is used while the limit allows, otherwise one of another group. If
    /// there is none either and the limit is reached, a protected request preempts another one and
    /// then uses the own group.
    fn select_upstream(
        &mut self,
        now: Millis,
        pool_index: usize,
        request: u64,
        protected: bool,
    ) -> Option<Arc<str>> {
        let is_below_limit =
            self.pools[pool_index].table.in_flight() < self.pools[pool_index].limit(now, protected);
        if is_below_limit && let Some(own) = self.pick(now, pool_index, request) {
            return Some(own);
        }
        if let Some(other) = self.pick_in_other_group(now, pool_index, request) {
            return Some(other);
        }
        // Where rate limits leave no room, a preempted request would make none.
        let has_rate_room = self.pools[pool_index].table.has_rate_room(now);
        if is_below_limit || !protected || !has_rate_room || !self.preempt(now, pool_index, request)
        {
            return None;
        }
        self.pick(now, pool_index, request)
    }

    /// Estimates the time until the end of a request's answer if the request is sent now, in ms.
    ///
    /// The estimate uses a high quantile of the answer length, so that few answers take longer.
    fn remaining_ms(&mut self, pool_index: usize, request: u64) -> u64 {
        let Some(pending) = self.pending.get_mut(request) else {
            return 0;
        };
        let delivered = pending.delivered;
        let class = Arc::clone(&pending.req.class);
        let max_tokens = pending.req.max_tokens.max(delivered);
        let tokens = self
            .answer_lengths
            .quantile(&class, DEADLINE_LENGTH_QUANTILE, delivered);
        let left = tokens.min(max_tokens).saturating_sub(delivered);
        let table = &self.pools[pool_index].table;
        table.first_token_ms() + (f64::from(left) * table.median_step_ms()) as u64
    }

    fn pick(&mut self, now: Millis, pool_index: usize, request: u64) -> Option<Arc<str>> {
        let pending = self.pending.get_mut(request)?;
        let pool = &self.pools[pool_index];
        let per_upstream = pool.limit_per_upstream(now, pending.req.protected);
        pool.table.pick_within(
            now,
            &pending.req,
            &pending.tried_upstreams,
            per_upstream,
            &mut self.random,
        )
    }

    /// Picks an upstream of another group, if the overflow limit allows one more request there.
    fn pick_in_other_group(
        &mut self,
        now: Millis,
        pool_index: usize,
        request: u64,
    ) -> Option<Arc<str>> {
        let pending = self.pending.get_mut(request)?;
        let pool = &self.pools[pool_index];
        if !pool.may_overflow(&self.settings) {
            return None;
        }
        pool.table.pick_in_other_group(
            now,
            &pending.req,
            &pending.tried_upstreams,
            &mut self.random,
        )
    }

    fn send(&mut self, now: Millis, pool_index: usize, req: &Request, upstream: Arc<str>) {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let Some(pending) = self.pending.get_mut(req.id) else {
            return;
        };
        pending.queued = false;
        pending.attempts_used += 1;
        pending.tried_upstreams.push(Arc::clone(&upstream));
        pending.attempts.push(Attempt {
            id: attempt,
            upstream: Arc::clone(&upstream),
            sent_at: now,
            last_progress: now,
            tokens: 0,
        });
        let resume_from = pending.delivered;
        if resume_from > 0 {
            self.counts.resumes += 1;
        }
        self.pending.add_attempt(attempt, req.id);
        self.pools[pool_index].table.on_send(now, &upstream);
        self.pools[pool_index].budget.on_send();
        self.actions.push(Action::Send {
            request: req.id,
            attempt,
            upstream,
            resume_from,
        });
    }

    /// Preempts a request of a lower tier for a protected one and returns whether it did.
    ///
    /// Of the requests that may be preempted, it selects one of the lowest tier, and among those the
    /// one with the fewest delivered tokens. Only an attempt that has generated few tokens is
    /// preempted, so that little work is discarded.
    fn preempt(&mut self, now: Millis, pool_index: usize, request: u64) -> bool {
        let settings = self.settings.attempt;
        let Some(tier) = self.pending.get_mut(request).map(|p| p.req.tier) else {
            return false;
        };
        let pool = Arc::clone(&self.pools[pool_index].name);
        let is_preemptible = |p: &&PendingRequest| {
            let work = p.attempts.first().map_or(0, |a| a.tokens);
            let keeps_tokens = p.delivered == 0 || p.can_resume(&settings);
            p.req.pool == pool
                && p.req.tier > tier
                && p.req.idempotent
                && !p.req.protected
                && p.attempts.len() == 1
                && keeps_tokens
                && work <= PREEMPT_MAX_TOKENS
        };
        let victim = self
            .pending
            .iter()
            .filter(is_preemptible)
            .max_by_key(|p| (p.req.tier, u32::MAX - p.delivered, p.req.id));
        let Some(id) = victim.map(|p| p.req.id).filter(|_| settings.preempt) else {
            return false;
        };
        self.preempt_request(now, pool_index, id);
        true
    }

    fn preempt_request(&mut self, now: Millis, pool_index: usize, request: u64) {
        self.counts.preempted += 1;
        self.cancel_and_requeue(now, pool_index, request);
    }

    /// Cancels the only attempt of a request and queues the request again; the next attempt resumes
    /// after the last token that was delivered.
    fn cancel_and_requeue(&mut self, now: Millis, pool_index: usize, request: u64) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        let Some(attempt) = pending.attempts.pop() else {
            return;
        };
        pending.winner = None;
        pending.verdict = Verdict::MayHaveRun;
        pending.attempts_used = pending.attempts_used.saturating_sub(1);
        pending.queued = true;
        let req = pending.req.clone();
        self.pools[pool_index].table.on_end(now, &attempt.upstream);
        self.pending.remove_attempt(attempt.id);
        self.actions.push(Action::Cancel {
            request,
            attempt: attempt.id,
            upstream: attempt.upstream,
        });
        self.pools[pool_index].queue.requeue(req);
    }

    /// Migrates requests away from a straggling upstream, as far as they may be sent again and the
    /// retry budget allows.
    pub(super) fn migrate_from(&mut self, now: Millis, pool_index: usize, upstream: &str) {
        let settings = self.settings.attempt;
        let is_migratable = |p: &&PendingRequest| {
            let runs_there = p.attempts.len() == 1 && *p.attempts[0].upstream == *upstream;
            let keeps_tokens = p.delivered == 0 || p.can_resume(&settings);
            runs_there && p.req.idempotent && keeps_tokens
        };
        let ids: Vec<u64> = self
            .pending
            .iter()
            .filter(is_migratable)
            .map(|p| p.req.id)
            .collect();
        for id in ids {
            if !self.settings.attempt.migrate_from_stragglers
                || !self.pools[pool_index].budget.take()
            {
                return;
            }
            self.counts.moved += 1;
            self.cancel_and_requeue(now, pool_index, id);
        }
        self.dispatch(now, pool_index);
    }

    /// Does the periodic work; the embedding program calls it about every 50 ms.
    pub fn tick(&mut self, now: Millis) {
        for pool_index in 0..self.pools.len() {
            let expired = self.pools[pool_index].queue.expire(now);
            for req in expired {
                self.expire(now, pool_index, req.id);
            }
        }
        self.divide_rates(now);
        self.check_pending(now);
        for pool_index in 0..self.pools.len() {
            self.dispatch(now, pool_index);
            self.tick_share(now, pool_index);
        }
    }

    /// Gives up a queued request whose deadline has passed or cannot be met any more.
    ///
    /// If all its attempts were cancelled by preemption or migration, the reason is the same as for a
    /// request that was never sent.
    fn expire(&mut self, now: Millis, pool_index: usize, request: u64) {
        let is_sent = self
            .pending
            .get_mut(request)
            .is_some_and(|p| p.attempts_used > 0);
        let reason = if is_sent {
            Reason::DeadlineAfterSend
        } else {
            Reason::DeadlineBeforeSend
        };
        self.give_up(now, pool_index, request, reason);
    }

    /// Handles requests in flight that are past their deadline, have stalled or need a hedge.
    fn check_pending(&mut self, now: Millis) {
        let settings = self.settings.attempt;
        let mut late = Vec::new();
        let mut stalled = Vec::new();
        let mut hedged = Vec::new();
        for pending in self.pending.iter().filter(|p| !p.attempts.is_empty()) {
            if now >= pending.req.deadline {
                late.push(pending.req.id);
            } else if let Some(attempt) = pending.stalled(now, &settings) {
                stalled.push((pending.req.id, attempt));
            } else if pending.wants_hedge(now, &settings) {
                hedged.push(pending.req.id);
            }
        }
        for id in late {
            if let Some(pool_index) = self.pool_of(id) {
                self.give_up(now, pool_index, id, Reason::DeadlineAfterSend);
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
        let pool = Arc::clone(&self.pending.get_mut(request)?.req.pool);
        self.find_pool(&pool)
    }

    /// Cancels a stalled attempt if the request may be sent again; otherwise lets it continue.
    fn stop_stalled(&mut self, now: Millis, request: u64, attempt: u64) {
        let settings = self.settings.attempt;
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        let can_continue = pending.delivered == 0 || pending.can_resume(&settings);
        if !pending.req.idempotent
            || !can_continue
            || pending.attempts_used >= settings.max_attempts
        {
            return;
        }
        let delivered = pending.delivered;
        let upstream = pending
            .attempt_mut(attempt)
            .map(|a| Arc::clone(&a.upstream));
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

    /// Sends a hedge if there is capacity, an untried upstream and a retry left in the budget.
    ///
    /// The group's limit for a hedge is that of protected requests, even if the request is not
    /// protected.
    fn hedge(&mut self, now: Millis, request: u64) {
        let Some(pool_index) = self.pool_of(request) else {
            return;
        };
        let limit = self.pools[pool_index].limit(now, true);
        if self.pools[pool_index].table.in_flight() >= limit {
            return;
        }
        let Some(upstream) = self.pick(now, pool_index, request) else {
            return;
        };
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        if pending.tried_upstreams.contains(&upstream) || !self.pools[pool_index].budget.take() {
            return;
        }
        let req = pending.req.clone();
        self.counts.hedges += 1;
        self.send(now, pool_index, &req, upstream);
    }

    /// Sends other instances the messages that are due about the capacity share of a pool.
    fn tick_share(&mut self, now: Millis, pool_index: usize) {
        let pool = &mut self.pools[pool_index];
        let demand = pool.table.in_flight() + pool.queue.len() as u32;
        for (to, message) in pool.share.tick(now, demand) {
            self.actions.push(Action::Peer {
                to,
                pool: Arc::clone(&pool.name),
                message,
            });
        }
    }
}
