//! Which upstream a request is sent to.
//!
//! A [`Table`] holds what this instance knows of the upstreams of one pool: its own calls in
//! flight, the last load report with its age, the time of a step against the pool's median, and
//! hints on which prompt prefixes an upstream has cached. Upstreams that fail or straggle are
//! ejected, a bounded share of them at once, and probed with a single call before they return.
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
mod pace;
mod prefix;
mod table;

pub(crate) use self::health::Health;
pub use self::table::{
    Choice,
    Report,
    Settings,
    Table, //
};
