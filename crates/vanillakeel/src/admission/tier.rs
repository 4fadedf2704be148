//! The waiting requests of one tier, sorted by their latest start time.

use super::{
    Request,
    fair::Accounts, //
};
use crate::Millis;

/// Number of requests that are searched for one of a workspace within its fair share.
const FAIRNESS_WINDOW: usize = 64;

/// A tier is overloaded if more than one in this many of its requests can't meet their target.
const OVERLOAD_DIVISOR: usize = 4;

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// Last time at which the request can be sent and still meet its target.
    ///
    /// It is the due time in any order but [`QueueOrder::LatestStart`].
    pub(super) latest_start: Millis,
    /// Whether it holds the guaranteed place of its tier, so that it can't be shed.
    pub(super) is_guaranteed: bool,
    pub(super) req: Request,
}

/// Order in which the requests of a tier are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Earliest latest start time first; requests that can't meet their target any more come last.
    ///
    /// In an overloaded tier, the requests that can still meet their target are served in reverse
    /// order: the one with the most time left comes first.
    #[default]
    LatestStart,
    /// Earliest due time first, even if the target can't be met any more.
    EarliestDue,
    /// First come, first served (FIFO).
    Arrival,
}

/// The waiting requests of one tier.
#[derive(Clone, Debug, Default)]
pub(super) struct Tier {
    /// Requests in ascending order of their latest start time, then of their id.
    sorted: Vec<Waiting>,
    accounts: Accounts,
}

impl Tier {
    pub(super) fn len(&self) -> usize {
        self.sorted.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    /// Returns the number of requests that may be shed.
    pub(super) fn sheddable(&self) -> usize {
        self.sorted.iter().filter(|w| !w.is_guaranteed).count()
    }

    pub(super) fn has_guaranteed(&self) -> bool {
        self.sorted.iter().any(|w| w.is_guaranteed)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let key = (waiting.latest_start, waiting.req.id);
        let index = self
            .sorted
            .partition_point(|w| (w.latest_start, w.req.id) < key);
        self.accounts.add_request(&waiting.req.workspace);
        self.sorted.insert(index, waiting);
    }

    fn take(&mut self, index: usize, tokens: f64) -> Request {
        let waiting = self.sorted.remove(index);
        let req = waiting.req;
        self.accounts
            .remove_request(&req.workspace, req.weight, tokens);
        req
    }

    /// Takes the request to serve next, and charges its workspace with `tokens`.
    pub(super) fn pop(&mut self, now: Millis, order: QueueOrder, tokens: f64) -> Option<Request> {
        let index = self.next(now, order)?;
        Some(self.take(index, tokens))
    }

    /// Returns the request to serve next.
    pub(super) fn peek(&self, now: Millis, order: QueueOrder) -> Option<&Request> {
        self.next(now, order).map(|index| &self.sorted[index].req)
    }

    fn next(&self, now: Millis, order: QueueOrder) -> Option<usize> {
        if self.sorted.is_empty() {
            return None;
        }
        match order {
            QueueOrder::EarliestDue => Some(0),
            QueueOrder::Arrival => {
                (0..self.sorted.len()).min_by_key(|index| self.sorted[*index].req.id)
            }
            QueueOrder::LatestStart => Some(self.next_feasible(now)),
        }
    }

    /// Returns the index of the next request that can meet its target.
    ///
    /// Requests of workspaces within their fair share come first. If no request can meet its
    /// target, it is the one with the earliest latest start time.
    fn next_feasible(&self, now: Millis) -> usize {
        let first_feasible = self.sorted.partition_point(|w| w.latest_start < now);
        if first_feasible == self.sorted.len() {
            return 0;
        }
        let last = self.sorted.len() - 1;
        let is_within_share = |index: &usize| {
            self.accounts
                .is_within_share(&self.sorted[*index].req.workspace)
        };
        let is_overloaded = first_feasible > self.sorted.len() / OVERLOAD_DIVISOR;
        if is_overloaded {
            let window = (first_feasible..=last).rev().take(FAIRNESS_WINDOW);
            return window.into_iter().find(is_within_share).unwrap_or(last);
        }
        let window = (first_feasible..=last).take(FAIRNESS_WINDOW);
        window
            .into_iter()
            .find(is_within_share)
            .unwrap_or(first_feasible)
    }

    /// Takes the request that arrived first, and charges its workspace with `tokens`.
    pub(super) fn pop_oldest(&mut self, tokens: f64) -> Option<Request> {
        let index = (0..self.sorted.len()).min_by_key(|index| self.sorted[*index].req.id)?;
        Some(self.take(index, tokens))
    }

    /// Returns the arrival time of the request that has waited longest.
    pub(super) fn oldest_arrival(&self) -> Option<Millis> {
        self.sorted.iter().map(|w| w.req.arrived).min()
    }

    /// Takes the request to shed: one that can't meet its target if there is one,
    /// otherwise the least urgent one.
    pub(super) fn shed(&mut self, now: Millis) -> Option<Request> {
        let too_late = self
            .sorted
            .iter()
            .position(|w| !w.is_guaranteed && w.latest_start < now);
        let index = too_late.or_else(|| self.sorted.iter().rposition(|w| !w.is_guaranteed))?;
        Some(self.take(index, 0.0))
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Request> {
        let index = self.sorted.iter().position(|w| w.req.id == id)?;
        Some(self.take(index, 0.0))
    }

    /// Moves the requests whose deadline has passed to `out`.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Request>) {
        for index in (0..self.sorted.len()).rev() {
            if self.sorted[index].req.deadline <= now {
                out.push(self.take(index, 0.0));
            }
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.sorted.iter().map(|w| w.req.deadline).min()
    }
}
