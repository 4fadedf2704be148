//! Decision logic of a router for language-model traffic with service levels and priorities.
//!
//! Each module is a deterministic state machine: a plain struct takes typed events with the time
//! ([`Millis`]) and, where it makes random choices, a seed, and returns or queues typed actions. No
//! module has a thread, a socket or a clock, so the same events give the same actions in a daemon,
//! a test and a benchmark.
//!
//! Two daemons use this crate.
//!
//! The pass-through daemon, the `gateway` module of the crate `vanillakeel-entry`, forwards
//! requests unchanged, by host and path:
//!
//! - [`routes`] holds its configuration: routes, services and keys.
//! - [`fleet`] tracks the upstreams that discovery lists and chooses one for each request.
//! - [`streams`] knows which software version began a stream that a caller takes up again.
//! - [`quarantine`] finds the prompt segments that crash upstreams.
//! - [`availability`] holds which upstreams want no requests, by what their answers say.
//! - [`rate_limits`] holds the rates that upstreams name, and [`division`] divides limits over instances.
//! - [`caller_budget`] bounds what callers make an instance hold.
//! - [`ask_pace`] says how often an instance asks a log that does not serve it.
//! - [`duty`] says which instance does the tasks that only one may do: [`usage`] counts the requests of
//!   workspaces, and [`capacity`] decides how many upstreams run.
//! - [`mesh`] exchanges load, and what was read from the log, between instances.
//!
//! The `vanillakeel-entry` daemon serves requests by class and priority:
//!
//! - [`config`] parses and checks the operator's configuration. It is the counterpart of
//!   [`routes`].
//! - [`config_log`] agrees on the configuration in force, [`claim`] on which request may run for an
//!   idempotency key, and [`lease`] on which instance does a task. All three agree by the order of
//!   records on a shared log.
//! - [`admission`] queues and sheds requests, [`routing`] picks an upstream, [`subset`] limits the
//!   upstreams that an instance uses, [`attempt`] bounds retries and hedging, and [`share`] splits
//!   capacity between instances. [`router`] combines them for one instance.
//! - [`placement`] decides which upstream loads which model.
//!
//! Both daemons use [`membership`] for which instances and upstreams are live, [`order`] for
//! rendezvous hashing and seeded random numbers, and [`verdict`] for whether a request may have
//! run. The pass-through daemon also uses the retry budget of [`attempt`].
//!
//! ```
//! use vanillakeel::{Millis, router::{Router, Settings}};
//!
//! let mut router = Router::new("instance-1", 1, Settings::default());
//! router.tick(Millis::ZERO);
//! assert_eq!(router.drain().count(), 0);
//! ```

pub mod admission;
pub mod ask_pace;
pub mod attempt;
pub mod availability;
pub mod caller_budget;
pub mod capacity;
pub mod claim;
mod clock;
pub mod config;
pub mod config_log;
pub mod division;
pub mod duty;
pub mod fleet;
pub mod lease;
pub mod membership;
pub mod mesh;
pub mod order;
pub mod placement;
pub mod quarantine;
pub mod rate_limits;
pub mod router;
pub mod routes;
pub mod routing;
pub mod share;
pub mod streams;
pub mod subset;
pub mod usage;
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
