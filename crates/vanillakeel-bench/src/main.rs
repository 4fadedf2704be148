//! Load and experiment tool as a process.

use std::process::ExitCode;
use vanillakeel_bench::{
    command,
    run, //
};

fn main() -> ExitCode {
    run(&command().get_matches())
}
