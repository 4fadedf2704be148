//! The daemons that route requests of callers to upstreams.
//!
//! [`Instance::start`] runs one instance of `vanillakeel-entry`: a control thread that owns all
//! decisions, a thread per request and per attempt, and a thread for messages with other instances.
//! Tests and benchmarks run several instances in one process. The module [`gateway`] is the
//! pass-through daemon.
//!
//! ```no_run
//! use vanillakeel_entry::{Instance, Settings};
//!
//! let settings = Settings::read("entry.toml".as_ref())?;
//! let instance = Instance::start(settings)?;
//! instance.stop();
//! instance.wait();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod caller;
mod control;
pub mod gateway;
mod instance;
pub mod logs;
mod message;
mod metrics;
mod operators;
mod peer;
mod platform;
pub mod settings;
mod spawn;
pub mod start;
mod time;
mod trace;
mod upstream;

pub use self::{
    instance::{
        Instance,
        StartError, //
    },
    settings::Settings,
    time::{
        Clock,
        wall_ms, //
    },
};
