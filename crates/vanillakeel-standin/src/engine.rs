//! Stand-in for a model engine: batching in real time, streams, cancel, resume, cache events,
//! load reports with a lag, and orders to load and unload models.
//!
//! - `POST /v1/chat/completions` and `/v1/completions`, with `x-attempt-id` and `x-resume-from`.
//! - `POST /cancel` with an attempt id as the body.
//! - `GET /load`, `GET /cache-events?from=N`.
//! - `POST /orders` with `{"change": "load" | "unload", "model": …, "fencing": …}`.

mod answer;
mod orders;
mod state;

pub use self::state::{
    Engine,
    Settings, //
};
