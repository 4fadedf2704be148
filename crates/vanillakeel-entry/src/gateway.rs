//! The pass-through daemon: requests go to upstreams unchanged, by host and path.
//!
//! The daemon runs on one current-thread runtime. Callers send HTTP/1.1 requests to it; it chooses
//! an upstream found by discovery, forwards the request and streams the answer back. It stores
//! nothing on disk: it reads the routing configuration and the list of upstreams from a log through
//! a [`LogAdapter`], and takes the names of headers from [`HeaderNames`]. To run it on another
//! platform, supply these two structs.
//!
//! - [`Settings`] holds the settings, read from a TOML file.
//! - [`run()`] serves requests until a signal stops the process.
//!
//! ```no_run
//! use vanillakeel_entry::gateway::{DutyCalls, HeaderNames, LogAdapter, Settings, run};
//! # fn log_adapter() -> LogAdapter { LogAdapter::default() }
//! let settings = Settings::read("gateway.toml".as_ref())?;
//! let (names, calls) = (HeaderNames::default(), DutyCalls::default());
//! run(settings, "gateway.toml".as_ref(), names, log_adapter(), calls, |_| ())?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod accept;
mod access;
mod answer;
mod answer_head;
mod bodies;
mod call;
mod caller_settings;
mod callers;
pub mod capacity_metrics;
pub mod capacity_view;
mod client;
mod crash_records;
mod crashes;
mod datagrams;
mod duration;
mod duties;
mod duty_calls;
mod duty_metrics;
mod duty_records;
mod duty_tasks;
mod exchange;
mod flag;
mod framing;
mod guard;
mod head_limit;
mod header_names;
mod headers;
mod key_records;
mod lines;
mod log_access;
mod log_adapter;
mod log_reads;
mod log_views;
mod log_writes;
mod mesh_wire;
mod metrics;
mod notices;
mod operators;
mod optional;
mod partial_events;
mod passed_streams;
mod peers;
mod progress;
mod rate_limits;
mod registration;
mod relay;
mod relayed_events;
mod request;
mod response;
mod retries;
mod run;
mod saved_streams;
mod settings;
mod shared;
mod sockets;
mod speeds;
mod stop;
mod streams;
mod texts;
mod usage;
mod usage_exchange;
mod usage_metrics;
mod verdicts;
mod version_records;
mod watch;

pub use self::{
    caller_settings::Callers,
    client::{
        ConnectionTimeouts,
        HttpConnection,
        SendError, //
    },
    duty_calls::{
        DutyCalls,
        DutyError,
        Fence, //
    },
    header_names::HeaderNames,
    log_adapter::{
        Appended,
        Entry,
        LogAdapter,
        Page,
        Position,
        ReadError,
        ReadProgress,
        Topic, //
    },
    run::{
        BoundAddresses,
        RunError,
        run, //
    },
    settings::{
        Duties,
        DutyTasks,
        Settings, //
    },
};
