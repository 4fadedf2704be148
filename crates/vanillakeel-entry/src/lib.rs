//! The daemon that stands between callers and upstreams.
//!
//! [`Instance::start`] runs one instance: a control thread that owns all decisions, threads for
//! traffic, and a thread for talk with other instances. Tests and benches run several of them in
//! one process.
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
