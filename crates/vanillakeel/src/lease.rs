//! Leases on the log, with fencing numbers.
//!
//! A lease's fencing number is the offset of the record that took it. A record names the last
//! record of the chore that its writer has read, and counts only if no other came between, so a
//! takeover fails if the holder has renewed meanwhile. A reader that begins in the middle of the
//! log can't judge the first record it reads; it knows no holder until the next. Each reader waits by its own clock: duration plus
//! margin without a renewal before a takeover, and a holder stops before its duration has passed
//! since it *sent* its last successful append.
//!
//! ```
//! use vanillakeel::{lease::{Action, Lease, Settings}, Millis};
//!
//! let mut lease = Lease::new("placement", "a", Settings::default());
//! lease.begin(0);
//! lease.on_records(Millis::ZERO, &[], true);
//! lease.tick(Millis::ZERO, true);
//! let Some(Action::Append(record)) = lease.drain().next() else { panic!("no append") };
//! lease.on_records(Millis::new(10), &[(3, record)], true);
//! assert_eq!(lease.fencing(Millis::new(20)), Some(3));
//! ```

use crate::Millis;
use std::sync::Arc;

/// Settings of a [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a lease lasts without a renewal, in ms.
    pub duration_ms: u64,
    /// How much longer others wait, for clocks that run at different speeds, in ms.
    pub margin_ms: u64,
    /// Whether a holder stops when its duration has passed; turned off only to show that checks
    /// can fail.
    pub expires: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration_ms: 10_000,
            margin_ms: 2_000,
            expires: true,
        }
    }
}

/// A record of the log about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The chore that the lease is for.
    pub chore: Arc<str>,
    /// The instance that takes or renews it.
    pub holder: Arc<str>,
    /// Unique for the writer, so that a record is known when it is read back.
    pub number: u64,
    /// Offset of the chore's last record that the writer has read.
    pub after: Option<u64>,
}

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the log.
    Append(Record),
}

#[derive(Clone, Debug)]
struct Current {
    holder: Arc<str>,
    fencing: u64,
}

/// One lease, as an instance sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: Settings,
    chore: Arc<str>,
    me: Arc<str>,
    current: Option<Current>,
    last: Option<u64>,
    last_valid_read: Millis,
    is_from_start: bool,
    sent: Option<(u64, Millis)>,
    held_until: Option<Millis>,
    last_number: u64,
    read_to: Option<Millis>,
    actions: Vec<Action>,
}

impl Lease {
    /// Makes a lease for `chore`, seen by the writer `me`, whose name is another after a restart.
    #[must_use]
    pub fn new(chore: &str, me: &str, settings: Settings) -> Self {
        Self {
            settings,
            chore: Arc::from(chore),
            me: Arc::from(me),
            current: None,
            last: None,
            last_valid_read: Millis::ZERO,
            is_from_start: false,
            sent: None,
            held_until: None,
            last_number: 0,
            read_to: None,
            actions: Vec::new(),
        }
    }

    /// Takes the actions pushed since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> {
        std::mem::take(&mut self.actions).into_iter()
    }

    /// The fencing number, if this instance holds the lease at `now`.
    ///
    /// To be asked right before each order.
    #[must_use]
    pub fn fencing(&self, now: Millis) -> Option<u64> {
        let current = self.current.as_ref().filter(|c| c.holder == self.me)?;
        let holds = self.held_until.is_some_and(|until| now < until);
        (holds || !self.settings.expires).then_some(current.fencing)
    }

    /// The holder named on the log.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        self.current.as_ref().map(|c| &*c.holder)
    }

    /// Takes records of the log in order, each with its offset.
    pub fn on_records(&mut self, now: Millis, records: &[(u64, Record)], is_end: bool) {
        let chore = Arc::clone(&self.chore);
        for (offset, record) in records.iter().filter(|r| r.1.chore == chore) {
            self.apply(now, *offset, record);
        }
        if is_end {
            self.read_to = Some(now);
        }
    }

    /// Begins at `first`, the oldest offset that the log still holds.
    ///
    /// To be called before the first record, and when records were trimmed before they were read.
    pub fn begin(&mut self, first: u64) {
        self.current = None;
        self.last = None;
        self.held_until = None;
        self.is_from_start = first == 0;
    }

    fn apply(&mut self, now: Millis, offset: u64, record: &Record) {
        if self.last.is_some_and(|last| offset <= last) {
            return;
        }
        let is_judged = self.last.is_some() || self.is_from_start;
        let is_valid = is_judged && record.after == self.last;
        self.last = Some(offset);
        if !is_judged {
            self.last_valid_read = now;
        }
        if !is_valid {
            return;
        }
        let fencing = match &self.current {
            Some(c) if c.holder == record.holder => c.fencing,
            _ => offset,
        };
        self.current = Some(Current {
            holder: Arc::clone(&record.holder),
            fencing,
        });
        self.last_valid_read = now;
        self.note_own(record);
    }

    /// A record of this instance that is read back holds from when it was sent.
    fn note_own(&mut self, record: &Record) {
        if record.holder != self.me {
            self.held_until = None;
            return;
        }
        if let Some((number, sent)) = self.sent
            && number == record.number
        {
            self.held_until = Some(sent.plus(self.settings.duration_ms));
            self.sent = None;
        }
    }

    /// Takes or renews the lease when it is time; `wants` says whether this instance should hold it.
    pub fn tick(&mut self, now: Millis, wants: bool) {
        let is_waiting = self
            .sent
            .is_some_and(|(_, at)| now.since(at) < self.settings.duration_ms / 3);
        if !wants || is_waiting || self.read_to.is_none() || !self.is_time(now) {
            return;
        }
        self.last_number += 1;
        self.sent = Some((self.last_number, now));
        self.actions.push(Action::Append(Record {
            chore: Arc::clone(&self.chore),
            holder: Arc::clone(&self.me),
            number: self.last_number,
            after: self.last,
        }));
    }

    fn is_time(&self, now: Millis) -> bool {
        if self.last.is_none() {
            return true;
        }
        let is_mine = self.current.as_ref().is_some_and(|c| c.holder == self.me);
        if is_mine {
            let until = self.held_until.unwrap_or(Millis::ZERO);
            return until.since(now) <= self.settings.duration_ms / 2;
        }
        let wait = self.settings.duration_ms + self.settings.margin_ms;
        let silent = |t: Millis| t.since(self.last_valid_read) >= wait;
        silent(now) && self.read_to.is_some_and(silent)
    }
}
