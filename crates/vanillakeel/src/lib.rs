//! Coordination parts of a router for language-model traffic with service levels and priorities.
//!
//! Every part is a plain struct that takes typed events with the time ([`Millis`]) and, where it
//! needs one, a seed, and returns or pushes typed actions. No part has a thread, a socket or a
//! clock, so the same events give the same actions in a daemon, a test and a bench.
//!
//! - [`text`] reads and checks the operator's text.
//! - [`admission`], [`routing`], [`subset`], [`attempt`] and [`share`] decide on traffic; [`router`] composes
//!   them for one instance.
//! - [`routes`] and [`fleet`] decide where requests that are passed through unchanged go; [`mesh`]
//!   shares load and what was read from the log.
//! - [`claim`], [`configuration`] and [`lease`] agree through the order of records on a log.
//! - [`membership`] knows who is live; [`placement`] moves models to what is due first.
//! - [`verdict`] says whether a request may have run.
//!
//! ```
//! use vanillakeel::{Millis, router::{Router, Settings}};
//!
//! let mut router = Router::new("instance-1", 1, Settings::default());
//! router.tick(Millis::ZERO);
//! assert_eq!(router.drain().count(), 0);
//! ```

pub mod admission;
pub mod attempt;
pub mod claim;
mod clock;
pub mod config;
pub mod config_log;
pub mod fleet;
pub mod lease;
pub mod membership;
pub mod mesh;
pub mod order;
pub mod placement;
pub mod router;
pub mod routes;
pub mod routing;
pub mod share;
pub mod subset;
pub mod verdict;

pub use self::{
    admission::Request,
    clock::Millis,
    config::Config,
    router::Router,
    verdict::{
        Reason,
        Refusal,
        Verdict, //
    },
};
