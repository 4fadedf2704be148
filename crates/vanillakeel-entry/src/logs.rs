//! Log lines by `tracing`.

use crate::settings::{
    Format,
    Log, //
};
use tracing_subscriber::{
    EnvFilter,
    fmt::format::FmtSpan, //
};

/// Sets up log lines on standard error for the whole process.
///
/// # Errors
///
/// Returns a text if the filter can't be read or lines were set up before.
pub fn init(settings: &Log) -> Result<(), String> {
    let filter = EnvFilter::try_new(&settings.level).map_err(|e| format!("log.level: {e}"))?;
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
