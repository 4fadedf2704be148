//! Random schedules of faults, with a check of the library's invariants.
//!
//! A schedule drives one part of the library for several instances in virtual time. The instances
//! share a `faulty_log`, which loses requests and answers, delays records and is trimmed.
//! Instances are cut off from the log, pause, crash and restart at random.
//!
//! `budgets`, `claims`, `configs`, `crashing`, `duties`, `leases`, `lost_instances`, `rates`, `restored_list`,
//! `restored_log`, `streams` and `usage` each check the invariants of
//! one part, and `command` runs them and is the command-line interface. A seed always gives the same schedule.

mod budgets;
mod claims;
mod command;
mod configs;
mod copied_log;
mod crashing;
mod duties;
mod faulty_log;
mod leases;
mod lost_instances;
mod meshed;
mod rates;
mod restored_list;
mod restored_log;
mod streams;
mod usage;

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
