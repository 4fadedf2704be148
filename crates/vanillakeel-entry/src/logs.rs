//! Log lines by `tracing`.

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

/// Lines that may wait for the writer; more are dropped, so that a reader that stops delays nobody.
const MAX_WAITING_LINES: usize = 2_048;

/// Sets up log lines on standard output, written by a thread of their own.
///
/// # Errors
///
/// Returns a text if the filter can't be read or lines were set up before.
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

/// Sets up log lines on standard error for the whole process.
///
/// # Errors
///
/// Returns a text if the filter can't be read or lines were set up before.
pub fn init(settings: &Log) -> Result<(), String> {
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
