//! The waiting requests of one tier, in the order of their latest start.

use super::{
    Request,
    fair::Accounts, //
};
use crate::Millis;

/// How many requests are looked at for one of a workspace that is not ahead of its share.
const FAIR_WINDOW: usize = 64;

/// A tier counts as overloaded if more than one in this many of its requests are too late.
const OVERLOADED_PART: usize = 4;

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// Last moment to send it, given the pool's time to the first token.
    pub(super) latest_start: Millis,
    /// Whether it holds the place that its tier is promised.
    pub(super) promised: bool,
    /// The request itself.
    pub(super) req: Request,
}

/// How the requests of a tier are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// Latest start first due, requests that are too late behind the others.
    #[default]
    LatestStart,
    /// Earliest due first, too late or not.
    EarliestDue,
    /// First come, first served.
    Arrival,
}

/// The waiting requests of one tier.
#[derive(Clone, Debug, Default)]
pub(super) struct Tier {
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

    /// Requests that may be shed.
    pub(super) fn sheddable(&self) -> usize {
        self.sorted.iter().filter(|w| !w.promised).count()
    }

    pub(super) fn has_promised(&self) -> bool {
        self.sorted.iter().any(|w| w.promised)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let key = (waiting.latest_start, waiting.req.id);
        let at = self
            .sorted
            .partition_point(|w| (w.latest_start, w.req.id) < key);
        self.accounts.enter(&waiting.req.workspace);
        self.sorted.insert(at, waiting);
    }

    fn take(&mut self, at: usize, tokens: f64) -> Request {
        let waiting = self.sorted.remove(at);
        let req = waiting.req;
        self.accounts.leave(&req.workspace, req.weight, tokens);
        req
    }

    /// Takes the request that goes next, charging its workspace with `tokens`.
    pub(super) fn pop(&mut self, now: Millis, order: Order, tokens: f64) -> Option<Request> {
        let at = self.next(now, order)?;
        Some(self.take(at, tokens))
    }

    /// The request that goes next.
    pub(super) fn peek(&self, now: Millis, order: Order) -> Option<&Request> {
        self.next(now, order).map(|at| &self.sorted[at].req)
    }

    fn next(&self, now: Millis, order: Order) -> Option<usize> {
        if self.sorted.is_empty() {
            return None;
        }
        match order {
            Order::EarliestDue => Some(0),
            Order::Arrival => (0..self.sorted.len()).min_by_key(|at| self.sorted[*at].req.id),
            Order::LatestStart => Some(self.next_feasible(now)),
        }
    }

    /// The first request that can make it, of a workspace that is not ahead; else the first of all.
    fn next_feasible(&self, now: Millis) -> usize {
        let feasible = self.sorted.partition_point(|w| w.latest_start < now);
        if feasible == self.sorted.len() {
            return 0;
        }
        let last = self.sorted.len() - 1;
        let may_go = |at: &usize| self.accounts.may_go(&self.sorted[*at].req.workspace);
        let is_overloaded = feasible > self.sorted.len() / OVERLOADED_PART;
        if is_overloaded {
            let window = (feasible..=last).rev().take(FAIR_WINDOW);
            return window.into_iter().find(may_go).unwrap_or(last);
        }
        let window = (feasible..=last).take(FAIR_WINDOW);
        window.into_iter().find(may_go).unwrap_or(feasible)
    }

    /// Takes the request that has waited longest.
    pub(super) fn pop_oldest(&mut self, tokens: f64) -> Option<Request> {
        let at = (0..self.sorted.len()).min_by_key(|at| self.sorted[*at].req.id)?;
        Some(self.take(at, tokens))
    }

    /// When the request that has waited longest came.
    pub(super) fn oldest(&self) -> Option<Millis> {
        self.sorted.iter().map(|w| w.req.arrived).min()
    }

    /// Takes the request to shed: one that is too late if there is one, else the least urgent.
    pub(super) fn shed(&mut self, now: Millis) -> Option<Request> {
        let late = self
            .sorted
            .iter()
            .position(|w| !w.promised && w.latest_start < now);
        let at = late.or_else(|| self.sorted.iter().rposition(|w| !w.promised))?;
        Some(self.take(at, 0.0))
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Request> {
        let at = self.sorted.iter().position(|w| w.req.id == id)?;
        Some(self.take(at, 0.0))
    }

    /// Takes the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Request>) {
        for at in (0..self.sorted.len()).rev() {
            if self.sorted[at].req.deadline <= now {
                out.push(self.take(at, 0.0));
            }
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.sorted.iter().map(|w| w.req.deadline).min()
    }
}
