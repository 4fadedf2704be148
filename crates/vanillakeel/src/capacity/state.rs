//! The planner.

use super::{
    demand::{
        Demand,
        MAX_COUNTED,
        Need, //
    },
    lane::Lane,
    settings::Settings,
    site::Site,
    spread::{
        self,
        Bounds,
        Place, //
    },
    status::LaneStatus,
    turn::Turn,
    view::{
        Order,
        Outcome,
        ServiceView,
        UpstreamView, //
    },
};
use crate::{
    Millis,
    routes::Autoscale, //
};
use std::sync::Arc;

/// Time after which the outcome of an order is no longer awaited, in ms.
const OUTCOME_MS: u64 = 5_000;

/// Price of an upstream in a data centre that the configuration does not name, in thousandths.
const DEFAULT_PRICE: u32 = 1_000;

/// A service whose number of upstreams follows the load.
#[derive(Clone, Debug)]
struct Plan {
    service: Arc<str>,
    autoscale: Autoscale,
    demand: Demand,
    /// Sorted by data centre.
    sites: Vec<Site>,
    /// Time at which it was first known, and at which its first upstream was.
    since: Millis,
    seen_at: Option<Millis>,
    observed_at: Millis,
}

/// Decides how many upstreams to order.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    settings: Settings,
    /// Sorted by service.
    plans: Vec<Plan>,
    asked_at: Option<Millis>,
}

impl Planner {
    /// Creates a planner that has seen nothing yet.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            plans: Vec::new(),
            asked_at: None,
        }
    }

    /// Records the present state of the services whose number of upstreams follows the load.
    ///
    /// A service that is not among them is forgotten. This is called at every instance that may hold the duty, so
    /// that one that takes it over knows the load.
    pub fn observe(&mut self, now: Millis, services: &[ServiceView]) {
        self.plans
            .retain(|p| services.iter().any(|s| s.service == p.service));
        for service in services {
            let found = self
                .plans
                .binary_search_by(|p| p.service.cmp(&service.service));
            let at = found.unwrap_or_else(|at| {
                let plan = Plan::new(now, service, &self.settings);
                self.plans.insert(at, plan);
                at
            });
            self.plans[at].observe(now, service, &self.settings);
        }
    }

    /// Returns the orders that are to be sent now, each of which [`on_ordered`](Self::on_ordered) answers.
    pub fn orders(&mut self, now: Millis) -> Vec<Order> {
        let previous = self.asked_at.replace(now);
        let gap_ms = self.settings.holder_gap_ms;
        let others_may_have = previous.is_none_or(|at| now.since(at) > gap_ms);
        let mut orders = Vec::new();
        for plan in &mut self.plans {
            if others_may_have {
                plan.forget_orders();
            }
            plan.add_orders(now, &self.settings, &mut orders);
        }
        orders
    }

    /// Records what came of an order.
    pub fn on_ordered(&mut self, now: Millis, order: &Order, outcome: Outcome) {
        self.asked_at = Some(now);
        let settings = &self.settings;
        let plan = self.plans.iter_mut().find(|p| p.service == order.service);
        let sites = plan.into_iter().flat_map(|p| p.sites.iter_mut());
        for site in sites.filter(|s| s.data_centre == order.data_centre) {
            let lane = site.lane_mut(order.is_spot);
            lane.on_outcome(now, order.wanted, outcome, settings);
        }
    }

    /// Returns what is wanted, there and expected, sorted by service and data centre.
    ///
    /// Nothing is wanted or expected by a planner that has not been asked for orders lately.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<LaneStatus> {
        let gap_ms = self.settings.holder_gap_ms;
        let is_ordering = self.asked_at.is_some_and(|at| now.since(at) <= gap_ms);
        let while_ordering = |count: u32| if is_ordering { count } else { 0 };
        let mut status = Vec::new();
        for plan in &self.plans {
            let due_ms = plan.due_ms(&self.settings);
            for site in &plan.sites {
                for is_spot in [false, true] {
                    let lane = site.lane(is_spot);
                    status.push(LaneStatus {
                        service: Arc::clone(&plan.service),
                        data_centre: Arc::clone(&site.data_centre),
                        is_spot,
                        wanted: while_ordering(lane.wanted),
                        present: lane.present,
                        coming: while_ordering(lane.coming(now, due_ms)),
                        reason: lane.reason,
                    });
                }
            }
        }
        status
    }
}

impl Plan {
    fn new(now: Millis, service: &ServiceView, settings: &Settings) -> Self {
        Self {
            service: Arc::clone(&service.service),
            autoscale: service.autoscale.clone(),
            demand: Demand::new(now, service, settings),
            sites: Vec::new(),
            since: now,
            seen_at: None,
            observed_at: now,
        }
    }

    fn observe(&mut self, now: Millis, service: &ServiceView, settings: &Settings) {
        if now.since(self.observed_at) > settings.holder_gap_ms {
            // What was held then says nothing about the present.
            *self = Self::new(now, service, settings);
        }
        self.observed_at = now;
        self.autoscale = service.autoscale.clone();
        self.demand.observe(now, service, settings);
        if !service.upstreams.is_empty() {
            self.seen_at.get_or_insert(now);
        }
        let present_at = |name: &Arc<str>| service.upstreams.iter().any(|u| u.data_centre == *name);
        let autoscale = &service.autoscale;
        self.sites
            .retain(|s| is_priced(autoscale, &s.data_centre) || present_at(&s.data_centre));
        let priced = service.autoscale.prices.iter().map(|(name, _)| name);
        let present = service.upstreams.iter().map(|u| &u.data_centre);
        for name in priced.chain(present) {
            if let Err(at) = self.find(name) {
                let site = Site {
                    data_centre: Arc::clone(name),
                    ordinary: Lane::default(),
                    spot: Lane::default(),
                };
                self.sites.insert(at, site);
            }
        }
        for site in &mut self.sites {
            for is_spot in [false, true] {
                let is_of_lane = |u: &&UpstreamView| {
                    u.is_live && u.is_spot == is_spot && u.data_centre == site.data_centre
                };
                let present = service.upstreams.iter().filter(is_of_lane).count();
                site.lane_mut(is_spot).observe(now, present as u32);
            }
        }
    }

    fn find(&self, data_centre: &str) -> Result<usize, usize> {
        self.sites
            .binary_search_by(|s| (*s.data_centre).cmp(data_centre))
    }

    fn forget_orders(&mut self) {
        for site in &mut self.sites {
            site.ordinary.forget_orders();
            site.spot.forget_orders();
        }
    }

    /// Returns the time within which an order is carried out, in ms.
    const fn due_ms(&self, settings: &Settings) -> u64 {
        self.autoscale
            .boot_ms
            .saturating_add(settings.overdue_margin_ms)
    }

    /// Returns whether the upstreams are known well enough for orders.
    fn is_known(&self, now: Millis, settings: &Settings) -> bool {
        match self.seen_at {
            Some(at) => now.since(at) >= settings.first_order_ms,
            None => now.since(self.since) >= self.due_ms(settings),
        }
    }

    fn bounds(&self, settings: &Settings) -> Bounds {
        let autoscale = &self.autoscale;
        let spot_price = autoscale.spot_price;
        let max = autoscale.max_upstreams.min(MAX_COUNTED);
        // Callers of a data centre are served there while there are any.
        let fewest = u32::from(self.demand.is_in_use());
        Bounds {
            min: autoscale.min_upstreams.max(fewest).min(max),
            max,
            spot_price: spot_price.filter(|price| *price < settings.max_spot_price),
        }
    }

    fn price(&self, data_centre: &str) -> u32 {
        let prices = &self.autoscale.prices;
        let found = prices.binary_search_by(|(name, _)| (**name).cmp(data_centre));
        found.map_or(DEFAULT_PRICE, |at| prices[at].1)
    }

    /// Returns the most upstreams of a kind that may be wanted in a data centre: no more than there are where the
    /// configuration names other data centres only.
    fn limit(&self, now: Millis, site: &Site, is_spot: bool) -> u32 {
        let lane = site.lane(is_spot);
        if is_priced(&self.autoscale, &site.data_centre) {
            lane.limit(now)
        } else {
            lane.present
        }
    }

    /// Works out which numbers the load asks for.
    fn update_wanted(&mut self, now: Millis, need: Need, bounds: Bounds) {
        let places: Vec<_> = self
            .sites
            .iter()
            .map(|site| Place {
                price: self.price(&site.data_centre),
                ordinary_limit: self.limit(now, site, false),
                spot_limit: self.limit(now, site, true),
            })
            .collect();
        let wanted = spread::spread(need, bounds, &places);
        for (site, wanted) in self.sites.iter_mut().zip(wanted) {
            site.ordinary.wanted = wanted.ordinary;
            site.spot.wanted = wanted.spot;
        }
    }

    fn add_orders(&mut self, now: Millis, settings: &Settings, orders: &mut Vec<Order>) {
        if !self.is_known(now, settings) {
            return;
        }
        let need = self.demand.need(settings);
        let bounds = self.bounds(settings);
        for site in &mut self.sites {
            site.ordinary.expire(now, OUTCOME_MS);
            site.spot.expire(now, OUTCOME_MS);
        }
        self.update_wanted(now, need, bounds);
        let mut staying: Vec<_> = self.sites.iter().map(Site::staying).collect();
        for at in 0..self.sites.len() {
            for is_spot in [true, false] {
                let turn = Turn {
                    now,
                    need,
                    bounds,
                    settings,
                    due_ms: self.due_ms(settings),
                    demand: &self.demand,
                    sites: &self.sites,
                    staying: &staying,
                };
                let Some((wanted, reason)) = turn.order(at, is_spot) else {
                    continue;
                };
                let count = staying[at].of_mut(is_spot);
                *count = (*count).min(wanted);
                let site = &mut self.sites[at];
                let lane = site.lane_mut(is_spot);
                let asks_for_more = wanted > lane.present;
                lane.on_sent(now, wanted, reason);
                orders.push(Order {
                    service: Arc::clone(&self.service),
                    data_centre: Arc::clone(&site.data_centre),
                    is_spot,
                    wanted,
                    asks_for_more,
                    reason,
                });
            }
        }
    }
}

/// Returns whether a configuration names a data centre with a price, or none at all.
fn is_priced(autoscale: &Autoscale, data_centre: &str) -> bool {
    let prices = &autoscale.prices;
    let found = prices.binary_search_by(|(name, _)| (**name).cmp(data_centre));
    prices.is_empty() || found.is_ok()
}
