//! The router's state and the events it takes.

use super::{
    calls::Calls,
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
        Call,
        End,
        Lengths,
        Next, //
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
    /// Admission and order.
    pub admission: admission::Settings,
    /// Choice of upstreams.
    pub routing: routing::Settings,
    /// Attempts of a request.
    pub attempt: attempt::Settings,
    /// Split of capacity between instances.
    pub share: share::Settings,
    /// Groups of upstreams and instances.
    pub subset: subset::Settings,
}

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an upstream.
    Send {
        /// The request.
        request: u64,
        /// The attempt, which later events name.
        attempt: u64,
        /// Where to send it.
        upstream: Arc<str>,
        /// Tokens that the caller has already; the upstream goes on from there.
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
        /// Why, and whether it may have run.
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

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that came.
    pub arrived: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests refused on arrival since the queue was full.
    pub refused: u64,
    /// Requests that lost their place to a higher tier.
    pub shed: u64,
    /// Requests whose deadline passed while they waited.
    pub expired: u64,
    /// Attempts that were repeats.
    pub retries: u64,
    /// Attempts that were hedges.
    pub hedges: u64,
    /// Attempts that went on from a token.
    pub resumes: u64,
    /// Attempts that were preempted.
    pub preempted: u64,
    /// Attempts that were moved away from a straggling upstream.
    pub moved: u64,
    /// Attempts that stalled.
    pub stalled: u64,
    /// Events of attempts that were superseded.
    pub late: u64,
    /// Tokens that were produced and thrown away.
    pub wasted_tokens: u64,
    /// Protected requests that were refused while a lower tier could have been.
    pub protected_violations: u64,
}

/// The traffic decisions of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) me: Arc<str>,
    pub(super) pools: Vec<Pool>,
    pub(super) calls: Calls,
    pub(super) lengths: Lengths,
    pub(super) random: Random,
    pub(super) actions: Vec<Action>,
    pub(super) counts: Counts,
    pub(super) last_attempt: u64,
    peers: Vec<Arc<str>>,
}

impl Router {
    /// Makes a router for the instance `me`.
    #[must_use]
    pub fn new(me: &str, seed: u64, settings: Settings) -> Self {
        Self {
            settings,
            me: Arc::from(me),
            pools: Vec::new(),
            calls: Calls::default(),
            lengths: Lengths::default(),
            random: Random::new(seed),
            actions: Vec::new(),
            counts: Counts::default(),
            last_attempt: 0,
            peers: vec![Arc::from(me)],
        }
    }

    pub(super) fn find_pool(&self, name: &str) -> Option<usize> {
        self.pools.binary_search_by(|p| (*p.name).cmp(name)).ok()
    }

    fn pool_or_insert(&mut self, name: &str) -> usize {
        match self.pools.binary_search_by(|p| (*p.name).cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let pool = Pool::new(name, &self.me, &self.settings);
                self.pools.insert(at, pool);
                // The ranks of those behind it have changed.
                self.pools[at..].iter_mut().for_each(|p| p.is_stale = true);
                at
            }
        }
    }

    /// Adds an upstream or changes its settings.
    pub fn set_upstream(&mut self, pool: &str, upstream: &str, slots: u32, data_centre: &str) {
        let at = self.pool_or_insert(pool);
        self.pools[at].table.upsert(upstream, slots, data_centre);
        self.pools[at].is_stale = true;
    }

    /// Keeps only the upstreams that `is_kept` holds for, given pool and upstream.
    pub fn retain_upstreams(&mut self, is_kept: impl Fn(&str, &str) -> bool) {
        for pool in &mut self.pools {
            let name = &pool.name;
            pool.table.retain(|upstream| is_kept(name, upstream));
            pool.is_stale = true;
        }
    }

    /// Marks an upstream as leaving or live; a leaving one gets no new work.
    pub fn set_leaving(&mut self, now: Millis, upstream: &str, leaving: bool) {
        for at in 0..self.pools.len() {
            self.pools[at].table.set_leaving(upstream, leaving);
            self.pools[at].is_stale = true;
            self.pump(now, at);
        }
    }

    /// Sets the live instances, with or without this one.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers = names.map(Arc::from).collect();
        self.peers.push(Arc::clone(&self.me));
        self.peers.sort();
        self.peers.dedup();
        for pool in &mut self.pools {
            pool.is_stale = true;
        }
    }

    /// Divides a pool into groups anew, if upstreams or instances have changed.
    pub(super) fn regroup(&mut self, at: usize) {
        if self.pools[at].is_stale {
            self.pools[at].regroup(&self.me, &self.peers, at, &self.settings);
        }
    }

    /// Whether an upstream is in the own group of some pool.
    #[must_use]
    pub fn is_own(&self, upstream: &str) -> bool {
        self.pools.iter().any(|p| p.table.is_own(upstream))
    }

    /// Takes the actions pushed since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> {
        std::mem::take(&mut self.actions).into_iter()
    }

    /// Totals since the start.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Requests that were admitted and not answered yet.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Queued requests of a pool.
    #[must_use]
    pub fn queued(&self, pool: &str) -> usize {
        self.find_pool(pool)
            .map_or(0, |at| self.pools[at].queue.len())
    }

    /// Ejected upstreams of all pools.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.pools.iter().map(|p| p.table.ejected()).sum()
    }

    /// Takes a request that came from a caller.
    pub fn arrive(&mut self, now: Millis, req: Request) {
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
        let Some(at) = self.find_pool(&req.pool) else {
            self.refuse(id, Refusal::new(Verdict::NotRun, Reason::NoUpstream));
            return;
        };
        if !self.pools[at].table.is_usable() {
            self.refuse(id, Refusal::new(Verdict::NotRun, Reason::NoUpstream));
            return;
        }
        let first_token_ms = self.pools[at].table.first_token_ms();
        self.pools[at].queue.set_first_token_ms(first_token_ms);
        let call = Call::new(req.clone());
        match self.pools[at].queue.push(now, req) {
            Admission::Queued { shed } => {
                self.calls.insert(call);
                if let Some(victim) = shed {
                    self.give_up(now, at, victim.id, Reason::Shed);
                }
                self.pump(now, at);
            }
            Admission::Refused(req) => self.refuse_arrival(now, at, &req),
        }
    }

    fn refuse_arrival(&mut self, now: Millis, at: usize, req: &Request) {
        self.counts.refused += 1;
        if req.protected && self.pools[at].queue.sheddable_below(req.tier) > 0 {
            self.counts.protected_violations += 1;
        }
        let refusal = Refusal {
            retry_after_ms: self.pools[at].retry_after_ms(now),
            ..Refusal::new(Verdict::NotRun, Reason::QueueFull)
        };
        self.refuse(req.id, refusal);
    }

    pub(super) fn refuse(&mut self, request: u64, refusal: Refusal) {
        self.actions.push(Action::Refuse { request, refusal });
    }

    /// Ends a request with a refusal and cancels what is left of it.
    pub(super) fn give_up(&mut self, now: Millis, at: usize, request: u64, reason: Reason) {
        let Some(call) = self.calls.remove(request) else {
            return;
        };
        match reason {
            Reason::Shed => self.counts.shed += 1,
            Reason::DeadlineBeforeSend => self.counts.expired += 1,
            _ => {}
        }
        let refusal = Refusal {
            retry_after_ms: self.pools[at].retry_after_ms(now),
            ..Refusal::new(call.verdict_now(), reason)
        };
        self.counts.wasted_tokens += u64::from(call.delivered);
        self.cancel_attempts(now, at, &call, None);
        self.refuse(request, refusal);
    }

    /// Cancels the attempts of a call but one.
    fn cancel_attempts(&mut self, now: Millis, at: usize, call: &Call, but: Option<u64>) {
        for attempt in call.attempts.iter().filter(|a| Some(a.id) != but) {
            self.pools[at].table.on_end(now, &attempt.upstream);
            self.calls.forget_attempt(attempt.id);
            self.actions.push(Action::Cancel {
                request: call.req.id,
                attempt: attempt.id,
                upstream: Arc::clone(&attempt.upstream),
            });
        }
    }

    /// The pool and call of an attempt in progress; none if the attempt was superseded.
    fn locate(&mut self, attempt: u64) -> Option<(usize, u64)> {
        let request = self.calls.request_of(attempt)?;
        let pool = Arc::clone(&self.calls.get_mut(request)?.req.pool);
        Some((self.find_pool(&pool)?, request))
    }

    /// Takes the news that an attempt has produced its first token, or its answer has begun.
    ///
    /// Returns whether the attempt's tokens go to the caller. Other attempts are cancelled.
    pub fn on_first_token(&mut self, now: Millis, attempt: u64) -> bool {
        let Some((at, request)) = self.locate(attempt) else {
            self.counts.late += 1;
            return false;
        };
        let Some(call) = self.calls.get_mut(request) else {
            return false;
        };
        if call.winner.is_some_and(|w| w != attempt) {
            return false;
        }
        call.winner = Some(attempt);
        let in_time = now <= call.req.due;
        let target_ms = call.req.due.since(call.req.arrived);
        let Some(a) = call.attempt_mut(attempt) else {
            return false;
        };
        a.progress = now;
        a.tokens = a.tokens.max(1);
        let sent = a.sent;
        let upstream = Arc::clone(&a.upstream);
        let losers = call.clone();
        call.attempts.retain(|a| a.id == attempt);
        self.cancel_attempts(now, at, &losers, Some(attempt));
        let ms = now.since(sent);
        let pool = &mut self.pools[at];
        if pool.table.is_foreign(&upstream) {
            pool.on_foreign_first_token(ms, target_ms);
        }
        pool.table.on_first_token(ms);
        pool.share.on_first_token(in_time);
        true
    }

    /// Takes the news that the caller has `delivered` tokens, of which `tokens` of this attempt.
    pub fn on_progress(&mut self, now: Millis, attempt: u64, tokens: u32, delivered: u32) {
        let Some((at, request)) = self.locate(attempt) else {
            self.counts.late += 1;
            return;
        };
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.delivered = call.delivered.max(delivered);
        let Some(a) = call.attempt_mut(attempt) else {
            return;
        };
        let new = tokens.saturating_sub(a.tokens);
        let step_ms = now.since(a.progress) as f64 / f64::from(new.max(1));
        let is_step = new > 0 && a.tokens > 0;
        a.tokens = a.tokens.max(tokens);
        a.progress = now;
        let upstream = Arc::clone(&a.upstream);
        if is_step && self.pools[at].table.on_step(now, &upstream, step_ms) {
            self.move_away(now, at, &upstream);
        }
    }

    /// Takes the end of an attempt; returns whether the attempt was in progress.
    ///
    /// If it was superseded although its caller has the whole answer, the embedding program ends
    /// the request with [`Self::close`].
    pub fn on_end(&mut self, now: Millis, attempt: u64, end: End) -> bool {
        let Some((at, request)) = self.locate(attempt) else {
            if let End::Answered { .. } = end {
                self.counts.late += 1;
            }
            return false;
        };
        self.calls.forget_attempt(attempt);
        match end {
            End::Answered { tokens } => self.on_answered(now, at, request, attempt, tokens),
            End::Busy => self.on_failed(now, at, request, attempt, Verdict::NotRun, 0, false),
            End::Rejected => {
                if let Some(call) = self.calls.get_mut(request) {
                    let taken = call.take(attempt);
                    if let Some(a) = taken {
                        self.pools[at].table.on_end(now, &a.upstream);
                    }
                }
                self.give_up(now, at, request, Reason::UpstreamRefused);
            }
            End::Failed { verdict, delivered } => {
                self.on_failed(now, at, request, attempt, verdict, delivered, true);
            }
        }
        self.pump(now, at);
        true
    }

    fn on_answered(&mut self, now: Millis, at: usize, request: u64, attempt: u64, tokens: u32) {
        let Some(mut call) = self.calls.remove(request) else {
            return;
        };
        if let Some(a) = call.take(attempt) {
            let pool = &mut self.pools[at];
            pool.table.on_success(&a.upstream);
            pool.table.on_cache(&a.upstream, call.req.prefix, true);
            pool.on_service(now.since(a.sent));
        }
        self.cancel_attempts(now, at, &call, None);
        self.lengths.record(&call.req.class, tokens);
        self.counts.answered += 1;
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one event")]
    fn on_failed(
        &mut self,
        now: Millis,
        at: usize,
        request: u64,
        attempt: u64,
        verdict: Verdict,
        delivered: u32,
        is_fault: bool,
    ) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let Some(a) = call.take(attempt) else { return };
        call.delivered = call.delivered.max(delivered);
        call.verdict = call.verdict.max(verdict);
        let next = call.after_failure(now, verdict, &self.settings.attempt);
        let is_late = now >= call.req.deadline;
        let pool = &mut self.pools[at];
        if is_fault {
            pool.table.on_failure(now, &a.upstream);
        } else {
            pool.table.on_end(now, &a.upstream);
        }
        match next {
            Next::Wait => {}
            Next::GiveUp if is_late => self.give_up(now, at, request, Reason::DeadlineAfterSend),
            Next::GiveUp => self.give_up(now, at, request, Reason::UpstreamFailed),
            Next::Repeat if self.settings.attempt.blind_retry || pool.budget.take() => {
                self.repeat(at, request);
            }
            Next::Repeat => self.give_up(now, at, request, Reason::RetriesSpent),
        }
    }

    /// Puts a request back into the queue for another attempt.
    pub(super) fn repeat(&mut self, at: usize, request: u64) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.queued = true;
        let req = call.req.clone();
        self.counts.retries += 1;
        self.pools[at].queue.requeue(req);
    }

    /// Takes the news that a caller has gone; what is left of its request is cancelled.
    pub fn on_caller_gone(&mut self, now: Millis, request: u64) {
        let delivered = self.calls.get_mut(request).map_or(0, |c| c.delivered);
        self.counts.wasted_tokens += u64::from(delivered);
        self.close(now, request);
    }

    /// Ends a request that has its final answer; what is left of it is cancelled.
    pub fn close(&mut self, now: Millis, request: u64) {
        let Some(call) = self.calls.remove(request) else {
            return;
        };
        let Some(at) = self.find_pool(&call.req.pool) else {
            return;
        };
        self.pools[at].queue.remove(request);
        self.cancel_attempts(now, at, &call, None);
        self.pump(now, at);
    }

    /// Counts tokens of an attempt that was superseded.
    pub const fn on_wasted(&mut self, tokens: u32) {
        self.counts.wasted_tokens += tokens as u64;
    }

    /// Takes a load report of an upstream, made at `at`.
    pub fn on_report(&mut self, now: Millis, at: Millis, upstream: &str, report: routing::Report) {
        for index in 0..self.pools.len() {
            self.pools[index].table.on_report(at, upstream, report);
            self.pump(now, index);
        }
    }

    /// Takes a cache event of an upstream.
    pub fn on_cache(&mut self, upstream: &str, prefix: u64, cached: bool) {
        for pool in &mut self.pools {
            pool.table.on_cache(upstream, prefix, cached);
        }
    }

    /// Takes a message of another instance about a pool.
    pub fn on_peer(&mut self, now: Millis, from: &str, pool: &str, message: share::Message) {
        if let Some(at) = self.find_pool(pool) {
            self.pools[at].share.on_message(now, from, message);
            self.pump(now, at);
        }
    }
}
