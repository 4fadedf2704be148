//! Messages between instances over QUIC with mutual TLS.
//!
//! One thread runs the library on a current-thread runtime. A connection is kept for minutes
//! without traffic, since a handshake costs more bytes than many messages.

mod run;
mod tls;

pub(crate) use self::run::{
    Outgoing,
    bind,
    spawn, //
};
