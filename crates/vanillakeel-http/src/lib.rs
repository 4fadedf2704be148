//! What daemons and stand-ins share around the HTTP libraries.
//!
//! [`listen`] opens a server socket that sends small parts at once. [`Stream`] writes an answer of
//! unknown length part by part; the server library's own chunked answer would hold up to 8 KiB
//! back. [`Events`] reads a server-sent event stream.
//!
//! ```
//! use vanillakeel_http::Events;
//!
//! let body = &b"data: one\n\ndata: two\n\n"[..];
//! let events: Vec<String> = Events::new(body).map(Result::unwrap).collect();
//! assert_eq!(events, ["one", "two"]);
//! ```

mod client;
mod events;
mod server;
mod stream;

pub use self::{
    client::client,
    events::Events,
    server::{
        Server,
        listen,
        query, //
    },
    stream::{
        Head,
        Stream, //
    },
};
pub use attohttpc::Method;
