//! Load reports, and orders to upstreams under the placement lease.

use super::Control;
use crate::{
    message::LoadNews,
    metrics::Metrics,
    platform::{
        Append,
        Order, //
    },
    time::wall_ms,
};
use std::sync::{
    Arc,
    atomic::Ordering, //
};
use vanillakeel::{
    Millis,
    lease::Action,
    placement::{
        self,
        CommandKind,
        Observed, //
    },
};
use vanillakeel_wire::{
    Body,
    Intent, //
};

/// Time between two reconciliations, in ms.
const PLACING_MS: u64 = 500;

/// A load report older than this is not reconciled with, in ms.
const MAX_REPORT_AGE_MS: u64 = 60_000;

impl Control {
    pub(super) fn on_load(&mut self, now: Millis, news: LoadNews) {
        let at = self
            .upstreams
            .binary_search_by(|u| u.name.cmp(&news.upstream));
        let Ok(at) = at else { return };
        let upstream = &mut self.upstreams[at];
        let had = upstream.observed.as_ref().map(|o| o.1.models.clone());
        let has_changed = had.as_ref() != Some(&news.models);
        upstream.observed = Some((
            now,
            Observed {
                upstream: Arc::clone(&news.upstream),
                pool: Arc::clone(&upstream.pool),
                models: news.models,
                loading: news.loading,
            },
        ));
        self.router
            .on_load_report(now, now, &news.upstream, news.report);
        if has_changed {
            let name = &news.upstream;
            let observed = &self.upstreams[at].observed;
            let models = observed.as_ref().map_or(&[][..], |o| &o.1.models);
            self.withdrawn
                .retain(|w| w.0 != *name || models.contains(&w.1));
            self.apply_upstreams(now);
        }
    }

    pub(super) fn carry_out_lease(&mut self) {
        let actions: Vec<Action> = self.lease.drain().collect();
        for Action::Append(record) in actions {
            Metrics::count(&self.metrics().appends, "lease", 1);
            self.waiting_appends.push_back(Append(Body::Lease(record)));
        }
    }

    /// Keeps the lease and, if it is held, gives the orders that are due.
    pub(super) fn place(&mut self, now: Millis) {
        let wants = self.configuration.version() > 0 && !self.is_leaving();
        self.lease.tick(now, wants);
        let is_holder = self.lease.fencing_token(now).is_some();
        self.out.is_holder.store(is_holder, Ordering::Relaxed);
        if now < self.next_placing || !is_holder {
            return;
        }
        self.next_placing = now.plus(PLACING_MS);
        let requirements = placement::requirements(&self.text, wall_ms(), placement::EVENT_LEAD_MS);
        let observed: Vec<Observed> = self
            .upstreams
            .iter()
            .filter(|u| !self.membership.is_leaving(&u.name))
            .filter_map(|u| u.observed.as_ref())
            .filter(|o| now.since(o.0) < MAX_REPORT_AGE_MS)
            .map(|o| o.1.clone())
            .collect();
        let orders = self
            .placement
            .reconcile(now, wall_ms(), &requirements, &observed);
        let risks = self.placement.risks().len() as i64;
        if self.metrics().events_at_risk.set(risks) != risks {
            tracing::warn!(risks, "events at risk");
        }
        for order in orders {
            self.give(now, &order);
        }
    }

    /// Gives an order, with the lease looked at right before.
    fn give(&mut self, now: Millis, order: &placement::Command) {
        let Some(fencing) = self.lease.fencing_token(now) else {
            return;
        };
        let change = match order.kind {
            CommandKind::Drain => {
                let intent = Intent {
                    upstream: Arc::clone(&order.upstream),
                    model: Arc::clone(&order.model),
                    fencing,
                };
                self.waiting_appends.push_back(Append(Body::Intent(intent)));
                return;
            }
            CommandKind::Load => "load",
            CommandKind::Unload => "unload",
        };
        tracing::info!(upstream = %order.upstream, model = %order.model, change, "order");
        Metrics::count(&self.metrics().orders, change, 1);
        let at = self
            .upstreams
            .binary_search_by(|u| u.name.cmp(&order.upstream));
        let Ok(at) = at else { return };
        let sent = Order::Place {
            address: self.upstreams[at].address,
            change,
            model: order.model.to_string(),
            fencing,
        };
        let _ = self.out.orders.try_send(sent);
    }
}
