//! What the command lines of the daemons have in common.

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

/// Exit code for bad settings.
pub const BAD_SETTINGS: u8 = 2;

/// Name of the argument with the settings file.
pub const SETTINGS: &str = "settings";

/// Name of the flag that ends the program after the settings were checked.
pub const CHECK: &str = "check";

/// A command with the arguments of a daemon.
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
                .help("Check the settings and end"),
        )
}

/// Says that settings are good.
#[must_use]
pub fn checked(path: &Path) -> ExitCode {
    println!("{}: good", path.display());
    ExitCode::SUCCESS
}

/// Says why a daemon can't run with its settings.
#[must_use]
pub fn refused(name: &str, path: &Path, reason: &dyn Display) -> ExitCode {
    eprintln!("{name}: {}: {reason}", path.display());
    ExitCode::from(BAD_SETTINGS)
}
