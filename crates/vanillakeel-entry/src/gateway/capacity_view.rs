//! What the planner of capacity is told: the upstreams of the services whose number follows the load.
//!
//! The list of upstreams has to be complete, since orders are absolute numbers: call [`services`] only after it has
//! been read once.

use std::sync::Arc;
use vanillakeel::{
    Millis,
    capacity::{
        ServiceView,
        UpstreamView, //
    },
    fleet::Fleet,
    routes::Table, //
};

/// Returns the services that name bounds for the number of their upstreams, with the load of all instances on these.
#[must_use]
pub fn services(now: Millis, table: &Table, fleet: &Fleet) -> Vec<ServiceView> {
    let mut views = Vec::new();
    for service in table.services() {
        let Some(autoscale) = &service.autoscale else {
            continue;
        };
        let mut upstreams = Vec::new();
        for load in fleet.upstream_loads(&service.name) {
            upstreams.push(UpstreamView {
                data_centre: Arc::clone(&load.listed.data_centre),
                is_spot: load.listed.is_spot,
                is_live: load.is_live,
                slots: load.listed.slots,
                calls: load.calls,
                prefill_tokens: load.prefill_tokens,
            });
        }
        views.push(ServiceView {
            service: Arc::clone(&service.name),
            autoscale: autoscale.clone(),
            upstreams,
            prefill_ms_per_token: fleet.learnt_prefill_ms_per_token(),
            refused_per_second: fleet.refused_per_second(now, &service.name),
        });
    }
    views
}
