//! What instances do: they pass requests, tokens and ends of attempts to their routers, and carry out
//! the actions on which the routers decide.

use super::{
    DATAGRAM_OVERHEAD_BYTES,
    Event,
    MODEL_POOL,
    NETWORK_DELAY_US,
    PLAIN_POOL,
    PROGRESS_INTERVAL_TOKENS,
    PROGRESS_INTERVAL_US,
    SimulatedAttempt,
    Simulation,
    US_PER_MS, //
};
use std::sync::Arc;
use vanillakeel::{
    Millis,
    Request,
    Verdict,
    attempt::End,
    router::Action,
    share, //
};
use vanillakeel_wire::{
    Message as _,
    convert::share_to_wire,
    generated::PeerMessage, //
};

impl Simulation<'_> {
    /// Passes a caller's request to the router of its instance.
    pub(super) fn on_arrival(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let class = self.deployment.classes[request.outcome.class];
        let arrived_us = (request.outcome.arrived_ms * US_PER_MS as f64) as u64;
        request.due_us = arrived_us + class.target_ms * US_PER_MS;
        let arrived = Millis::new(arrived_us / US_PER_MS);
        let req = Request {
            id: index as u64 + 1,
            class: Arc::from(class.name),
            workspace: Arc::clone(&request.workspace),
            pool: Arc::from(if class.is_plain {
                PLAIN_POOL
            } else {
                MODEL_POOL
            }),
            tier: class.tier,
            protected: class.is_protected,
            idempotent: class.is_idempotent,
            weight: 1,
            arrived,
            due: arrived.plus(class.target_ms),
            deadline: arrived.plus(class.deadline_ms),
            prompt_tokens: class.prompt_tokens,
            max_tokens: class.max_tokens,
            prefix: request.prefix,
            resumable: !class.is_plain,
        };
        let (instance, now) = (request.instance, self.now());
        self.routers[instance].on_request(now, req);
        self.perform_actions(instance);
    }

    /// Carries out all actions that a router has decided on.
    pub(super) fn perform_actions(&mut self, instance: usize) {
        let actions: Vec<Action> = self.routers[instance].drain().collect();
        for action in actions {
            match action {
                Action::Send {
                    request,
                    attempt,
                    upstream,
                    resume_from,
                } => {
                    // As in the daemon, the thread that serves the request knows more exactly than
                    // the router how many tokens the caller has.
                    let delivered = self.requests[request as usize - 1].outcome.tokens;
                    let resumes_streams = self.variant.settings.attempt.resume;
                    let from = resume_from.max(if resumes_streams { delivered } else { 0 });
                    self.send(instance, request, attempt, &upstream, from);
                }
                Action::Cancel { attempt, .. } => {
                    let attempt_index = self
                        .attempts
                        .iter()
                        .rposition(|a| a.instance == instance && a.attempt_id == attempt);
                    if let Some(attempt_index) = attempt_index {
                        self.attempts[attempt_index].is_cancelled = true;
                        self.schedule_in(NETWORK_DELAY_US, Event::Cancellation { attempt_index });
                    }
                }
                Action::Refuse { request, refusal } => {
                    let now_ms = self.now_ms();
                    let outcome = &mut self.requests[request as usize - 1].outcome;
                    outcome.is_refused = true;
                    outcome.is_refused_as_not_run = refusal.verdict == Verdict::NotRun;
                    outcome.ended_ms = now_ms;
                }
                Action::Peer { to, pool, message } => self.send_peer(instance, &to, &pool, message),
            }
        }
    }

    /// Encodes a message to a peer to count its bytes, and delivers it unless peers are cut off.
    fn send_peer(&mut self, from: usize, to: &str, pool: &Arc<str>, message: share::Message) {
        let wire = PeerMessage {
            from: self.instance_names[from].clone(),
            version: 1,
            shares: vec![share_to_wire(pool, message)],
            ..PeerMessage::default()
        };
        self.control_bytes += (wire.encoded_len() + DATAGRAM_OVERHEAD_BYTES) as u64;
        let to = self.instance_names.iter().position(|n| n == to);
        if let Some(to) = to.filter(|_| !self.scenario.peers_are_cut) {
            let pool = Arc::clone(pool);
            self.schedule_in(
                NETWORK_DELAY_US,
                Event::PeerMessage {
                    to,
                    from,
                    pool,
                    message,
                },
            );
        }
    }

    /// Sends an attempt to an engine.
    fn send(
        &mut self,
        instance: usize,
        request: u64,
        attempt_id: u64,
        upstream: &str,
        resume_from: u32,
    ) {
        let engine = self.engines.iter().position(|e| *e.name == *upstream);
        let Some(engine) = engine else { return };
        self.attempts.push(SimulatedAttempt {
            instance,
            attempt_id,
            request: request as usize - 1,
            engine,
            resume_from,
            tokens: 0,
            last_progress_us: self.now_us,
            is_cancelled: false,
        });
        let attempt_index = self.attempts.len() - 1;
        self.schedule_in(
            NETWORK_DELAY_US,
            Event::EngineRequest {
                engine,
                attempt_index,
            },
        );
    }

    /// Handles a token that reaches an instance.
    ///
    /// The token is passed on to the caller if the router accepts the attempt as the one whose
    /// stream the caller receives.
    pub(super) fn on_token(&mut self, attempt_index: usize, index: u32, is_last: bool) {
        let attempt = &mut self.attempts[attempt_index];
        if attempt.is_cancelled {
            return;
        }
        attempt.tokens += 1;
        let (instance, attempt_id, tokens) = (attempt.instance, attempt.attempt_id, attempt.tokens);
        let is_count_due = tokens == 1 || tokens % PROGRESS_INTERVAL_TOKENS == 0;
        let is_time_due = self.now_us - attempt.last_progress_us >= PROGRESS_INTERVAL_US;
        if is_count_due || is_time_due {
            attempt.last_progress_us = self.now_us;
        }
        let request = attempt.request;
        let (now, now_ms) = (self.now(), self.now_ms());
        let router = &mut self.routers[instance];
        if tokens == 1 && !router.on_first_token(now, attempt_id) {
            return;
        }
        if tokens > 1 && (is_count_due || is_time_due) {
            router.on_progress(now, attempt_id, tokens, index + 1);
        }
        let outcome = &mut self.requests[request].outcome;
        if outcome.is_answered || outcome.is_refused {
            return;
        }
        outcome
            .first_token_ms
            .get_or_insert(now_ms + NETWORK_DELAY_US as f64 / US_PER_MS as f64);
        outcome.tokens = outcome.tokens.max(index + 1);
        outcome.ended_ms = now_ms;
        if is_last {
            outcome.is_answered = true;
            let end = End::Answered { tokens: index + 1 };
            if !self.routers[instance].on_end(now, attempt_id, end) {
                self.routers[instance].close(now, request as u64 + 1);
            }
        }
        self.perform_actions(instance);
    }

    /// Passes the end of an attempt without a whole answer to its router.
    pub(super) fn on_attempt_end(&mut self, attempt_index: usize, end: End) {
        let attempt = self.attempts[attempt_index];
        let now = self.now();
        self.routers[attempt.instance].on_end(now, attempt.attempt_id, end);
        self.perform_actions(attempt.instance);
    }
}
