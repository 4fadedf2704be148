//! The upstreams of one kind in one data centre, and the orders for them.

use super::{
    settings::Settings,
    status::Reason,
    view::Outcome, //
};
use crate::Millis;

/// Number of orders in a row that are not carried out after which what is there is all that is to be had.
const UNMET_LIMIT: u32 = 2;

/// Number of orders in a row that are refused or not answered after which the same holds.
const FAILURE_LIMIT: u32 = 3;

/// Time within which an order without an answer may still be carried out, in ms.
const UNANSWERED_MS: u64 = 15_000;

/// Most doublings of the time after which an order is repeated.
const MAX_DOUBLINGS: u32 = 3;

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    wanted: u32,
    at: Millis,
}

/// The upstreams of one kind in one data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Lane {
    /// Number that takes requests.
    pub(super) present: u32,
    /// Number that the load asks for.
    pub(super) wanted: u32,
    /// Reason of the last order.
    pub(super) reason: Option<Reason>,
    /// Order that may be carried out or has been.
    ordered: Option<Sent>,
    /// Order whose outcome is not known yet.
    pending: Option<Sent>,
    /// Orders without an answer, which may be carried out late.
    unanswered: Vec<Sent>,
    /// Number that has gone since the last order although none asked for it, and when that began.
    lost: u32,
    lost_at: Millis,
    /// Time since which the number differs from the last order.
    differs_since: Option<Millis>,
    /// Failed orders in a row.
    failures: u32,
    /// Orders in a row that were accepted and not carried out in time.
    unmet: u32,
    /// Time until which no order is sent after a failure.
    paused_until: Option<Millis>,
    /// Whether the platform had none of this kind when last asked.
    is_unavailable: bool,
    /// Time of the last lowering.
    lowered_at: Option<Millis>,
}

impl Lane {
    /// Records the number that takes requests.
    pub(super) fn observe(&mut self, now: Millis, present: u32) {
        let expected = self.committed();
        if present < self.present && present < expected {
            if self.lost == 0 {
                self.lost_at = now;
            }
            self.lost += self.present - present;
        }
        if present > self.present || present == expected {
            self.unmet = 0;
        }
        if present >= expected {
            self.lost = 0;
        }
        if present == expected {
            self.differs_since = None;
        } else {
            self.differs_since.get_or_insert(now);
        }
        self.unanswered.retain(|o| now.since(o.at) < UNANSWERED_MS);
        self.present = present;
    }

    /// Forgets orders, as another instance may have sent some since.
    pub(super) const fn forget_orders(&mut self) {
        self.ordered = None;
        self.pending = None;
        self.unmet = 0;
    }

    /// Returns the number that the last order asks for, or else the one that is there.
    pub(super) fn committed(&self) -> u32 {
        self.ordered.map_or(self.present, |o| o.wanted)
    }

    /// Returns the number that is there and stays, whichever order is carried out.
    pub(super) fn staying(&self) -> u32 {
        let unanswered = self.unanswered.iter().map(|o| o.wanted);
        let fewest = unanswered.min().unwrap_or(u32::MAX);
        self.present.min(self.committed()).min(fewest)
    }

    /// Returns the largest number that may be there, whichever order is carried out.
    pub(super) fn most(&self) -> u32 {
        let unanswered = self.unanswered.iter().map(|o| o.wanted);
        let most = unanswered.max().unwrap_or(0);
        self.present.max(self.committed()).max(most)
    }

    /// Returns the number that was ordered and is still expected.
    pub(super) fn coming(&self, now: Millis, due_ms: u64) -> u32 {
        match self.ordered {
            Some(o) if now.since(o.at) < due_ms => o.wanted.saturating_sub(self.present),
            _ => 0,
        }
    }

    /// Returns the most upstreams that are to be had at the moment.
    pub(super) fn limit(&self, now: Millis) -> u32 {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        let is_refused = self.is_unavailable || self.failures >= FAILURE_LIMIT;
        if self.unmet >= UNMET_LIMIT || (is_paused && is_refused) {
            self.present
        } else {
            u32::MAX
        }
    }

    /// Returns whether the platform had none of this kind when last asked.
    pub(super) const fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Returns whether upstreams have gone that no order has asked to go, and have not been replaced.
    pub(super) const fn has_lost(&self) -> bool {
        self.lost > 0
    }

    /// Returns whether an order may be sent now.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        self.pending.is_none() && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the last lowering was long enough ago.
    pub(super) fn may_lower(&self, now: Millis, step_ms: u64) -> bool {
        self.lowered_at.is_none_or(|at| now.since(at) >= step_ms)
    }

    /// Returns why the last order has to be repeated, if it has to.
    pub(super) fn repeat_reason(
        &self,
        now: Millis,
        due_ms: u64,
        settings: &Settings,
    ) -> Option<Reason> {
        let ordered = self.ordered?;
        let differs_since = self.differs_since?;
        let due_ms = due_ms << self.unmet.min(MAX_DOUBLINGS);
        let since_order_ms = now.since(ordered.at);
        let is_large = f64::from(self.lost) >= f64::from(ordered.wanted) * settings.large_loss;
        if self.lost > 0 && (is_large || since_order_ms >= due_ms) {
            let is_missing = now.since(self.lost_at) >= settings.missing_ms;
            return is_missing.then_some(Reason::Reclaimed);
        }
        let is_due = since_order_ms.min(now.since(differs_since)) >= due_ms;
        is_due.then_some(Reason::Overdue)
    }

    /// Records that an order is sent.
    pub(super) fn on_sent(&mut self, now: Millis, wanted: u32, reason: Reason) {
        if wanted < self.committed() {
            self.lowered_at = Some(now);
        }
        if reason == Reason::Overdue {
            self.unmet += 1;
        }
        self.lost = 0;
        self.pending = Some(Sent { wanted, at: now });
        self.reason = Some(reason);
    }

    /// Forgets an order whose outcome was never reported.
    pub(super) fn expire(&mut self, now: Millis, after_ms: u64) {
        if let Some(sent) = self.pending
            && now.since(sent.at) >= after_ms
        {
            self.pending = None;
            self.ordered = None;
            self.unanswered.push(sent);
        }
    }

    /// Records what came of an order.
    pub(super) fn on_outcome(
        &mut self,
        now: Millis,
        wanted: u32,
        outcome: Outcome,
        settings: &Settings,
    ) {
        self.pending = None;
        if outcome == Outcome::NotSent {
            return;
        }
        let sent = Sent { wanted, at: now };
        self.is_unavailable = outcome == Outcome::Unavailable;
        match outcome {
            Outcome::Accepted => {
                self.ordered = Some(sent);
                self.failures = 0;
                self.paused_until = None;
                self.unanswered.clear();
            }
            Outcome::Unavailable => {
                self.ordered = None;
                self.fail(now, settings);
            }
            Outcome::Unknown => {
                self.ordered = None;
                self.unanswered.push(sent);
                self.fail(now, settings);
            }
            Outcome::NotSent => {}
        }
    }

    fn fail(&mut self, now: Millis, settings: &Settings) {
        let factor = 1_u64 << self.failures.min(16);
        let pause_ms = settings.retry_ms.saturating_mul(factor);
        self.paused_until = Some(now.plus(pause_ms.min(settings.max_retry_ms)));
        self.failures += 1;
    }
}
