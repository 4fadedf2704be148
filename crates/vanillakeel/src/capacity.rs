//! How many upstreams a service has in each data centre, by the load.
//!
//! A [`Planner`] is told the upstreams of each service that names [`Autoscale`](crate::routes::Autoscale) bounds, with
//! the load on them, and returns [`Order`]s: absolute numbers by service, data centre and kind. It answers:
//!
//! - a burst that grows faster than an upstream starts: the number follows the largest load of the last while, with
//!   headroom;
//! - a calm: the number falls stepwise, after the load has been low for a while;
//! - cheap capacity that is reclaimed: spot upstreams are spread so that the loss of those of one data centre leaves
//!   enough, and ordinary ones are ordered where spot ones are not to be had;
//! - orders that are refused, late or lost: they are repeated at a bounded pace.
//!
//! `docs/design/capacity.md` gives the reasons.
//!
//! ```
//! use std::sync::Arc;
//! use vanillakeel::{
//!     Millis,
//!     capacity::{Planner, ServiceView, Settings, UpstreamView},
//!     routes::Autoscale,
//! };
//!
//! let upstream = UpstreamView { data_centre: Arc::from("a"), slots: 4, calls: 4, ..UpstreamView::default() };
//! let service = ServiceView {
//!     service: Arc::from("engines"),
//!     autoscale: Autoscale { min_upstreams: 1, max_upstreams: 8, boot_ms: 4_000, ..Autoscale::default() },
//!     upstreams: vec![upstream],
//!     ..ServiceView::default()
//! };
//! let mut planner = Planner::new(Settings::default());
//! planner.observe(Millis::ZERO, &[service]);
//! let orders = planner.orders(Millis::ZERO);
//! assert!(orders.iter().all(|o| o.wanted > 1));
//! ```

mod demand;
mod lane;
mod settings;
mod site;
mod spread;
mod state;
mod status;
mod turn;
mod view;

pub use self::{
    settings::Settings,
    state::Planner,
    status::{
        LaneStatus,
        Reason, //
    },
    view::{
        Order,
        Outcome,
        ServiceView,
        UpstreamView, //
    },
};
