//! Messages between instances over QUIC with mutual TLS.
//!
//! One thread runs QUIC on a current-thread runtime. An idle connection is kept open for minutes,
//! because a handshake costs more bytes than many messages.

mod run;
mod tls;

pub(crate) use self::run::{
    Outgoing,
    bind,
    spawn, //
};
