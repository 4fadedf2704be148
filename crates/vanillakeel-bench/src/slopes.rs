//! Cost of control against size, with a fitted slope.
//!
//! Each [`Row`] is measured at three or more sizes, and a straight line is fitted through them.
//! [`decisions`] measures the slices alone, [`sockets`] whole instances over loopback.

mod command;
mod decisions;
mod fit;
mod process;
mod sockets;

pub(crate) use self::{
    command::{
        command,
        run, //
    },
    fit::Row,
};
