//! Requests: arrival, claim, attempts and final answer.

use super::{
    Control,
    OpenRequest,
    Sent, //
};
use crate::{
    message::{
        Command,
        Progress, //
    },
    metrics::Metrics,
    platform::{
        Append,
        Order, //
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
use vanillakeel_wire::Body;

impl OpenRequest {
    /// Whether the request may have run, seen from now.
    pub(super) fn verdict(&self) -> Verdict {
        if self.is_sent {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

impl Control {
    fn find_request(&self, id: u64) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&id, |r| r.id)
    }

    pub(super) fn arrive(
        &mut self,
        now: Millis,
        req: Request,
        key: Option<Key>,
        to: Sender<Command>,
    ) {
        let id = req.id;
        let deadline = req.deadline;
        let Err(at) = self.find_request(id) else {
            return;
        };
        let claiming = key.is_some().then(|| req.clone());
        self.requests.insert(
            at,
            OpenRequest {
                id,
                to,
                deadline,
                claiming,
                claim: None,
                attempts: Vec::new(),
                is_sent: false,
            },
        );
        match key {
            Some(key) => self.claims.begin(now, id, key, deadline),
            None => self.router.on_request(now, req),
        }
    }

    /// Tells the router how far attempts are that have gone on since the last time.
    pub(super) fn tell_progress(&mut self, now: Millis) {
        for sent in self.requests.iter_mut().flat_map(|r| &mut r.attempts) {
            let (tokens, delivered) = sent.progress.get();
            if tokens > sent.told {
                sent.told = tokens;
                self.router.on_progress(now, sent.id, tokens, delivered);
            }
        }
    }

    pub(super) fn on_end(&mut self, now: Millis, attempt: u64, end: End) {
        let was_running = self.router.on_end(now, attempt, end);
        let at = self
            .requests
            .iter()
            .position(|r| r.attempts.iter().any(|a| a.id == attempt));
        let Some(at) = at else { return };
        match end {
            End::Answered { .. } => {
                let request = self.requests.remove(at);
                if !was_running {
                    self.router.close(now, request.id);
                }
                if let Some(claim) = request.claim {
                    self.claims.record_outcome(now, claim);
                }
            }
            // Its thread has passed the upstream's refusal on already.
            End::Rejected => {
                let request = self.requests.remove(at);
                self.end_claim(now, &request, Verdict::NotRun);
            }
            End::Busy | End::Failed { .. } => {}
        }
    }

    pub(super) fn on_caller_gone(&mut self, now: Millis, id: u64) {
        self.claims.on_caller_gone(now, id);
        self.router.on_caller_gone(now, id);
        if let Ok(at) = self.find_request(id) {
            let request = self.requests.remove(at);
            let verdict = request.verdict();
            self.end_claim(now, &request, verdict);
        }
    }

    /// Ends the claim of a request that was not answered.
    fn end_claim(&mut self, now: Millis, request: &OpenRequest, verdict: Verdict) {
        match (request.claim, verdict) {
            (None, _) => {}
            (Some(claim), Verdict::NotRun) => self.claims.release(now, claim),
            (Some(claim), Verdict::Ran) => self.claims.record_outcome(now, claim),
            (Some(claim), Verdict::MayHaveRun) => self.claims.abandon(claim),
        }
    }

    /// Gives a request its refusal.
    fn refuse(&mut self, now: Millis, id: u64, refusal: Refusal) {
        if let Ok(at) = self.find_request(id) {
            let request = self.requests.remove(at);
            self.end_claim(now, &request, refusal.verdict);
            let _ = request.to.try_send(Command::Refuse(refusal));
        }
    }

    pub(super) fn carry_out_claims(&mut self, now: Millis) {
        let actions: Vec<claim::Action> = self.claims.drain().collect();
        for action in actions {
            match action {
                claim::Action::Append(batch) => self.append_claims(batch),
                claim::Action::Won { request, claim } => self.on_won(now, request, claim),
                claim::Action::Lost { request, state } => {
                    self.on_lost(now, request, state);
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
        // There is one claim append at a time, so the channel has room.
        let _ = self.out.claim_appends.try_send(Append(Body::Claims(batch)));
    }

    fn on_won(&mut self, now: Millis, id: u64, claim: u64) {
        Metrics::count(&self.metrics().claims, "won", 1);
        let Ok(at) = self.find_request(id) else {
            self.claims.release(now, claim);
            return;
        };
        self.requests[at].claim = Some(claim);
        if let Some(req) = self.requests[at].claiming.take() {
            self.router.on_request(now, req);
        }
    }

    fn on_lost(&mut self, now: Millis, id: u64, state: KeyState) {
        Metrics::count(&self.metrics().claims, "lost", 1);
        let verdict = match state {
            KeyState::Ran => Verdict::Ran,
            KeyState::Claimed | KeyState::Released => Verdict::MayHaveRun,
        };
        self.refuse(now, id, Refusal::new(verdict, Reason::KeyClaimed));
    }

    pub(super) fn carry_out_traffic(&mut self, now: Millis) {
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
                router::Action::Peer { to, pool, message } => self.tell_share(&to, &pool, message),
            }
        }
    }

    fn address_of(&self, upstream: &str) -> Option<SocketAddr> {
        let at = self
            .upstreams
            .binary_search_by(|u| (*u.name).cmp(upstream))
            .ok()?;
        Some(self.upstreams[at].address)
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
        let Ok(at) = self.find_request(id) else {
            self.router.on_caller_gone(now, id);
            return;
        };
        let request = &mut self.requests[at];
        if now >= request.deadline {
            let verdict = request.verdict();
            self.router.on_caller_gone(now, id);
            self.refuse(now, id, Refusal::new(verdict, Reason::DeadlineBeforeSend));
            return;
        }
        let progress = Arc::new(Progress::default());
        request.attempts.push(Sent {
            id: attempt,
            progress: Arc::clone(&progress),
            told: 0,
        });
        request.is_sent = true;
        let command = Command::Send {
            attempt,
            upstream: Arc::clone(upstream),
            address,
            progress,
        };
        if request.to.try_send(command).is_err() {
            self.on_caller_gone(now, id);
        }
    }

    fn cancel(&self, id: u64, attempt: u64, upstream: &str) {
        if let Ok(at) = self.find_request(id) {
            let _ = self.requests[at].to.try_send(Command::Cancel { attempt });
        }
        if let Some(address) = self.address_of(upstream) {
            let attempt = format!("{}/{attempt}", self.shared.boot);
            let order = Order::Cancel { address, attempt };
            let _ = self.out.orders.try_send(order);
        }
    }
}
