//! The version in force, and the time since it was confirmed as the newest.

use super::Table;
use crate::Millis;
use std::rc::Rc;

/// Limits of an [`InForce`] on the age of the last confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Time after the last confirmation for which keys are accepted, in ms; later a key may have
    /// been revoked unseen.
    pub keys_ms: u64,
    /// Time after the last confirmation for which an unknown route or key is denied, in ms; later
    /// it may have been added unseen.
    pub denial_ms: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            keys_ms: 4_700,
            denial_ms: 2_000,
        }
    }
}

/// The version in force at an instance, with the time of its last confirmation.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    freshness: Freshness,
    table: Option<Rc<Table>>,
    confirmed_at: Option<Millis>,
}

impl InForce {
    /// Creates an [`InForce`] without a version.
    #[must_use]
    pub const fn new(freshness: Freshness) -> Self {
        Self {
            freshness,
            table: None,
            confirmed_at: None,
        }
    }

    /// Puts a version in force if it is newer than the present one; returns whether it is.
    pub fn install(&mut self, table: Table) -> bool {
        let is_newer = self
            .table
            .as_ref()
            .is_none_or(|t| table.version() > t.version());
        if is_newer {
            self.table = Some(Rc::new(table));
        }
        is_newer
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

    /// Returns the version in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Rc<Table>> {
        self.table.as_ref()
    }

    /// Returns the time since the last confirmation, in ms, or `None` without one.
    #[must_use]
    pub fn confirmation_age_ms(&self, now: Millis) -> Option<u64> {
        self.confirmed_at.map(|t| now.since(t))
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
            .is_some_and(|age| age < self.freshness.denial_ms)
    }
}
