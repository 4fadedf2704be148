//! Simulation of the library's routers in virtual time, against simulated callers, engines and a
//! network with fixed delays.
//!
//! The same seed always gives the same figures. [`scenario`] defines the load and the faults,
//! [`variant`] the settings of the routers that are compared, [`simulation`] runs the events, and
//! [`outcome`] computes the figures of a run. [`plot`] draws them, and `command` is the
//! command-line interface.

mod command;
mod outcome;
mod plot;
mod scenario;
mod simulation;
mod variant;

pub(crate) use self::command::{
    command,
    run, //
};
