//! Setup of log output by `tracing`.

use crate::settings::{
    Format,
    Log, //
};
use tracing_appender::non_blocking::{
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::{
    EnvFilter,
    fmt::format::FmtSpan, //
};

/// Maximum number of lines queued for the writer thread; further lines are dropped, so that a
/// stalled reader of standard output never blocks the daemon.
const MAX_WAITING_LINES: usize = 2_048;

/// Sets up log output on standard output, written by a separate thread.
///
/// The writer flushes the queued lines when the returned guard is dropped.
///
/// # Errors
///
/// Returns a message if the filter is invalid or log output was already set up.
pub fn init_stdout(settings: &Log) -> Result<WorkerGuard, String> {
    let filter = filter(settings)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    let done = match settings.format {
        Format::Human => builder.try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    done.map(|()| guard).map_err(|e| e.to_string())
}

/// Sets up log output on standard error for the whole process.
///
/// # Errors
///
/// Returns a message if the filter is invalid or log output was already set up.
pub fn init_stderr(settings: &Log) -> Result<(), String> {
    let filter = filter(settings)?;
    let spans = if settings.spans {
        FmtSpan::CLOSE
    } else {
        FmtSpan::NONE
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_span_events(spans);
    let done = match settings.format {
        Format::Human => builder.try_init(),
        Format::Json => builder.json().try_init(),
    };
    done.map_err(|e| e.to_string())
}

fn filter(settings: &Log) -> Result<EnvFilter, String> {
    EnvFilter::try_new(&settings.level).map_err(|e| format!("log.level: {e}"))
}
