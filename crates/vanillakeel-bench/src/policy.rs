//! The library's slices in virtual time against fakes with fixed delays.
//!
//! The same seed gives the same figures. [`scenario`] says what load and faults come when,
//! [`variant`] which settings the routers have, [`world`] holds the fakes, [`outcome`] counts.

mod command;
mod outcome;
mod plot;
mod scenario;
mod variant;
mod world;

pub(crate) use self::command::{
    command,
    run, //
};
