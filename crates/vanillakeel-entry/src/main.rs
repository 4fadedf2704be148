//! The `vanillakeel-entry` daemon: reads its settings, runs an instance and stops it on a signal.

use clap::Command;
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals,
};
use std::{
    fmt::Display,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration, //
};
use vanillakeel_entry::{
    Instance,
    Settings,
    logs,
    start, //
};

/// Interval at which the main thread checks whether the stop is over.
const STOP_POLL_EVERY: Duration = Duration::from_millis(200);

/// Delay before the process exits, in which the last answers are written to their sockets.
const EXIT_DELAY: Duration = Duration::from_millis(100);

/// Name of the program.
const NAME: &str = "vanillakeel-entry";

fn command() -> Command {
    start::command(NAME, "TOML file with the settings of this instance")
        .about("Router for language-model traffic with service levels and priorities")
        .mut_arg(start::SETTINGS, |arg| arg.required(true))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>(start::SETTINGS) else {
        return ExitCode::from(start::BAD_SETTINGS);
    };
    let fail = |reason: &dyn Display| start::report_refused(NAME, path, reason);
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(e) => return fail(&e),
    };
    if matches.get_flag(start::CHECK) {
        return start::report_valid(path);
    }
    if let Err(e) = logs::init_stderr(&settings.log) {
        return fail(&e);
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

/// Runs an instance until a signal has stopped it; a second signal ends it at once.
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
        thread::sleep(STOP_POLL_EVERY);
    }
    thread::sleep(EXIT_DELAY);
    tracing::info!("stopped");
    Ok(())
}
