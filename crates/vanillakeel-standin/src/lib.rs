//! Small replacements for the systems that the router talks to: model engines, plain services, the
//! log service, the instance list and the weight store.
//!
//! Tests and benchmarks start them inside their own process. The `vanillakeel-standin` binary runs
//! one of them as a process, to try the router by hand. [`batch`] is the continuous batching of an
//! engine without threads or a clock, for simulations in virtual time.
//!
//! Each stand-in except the weight store has a [`FaultInjector`] handle, which is also set by
//! `POST /faults` with a [`Fault`] in JSON. [`RunCounts`] counts what the stand-ins have executed.
//!
//! ```
//! use vanillakeel_standin::{RunCounts, plain::PlainService};
//!
//! let plain = PlainService::start("127.0.0.1:0".parse()?, &RunCounts::default(), 1)?;
//! assert_ne!(plain.address().port(), 0);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod batch;
pub mod engine;
mod faults;
pub mod list;
pub mod log;
pub mod plain;
mod reply;
mod run_counts;
pub mod weights;

pub use self::{
    faults::{
        Fault,
        FaultInjector, //
    },
    run_counts::{
        RunCounts,
        answer_tokens,
        request_tag,
        token_text, //
    },
};
