//! The command `slopes`: measures all rows and prints them.

use super::{
    Row,
    decisions,
    sockets, //
};
use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
use std::error::Error;

/// Returns the definition of the command's arguments.
pub(crate) fn command() -> Command {
    Command::new("slopes")
        .about("Measure the cost of control against size and fit a line")
        .arg(
            Arg::new("no-sockets")
                .long("no-sockets")
                .action(ArgAction::SetTrue)
                .help("Measure the decisions alone"),
        )
        .arg(crate::json_arg())
}

/// Runs the command, which always returns `true` because it checks nothing.
///
/// # Errors
///
/// Returns an error if a cluster cannot be started.
pub(crate) fn run(args: &ArgMatches) -> Result<bool, Box<dyn Error>> {
    let mut rows: Vec<Row> = decisions::rows();
    let mut idle_us_per_s = None;
    if !args.get_flag("no-sockets") {
        let (more, idle) = sockets::rows()?;
        rows.extend(more);
        idle_us_per_s = Some(idle);
    }
    if args.get_flag("json") {
        let json = serde_json::json!({"rows": rows, "idle_us_per_s": idle_us_per_s});
        println!("{json}");
        return Ok(true);
    }
    println!(
        "{:<44} {:<22} {:>12} {:>12} {:>9}   points",
        "cost", "against", "slope", "at zero", "residual"
    );
    for row in &rows {
        println!("{row}");
    }
    if let Some(us_per_s) = idle_us_per_s {
        println!("processor time of an idle instance for control: {us_per_s:.0} us a second");
    }
    Ok(true)
}
