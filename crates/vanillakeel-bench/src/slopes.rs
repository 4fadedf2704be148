//! Cost of control against the size of a deployment.
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
