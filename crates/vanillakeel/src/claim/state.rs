//! The claims of one instance: when to append them to the log, and which requests may be sent.

use super::{
    Batch,
    Entry,
    Key,
    KeyState,
    LogState,
    Op, //
};
use crate::Millis;
use std::sync::Arc;

/// Settings of [`Claims`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Largest age of a valid key, in ms; shorter than the retention of the log.
    pub window_ms: u64,
    /// How long entries are collected into a batch before an append, in ms.
    pub gather_ms: u64,
    /// Wait before an append with an unknown result is repeated, in ms.
    pub repeat_ms: u64,
    /// Largest number of entries in a batch.
    pub max_entries: usize,
    /// Whether a request waits for its claim.
    ///
    /// Turned off only to show that the fault checks detect a request that runs twice.
    pub claim_before_send: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window_ms: 15 * 60 * 1_000,
            gather_ms: 5,
            repeat_ms: 200,
            max_entries: 512,
            claim_before_send: true,
        }
    }
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    /// The record is on the log.
    Written,
    /// The record may be on the log.
    Unknown,
}

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the log.
    Append(Batch),
    /// The request holds its key and may be sent before its deadline.
    Won {
        /// The request.
        request: u64,
        /// The claim, for [`Claims::release`] or [`Claims::record_outcome`].
        claim: u64,
    },
    /// Another request holds the key or has run with it.
    Lost {
        /// The request.
        request: u64,
        /// The state of the key.
        state: KeyState,
    },
    /// The deadline passed without a claim; the request has not run and will not.
    GaveUp {
        /// The request.
        request: u64,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    request: u64,
    key: Key,
    claim: u64,
    deadline: Millis,
}

#[derive(Clone, Debug)]
struct InFlight {
    batch: Batch,
    sent_at: Millis,
    is_unknown: bool,
}

/// The claims of one instance.
#[derive(Clone, Debug)]
pub struct Claims {
    settings: Settings,
    me: Arc<str>,
    log_state: LogState,
    is_caught_up: bool,
    waiting: Vec<Waiting>,
    /// Claims that were won and have not ended, sorted by number.
    held: Vec<(u64, Key)>,
    /// Entries that are not yet part of a batch.
    pending: Vec<Entry>,
    gathering_since: Option<Millis>,
    in_flight: Option<InFlight>,
    last_batch: u64,
    last_claim: u64,
    actions: Vec<Action>,
}

impl Claims {
    /// Creates the claims of the writer `me`, whose name must differ after each restart.
    #[must_use]
    pub fn new(me: &str, settings: Settings) -> Self {
        Self {
            settings,
            me: Arc::from(me),
            log_state: LogState::default(),
            is_caught_up: false,
            waiting: Vec::new(),
            held: Vec::new(),
            pending: Vec::new(),
            gathering_since: None,
            in_flight: None,
            last_batch: 0,
            last_claim: 0,
            actions: Vec::new(),
        }
    }

    /// Takes the actions queued since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> {
        std::mem::take(&mut self.actions).into_iter()
    }

    /// Returns the state that results from the records read so far.
    #[must_use]
    pub const fn log_state(&self) -> &LogState {
        &self.log_state
    }

    /// Returns the number of requests that wait for their claim.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the log has been read to its end at least once.
    #[must_use]
    pub const fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Begins a claim of `key` for a request.
    ///
    /// It ends with [`Action::Won`], [`Action::Lost`] or, after the deadline, [`Action::GaveUp`].
    pub fn begin(&mut self, now: Millis, request: u64, key: Key, deadline: Millis) {
        self.last_claim += 1;
        let claim = self.last_claim;
        if !self.settings.claim_before_send {
            self.held.push((claim, key));
            self.actions.push(Action::Won { request, claim });
            return;
        }
        if let Some(state) = self.blocking_state(&key) {
            self.actions.push(Action::Lost { request, state });
            return;
        }
        self.enqueue(now, &key, claim, Op::Claim);
        self.waiting.push(Waiting {
            request,
            key,
            claim,
            deadline,
        });
    }

    /// Returns the state of a key if a claim of it can't win at present.
    fn blocking_state(&self, key: &Key) -> Option<KeyState> {
        self.log_state
            .holder(key)
            .map(|h| h.state)
            .filter(|s| *s != KeyState::Released)
    }

    fn enqueue(&mut self, now: Millis, key: &Key, claim: u64, op: Op) {
        self.pending.push(Entry {
            key: key.clone(),
            claim,
            op,
        });
        self.gathering_since.get_or_insert(now);
    }

    /// Releases a claim whose request has not run and never will.
    pub fn release(&mut self, now: Millis, claim: u64) {
        self.end_held(now, claim, Op::Release);
    }

    /// Records that the request of a claim has run.
    pub fn record_outcome(&mut self, now: Millis, claim: u64) {
        self.end_held(now, claim, Op::Outcome);
    }

    fn end_held(&mut self, now: Millis, claim: u64, op: Op) {
        if let Ok(at) = self.held.binary_search_by_key(&claim, |h| h.0) {
            let (_, key) = self.held.remove(at);
            self.enqueue(now, &key, claim, op);
        }
    }

    /// Stops tracking a claim whose request may have run; the key stays claimed on the log.
    pub fn abandon(&mut self, claim: u64) {
        if let Ok(at) = self.held.binary_search_by_key(&claim, |h| h.0) {
            self.held.remove(at);
        }
    }

    /// Drops a waiting request whose caller has disconnected, and releases its claim.
    pub fn on_caller_gone(&mut self, now: Millis, request: u64) {
        if let Some(at) = self.waiting.iter().position(|w| w.request == request) {
            let w = self.waiting.remove(at);
            self.withdraw(now, &w);
        }
    }

    /// Cancels a claim that is not yet known to be on the log.
    ///
    /// Removes the claim if it still waits for an append, and otherwise enqueues a release.
    fn withdraw(&mut self, now: Millis, w: &Waiting) {
        let unsent = self.pending.iter().position(|e| e.claim == w.claim);
        match unsent {
            Some(at) => {
                self.pending.remove(at);
            }
            None => self.enqueue(now, &w.key, w.claim, Op::Release),
        }
    }

    /// Does the periodic work: expires deadlines, repeats an append with an unknown result, and
    /// appends the next batch.
    pub fn tick(&mut self, now: Millis) {
        while let Some(at) = self.waiting.iter().position(|w| w.deadline <= now) {
            let w = self.waiting.remove(at);
            self.withdraw(now, &w);
            self.actions.push(Action::GaveUp { request: w.request });
        }
        self.repeat_append(now);
        self.append(now);
    }

    fn repeat_append(&mut self, now: Millis) {
        let repeat_ms = self.settings.repeat_ms;
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if in_flight.is_unknown && now.since(in_flight.sent_at) >= repeat_ms {
            in_flight.sent_at = now;
            in_flight.is_unknown = false;
            self.actions.push(Action::Append(in_flight.batch.clone()));
        }
    }

    fn append(&mut self, now: Millis) {
        let Some(since) = self.gathering_since else {
            return;
        };
        let is_due = now.since(since) >= self.settings.gather_ms
            || self.pending.len() >= self.settings.max_entries;
        if self.in_flight.is_some() || self.pending.is_empty() || !is_due {
            return;
        }
        let count = self.pending.len().min(self.settings.max_entries);
        self.last_batch += 1;
        let batch = Batch {
            writer: Arc::clone(&self.me),
            number: self.last_batch,
            entries: self.pending.drain(..count).collect(),
        };
        self.gathering_since = (!self.pending.is_empty()).then_some(now);
        self.actions.push(Action::Append(batch.clone()));
        self.in_flight = Some(InFlight {
            batch,
            sent_at: now,
            is_unknown: false,
        });
    }

    /// Handles the result of the append of batch `number`.
    pub fn on_appended(&mut self, number: u64, result: Appended) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if in_flight.batch.number != number {
            return;
        }
        match result {
            Appended::Written => self.in_flight = None,
            Appended::Unknown => in_flight.is_unknown = true,
        }
    }

    /// Applies records of the log in order, each with its offset.
    ///
    /// `next` is the offset after the last record read, of any kind; `is_end` says that the log
    /// holds no more records.
    pub fn on_records(&mut self, now: Millis, records: &[(u64, Batch)], next: u64, is_end: bool) {
        for (offset, batch) in records {
            let is_new = self.log_state.apply(*offset, batch);
            if batch.writer != self.me {
                continue;
            }
            self.confirm(batch.number);
            if is_new {
                self.settle(now, batch);
            }
        }
        self.log_state.skip_to(next);
        self.is_caught_up |= is_end;
    }

    /// Marks a batch as written once it is read back from the log, whatever its append returned.
    fn confirm(&mut self, number: u64) {
        let in_flight = self.in_flight.as_ref().map(|s| s.batch.number);
        if in_flight == Some(number) {
            self.in_flight = None;
        }
    }

    /// Ends the wait of the requests whose claims are in a batch of this writer that was read back.
    fn settle(&mut self, now: Millis, batch: &Batch) {
        for entry in batch.entries.iter().filter(|e| e.op == Op::Claim) {
            let at = self.waiting.iter().position(|w| w.claim == entry.claim);
            let Some(at) = at else { continue };
            let w = self.waiting.remove(at);
            let holder = self.log_state.holder(&w.key).cloned();
            let is_mine = holder
                .as_ref()
                .is_some_and(|h| h.writer == self.me && h.claim == w.claim);
            if !is_mine {
                let state = holder.map_or(KeyState::Claimed, |h| h.state);
                self.actions.push(Action::Lost {
                    request: w.request,
                    state,
                });
            } else if w.deadline <= now {
                self.enqueue(now, &w.key, w.claim, Op::Release);
                self.actions.push(Action::GaveUp { request: w.request });
            } else {
                self.hold(w.claim, w.key);
                self.actions.push(Action::Won {
                    request: w.request,
                    claim: w.claim,
                });
            }
        }
    }

    fn hold(&mut self, claim: u64, key: Key) {
        let at = self.held.partition_point(|h| h.0 < claim);
        self.held.insert(at, (claim, key));
    }

    /// Forgets keys older than two windows at wall-clock time `wall_ms`, and writers whose last
    /// record lies before `first_retained`, the oldest offset of the log.
    pub fn forget(&mut self, wall_ms: u64, first_retained: u64) {
        let retention_ms = self.settings.window_ms.saturating_mul(2);
        self.log_state
            .forget(wall_ms.saturating_sub(retention_ms), first_retained);
    }
}
