//! State of the router and the handlers of its events.

use super::{
    pending::PendingRequests,
    pool::Pool, //
};
use crate::{
    Millis,
    Reason,
    Refusal,
    Request,
    Verdict,
    admission,
    admission::Admission,
    attempt,
    attempt::{
        AnswerLengths,
        End,
        PendingRequest,
        RetryDecision, //
    },
    division::{
        self,
        Roster, //
    },
    order::Random,
    routing,
    share,
    subset, //
};
use std::sync::Arc;

/// Settings of a [`Router`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Admission, and order of the queue.
    pub admission: admission::Settings,
    /// Selection of upstreams.
    pub routing: routing::Settings,
    /// Retries, hedges, resumption and preemption.
    pub attempt: attempt::Settings,
    /// Split of a pool's capacity between instances.
    pub share: share::Settings,
    /// Subsetting of a pool into groups of upstreams and instances.
    pub subset: subset::Settings,
}

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an upstream.
    Send {
        /// The request.
        request: u64,
        /// Id of the attempt, which later events refer to.
        attempt: u64,
        /// Where to send it.
        upstream: Arc<str>,
        /// Tokens that the caller already has; the upstream resumes after them.
        resume_from: u32,
    },
    /// Cancel an attempt at its upstream; its tokens are no longer wanted.
    Cancel {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
        /// Where it was sent.
        upstream: Arc<str>,
    },
    /// Give the caller a refusal as the final answer.
    Refuse {
        /// The request.
        request: u64,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// Send a message to another instance.
    Peer {
        /// The instance.
        to: Arc<str>,
        /// The pool that the message is about.
        pool: Arc<str>,
        /// The message.
        message: share::Message,
    },
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests refused on arrival because the queue was full.
    pub refused: u64,
    /// Queued requests that were shed for one of a higher tier.
    pub shed: u64,
    /// Requests whose deadline passed, or could not be met any more, before they were sent.
    pub expired: u64,
    /// Attempts that were retries.
    pub retries: u64,
    /// Attempts that were hedges.
    pub hedges: u64,
    /// Attempts that resumed a partly delivered answer.
    pub resumes: u64,
    /// Attempts that were preempted.
    pub preempted: u64,
    /// Attempts that were migrated away from a straggling upstream.
    pub moved: u64,
    /// Attempts that were cancelled because they stalled.
    pub stalled: u64,
    /// Tokens and answers that were reported for attempts already cancelled or ended.
    pub late: u64,
    /// Tokens that were generated and discarded.
    pub wasted_tokens: u64,
    /// Protected requests that were refused while one of a lower tier could have been shed.
    pub protected_violations: u64,
}

/// Decides on all requests of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) me: Arc<str>,
    pub(super) pools: Vec<Pool>,
    pub(super) pending: PendingRequests,
    pub(super) answer_lengths: AnswerLengths,
    pub(super) random: Random,
    pub(super) actions: Vec<Action>,
    pub(super) counts: Counts,
    pub(super) last_attempt: u64,
    /// Names of the live instances, including this one, in ascending order.
    pub(super) peers: Vec<Arc<str>>,
    /// Instances among which the rates of upstreams are divided.
    pub(super) roster: Roster,
}

impl Router {
    /// Creates a router for the instance `me`; its random choices follow from `seed`.
    #[must_use]
    pub fn new(me: &str, seed: u64, settings: Settings) -> Self {
        Self {
            settings,
            me: Arc::from(me),
            pools: Vec::new(),
            pending: PendingRequests::default(),
            answer_lengths: AnswerLengths::default(),
            random: Random::new(seed),
            actions: Vec::new(),
            counts: Counts::default(),
            last_attempt: 0,
            peers: vec![Arc::from(me)],
            roster: Roster::new(me, division::Settings::default()),
        }
    }

    pub(super) fn find_pool(&self, name: &str) -> Option<usize> {
        self.pools.binary_search_by(|p| (*p.name).cmp(name)).ok()
    }

    fn pool_or_insert(&mut self, name: &str) -> usize {
        match self.pools.binary_search_by(|p| (*p.name).cmp(name)) {
            Ok(pool_index) => pool_index,
            Err(pool_index) => {
                let pool = Pool::new(name, &self.me, &self.settings);
                self.pools.insert(pool_index, pool);
                // The ranks of the pools after the new one have changed.
                self.pools[pool_index..]
                    .iter_mut()
                    .for_each(|p| p.needs_regroup = true);
                pool_index
            }
        }
    }

    /// Adds an upstream or changes its settings.
    pub fn set_upstream(&mut self, pool: &str, upstream: &str, slots: u32, data_centre: &str) {
        let pool_index = self.pool_or_insert(pool);
        self.pools[pool_index]
            .table
            .upsert(upstream, slots, data_centre);
        self.pools[pool_index].needs_regroup = true;
    }

    /// Removes the upstreams for which `is_kept`, given pool and upstream, returns false.
    pub fn retain_upstreams(&mut self, is_kept: impl Fn(&str, &str) -> bool) {
        for pool in &mut self.pools {
            let name = &pool.name;
            pool.table.retain(|upstream| is_kept(name, upstream));
            pool.needs_regroup = true;
        }
    }

    /// Marks an upstream as leaving (draining) or live; a leaving one gets no new requests.
    pub fn set_leaving(&mut self, now: Millis, upstream: &str, leaving: bool) {
        for pool_index in 0..self.pools.len() {
            self.pools[pool_index].table.set_leaving(upstream, leaving);
            self.pools[pool_index].needs_regroup = true;
            self.dispatch(now, pool_index);
        }
    }

    /// Sets the live instances; this one is always included, whether or not it is named.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers = names.map(Arc::from).collect();
        self.peers.push(Arc::clone(&self.me));
        self.peers.sort();
        self.peers.dedup();
        self.roster.on_list_read();
        for pool in &mut self.pools {
            pool.needs_regroup = true;
        }
    }

    /// Recomputes the groups of a pool if upstreams or instances have changed.
    pub(super) fn regroup(&mut self, pool_index: usize) {
        if self.pools[pool_index].needs_regroup {
            self.pools[pool_index].regroup(&self.me, &self.peers, pool_index, &self.settings);
        }
    }

    /// Returns whether an upstream is in this instance's group of any pool.
    #[must_use]
    pub fn is_in_own_group(&self, upstream: &str) -> bool {
        self.pools.iter().any(|p| p.table.is_in_own_group(upstream))
    }

    /// Returns the actions produced since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> {
        std::mem::take(&mut self.actions).into_iter()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the number of requests that are admitted and have no final answer yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of queued requests of a pool.
    #[must_use]
    pub fn queued(&self, pool: &str) -> usize {
        self.find_pool(pool)
            .map_or(0, |pool_index| self.pools[pool_index].queue.len())
    }

    /// Returns the number of ejected upstreams, over all pools.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.pools.iter().map(|p| p.table.ejected()).sum()
    }

    /// Handles a new request from a caller.
    pub fn on_request(&mut self, now: Millis, req: Request) {
        self.counts.arrived += 1;
        let id = req.id;
        if now >= req.deadline {
            self.counts.expired += 1;
            self.refuse(
                id,
                Refusal::new(Verdict::NotRun, Reason::DeadlineBeforeSend),
            );
            return;
        }
        let Some(pool_index) = self.find_pool(&req.pool) else {
            self.refuse(id, Refusal::new(Verdict::NotRun, Reason::NoUpstream));
            return;
        };
        if !self.pools[pool_index].table.has_usable_upstream() {
            self.refuse(id, Refusal::new(Verdict::NotRun, Reason::NoUpstream));
            return;
        }
        if self.refuse_without_part(pool_index, id) {
            return;
        }
        let first_token_ms = self.pools[pool_index].table.first_token_ms();
        self.pools[pool_index]
            .queue
            .set_first_token_ms(first_token_ms);
        let pending = PendingRequest::new(req.clone());
        match self.pools[pool_index].queue.push(now, req) {
            Admission::Queued { shed } => {
                self.pending.insert(pending);
                if let Some(victim) = shed {
                    self.give_up(now, pool_index, victim.id, Reason::Shed);
                }
                self.dispatch(now, pool_index);
            }
            Admission::Refused(req) => self.refuse_arrival(now, pool_index, &req),
        }
    }

    fn refuse_arrival(&mut self, now: Millis, pool_index: usize, req: &Request) {
        self.counts.refused += 1;
        if req.protected && self.pools[pool_index].queue.sheddable_below(req.tier) > 0 {
            self.counts.protected_violations += 1;
        }
        let refusal = Refusal {
            retry_after_ms: self.pools[pool_index].retry_after_ms(now),
            ..Refusal::new(Verdict::NotRun, Reason::QueueFull)
        };
        self.refuse(req.id, refusal);
    }

    pub(super) fn refuse(&mut self, request: u64, refusal: Refusal) {
        self.actions.push(Action::Refuse { request, refusal });
    }

    /// Ends a request with a refusal and cancels its attempts in progress.
    pub(super) fn give_up(&mut self, now: Millis, pool_index: usize, request: u64, reason: Reason) {
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        match reason {
            Reason::Shed => self.counts.shed += 1,
            Reason::DeadlineBeforeSend => self.counts.expired += 1,
            _ => {}
        }
        let refusal = Refusal {
            retry_after_ms: self.pools[pool_index].retry_after_ms(now),
            ..Refusal::new(pending.current_verdict(), reason)
        };
        self.counts.wasted_tokens += u64::from(pending.delivered);
        self.cancel_attempts(now, pool_index, &pending, None);
        self.refuse(request, refusal);
    }

    /// Cancels the attempts of a request except one.
    fn cancel_attempts(
        &mut self,
        now: Millis,
        pool_index: usize,
        pending: &PendingRequest,
        except: Option<u64>,
    ) {
        for attempt in pending.attempts.iter().filter(|a| Some(a.id) != except) {
            self.pools[pool_index].table.on_end(now, &attempt.upstream);
            self.pending.remove_attempt(attempt.id);
            self.actions.push(Action::Cancel {
                request: pending.req.id,
                attempt: attempt.id,
                upstream: Arc::clone(&attempt.upstream),
            });
        }
    }

    /// Returns the index of the pool and the request id of an attempt in progress, or `None` if the
    /// attempt was already cancelled or ended.
    fn locate(&mut self, attempt: u64) -> Option<(usize, u64)> {
        let request = self.pending.request_of(attempt)?;
        let pool = Arc::clone(&self.pending.get_mut(request)?.req.pool);
        Some((self.find_pool(&pool)?, request))
    }

    /// Handles the first token of an attempt, or the start of its answer.
    ///
    /// Returns whether the tokens of this attempt go to the caller; if so, the other attempts of the
    /// request are cancelled.
    pub fn on_first_token(&mut self, now: Millis, attempt: u64) -> bool {
        let Some((pool_index, request)) = self.locate(attempt) else {
            self.counts.late += 1;
            return false;
        };
        let Some(pending) = self.pending.get_mut(request) else {
            return false;
        };
        if pending.winner.is_some_and(|w| w != attempt) {
            return false;
        }
        pending.winner = Some(attempt);
        let in_time = now <= pending.req.due;
        let target_ms = pending.req.due.since(pending.req.arrived);
        let Some(a) = pending.attempt_mut(attempt) else {
            return false;
        };
        a.last_progress = now;
        a.tokens = a.tokens.max(1);
        let sent = a.sent_at;
        let upstream = Arc::clone(&a.upstream);
        let previous = pending.clone();
        pending.attempts.retain(|a| a.id == attempt);
        self.cancel_attempts(now, pool_index, &previous, Some(attempt));
        let ms = now.since(sent);
        let pool = &mut self.pools[pool_index];
        if pool.table.is_in_other_group(&upstream) {
            pool.on_overflow_first_token(ms, target_ms);
        }
        pool.table.on_first_token(ms);
        pool.share.on_first_token(in_time);
        true
    }

    /// Records that the caller has `delivered` tokens, `tokens` of them from this attempt.
    pub fn on_progress(&mut self, now: Millis, attempt: u64, tokens: u32, delivered: u32) {
        let Some((pool_index, request)) = self.locate(attempt) else {
            self.counts.late += 1;
            return;
        };
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        pending.delivered = pending.delivered.max(delivered);
        let Some(a) = pending.attempt_mut(attempt) else {
            return;
        };
        let new = tokens.saturating_sub(a.tokens);
        let step_ms = now.since(a.last_progress) as f64 / f64::from(new.max(1));
        let is_step = new > 0 && a.tokens > 0;
        a.tokens = a.tokens.max(tokens);
        a.last_progress = now;
        let upstream = Arc::clone(&a.upstream);
        if is_step
            && self.pools[pool_index]
                .table
                .on_step(now, &upstream, step_ms)
        {
            self.migrate_from(now, pool_index, &upstream);
        }
    }

    /// Handles the end of an attempt and returns whether the attempt was in progress.
    ///
    /// If it was not, but the caller has the whole answer, the embedding program has to end the
    /// request with [`Self::close`].
    pub fn on_end(&mut self, now: Millis, attempt: u64, end: End) -> bool {
        let Some((pool_index, request)) = self.locate(attempt) else {
            if let End::Answered { .. } = end {
                self.counts.late += 1;
            }
            return false;
        };
        self.pending.remove_attempt(attempt);
        match end {
            End::Answered { tokens } => self.on_answered(now, pool_index, request, attempt, tokens),
            End::Busy => {
                self.on_failed(now, pool_index, request, attempt, Verdict::NotRun, 0, false);
            }
            End::Rejected => {
                if let Some(pending) = self.pending.get_mut(request) {
                    let removed = pending.remove_attempt(attempt);
                    if let Some(a) = removed {
                        self.pools[pool_index].table.on_end(now, &a.upstream);
                    }
                }
                self.give_up(now, pool_index, request, Reason::UpstreamRefused);
            }
            End::Failed { verdict, delivered } => {
                self.on_failed(now, pool_index, request, attempt, verdict, delivered, true);
            }
        }
        self.dispatch(now, pool_index);
        true
    }

    fn on_answered(
        &mut self,
        now: Millis,
        pool_index: usize,
        request: u64,
        attempt: u64,
        tokens: u32,
    ) {
        let Some(mut pending) = self.pending.remove(request) else {
            return;
        };
        if let Some(a) = pending.remove_attempt(attempt) {
            let pool = &mut self.pools[pool_index];
            pool.table.on_success(&a.upstream);
            pool.table
                .on_cache_event(&a.upstream, pending.req.prefix, true);
            pool.on_service_time(now.since(a.sent_at));
        }
        self.cancel_attempts(now, pool_index, &pending, None);
        self.answer_lengths.record(&pending.req.class, tokens);
        self.counts.answered += 1;
    }

    /// Handles an attempt that ended without an answer.
    ///
    /// `is_fault` says whether the failure counts as a fault of the upstream.
    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn on_failed(
        &mut self,
        now: Millis,
        pool_index: usize,
        request: u64,
        attempt: u64,
        verdict: Verdict,
        delivered: u32,
        is_fault: bool,
    ) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        let Some(a) = pending.remove_attempt(attempt) else {
            return;
        };
        pending.delivered = pending.delivered.max(delivered);
        pending.verdict = pending.verdict.max(verdict);
        let decision = pending.after_failure(now, verdict, &self.settings.attempt);
        let is_late = now >= pending.req.deadline;
        let pool = &mut self.pools[pool_index];
        if is_fault {
            pool.table.on_failure(now, &a.upstream);
        } else {
            pool.table.on_end(now, &a.upstream);
        }
        match decision {
            RetryDecision::Wait => {}
            RetryDecision::GiveUp if is_late => {
                self.give_up(now, pool_index, request, Reason::DeadlineAfterSend);
            }
            RetryDecision::GiveUp => self.give_up(now, pool_index, request, Reason::UpstreamFailed),
            RetryDecision::Retry if self.settings.attempt.blind_retry || pool.budget.take() => {
                self.retry(pool_index, request);
            }
            RetryDecision::Retry => self.give_up(now, pool_index, request, Reason::RetriesSpent),
        }
    }

    /// Queues a request again for another attempt.
    pub(super) fn retry(&mut self, pool_index: usize, request: u64) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        pending.queued = true;
        let req = pending.req.clone();
        self.counts.retries += 1;
        self.pools[pool_index].queue.requeue(req);
    }

    /// Handles the disconnect of a caller; the attempts of its request are cancelled.
    pub fn on_caller_gone(&mut self, now: Millis, request: u64) {
        let delivered = self.pending.get_mut(request).map_or(0, |p| p.delivered);
        self.counts.wasted_tokens += u64::from(delivered);
        self.close(now, request);
    }

    /// Ends a request that has its final answer; attempts still in progress are cancelled.
    pub fn close(&mut self, now: Millis, request: u64) {
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        let Some(pool_index) = self.find_pool(&pending.req.pool) else {
            return;
        };
        self.pools[pool_index].queue.remove(request);
        self.cancel_attempts(now, pool_index, &pending, None);
        self.dispatch(now, pool_index);
    }

    /// Counts tokens generated by an attempt that was already cancelled.
    pub const fn on_wasted_tokens(&mut self, tokens: u32) {
        self.counts.wasted_tokens += tokens as u64;
    }

    /// Records a load report of an upstream, made at `reported_at`.
    pub fn on_load_report(
        &mut self,
        now: Millis,
        reported_at: Millis,
        upstream: &str,
        report: routing::LoadReport,
    ) {
        for pool_index in 0..self.pools.len() {
            self.pools[pool_index]
                .table
                .on_load_report(reported_at, upstream, report);
            self.dispatch(now, pool_index);
        }
    }

    /// Records that an upstream has cached or evicted a prompt prefix.
    pub fn on_cache_event(&mut self, upstream: &str, prefix: u64, cached: bool) {
        for pool in &mut self.pools {
            pool.table.on_cache_event(upstream, prefix, cached);
        }
    }

    /// Handles a message of another instance about the shares of a pool.
    pub fn on_peer_message(
        &mut self,
        now: Millis,
        from: &str,
        pool: &str,
        message: share::Message,
    ) {
        if let Some(pool_index) = self.find_pool(pool) {
            self.pools[pool_index].share.on_message(now, from, message);
            self.dispatch(now, pool_index);
        }
    }
}
