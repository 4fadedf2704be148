//! Random schedules of what may go wrong, with a check of the invariants after each step.
//!
//! Each schedule drives the slices of several instances in virtual time against a log that loses
//! answers, delays copies, trims and cannot be reached at times; instances pause, crash and start
//! anew. [`claims`], [`texts`] and [`leases`] check one agreement each.

mod claims;
mod command;
mod fake;
mod leases;
mod texts;

pub(crate) use self::command::{
    command,
    run, //
};
pub use self::{
    claims::Guards,
    command::{
        Totals,
        run_schedules, //
    },
};
