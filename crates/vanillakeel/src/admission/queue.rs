//! The queue of one pool, made of one queue per tier.

use super::{
    Request,
    tier::{
        Tier,
        Waiting, //
    },
};
use crate::Millis;

pub use super::tier::QueueOrder;

/// Number of tiers; requests of any further tier join the lowest.
const TIERS: usize = 8;

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of waiting requests.
    pub limit: usize,
    /// One turn in this many is reserved for lower tiers; zero for none.
    pub reserved_turn_every: u32,
    /// Time in ms that a request of a lower tier has to wait before its tier gets a reserved turn.
    pub reserved_turn_wait_ms: u64,
    /// Order of the requests inside a tier.
    pub order: QueueOrder,
    /// Whether tiers are respected; if not, all requests share one tier.
    pub tiers: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            limit: 1_024,
            reserved_turn_every: 20,
            reserved_turn_wait_ms: 2_000,
            order: QueueOrder::LatestStart,
            tiers: true,
        }
    }
}

/// Result of offering a request to a [`Queue`].
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request is queued; another one may have been shed to make room for it.
    Queued {
        /// The request that was shed.
        shed: Option<Request>,
    },
    /// The request is refused, since the queue is full and no request of a lower tier can be shed.
    Refused(Request),
}

/// The waiting requests of one pool.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    tiers: Vec<Tier>,
    /// Turns taken since the last reserved one.
    turns_since_reserved: u32,
    first_token_ms: u64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            tiers: vec![Tier::default(); TIERS],
            turns_since_reserved: 0,
            first_token_ms: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tiers.iter().map(Tier::len).sum()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(Tier::is_empty)
    }

    /// Returns the number of waiting requests of tiers below `tier` that may be shed.
    #[must_use]
    pub fn sheddable_below(&self, tier: u8) -> usize {
        let below = usize::from(tier) + 1;
        self.tiers.iter().skip(below).map(Tier::sheddable).sum()
    }

    /// Sets the pool's current time to the first token, in ms.
    ///
    /// It is subtracted from the due time of a request to get its latest start time.
    pub const fn set_first_token_ms(&mut self, ms: u64) {
        self.first_token_ms = ms;
    }

    fn tier_index(&self, tier: u8) -> usize {
        if self.settings.tiers {
            usize::from(tier).min(TIERS - 1)
        } else {
            0
        }
    }

    /// Offers a request to the queue.
    ///
    /// A full queue sheds a request of the lowest tier that is below the new one's. In each tier
    /// but the highest, one request holds a guaranteed place and is never shed: the first that
    /// joins while no other holds it. Such a request is queued even if the queue is full. There are
    /// no guaranteed places if no turns are reserved.
    pub fn push(&mut self, now: Millis, req: Request) -> Admission {
        let tier_index = self.tier_index(req.tier);
        let mut shed = None;
        if self.len() >= self.settings.limit {
            shed = self.shed_below(now, tier_index);
            if shed.is_none() && !self.can_guarantee(tier_index) {
                return Admission::Refused(req);
            }
        }
        self.requeue(req);
        Admission::Queued { shed }
    }

    /// Puts a request that was admitted earlier back into the queue, regardless of the limit.
    pub fn requeue(&mut self, req: Request) {
        let tier_index = self.tier_index(req.tier);
        let waiting = Waiting {
            latest_start: self.latest_start(&req),
            is_guaranteed: self.can_guarantee(tier_index),
            req,
        };
        self.tiers[tier_index].push(waiting);
    }

    fn latest_start(&self, req: &Request) -> Millis {
        match self.settings.order {
            QueueOrder::LatestStart => req.due.minus(self.first_token_ms),
            QueueOrder::EarliestDue | QueueOrder::Arrival => req.due,
        }
    }

    fn can_guarantee(&self, tier_index: usize) -> bool {
        self.settings.reserved_turn_every > 0
            && tier_index > 0
            && !self.tiers[tier_index].has_guaranteed()
    }

    fn shed_below(&mut self, now: Millis, tier_index: usize) -> Option<Request> {
        (tier_index + 1..TIERS)
            .rev()
            .find_map(|lower| self.tiers[lower].shed(now))
    }

    /// Returns the tier that gets this turn as a reserved one, if it is such a turn.
    ///
    /// It is a tier below the highest non-empty one. Among those whose oldest request has waited
    /// long enough, it is the one whose oldest request arrived first.
    fn reserved_turn_tier(&self, now: Millis) -> Option<usize> {
        if self.settings.reserved_turn_every == 0
            || self.turns_since_reserved + 1 < self.settings.reserved_turn_every
        {
            return None;
        }
        let first = self.tiers.iter().position(|t| !t.is_empty())?;
        let ready = |tier_index: &usize| {
            self.tiers[*tier_index]
                .oldest_arrival()
                .is_some_and(|t| now.since(t) >= self.settings.reserved_turn_wait_ms)
        };
        (first + 1..TIERS)
            .filter(ready)
            .min_by_key(|tier_index| self.tiers[*tier_index].oldest_arrival())
    }

    /// Returns the request that [`Self::pop`] would take.
    #[must_use]
    pub fn peek(&self, now: Millis) -> Option<&Request> {
        if let Some(tier_index) = self.reserved_turn_tier(now) {
            return self.tiers[tier_index].peek(now, QueueOrder::Arrival);
        }
        let order = self.settings.order;
        self.tiers.iter().find_map(|t| t.peek(now, order))
    }

    /// Takes the request to serve next, and charges its workspace with `tokens`.
    pub fn pop(&mut self, now: Millis, tokens: u32) -> Option<Request> {
        let tokens = f64::from(tokens);
        if let Some(tier_index) = self.reserved_turn_tier(now) {
            self.turns_since_reserved = 0;
            return self.tiers[tier_index].pop_oldest(tokens);
        }
        let order = self.settings.order;
        let req = self
            .tiers
            .iter_mut()
            .find_map(|t| t.pop(now, order, tokens));
        if req.is_some() {
            self.turns_since_reserved = self.turns_since_reserved.saturating_add(1);
        }
        req
    }

    /// Removes a waiting request, for example because its caller has disconnected.
    pub fn remove(&mut self, id: u64) -> Option<Request> {
        self.tiers.iter_mut().find_map(|t| t.remove(id))
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Request> {
        let mut out = Vec::new();
        for tier in &mut self.tiers {
            tier.expire(now, &mut out);
        }
        out
    }

    /// Returns the earliest deadline among the waiting requests.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Millis> {
        self.tiers.iter().filter_map(Tier::next_deadline).min()
    }
}
