//! The pass-through daemon: requests go to upstreams unchanged, by host and path.
//!
//! One current-thread runtime does everything. Callers speak HTTP/1.1 to it, and it picks an
//! upstream that discovery has shown, hands the request on and relays the answer as it comes. It
//! keeps nothing: the routing configuration and the upstreams are read from a log through a
//! [`Source`], and header names come from a [`Names`], so that another platform is met by two
//! structs of functions and names.
//!
//! - [`Settings`] are read from TOML.
//! - [`run`] serves until a signal stops it.
//!
//! ```no_run
//! use vanillakeel_entry::gateway::{Names, Settings, Source, run};
//! # fn source() -> Source { Source::default() }
//! let settings = Settings::read("gateway.toml".as_ref())?;
//! run(settings, "gateway.toml".as_ref(), Names::default(), source(), |_| ())?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod accept;
mod answer;
mod call;
mod client;
mod exchange;
mod guard;
mod headers;
mod lines;
mod metrics;
mod names;
mod operators;
mod peers;
mod progress;
mod relay;
mod request;
mod run;
mod settings;
mod shared;
mod sockets;
mod source;
mod stop;
mod told;
mod watch;

pub use self::{
    client::{
        ConnectionTimeouts,
        HttpConnection,
        SendError, //
    },
    names::Names,
    run::{
        Bound,
        RunError,
        run, //
    },
    settings::Settings,
    source::{
        Entry,
        Page,
        ReadError,
        Source,
        Topic, //
    },
};
