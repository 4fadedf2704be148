//! The load and experiment tool of the router.
//!
//! The binary `vanillakeel-bench` has four commands:
//!
//! - `quickstart` sends a mixed load from callers through entry instances to stand-in upstreams,
//!   all in one process over loopback.
//! - `policy` runs the library's decisions in virtual time, under load and faults.
//! - `faults` runs random schedules of faults against claims, configurations and leases.
//! - `slopes` measures the cost of control against the size of a deployment.
//!
//! ```
//! use vanillakeel_bench::faults::{Guards, run_schedules};
//!
//! let totals = run_schedules(1, 2, 200, Guards::default());
//! assert!(totals.is_sound());
//! ```

pub mod cluster;
pub mod faults;
pub mod load;
mod policy;
mod quickstart;
mod slopes;

pub use self::quickstart::{
    CLASSES,
    CONFIG, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use std::{
    error::Error,
    process::ExitCode, //
};

pub(crate) fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print one JSON object, last on standard output")
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
        .help(help)
}

/// Returns the definition of the tool's arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("vanillakeel-bench")
        .about("Load and experiment tool")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("quickstart")
                .about("Run the whole path over loopback with a mixed load and a burst")
                .arg(json_arg())
                .arg(number_arg("seed", "1", "Seed of the load"))
                .arg(number_arg("seconds", "12", "Length of the load in seconds")),
        )
        .subcommand(policy::command())
        .subcommand(faults::command())
        .subcommand(slopes::command())
}

fn value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or(1)
}

fn run_quickstart(args: &ArgMatches) -> Result<bool, Box<dyn Error>> {
    let report = quickstart::run(value(args, "seed"), value(args, "seconds"))?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(report.is_sound())
}

/// Runs the subcommand that `matches` names.
///
/// The exit code is 1 if the command returned an error or one of its checks failed.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    let result = match matches.subcommand() {
        Some(("quickstart", args)) => run_quickstart(args),
        Some(("policy", args)) => policy::run(args),
        Some(("faults", args)) => faults::run(args),
        Some(("slopes", args)) => slopes::run(args),
        _ => Ok(true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("vanillakeel-bench: {e}");
            ExitCode::FAILURE
        }
    }
}
