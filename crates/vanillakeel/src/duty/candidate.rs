//! The lease as one instance sees it.

use super::{
    Change,
    Loss,
    News,
    Outcome,
    Purpose,
    Record,
    Settings,
    Step,
    View,
    Write,
    token_of, //
};
use crate::{
    Millis,
    order::Random, //
};
use std::sync::Arc;

/// Largest number of writes without an answer that are remembered.
const MAX_UNANSWERED: usize = 8;

/// Part of the lease, as a divisor, for which a holder pauses at most after a failed call to the log.
const HOLDER_RETRY_DIVISOR: u64 = 8;

/// The end of the topic as far as it is known.
#[derive(Clone, Copy, Debug)]
struct End {
    era: u64,
    offset: u64,
    /// When it was first known.
    seen_at: Millis,
    /// When the lease may be taken, if it was given up.
    free_at: Option<Millis>,
    /// Whether this process wrote the newest record and did not give the lease up with it.
    is_own: bool,
}

/// The time for which this instance holds the lease.
#[derive(Clone, Copy, Debug)]
struct Term {
    token: u64,
    /// When the acquisition was answered.
    since: Millis,
    /// When the last successful write was sent.
    renewed_at: Millis,
    /// Whether the records of the topic have to be read before the next call.
    is_suspended: bool,
    /// Whether a write that gives the lease up was sent, which may be carried out at any time.
    is_given_up: bool,
}

/// A write that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    id: u64,
    purpose: Purpose,
    era: u64,
    at: u64,
    token: u64,
    sent_at: Millis,
}

/// One instance that may hold the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    settings: Settings,
    me: Arc<str>,
    writer: u64,
    random: Random,
    end: Option<End>,
    term: Option<Term>,
    /// Whether a call to the log is under way.
    is_busy: bool,
    pending: Option<Sent>,
    /// Writes without an answer that may still be carried out, or have been.
    unanswered: Vec<Sent>,
    needs_read: bool,
    wants_write: bool,
    wants_token: bool,
    is_releasing: bool,
    last_id: u64,
    failures: u32,
    retry_at: Millis,
    changes: Vec<Change>,
}

impl Candidate {
    /// Creates the view of the instance `me`; `writer` is a random number that identifies its process.
    #[must_use]
    pub fn new(me: &str, writer: u64, settings: Settings) -> Self {
        Self {
            settings,
            me: Arc::from(me),
            writer,
            random: Random::new(writer),
            end: None,
            term: None,
            is_busy: false,
            pending: None,
            unanswered: Vec::new(),
            needs_read: false,
            wants_write: false,
            wants_token: false,
            is_releasing: false,
            last_id: 0,
            failures: 0,
            retry_at: Millis::ZERO,
            changes: Vec::new(),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes the changes since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Change> {
        std::mem::take(&mut self.changes).into_iter()
    }

    /// Returns the fencing token if a call that begins at `now` ends while this instance holds the lease.
    ///
    /// Ask right before each call. The holder has read the newest records of the topic.
    #[must_use]
    pub fn token(&self, now: Millis) -> Option<u64> {
        let term = self.term.filter(|t| !t.is_suspended && !t.is_given_up)?;
        let ends_at = now.plus(self.settings.call_ms);
        let is_in_time = ends_at <= term.renewed_at.plus(self.settings.lease_ms);
        (is_in_time || !self.settings.expires).then_some(term.token)
    }

    /// Returns whether this instance holds the lease, also if it may make no call at the moment.
    #[must_use]
    pub fn is_holding(&self, now: Millis) -> bool {
        let holds = |t: &Term| now < t.renewed_at.plus(self.settings.lease_ms);
        self.term.as_ref().is_some_and(holds)
    }

    /// Returns whether this instance holds the lease and knows all records of the topic, so that it may add
    /// others to a write.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.term.is_some_and(|t| !t.is_suspended)
    }

    /// Returns the latest known era of the log, or 0 if none is known.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.end.map_or(0, |end| end.era)
    }

    /// Returns when the last successful write of the holder was sent.
    #[must_use]
    pub fn renewed_at(&self) -> Option<Millis> {
        self.term.map(|t| t.renewed_at)
    }

    /// Returns what to tell other instances.
    #[must_use]
    pub fn news(&self, now: Millis) -> Option<News> {
        self.end.map(|end| News {
            era: end.era,
            end_offset: end.offset,
            free_after_ms: end.free_at.map(|at| at.since(now)),
        })
    }

    /// Applies what another instance has told.
    ///
    /// News are ignored while the lease is held: the end of the topic may be one that an own write has
    /// just moved, and a write of another instance makes the next own one fail.
    pub fn on_heard(&mut self, now: Millis, news: &News) {
        self.on_era(now, news.era);
        if self.term.is_none() {
            self.learn(now, news.era, news.end_offset, news.free_after_ms);
        }
    }

    /// Records the era that an answer of the log has shown.
    ///
    /// If it has risen, all that was known of the topic is void.
    pub fn on_era(&mut self, now: Millis, era: u64) {
        if self.end.is_some_and(|end| end.era < era) {
            self.lose(Loss::EraRisen);
            self.end = None;
            self.unanswered.clear();
            self.retry_at = self.retry_at.min(now);
        }
    }

    /// Asks for a write soon, so that further records can go with it.
    pub const fn request_write(&mut self) {
        self.wants_write = true;
    }

    /// Asks for a higher fencing token, which fences off calls without an answer.
    pub const fn request_token(&mut self) {
        self.wants_token = true;
    }

    /// Gives the lease up, or takes back that wish; the instance takes no lease while it has it.
    pub const fn set_releasing(&mut self, is_releasing: bool) {
        self.is_releasing = is_releasing;
    }

    /// Records that the platform has seen a higher fencing token.
    ///
    /// The lease is acquired again at the earliest when it has passed.
    pub fn on_fenced(&mut self, now: Millis) {
        self.lose(Loss::Fenced);
        self.needs_read = true;
        self.retry_at = now.plus(self.settings.lease_ms);
    }

    /// Returns the call to the log that is due, if any; its outcome has to be recorded before the next one.
    ///
    /// `is_candidate` says whether this instance may take the lease.
    pub fn step(&mut self, now: Millis, is_candidate: bool) -> Option<Step> {
        self.expire(now);
        let may_write = self.term.is_some() || (is_candidate && !self.is_releasing);
        if self.is_busy || now < self.retry_at || !may_write {
            return None;
        }
        let Some(end) = self.end.filter(|_| !self.needs_read) else {
            self.is_busy = true;
            return Some(Step::Read);
        };
        let purpose = self.purpose(now, &end)?;
        self.is_busy = true;
        Some(Step::Write(self.write(now, &end, purpose)))
    }

    fn purpose(&self, now: Millis, end: &End) -> Option<Purpose> {
        let Some(term) = &self.term else {
            return self.may_take(now, end).then_some(Purpose::Acquire);
        };
        if self.is_releasing || term.is_given_up {
            return Some(Purpose::Release);
        }
        if self.wants_token {
            return Some(Purpose::Acquire);
        }
        let is_due = now.since(term.renewed_at) >= self.settings.renewal_ms();
        (is_due || self.wants_write).then_some(Purpose::Renew)
    }

    /// Returns whether no other instance can hold the lease.
    ///
    /// The first record of a new log may be written at once. So may one after a record of this process, since only
    /// its own lease could still last.
    fn may_take(&self, now: Millis, end: &End) -> bool {
        let is_new_log = end.era == 0 && end.offset == 0;
        let is_free = end.free_at.is_some_and(|at| now >= at);
        let has_passed = now.since(end.seen_at) >= self.settings.takeover_ms();
        is_new_log || end.is_own || is_free || has_passed
    }

    /// Creates a write, which counts from now.
    fn write(&mut self, now: Millis, end: &End, purpose: Purpose) -> Write {
        let new_token = token_of(end.era, end.offset);
        let token = match self.term {
            Some(term) if purpose != Purpose::Acquire => term.token,
            _ => new_token,
        };
        let free_after_ms = (purpose == Purpose::Release).then(|| self.free_after_ms(now));
        if let Some(term) = &mut self.term {
            term.is_given_up |= purpose == Purpose::Release;
        }
        self.last_id += 1;
        self.pending = Some(Sent {
            id: self.last_id,
            purpose,
            era: end.era,
            at: end.offset,
            token,
            sent_at: now,
        });
        Write {
            at: end.offset,
            purpose,
            record: Record {
                holder: Arc::clone(&self.me),
                writer: self.writer,
                write_id: self.last_id,
                era: end.era,
                token,
                free_after_ms,
            },
        }
    }

    /// Returns the time for which nobody may take the lease after it was given up, in ms.
    ///
    /// The holder before this one could otherwise hold the lease again before it has passed once. Instances count the
    /// time by clocks of their own.
    fn free_after_ms(&self, now: Millis) -> u64 {
        if !self.settings.keeps_released {
            return 0;
        }
        let held_ms = self.term.map_or(0, |t| now.since(t.since));
        self.settings.takeover_ms().saturating_sub(held_ms)
    }

    /// Applies a read, or `None` if it failed.
    pub fn on_read(&mut self, now: Millis, view: Option<&View>) {
        self.is_busy = false;
        let known_era = self.end.map_or(0, |end| end.era);
        let Some(view) = view.filter(|v| v.era >= known_era) else {
            self.fail(now);
            return;
        };
        self.on_era(now, view.era);
        self.succeed();
        self.needs_read = false;
        // A record of an earlier era may have been written by an instance that did not know of the present one.
        let own = |r: &&Record| r.writer == self.writer && r.era == view.era;
        let own = view.record.as_ref().filter(own);
        let own = own.filter(|r| r.free_after_ms.is_none()).cloned();
        let free_after_ms = view.record.as_ref().and_then(|r| r.free_after_ms);
        match &own {
            Some(record) => self.on_own_record(now, record),
            None => self.lose(Loss::Taken),
        }
        let remains = |sent: &Sent| sent.era == view.era && sent.at >= view.end_offset;
        self.unanswered.retain(remains);
        self.learn(now, view.era, view.end_offset, free_after_ms);
        if let Some(end) = self.end.as_mut().filter(|e| e.offset == view.end_offset) {
            end.is_own = own.is_some();
        }
    }

    /// Applies that the newest record is one of this process.
    fn on_own_record(&mut self, now: Millis, record: &Record) {
        let id = record.write_id;
        let sent = self.unanswered.iter().find(|s| s.id == id).copied();
        let lasts = sent.is_some_and(|s| now < s.sent_at.plus(self.settings.lease_ms));
        match (&mut self.term, sent) {
            (Some(term), sent) if term.token == record.token => {
                term.is_suspended = false;
                let sent_at = sent.map_or(term.renewed_at, |s| s.sent_at);
                term.renewed_at = term.renewed_at.max(sent_at);
            }
            (_, Some(sent)) if lasts && sent.purpose == Purpose::Acquire => {
                self.begin_term(now, &sent);
                if let Some(term) = &mut self.term {
                    term.is_suspended = false;
                }
            }
            _ => self.lose(Loss::Expired),
        }
    }

    /// Applies the outcome of a write; returns whether its records stand on the log for certain.
    pub fn on_written(&mut self, now: Millis, outcome: Outcome) -> bool {
        self.is_busy = false;
        let Some(sent) = self.pending.take() else {
            return false;
        };
        match outcome {
            Outcome::Appended { era, end_offset } => {
                return self.on_appended(now, &sent, era, end_offset);
            }
            Outcome::Moved { era, end_offset } => {
                self.succeed();
                self.on_era(now, era);
                // The topic may have been moved by an own write without an answer.
                self.needs_read |= self.term.is_some() || !self.unanswered.is_empty();
                if let Some(term) = &mut self.term {
                    term.is_suspended = true;
                }
                self.learn(now, era, end_offset, None);
            }
            Outcome::Refused => self.fail(now),
            Outcome::Unknown => {
                if self.unanswered.len() == MAX_UNANSWERED {
                    self.unanswered.remove(0);
                }
                self.unanswered.push(sent);
                self.needs_read = true;
                self.fail(now);
            }
        }
        false
    }

    fn on_appended(&mut self, now: Millis, sent: &Sent, era: u64, end_offset: u64) -> bool {
        self.succeed();
        self.on_era(now, era);
        if era != sent.era || self.end.is_none_or(|end| end.era != era) {
            // The condition was met by chance in another era, or the log has come back since.
            self.needs_read = true;
            return false;
        }
        // Earlier writes can't be carried out any more.
        self.unanswered.clear();
        let free_after_ms = (sent.purpose == Purpose::Release).then(|| self.free_after_ms(now));
        self.end = Some(End {
            era,
            offset: end_offset,
            seen_at: now,
            free_at: free_after_ms.map(|ms| now.plus(ms)),
            is_own: free_after_ms.is_none(),
        });
        match sent.purpose {
            Purpose::Acquire => self.begin_term(now, sent),
            Purpose::Release => self.lose(Loss::Released),
            Purpose::Renew => {
                self.wants_write = false;
                if let Some(term) = &mut self.term {
                    term.renewed_at = sent.sent_at;
                }
            }
        }
        true
    }

    /// Begins a term, or goes on with the present one under a higher fencing token.
    fn begin_term(&mut self, now: Millis, sent: &Sent) {
        self.wants_token = false;
        let token = sent.token;
        if let Some(term) = &mut self.term {
            term.token = token;
            term.renewed_at = sent.sent_at;
            self.wants_write = false;
            self.changes.push(Change::TokenRaised(token));
            return;
        }
        self.term = Some(Term {
            token,
            since: now,
            renewed_at: sent.sent_at,
            is_suspended: true,
            is_given_up: false,
        });
        self.needs_read = true;
        self.changes.push(Change::Acquired(token));
    }

    /// Records the end of the topic if it is further than the known one.
    fn learn(&mut self, now: Millis, era: u64, offset: u64, free_after_ms: Option<u64>) {
        let free_at = free_after_ms.map(|ms| now.plus(ms));
        match &mut self.end {
            Some(end) if (end.era, end.offset) > (era, offset) => {}
            Some(end) if (end.era, end.offset) == (era, offset) => {
                end.free_at = end.free_at.or(free_at);
            }
            end => {
                *end = Some(End {
                    era,
                    offset,
                    seen_at: now,
                    free_at,
                    is_own: false,
                });
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        if self.settings.expires && !self.is_holding(now) {
            self.lose(Loss::Expired);
        }
    }

    fn lose(&mut self, reason: Loss) {
        if let Some(term) = self.term.take() {
            self.wants_write = false;
            self.wants_token = false;
            self.changes.push(Change::Lost(term.token, reason));
        }
    }

    const fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Sets the pause after a failed call to the log, from three quarters of its length on.
    fn fail(&mut self, now: Millis) {
        let settings = &self.settings;
        let doubled = settings.retry_ms.saturating_mul(1 << self.failures.min(16));
        let max_ms = match self.term {
            Some(_) => settings.lease_ms / HOLDER_RETRY_DIVISOR,
            None => settings.max_retry_ms,
        };
        let pause_ms = doubled.min(max_ms);
        self.failures = self.failures.saturating_add(1);
        let part_ms = self.random.below(pause_ms / 4 + 1);
        self.retry_at = now.plus(pause_ms - part_ms);
    }
}
