//! Command-line arguments and exit codes that both daemons share.

use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};
use std::{
    fmt::Display,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

/// Exit code for invalid settings.
pub const BAD_SETTINGS: u8 = 2;

/// Name of the argument with the settings file.
pub const SETTINGS: &str = "settings";

/// Name of the flag that makes the program check the settings and exit.
pub const CHECK: &str = "check";

/// Returns a command with the arguments that the daemons share.
#[must_use]
pub fn command(name: &'static str, settings_help: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help(settings_help),
        )
        .arg(
            Arg::new(CHECK)
                .long(CHECK)
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Prints that the settings are valid.
#[must_use]
pub fn report_valid(path: &Path) -> ExitCode {
    println!("{}: good", path.display());
    ExitCode::SUCCESS
}

/// Prints why a daemon can't run with its settings.
#[must_use]
pub fn report_refused(name: &str, path: &Path, reason: &dyn Display) -> ExitCode {
    eprintln!("{name}: {}: {reason}", path.display());
    ExitCode::from(BAD_SETTINGS)
}
