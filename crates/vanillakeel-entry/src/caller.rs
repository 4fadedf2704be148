//! The HTTP interface for callers: parsing requests, and sending answers and refusals.
//!
//! [`spawn`] accepts requests, each on a thread of its own. Such a thread parses the request against
//! the configuration in force, passes it to the control thread and follows its commands until the
//! caller has the final answer.

mod answer;
mod parse;
mod refuse;
mod serve;

pub(crate) use self::serve::{
    Shared,
    Snapshot,
    spawn, //
};
