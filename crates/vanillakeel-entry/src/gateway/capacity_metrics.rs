//! Metrics of the numbers of upstreams that the planner of capacity works out.
//!
//! ```
//! use prometheus_client::registry::Registry;
//! use vanillakeel::capacity::Planner;
//! use vanillakeel_entry::gateway::capacity_metrics::CapacityMetrics;
//!
//! let metrics = CapacityMetrics::default();
//! metrics.register(&mut Registry::default());
//! metrics.show(&Planner::default().status(vanillakeel::Millis::ZERO));
//! ```

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};
use std::sync::Arc;
use vanillakeel::capacity::{
    LaneStatus,
    Order, //
};

/// Labels of the gauges.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LaneLabels {
    service: Arc<str>,
    data_centre: Arc<str>,
    kind: &'static str,
}

/// Labels of the counter of orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    service: Arc<str>,
    kind: &'static str,
    reason: &'static str,
}

const fn kind(is_spot: bool) -> &'static str {
    if is_spot { "spot" } else { "ordinary" }
}

/// Numbers of upstreams by service, data centre and kind, and the orders sent.
#[derive(Clone, Debug, Default)]
pub struct CapacityMetrics {
    wanted: Family<LaneLabels, Gauge>,
    present: Family<LaneLabels, Gauge>,
    coming: Family<LaneLabels, Gauge>,
    orders: Family<OrderLabels, Counter>,
}

impl CapacityMetrics {
    /// Adds the metrics to a registry, with the help texts of the page.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "wanted_upstreams",
            "Upstreams that the load asks for, while this instance orders them",
            self.wanted.clone(),
        );
        registry.register(
            "present_upstreams",
            "Upstreams that take requests, of services whose number follows the load",
            self.present.clone(),
        );
        registry.register(
            "coming_upstreams",
            "Upstreams that this instance has ordered and that are still expected",
            self.coming.clone(),
        );
        registry.register(
            "upstream_orders",
            "Orders of upstreams that this instance has sent",
            self.orders.clone(),
        );
    }

    /// Shows what the planner knows.
    pub fn show(&self, status: &[LaneStatus]) {
        for lane in status {
            let labels = LaneLabels {
                service: Arc::clone(&lane.service),
                data_centre: Arc::clone(&lane.data_centre),
                kind: kind(lane.is_spot),
            };
            let set = |family: &Family<LaneLabels, Gauge>, count: u32| {
                family.get_or_create(&labels).set(i64::from(count));
            };
            set(&self.wanted, lane.wanted);
            set(&self.present, lane.present);
            set(&self.coming, lane.coming);
        }
    }

    /// Counts an order that is sent.
    pub fn on_order(&self, order: &Order) {
        let labels = OrderLabels {
            service: Arc::clone(&order.service),
            kind: kind(order.is_spot),
            reason: order.reason.as_str(),
        };
        self.orders.get_or_create(&labels).inc();
    }
}
