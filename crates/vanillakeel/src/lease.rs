//! Leases with fencing tokens on the log that instances of the `vanillakeel-entry` daemon share.
//!
//! The holder of a lease does a task that only one instance may do at a time. The fencing token is
//! the offset of the record that acquired the lease. Each record names the offset of the last
//! record of the same lease that its writer has read, and is valid only if no other record came in
//! between, so a takeover fails if the holder has renewed meanwhile. A reader that begins in the
//! middle of the log can't validate the first record that it reads, and knows no holder until the
//! next one.
//!
//! Clocks are not compared between instances. By its own clock, each reader waits for the duration
//! plus a margin without a renewal before it takes over, and the holder stops once the duration
//! has passed since it *sent* its last successful append.
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
//! assert_eq!(lease.fencing_token(Millis::new(20)), Some(3));
//! ```

use crate::Millis;
use std::sync::Arc;

/// Settings of a [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time that a lease lasts without a renewal, in ms.
    pub duration_ms: u64,
    /// Additional time that others wait before a takeover, in ms.
    ///
    /// It allows for clocks that run at different speeds.
    pub margin_ms: u64,
    /// Whether a holder stops when its duration has passed.
    ///
    /// Turned off only to show that the checks for stale holders can fail.
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

/// A log record that acquires or renews a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the lease.
    pub name: Arc<str>,
    /// The instance that acquires or renews it.
    pub holder: Arc<str>,
    /// Unique per writer, so that the writer recognises its record when it reads it back.
    pub append_id: u64,
    /// Offset of the last record of this lease that the writer has read, if any.
    pub previous_offset: Option<u64>,
}

/// An action that the embedding program has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append this record to the log.
    Append(Record),
}

/// The last acquisition of the lease according to the log.
#[derive(Clone, Debug)]
struct Acquisition {
    holder: Arc<str>,
    fencing_token: u64,
}

/// One lease, as an instance sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: Settings,
    name: Arc<str>,
    me: Arc<str>,
    current: Option<Acquisition>,
    last_offset: Option<u64>,
    /// When the last valid record was read, or the first one if it could not be validated.
    last_renewal_read_at: Millis,
    reads_from_start: bool,
    /// Identifier and send time of an append that has not been read back yet.
    pending_append: Option<(u64, Millis)>,
    held_until: Option<Millis>,
    last_append_id: u64,
    /// When the end of the log was last reached.
    end_read_at: Option<Millis>,
    actions: Vec<Action>,
}

impl Lease {
    /// Creates the view that the writer `me` has of the lease `name`.
    ///
    /// A writer has to use another name after each restart.
    #[must_use]
    pub fn new(name: &str, me: &str, settings: Settings) -> Self {
        Self {
            settings,
            name: Arc::from(name),
            me: Arc::from(me),
            current: None,
            last_offset: None,
            last_renewal_read_at: Millis::ZERO,
            reads_from_start: false,
            pending_append: None,
            held_until: None,
            last_append_id: 0,
            end_read_at: None,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that were pushed since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> {
        std::mem::take(&mut self.actions).into_iter()
    }

    /// Returns the fencing token if this instance holds the lease at `now`.
    ///
    /// Call it right before each operation that the lease protects.
    #[must_use]
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        let current = self.current.as_ref().filter(|c| c.holder == self.me)?;
        let holds = self.held_until.is_some_and(|until| now < until);
        (holds || !self.settings.expires).then_some(current.fencing_token)
    }

    /// Returns the holder according to the log, even if its lease has expired.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        self.current.as_ref().map(|c| &*c.holder)
    }

    /// Applies records of the log in order, each with its offset.
    ///
    /// `is_end` says whether the end of the log was reached.
    pub fn on_records(&mut self, now: Millis, records: &[(u64, Record)], is_end: bool) {
        let name = Arc::clone(&self.name);
        for (offset, record) in records.iter().filter(|r| r.1.name == name) {
            self.apply(now, *offset, record);
        }
        if is_end {
            self.end_read_at = Some(now);
        }
    }

    /// Restarts the view at `first`, the oldest offset that the log still holds.
    ///
    /// Call it before the first record, and when records were trimmed before they were read.
    pub fn begin(&mut self, first: u64) {
        self.current = None;
        self.last_offset = None;
        self.held_until = None;
        self.reads_from_start = first == 0;
    }

    fn apply(&mut self, now: Millis, offset: u64, record: &Record) {
        if self.last_offset.is_some_and(|last| offset <= last) {
            return;
        }
        let can_validate = self.last_offset.is_some() || self.reads_from_start;
        let is_valid = can_validate && record.previous_offset == self.last_offset;
        self.last_offset = Some(offset);
        if !can_validate {
            self.last_renewal_read_at = now;
        }
        if !is_valid {
            return;
        }
        let fencing_token = match &self.current {
            Some(c) if c.holder == record.holder => c.fencing_token,
            _ => offset,
        };
        self.current = Some(Acquisition {
            holder: Arc::clone(&record.holder),
            fencing_token,
        });
        self.last_renewal_read_at = now;
        self.confirm_own_append(record);
    }

    /// Extends the lease when an append of this instance is read back.
    ///
    /// The duration counts from the time at which the append was sent, since others may have read
    /// it at any time after that. A valid record of another holder ends the lease.
    fn confirm_own_append(&mut self, record: &Record) {
        if record.holder != self.me {
            self.held_until = None;
            return;
        }
        if let Some((append_id, sent_at)) = self.pending_append
            && append_id == record.append_id
        {
            self.held_until = Some(sent_at.plus(self.settings.duration_ms));
            self.pending_append = None;
        }
    }

    /// Acquires or renews the lease when that is due.
    ///
    /// `should_hold` says whether this instance should hold the lease. An append that is not read
    /// back within a third of the duration is replaced by a new one.
    pub fn tick(&mut self, now: Millis, should_hold: bool) {
        let is_append_pending = self
            .pending_append
            .is_some_and(|(_, at)| now.since(at) < self.settings.duration_ms / 3);
        if !should_hold
            || is_append_pending
            || self.end_read_at.is_none()
            || !self.is_append_due(now)
        {
            return;
        }
        self.last_append_id += 1;
        self.pending_append = Some((self.last_append_id, now));
        self.actions.push(Action::Append(Record {
            name: Arc::clone(&self.name),
            holder: Arc::clone(&self.me),
            append_id: self.last_append_id,
            previous_offset: self.last_offset,
        }));
    }

    /// Returns whether to acquire the lease, renew it or take it over.
    ///
    /// An append is due at once if no record of the lease has been read. A renewal is due once at
    /// most half of the duration is left. A takeover is due once no renewal was read for the
    /// duration plus the margin. The end of the log has to be read after that wait as well, so that
    /// no renewal is missed while the log is unreachable.
    fn is_append_due(&self, now: Millis) -> bool {
        if self.last_offset.is_none() {
            return true;
        }
        let is_mine = self.current.as_ref().is_some_and(|c| c.holder == self.me);
        if is_mine {
            let until = self.held_until.unwrap_or(Millis::ZERO);
            return until.since(now) <= self.settings.duration_ms / 2;
        }
        let wait_ms = self.settings.duration_ms + self.settings.margin_ms;
        let has_lapsed_at = |t: Millis| t.since(self.last_renewal_read_at) >= wait_ms;
        has_lapsed_at(now) && self.end_read_at.is_some_and(has_lapsed_at)
    }
}
