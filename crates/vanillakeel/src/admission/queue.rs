//! The queue of one pool.

use super::{
    Request,
    tier::{
        Tier,
        Waiting, //
    },
};
use crate::Millis;

pub use super::tier::Order;

/// Number of tiers that a queue has room for.
const TIERS: usize = 8;

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Requests that may wait.
    pub limit: usize,
    /// One turn in this many is kept for lower tiers that wait; zero for none.
    pub floor_every: u32,
    /// A lower tier gets a kept turn once it has waited this long, in ms.
    pub floor_after_ms: u64,
    /// Order inside a tier.
    pub order: Order,
    /// Whether tiers count; without them all requests share one order.
    pub tiers: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            limit: 1_024,
            floor_every: 20,
            floor_after_ms: 2_000,
            order: Order::LatestStart,
            tiers: true,
        }
    }
}

/// What became of a request that was offered to a [`Queue`].
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// It waits; another request may have lost its place to it.
    Queued {
        /// The request that lost its place.
        shed: Option<Request>,
    },
    /// It is refused, since the queue is full and nothing of a lower tier can be shed.
    Refused(Request),
}

/// The waiting requests of one pool.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    tiers: Vec<Tier>,
    turns: u32,
    first_token_ms: u64,
}

impl Queue {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            tiers: vec![Tier::default(); TIERS],
            turns: 0,
            first_token_ms: 0,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tiers.iter().map(Tier::len).sum()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(Tier::is_empty)
    }

    /// Requests of tiers below `tier` that wait and hold no promised place.
    #[must_use]
    pub fn waiting_below(&self, tier: u8) -> usize {
        let below = usize::from(tier) + 1;
        self.tiers.iter().skip(below).map(Tier::sheddable).sum()
    }

    /// Tells the pool's present time to the first token, in ms.
    pub const fn set_first_token_ms(&mut self, ms: u64) {
        self.first_token_ms = ms;
    }

    fn slot(&self, tier: u8) -> usize {
        if self.settings.tiers {
            usize::from(tier).min(TIERS - 1)
        } else {
            0
        }
    }

    /// Offers a request.
    ///
    /// A full queue sheds a request of the lowest tier below the new one. The longest waiting
    /// request of a tier that has none promised is promised its turn and is not shed any more.
    pub fn push(&mut self, now: Millis, req: Request) -> Offer {
        let slot = self.slot(req.tier);
        let mut shed = None;
        if self.len() >= self.settings.limit {
            shed = self.shed_below(now, slot);
            if shed.is_none() && !self.has_promise_left(slot) {
                return Offer::Refused(req);
            }
        }
        self.requeue(req);
        Offer::Queued { shed }
    }

    /// Puts a request that was admitted before back, whatever the limit.
    pub fn requeue(&mut self, req: Request) {
        let slot = self.slot(req.tier);
        let waiting = Waiting {
            latest_start: self.latest_start(&req),
            promised: self.has_promise_left(slot),
            req,
        };
        self.tiers[slot].push(waiting);
    }

    fn latest_start(&self, req: &Request) -> Millis {
        match self.settings.order {
            Order::LatestStart => req.due.minus(self.first_token_ms),
            Order::EarliestDue | Order::Arrival => req.due,
        }
    }

    fn has_promise_left(&self, slot: usize) -> bool {
        self.settings.floor_every > 0 && slot > 0 && !self.tiers[slot].has_promised()
    }

    fn shed_below(&mut self, now: Millis, slot: usize) -> Option<Request> {
        (slot + 1..TIERS)
            .rev()
            .find_map(|lower| self.tiers[lower].shed(now))
    }

    /// The tier that a kept turn goes to: the one below the first that has waited longest.
    fn floor_tier(&self, now: Millis) -> Option<usize> {
        if self.settings.floor_every == 0 || self.turns + 1 < self.settings.floor_every {
            return None;
        }
        let first = self.tiers.iter().position(|t| !t.is_empty())?;
        let ready = |slot: &usize| {
            self.tiers[*slot]
                .oldest()
                .is_some_and(|t| now.since(t) >= self.settings.floor_after_ms)
        };
        (first + 1..TIERS)
            .filter(ready)
            .min_by_key(|slot| self.tiers[*slot].oldest())
    }

    /// The request that [`Self::pop`] would take.
    #[must_use]
    pub fn peek(&self, now: Millis) -> Option<&Request> {
        if let Some(slot) = self.floor_tier(now) {
            return self.tiers[slot].peek(now, Order::Arrival);
        }
        let order = self.settings.order;
        self.tiers.iter().find_map(|t| t.peek(now, order))
    }

    /// Takes the request that goes next and charges its workspace with `tokens`.
    pub fn pop(&mut self, now: Millis, tokens: u32) -> Option<Request> {
        let tokens = f64::from(tokens);
        if let Some(slot) = self.floor_tier(now) {
            self.turns = 0;
            return self.tiers[slot].pop_oldest(tokens);
        }
        let order = self.settings.order;
        let req = self
            .tiers
            .iter_mut()
            .find_map(|t| t.pop(now, order, tokens));
        if req.is_some() {
            self.turns = self.turns.saturating_add(1);
        }
        req
    }

    /// Takes a request out, since its caller has gone.
    pub fn remove(&mut self, id: u64) -> Option<Request> {
        self.tiers.iter_mut().find_map(|t| t.remove(id))
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Request> {
        let mut out = Vec::new();
        for tier in &mut self.tiers {
            tier.expire(now, &mut out);
        }
        out
    }

    /// The earliest deadline of a waiting request.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Millis> {
        self.tiers.iter().filter_map(Tier::next_deadline).min()
    }
}
