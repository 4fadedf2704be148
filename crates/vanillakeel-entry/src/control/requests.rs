//! The life of a request on the control thread: arrival, claim, attempts and final answer.
//!
//! A request that has an idempotency key and must not run twice first claims the key on the log. Then
//! it goes to the router, which decides on its attempts; any other request goes there at once.

use super::{
    Control,
    OpenRequest,
    SentAttempt, //
};
use crate::{
    message::{
        Command,
        Progress, //
    },
    metrics::Metrics,
    platform::{
        Append,
        UpstreamCommand, //
    },
};
use crossbeam::channel::Sender;
use std::{
    net::SocketAddr,
    sync::Arc, //
};
use vanillakeel::{
    Millis, Reason, Refusal, Request, Verdict,
    attempt::End,
    claim::{
        self,
        Key,
        KeyState, //
    },
    router,
};
use vanillakeel_wire::RecordBody;

impl OpenRequest {
    /// Returns whether the request may have run, as far as this instance knows.
    pub(super) fn verdict(&self) -> Verdict {
        if self.was_sent {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

impl Control {
    /// Returns the index of a request, or the index at which it would be inserted.
    fn find_request(&self, id: u64) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&id, |r| r.id)
    }

    /// Begins a request: claims its key if it has one, else passes it to the router.
    pub(super) fn on_request(
        &mut self,
        now: Millis,
        req: Request,
        key: Option<Key>,
        commands: Sender<Command>,
    ) {
        let id = req.id;
        let deadline = req.deadline;
        let Err(index) = self.find_request(id) else {
            return;
        };
        let awaiting_claim = key.is_some().then(|| req.clone());
        self.requests.insert(
            index,
            OpenRequest {
                id,
                commands,
                deadline,
                awaiting_claim,
                claim: None,
                attempts: Vec::new(),
                was_sent: false,
            },
        );
        match key {
            Some(key) => self.claims.begin(now, id, key, deadline),
            None => self.router.on_request(now, req),
        }
    }

    /// Reports the progress of attempts to the router if it has changed since the last call.
    pub(super) fn report_progress(&mut self, now: Millis) {
        for sent in self.requests.iter_mut().flat_map(|r| &mut r.attempts) {
            let (tokens, delivered) = sent.progress.get();
            if tokens > sent.reported_tokens {
                sent.reported_tokens = tokens;
                self.router.on_progress(now, sent.id, tokens, delivered);
            }
        }
    }

    pub(super) fn on_attempt_end(&mut self, now: Millis, attempt: u64, end: End) {
        let was_running = self.router.on_end(now, attempt, end);
        let index = self
            .requests
            .iter()
            .position(|r| r.attempts.iter().any(|a| a.id == attempt));
        let Some(index) = index else { return };
        match end {
            End::Answered { .. } => {
                let request = self.requests.remove(index);
                // The router no longer knows the attempt, but the caller has the whole answer.
                if !was_running {
                    self.router.close(now, request.id);
                }
                if let Some(claim) = request.claim {
                    self.claims.record_outcome(now, claim);
                }
            }
            // The thread of the request has already forwarded the upstream's refusal.
            End::Rejected => {
                let request = self.requests.remove(index);
                self.end_claim(now, &request, Verdict::NotRun);
            }
            // The request stays open; the router decides whether it is retried or refused.
            End::Busy | End::Failed { .. } => {}
        }
    }

    pub(super) fn on_caller_gone(&mut self, now: Millis, id: u64) {
        self.claims.on_caller_gone(now, id);
        self.router.on_caller_gone(now, id);
        if let Ok(index) = self.find_request(id) {
            let request = self.requests.remove(index);
            let verdict = request.verdict();
            self.end_claim(now, &request, verdict);
        }
    }

    /// Ends the claim of a request that has no answer, depending on whether it has run.
    fn end_claim(&mut self, now: Millis, request: &OpenRequest, verdict: Verdict) {
        match (request.claim, verdict) {
            (None, _) => {}
            (Some(claim), Verdict::NotRun) => self.claims.release(now, claim),
            (Some(claim), Verdict::Ran) => self.claims.record_outcome(now, claim),
            (Some(claim), Verdict::MayHaveRun) => self.claims.abandon(claim),
        }
    }

    /// Ends a request with a refusal.
    fn refuse(&mut self, now: Millis, id: u64, refusal: Refusal) {
        if let Ok(index) = self.find_request(id) {
            let request = self.requests.remove(index);
            self.end_claim(now, &request, refusal.verdict);
            let _ = request.commands.try_send(Command::Refuse(refusal));
        }
    }

    pub(super) fn perform_claim_actions(&mut self, now: Millis) {
        let actions: Vec<claim::Action> = self.claims.drain().collect();
        for action in actions {
            match action {
                claim::Action::Append(batch) => self.append_claims(batch),
                claim::Action::Won { request, claim } => self.on_claim_won(now, request, claim),
                claim::Action::Lost { request, state } => {
                    self.on_claim_lost(now, request, state);
                }
                claim::Action::GaveUp { request } => {
                    Metrics::count(&self.metrics().claims, "gave_up", 1);
                    let refusal = Refusal::new(Verdict::NotRun, Reason::ClaimUnavailable);
                    self.refuse(now, request, refusal);
                }
            }
        }
    }

    fn append_claims(&self, batch: claim::Batch) {
        Metrics::count(&self.metrics().appends, "claims", 1);
        let entries = batch.entries.len() as u64;
        Metrics::count(&self.metrics().appends, "claim_entries", entries);
        // At most one batch of claims is in flight, so the channel has room.
        let _ = self
            .out
            .claim_appends
            .try_send(Append(RecordBody::Claims(batch)));
    }

    fn on_claim_won(&mut self, now: Millis, id: u64, claim: u64) {
        Metrics::count(&self.metrics().claims, "won", 1);
        let Ok(index) = self.find_request(id) else {
            self.claims.release(now, claim);
            return;
        };
        self.requests[index].claim = Some(claim);
        if let Some(req) = self.requests[index].awaiting_claim.take() {
            self.router.on_request(now, req);
        }
    }

    fn on_claim_lost(&mut self, now: Millis, id: u64, state: KeyState) {
        Metrics::count(&self.metrics().claims, "lost", 1);
        let verdict = match state {
            KeyState::Ran => Verdict::Ran,
            KeyState::Claimed | KeyState::Released => Verdict::MayHaveRun,
        };
        self.refuse(now, id, Refusal::new(verdict, Reason::KeyClaimed));
    }

    pub(super) fn perform_router_actions(&mut self, now: Millis) {
        let actions: Vec<router::Action> = self.router.drain().collect();
        for action in actions {
            match action {
                router::Action::Send {
                    request,
                    attempt,
                    upstream,
                    ..
                } => self.send(now, request, attempt, &upstream),
                router::Action::Cancel {
                    request,
                    attempt,
                    upstream,
                } => self.cancel(request, attempt, &upstream),
                router::Action::Refuse { request, refusal } => self.refuse(now, request, refusal),
                router::Action::Peer { to, pool, message } => self.send_share(&to, &pool, message),
            }
        }
    }

    /// Returns the address of an upstream that is in the configuration.
    fn address_of(&self, upstream: &str) -> Option<SocketAddr> {
        let index = self
            .upstreams
            .binary_search_by(|u| (*u.name).cmp(upstream))
            .ok()?;
        Some(self.upstreams[index].address)
    }

    fn send(&mut self, now: Millis, id: u64, attempt: u64, upstream: &Arc<str>) {
        let Some(address) = self.address_of(upstream) else {
            let end = End::Failed {
                verdict: Verdict::NotRun,
                delivered: 0,
            };
            self.router.on_end(now, attempt, end);
            return;
        };
        let Ok(index) = self.find_request(id) else {
            self.router.on_caller_gone(now, id);
            return;
        };
        let request = &mut self.requests[index];
        if now >= request.deadline {
            let verdict = request.verdict();
            self.router.on_caller_gone(now, id);
            self.refuse(now, id, Refusal::new(verdict, Reason::DeadlineBeforeSend));
            return;
        }
        let progress = Arc::new(Progress::default());
        request.attempts.push(SentAttempt {
            id: attempt,
            upstream: Arc::clone(upstream),
            sent: now,
            progress: Arc::clone(&progress),
            reported_tokens: 0,
        });
        request.was_sent = true;
        let command = Command::Send {
            attempt,
            upstream: Arc::clone(upstream),
            address,
            progress,
        };
        if request.commands.try_send(command).is_err() {
            self.on_caller_gone(now, id);
        }
    }

    fn cancel(&self, id: u64, attempt: u64, upstream: &str) {
        if let Ok(index) = self.find_request(id) {
            let _ = self.requests[index]
                .commands
                .try_send(Command::Cancel { attempt });
        }
        if let Some(address) = self.address_of(upstream) {
            let attempt = format!("{}/{attempt}", self.shared.run_id);
            let command = UpstreamCommand::CancelAttempt { address, attempt };
            let _ = self.out.upstream_commands.try_send(command);
        }
    }
}
