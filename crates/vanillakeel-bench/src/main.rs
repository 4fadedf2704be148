//! The binary of the load and experiment tool.

use std::process::ExitCode;
use vanillakeel_bench::{
    command,
    run, //
};

fn main() -> ExitCode {
    run(&command().get_matches())
}
