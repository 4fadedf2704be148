//! Which version is in force, and how long ago that was proved.

use super::Table;
use crate::Millis;
use std::rc::Rc;

/// Settings of an [`InForce`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// A key may be used this long after the last proof that the version is the newest, in ms.
    pub keys_ms: u64,
    /// A route or key that is not found is denied this long after the last proof, in ms; later it
    /// may have been added unseen.
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

/// The version in force at an instance.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    freshness: Freshness,
    table: Option<Rc<Table>>,
    proved: Option<Millis>,
}

impl InForce {
    /// Makes one without a version.
    #[must_use]
    pub const fn new(freshness: Freshness) -> Self {
        Self {
            freshness,
            table: None,
            proved: None,
        }
    }

    /// Puts a version in force unless the present one is as new; returns whether it has.
    pub fn put(&mut self, table: Table) -> bool {
        let is_newer = self
            .table
            .as_ref()
            .is_none_or(|t| table.version() > t.version());
        if is_newer {
            self.table = Some(Rc::new(table));
        }
        is_newer
    }

    /// Takes note that a read of the newest version, asked for at `asked`, was answered.
    pub fn prove(&mut self, asked: Millis) {
        self.proved = self.proved.max(Some(asked));
    }

    /// The version in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Rc<Table>> {
        self.table.as_ref()
    }

    /// Time since the last proof, in ms.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.proved.map(|t| now.since(t))
    }

    /// Whether keys may be used: none of them can have been revoked for too long unseen.
    #[must_use]
    pub fn may_use_keys(&self, now: Millis) -> bool {
        self.age_ms(now)
            .is_some_and(|age| age < self.freshness.keys_ms)
    }

    /// Whether what is not found can be denied.
    #[must_use]
    pub fn may_deny(&self, now: Millis) -> bool {
        self.age_ms(now)
            .is_some_and(|age| age < self.freshness.denial_ms)
    }
}
