//! The side towards callers: reading requests, and giving answers and refusals.

mod answer;
mod parse;
mod refuse;
mod serve;

pub(crate) use self::serve::{
    Shared,
    Snapshot,
    spawn, //
};
