//! Orders that bring upstreams from what they report to what is needed.

use super::Need;
use crate::Millis;
use std::sync::Arc;

/// Settings of a [`Placement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Models that an upstream can hold.
    pub models_per_upstream: usize,
    /// Loads that the weight store serves at once.
    pub loads_at_once: usize,
    /// Time that a load takes, in ms.
    pub load_ms: u64,
    /// An upstream that was changed is left alone this long, in ms.
    pub hold_ms: u64,
    /// An order that shows no effect is given again after this long, in ms.
    pub repeat_ms: u64,
    /// An upstream that is to lose a model gets no new requests for it for this long first, in ms.
    pub drain_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models_per_upstream: 1,
            loads_at_once: 2,
            load_ms: 20_000,
            hold_ms: 60_000,
            repeat_ms: 40_000,
            drain_ms: 3_000,
        }
    }
}

/// What an upstream reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Models that it holds.
    pub models: Vec<Arc<str>>,
    /// The model that it loads at present.
    pub loading: Option<Arc<str>>,
}

/// What an order changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Get no new requests for the model; the record of this goes to the log.
    Drain,
    /// Drop the model.
    Unload,
    /// Load the model.
    Load,
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// What to do.
    pub change: Change,
}

/// An event whose capacity will not be in place in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Risk {
    /// The service.
    pub service: Arc<str>,
    /// Replicas that are missing.
    pub missing: u32,
    /// How late the last one will be, in ms.
    pub late_ms: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    order: Order,
    /// The model that the upstream is to hold in the end.
    wanted: Arc<str>,
    since: Millis,
}

/// The orders of the holder of the placement lease.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: Settings,
    pending: Vec<Pending>,
    changed: Vec<(Arc<str>, Millis)>,
    risks: Vec<Risk>,
}

impl Placement {
    /// Makes a placement with no order under way.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            pending: Vec::new(),
            changed: Vec::new(),
            risks: Vec::new(),
        }
    }

    /// Events at risk, as of the last reconciliation.
    #[must_use]
    pub fn risks(&self) -> &[Risk] {
        &self.risks
    }

    /// Upstreams that get no new requests for a model, since they are to lose it.
    pub fn draining(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pending
            .iter()
            .filter(|p| p.order.change != Change::Load)
            .map(|p| (&*p.order.upstream, &*p.order.model))
    }

    /// Compares needs with what upstreams report, and returns the orders to give now.
    ///
    /// `needs` has those due first at the front, `wall_ms` is the time in ms since 1970.
    pub fn reconcile(
        &mut self,
        now: Millis,
        wall_ms: u64,
        needs: &[Need],
        observed: &[Observed],
    ) -> Vec<Order> {
        self.settle(now, observed);
        let mut orders = self.continue_drains(now);
        self.risks.clear();
        for need in needs {
            self.serve(now, need, needs, observed, &mut orders);
            self.note_risk(wall_ms, need, observed);
        }
        orders
    }

    /// Drops orders that the reports show as done, and those without effect for too long.
    fn settle(&mut self, now: Millis, observed: &[Observed]) {
        let repeat_ms = self.settings.repeat_ms;
        let hold_ms = self.settings.hold_ms;
        let mut done = Vec::new();
        self.pending.retain(|p| {
            let seen = observed.iter().find(|o| o.upstream == p.order.upstream);
            let holds = seen.is_some_and(|o| o.models.contains(&p.order.model));
            let is_done = match p.order.change {
                Change::Load => holds,
                Change::Drain => false,
                Change::Unload => seen.is_some() && !holds,
            };
            if is_done && p.order.change == Change::Load {
                done.push((Arc::clone(&p.order.upstream), now));
            }
            let is_dropped = seen.is_none() || now.since(p.since) >= repeat_ms;
            !is_done && !is_dropped
        });
        self.changed.retain(|c| now.since(c.1) < hold_ms);
        self.changed.extend(done);
    }

    /// Turns drains that have lasted long enough into orders to unload.
    fn continue_drains(&mut self, now: Millis) -> Vec<Order> {
        let drain_ms = self.settings.drain_ms;
        let mut orders = Vec::new();
        for p in &mut self.pending {
            if p.order.change == Change::Drain && now.since(p.since) >= drain_ms {
                p.order.change = Change::Unload;
                p.since = now;
                orders.push(p.order.clone());
            }
        }
        orders
    }

    fn loads(&self) -> usize {
        self.pending
            .iter()
            .filter(|p| p.order.change == Change::Load)
            .count()
    }

    /// Upstreams that hold a model and are not to lose it.
    fn holding(&self, model: &str, pool: &str, observed: &[Observed]) -> u32 {
        observed
            .iter()
            .filter(|o| *o.pool == *pool && o.models.iter().any(|m| **m == *model))
            .filter(|o| !self.draining().any(|d| d == (&*o.upstream, model)))
            .count() as u32
    }

    /// Upstreams that will hold a model, by own orders, even if they have to lose another one first,
    /// or by report.
    fn coming(&self, model: &str, pool: &str, observed: &[Observed]) -> u32 {
        let is_ordered = |o: &Observed| {
            self.pending
                .iter()
                .any(|p| p.order.upstream == o.upstream && *p.wanted == *model)
        };
        observed
            .iter()
            .filter(|o| *o.pool == *pool && !o.models.iter().any(|m| **m == *model))
            .filter(|o| o.loading.as_deref() == Some(model) || is_ordered(o))
            .count() as u32
    }

    fn serve(
        &mut self,
        now: Millis,
        need: &Need,
        needs: &[Need],
        observed: &[Observed],
        orders: &mut Vec<Order>,
    ) {
        let has = self.holding(&need.model, &need.pool, observed)
            + self.coming(&need.model, &need.pool, observed);
        let mut missing = need.replicas.saturating_sub(has);
        let most = self.settings.models_per_upstream;
        let has_room = |o: &&Observed| o.models.len() < most;
        let own = || observed.iter().filter(|o| o.pool == need.pool);
        // Upstreams with room first, so that none loses a model without need.
        let full = own().filter(|o| !has_room(o));
        for o in own().filter(has_room).chain(full) {
            if missing == 0 {
                return;
            }
            missing -= u32::from(self.use_upstream(now, need, needs, observed, o, orders));
        }
    }

    /// Loads the need's model at an upstream with room, or drains one that can be spared there.
    fn use_upstream(
        &mut self,
        now: Millis,
        need: &Need,
        needs: &[Need],
        observed: &[Observed],
        o: &Observed,
        orders: &mut Vec<Order>,
    ) -> bool {
        let is_busy = self.pending.iter().any(|p| p.order.upstream == o.upstream);
        if is_busy || o.loading.is_some() || o.models.contains(&need.model) {
            return false;
        }
        if o.models.len() < self.settings.models_per_upstream {
            if self.loads() >= self.settings.loads_at_once {
                return false;
            }
            self.order(now, o, &need.model, need, Change::Load, orders);
            return true;
        }
        let is_held = self.changed.iter().any(|c| c.0 == o.upstream);
        let spare = o
            .models
            .iter()
            .find(|m| self.can_spare(m, need, needs, observed))
            .cloned();
        match spare {
            Some(model) if !is_held => {
                self.order(now, o, &model, need, Change::Drain, orders);
                true
            }
            _ => false,
        }
    }

    /// Whether a model has more replicas than its own need, and never its last one.
    fn can_spare(&self, model: &str, need: &Need, needs: &[Need], observed: &[Observed]) -> bool {
        let keep = |n: &Need| {
            let yields = need
                .due_ms
                .is_some_and(|due| n.due_ms.is_none_or(|d| d > due));
            if yields {
                n.replicas.min(1)
            } else {
                n.replicas
            }
        };
        let kept = needs
            .iter()
            .filter(|n| *n.model == *model && n.pool == need.pool)
            .map(keep)
            .max()
            .unwrap_or(0);
        self.holding(model, &need.pool, observed) > kept
    }

    fn order(
        &mut self,
        now: Millis,
        o: &Observed,
        model: &Arc<str>,
        need: &Need,
        change: Change,
        orders: &mut Vec<Order>,
    ) {
        let order = Order {
            upstream: Arc::clone(&o.upstream),
            model: Arc::clone(model),
            change,
        };
        orders.push(order.clone());
        self.pending.push(Pending {
            order,
            wanted: Arc::clone(&need.model),
            since: now,
        });
    }

    fn note_risk(&mut self, wall_ms: u64, need: &Need, observed: &[Observed]) {
        let Some(due_ms) = need.due_ms else { return };
        let missing = need
            .replicas
            .saturating_sub(self.holding(&need.model, &need.pool, observed));
        if missing == 0 {
            return;
        }
        let turns = u64::from(missing).div_ceil(self.settings.loads_at_once.max(1) as u64);
        let ready_ms = wall_ms + turns * self.settings.load_ms;
        if ready_ms > due_ms {
            self.risks.push(Risk {
                service: Arc::clone(&need.service),
                missing,
                late_ms: ready_ms - due_ms,
            });
        }
    }
}
