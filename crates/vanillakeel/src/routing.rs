//! Selection of the upstream for a request, for the `vanillakeel-entry` daemon.
//!
//! The counterpart for the pass-through daemon is [`fleet`](crate::fleet), which shares the outlier
//! ejection of this module.
//!
//! A [`Table`] holds what this instance knows of the upstreams of one pool: its own requests in
//! flight, the last load report with its age, the time per decode step relative to the pool's
//! median, and hints on which prompt prefixes an upstream has cached. Upstreams that fail or
//! straggle are ejected and probed with a single request before they return. Only a bounded
//! fraction of a pool is ejected for straggling at the same time. An upstream that names a
//! [rate limit](crate::rate_limits) is selected only while it has room.
//!
//! ```
//! use vanillakeel::{order::Random, routing::{Settings, Table}, Millis, Request};
//!
//! let mut table = Table::new(Settings::default());
//! table.upsert("runner-1", 16, "dc-1");
//! let mut random = Random::new(1);
//! let req = Request::default();
//! assert_eq!(table.pick(Millis::ZERO, &req, &[], &mut random), Some("runner-1".into()));
//! ```

mod health;
mod limited;
mod prefix;
mod step_times;
mod table;

pub use self::table::{
    LoadReport,
    Settings,
    Strategy,
    Table, //
};
pub(crate) use self::{
    health::Health,
    limited::ChangedRate, //
};
