//! The version in force, and how well it is known to be the newest.
//!
//! A version is used for a request while it is *confirmed*: a read of the log that was sent recently
//! showed that it is the newest. An instance that can't reach the log goes on with the last version,
//! as no other instance can serve its callers better, but one that only reads late must not.
//!
//! ```
//! use vanillakeel::{
//!     Millis,
//!     routes::{InForce, Standing, Table, TableSpec},
//! };
//!
//! let mut in_force = InForce::default();
//! in_force.install(Table::new(TableSpec::default()));
//! in_force.confirm_newest(Millis::new(1_000));
//! assert_eq!(in_force.standing(Millis::new(1_500)), Standing::Confirmed);
//! assert_eq!(in_force.standing(Millis::new(9_000)), Standing::Unconfirmed);
//! ```

use super::{
    KeyHistory,
    Table, //
};
use crate::Millis;
use std::rc::Rc;

/// Time for which a failed read shows that the log can't be reached, in ms: longer than the pause
/// between two reads that fail.
const FAILURE_TTL_MS: u64 = 3_000;

/// Time for which an announced version counts that the log does not show, in ms. An operator writes a
/// version again that the log has lost; any other announcement is wrong.
const ANNOUNCEMENT_TTL_MS: u64 = 10_000;

/// Limits of an [`InForce`] on the age of the last confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Time after the last confirmation for which keys are accepted, in ms; later a key may have
    /// been revoked unseen.
    pub keys_ms: u64,
    /// Time after the last confirmation for which the version is confirmed, in ms; later a newer one
    /// may have to be in force.
    pub version_ms: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            keys_ms: 4_700,
            version_ms: 2_000,
        }
    }
}

/// Whether the version in force may be used for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It was the newest a short time ago.
    Confirmed,
    /// It is the last one that was read before the log became unreachable, and nothing is known of a
    /// newer one.
    Disconnected,
    /// A newer one was announced, and the log is unreachable.
    Superseded,
    /// A newer one may have to be in force; the next read will show it.
    Unconfirmed,
}

/// The version in force at an instance, with the time of its last confirmation.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    freshness: Freshness,
    table: Option<Rc<Table>>,
    confirmed_at: Option<Millis>,
    /// Time of the last read that failed on a new connection: when it was sent and when it failed.
    failed_read: Option<(Millis, Millis)>,
    /// Newest version that another instance has announced, with the time at which it was first heard
    /// of.
    announced: Option<(u64, Millis)>,
    /// Keys that versions have held.
    key_history: KeyHistory,
    /// Whether that includes versions from before the start of this instance.
    knows_earlier_keys: bool,
}

impl InForce {
    /// Creates an [`InForce`] without a version.
    #[must_use]
    pub fn new(freshness: Freshness) -> Self {
        Self {
            freshness,
            ..Self::default()
        }
    }

    /// Changes the limits on the age of the last confirmation.
    pub const fn set_freshness(&mut self, freshness: Freshness) {
        self.freshness = freshness;
    }

    /// Puts a version in force if it is newer than the present one; returns whether it is.
    ///
    /// Keys that the present one and those before it held stay refused if the newer one requires no keys; whether they
    /// are known at the start of an instance says [`on_earlier_keys`](Self::on_earlier_keys).
    pub fn install(&mut self, mut table: Table) -> bool {
        let is_newer = self
            .table
            .as_ref()
            .is_none_or(|t| table.version() > t.version());
        if is_newer {
            if table.requires_keys() {
                self.key_history.add(table.keys());
            } else if self.knows_earlier_keys {
                table.set_earlier_keys(&self.key_history);
            }
            self.table = Some(Rc::new(table));
        }
        is_newer
    }

    /// Adds the keys that versions held before this instance started, or that other instances have read.
    pub fn on_earlier_keys(&mut self, history: &KeyHistory) {
        let is_known = self.knows_earlier_keys && self.key_history.covers(history);
        if is_known {
            return;
        }
        self.key_history.merge(history);
        self.knows_earlier_keys = true;
        if let Some(table) = &mut self.table {
            Rc::make_mut(table).set_earlier_keys(&self.key_history);
        }
    }

    /// Returns the keys that versions have held, as far as this instance knows.
    #[must_use]
    pub const fn key_history(&self) -> &KeyHistory {
        &self.key_history
    }

    /// Returns whether the keys that versions held before this instance started are known.
    #[must_use]
    pub const fn knows_earlier_keys(&self) -> bool {
        self.knows_earlier_keys
    }

    /// Records that a read of the newest version, sent at `sent_at`, was answered; returns whether
    /// this is the latest confirmation so far.
    ///
    /// A newer version may have appeared while the answer was on its way, so the confirmation
    /// counts from the time at which the read was sent.
    pub fn confirm_newest(&mut self, sent_at: Millis) -> bool {
        let is_latest = self.confirmed_at < Some(sent_at);
        if is_latest {
            self.confirmed_at = Some(sent_at);
        }
        is_latest
    }

    /// Records that a read that was sent at `sent_at` on a new connection failed at `failed_at`.
    pub const fn on_read_failed(&mut self, sent_at: Millis, failed_at: Millis) {
        self.failed_read = Some((sent_at, failed_at));
    }

    /// Records that another instance has announced a version; returns whether it is newer than the
    /// one in force and all that were announced before.
    pub fn on_announced(&mut self, now: Millis, version: u64) -> bool {
        let newest_known = self.announced.map_or(0, |(v, _)| v).max(self.version());
        let is_newer = version > newest_known;
        if is_newer {
            self.announced = Some((version, now));
        }
        is_newer
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Rc<Table>> {
        self.table.as_ref()
    }

    /// Returns the number of the version in force, or 0 without one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |t| t.version())
    }

    /// Returns the newest version that was announced, with the time at which it was first heard of.
    #[must_use]
    pub const fn announced(&self) -> Option<(u64, Millis)> {
        self.announced
    }

    /// Returns the newest version that was announced up to `now`, if it is newer than the one in force.
    #[must_use]
    pub fn superseded_by(&self, now: Millis) -> Option<u64> {
        let (version, heard_at) = self.announced?;
        let counts = heard_at <= now && now.since(heard_at) < ANNOUNCEMENT_TTL_MS;
        (counts && version > self.version()).then_some(version)
    }

    /// Returns the newest version that was in force anywhere, as far as was known at `at`.
    ///
    /// A read confirms the version in force only if it shows at least this one.
    #[must_use]
    pub fn newest_known(&self, at: Millis) -> u64 {
        self.superseded_by(at).unwrap_or_else(|| self.version())
    }

    /// Returns the time since the last confirmation, in ms, or `None` without one.
    #[must_use]
    pub fn confirmation_age_ms(&self, now: Millis) -> Option<u64> {
        self.confirmed_at.map(|t| now.since(t))
    }

    /// Returns whether the version in force may be used for a request.
    ///
    /// The log counts as unreachable if a read that was sent after the last confirmation has failed
    /// recently; an older failure says nothing about the present, for example after a pause of the
    /// process.
    #[must_use]
    pub fn standing(&self, now: Millis) -> Standing {
        if self.may_deny(now) {
            return Standing::Confirmed;
        }
        let is_recent = |(_, failed_at): (_, Millis)| now.since(failed_at) < FAILURE_TTL_MS;
        let is_unreachable = self.has_failed_read() && self.failed_read.is_some_and(is_recent);
        match (is_unreachable, self.superseded_by(now)) {
            (false, _) => Standing::Unconfirmed,
            (true, None) => Standing::Disconnected,
            (true, Some(_)) => Standing::Superseded,
        }
    }

    /// Returns whether a read that was sent after the last confirmation has failed.
    #[must_use]
    pub fn has_failed_read(&self) -> bool {
        self.failed_read
            .is_some_and(|(sent_at, _)| Some(sent_at) >= self.confirmed_at)
    }

    /// Returns whether keys are accepted: the last confirmation is recent enough that none can have
    /// been revoked long ago without this instance knowing.
    #[must_use]
    pub fn may_use_keys(&self, now: Millis) -> bool {
        self.confirmation_age_ms(now)
            .is_some_and(|age| age < self.freshness.keys_ms)
    }

    /// Returns whether an unknown route or key may be denied.
    #[must_use]
    pub fn may_deny(&self, now: Millis) -> bool {
        self.confirmation_age_ms(now)
            .is_some_and(|age| age < self.freshness.version_ms)
    }
}
