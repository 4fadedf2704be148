//! Stand-in for a model engine.
//!
//! It runs a [`BatchScheduler`](crate::batch::BatchScheduler) in real time and serves:
//!
//! - `POST /v1/chat/completions` and `/v1/completions`, streamed or whole. `x-attempt-id` names the
//!   attempt, and `x-resume-from` is the number of tokens that the caller has already. Answers name a
//!   rate limit in `x-rate-limit` while the faults, a file or the length of the queue say so.
//! - `POST /cancel` with an attempt id as the body.
//! - `GET /load`, a load report that lags behind.
//! - `GET /cache-events?from=N`, changes of the prefix cache from event number `N`.
//! - `POST /orders` with `{"change": "load" | "unload", "model": …, "fencing": …}`, which loads or
//!   unloads a model. `fencing` is the fencing token of the sender's lease.
//! - `POST /faults` with a [`Fault`](crate::Fault).

mod answer;
mod named_rate;
mod orders;
mod state;

pub use self::state::{
    Engine,
    Settings, //
};
