//! The daemon as a process.

use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals,
};
use std::{
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration, //
};
use vanillakeel_entry::{
    Instance,
    Settings,
    logs, //
};

/// Time between two looks at whether a stop is over.
const POLL: Duration = Duration::from_millis(200);

/// Time for the last answers to leave after a stop.
const LINGER: Duration = Duration::from_millis(100);

/// Exit code for bad settings.
const BAD_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("vanillakeel-entry")
        .about("Router for language-model traffic with service levels and priorities")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with the settings of this instance"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and end"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(BAD_SETTINGS);
    };
    let fail = |reason: &dyn std::fmt::Display| {
        eprintln!("vanillakeel-entry: {}: {reason}", path.display());
        ExitCode::from(BAD_SETTINGS)
    };
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(e) => return fail(&e),
    };
    if matches.get_flag("check") {
        println!("{}: good", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(e) = logs::init(&settings.log) {
        return fail(&e);
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

/// Runs an instance until a signal has stopped it.
fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let instance = Arc::new(Instance::start(settings)?);
    tracing::info!(
        callers = %instance.callers(),
        operators = %instance.operators(),
        peers = %instance.peers(),
        "started"
    );
    let stopping = Arc::clone(&instance);
    thread::spawn(move || {
        for _ in signals.forever() {
            stopping.stop();
        }
    });
    while !instance.is_stopped() {
        thread::sleep(POLL);
    }
    thread::sleep(LINGER);
    tracing::info!("stopped");
    Ok(())
}
