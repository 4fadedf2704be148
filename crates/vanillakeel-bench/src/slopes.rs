//! The command `slopes`: how the cost of control grows with the size of a deployment.
//!
//! Control means the decisions for requests, claims, messages between instances and configurations.
//!
//! Each [`Row`] is a cost that is measured at three or more sizes, with a straight line fitted
//! through the points. [`decisions`] measures the library alone, and [`sockets`] measures whole
//! instances over loopback. [`process`] reads the heap and the processor time of this process.

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
