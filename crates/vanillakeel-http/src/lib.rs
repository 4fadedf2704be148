//! HTTP helpers that the daemons and the stand-ins share.
//!
//! - [`request`] builds an outgoing request without proxies, redirects or retries.
//! - [`Body`] reads the body of an answer and fails if it is cut short.
//! - [`listen`] opens a server socket that sends small writes without delay (no Nagle algorithm).
//! - [`Server`] runs a handler for each request, each in its own thread.
//! - [`ChunkedResponse`] writes a response of unknown length chunk by chunk. The chunked response
//!   of the server library would buffer up to 8 KiB before it sends anything.
//! - [`ResponseHead`] holds a status and headers, and sends them with a complete body.
//! - [`Events`] reads a server-sent event stream.
//! - [`EventScanner`] finds the ends of events in a stream that is forwarded.
//!
//! ```
//! use vanillakeel_http::Events;
//!
//! let body = &b"data: one\n\ndata: two\n\n"[..];
//! let events: Vec<String> = Events::new(body).map(Result::unwrap).collect();
//! assert_eq!(events, ["one", "two"]);
//! ```

mod body;
mod client;
mod event_order;
mod event_scanner;
mod events;
mod server;
mod stream;

pub use self::{
    body::Body,
    client::request,
    event_scanner::EventScanner,
    events::Events,
    server::{
        Server,
        listen,
        query_value, //
    },
    stream::{
        ChunkedResponse,
        ResponseHead, //
    },
};
pub use attohttpc::Method;
