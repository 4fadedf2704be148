//! The version of the configuration in force, and whether it may be used.

use super::Shared;
use crate::gateway::answer::Refusal;
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::time::timeout;
use vanillakeel::{
    Millis,
    routes::{
        Standing,
        Table, //
    },
};

/// Time after which a caller may retry if all instances of the data centre have lost contact with the
/// log, in ms.
const ALL_STALE_RETRY_MS: u64 = 1_000;

/// Longest wait of a request for a confirmation of the version in force, in ms. A large version takes longer
/// to read by about as much than the version in force counts as the newest.
const MAX_UNCONFIRMED_WAIT_MS: u64 = 600;

/// Part of the time that a caller waits, as a divisor, for which a request waits for a confirmation at most.
const UNCONFIRMED_WAIT_DIVISOR: u64 = 4;

impl Shared {
    /// Records that the version in force was the newest at `read_at`, by a read of the instance
    /// `reader`; logs the end of a time in which the version was not confirmed.
    pub(in super::super) fn confirm_newest(&self, read_at: Millis, reader: &Arc<str>) {
        let now = self.clock.now();
        let mut in_force = self.in_force.borrow_mut();
        let previous_age_ms = in_force.confirmation_age_ms(now);
        if !in_force.confirm_newest(read_at) {
            return;
        }
        self.standing_changed.notify_waiters();
        self.confirmed_by.replace(Arc::clone(reader));
        let limit_ms = self.settings.borrow().timing.in_force_ms;
        if previous_age_ms.is_some_and(|age| age >= limit_ms) {
            self.metrics.late_confirmations.inc();
            tracing::info!(
                version = in_force.table().map(|t| t.version()),
                unconfirmed_ms = previous_age_ms,
                proof_age_ms = in_force.confirmation_age_ms(now),
                proof_from = %reader,
                "configuration confirmed again"
            );
        }
    }

    /// Records that the configuration could not be read on a new connection.
    pub(in super::super) fn on_read_failed(&self, sent_at: Millis) {
        let now = self.clock.now();
        self.in_force.borrow_mut().on_read_failed(sent_at, now);
        self.standing_changed.notify_waiters();
    }

    /// Returns the version in force as soon as it may be used for a request whose caller waits for
    /// `caller_ms`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no version is known, if the one in force is superseded while other
    /// instances have a confirmed one, or if it stays unconfirmed for [`MAX_UNCONFIRMED_WAIT_MS`] or a part
    /// of `caller_ms`.
    pub(in super::super) async fn usable_table(
        &self,
        caller_ms: u64,
    ) -> Result<Rc<Table>, Refusal> {
        let start = self.clock.now();
        let max_wait_ms = (caller_ms / UNCONFIRMED_WAIT_DIVISOR).min(MAX_UNCONFIRMED_WAIT_MS);
        loop {
            let now = self.clock.now();
            {
                let in_force = self.in_force.borrow();
                let table = in_force.table().ok_or(Refusal::NoConfiguration)?;
                match in_force.standing(now) {
                    Standing::Confirmed | Standing::Disconnected => return Ok(Rc::clone(table)),
                    Standing::Superseded if self.mesh.borrow().are_others_confirmed(now) => {
                        return Err(Refusal::Stale(self.stale_retry_after_ms(now)));
                    }
                    // No other instance can do better.
                    Standing::Superseded => return Ok(Rc::clone(table)),
                    Standing::Unconfirmed => {}
                }
            }
            let left_ms = max_wait_ms.saturating_sub(now.since(start));
            let changed = self.standing_changed.notified();
            if timeout(Duration::from_millis(left_ms), changed)
                .await
                .is_err()
            {
                return Err(Refusal::Stale(self.stale_retry_after_ms(now)));
            }
        }
    }

    /// Records the version of another instance; the first time that a newer one is heard of, the task
    /// that reads the configuration is woken.
    pub(in super::super) fn on_announced(&self, version: u64, peer: &str) {
        let mut in_force = self.in_force.borrow_mut();
        if in_force.on_announced(self.clock.now(), version) {
            let in_force = in_force.version();
            tracing::info!(version, in_force, peer, "newer configuration announced");
            self.newer_version.notify_one();
        }
    }

    /// Returns when a caller may retry whom this instance refuses because it has lost contact with the
    /// log, in ms: at once if other instances can probably serve it, since a retry reaches another one.
    pub(in super::super) fn stale_retry_after_ms(&self, now: Millis) -> u64 {
        if self.mesh.borrow().are_others_confirmed(now) {
            0
        } else {
            ALL_STALE_RETRY_MS
        }
    }
}
