//! Writes to the log that are tried again.

use super::{
    log_adapter::{
        Entry,
        LogAdapter,
        Topic, //
    },
    shared::Shared, //
};

/// Writes an entry of the topic of instances; returns whether it was written.
///
/// After a failure, this waits until the log may be asked again, `delay_ms` later than others may; `what` names the
/// entry in the log line.
pub(super) async fn write(
    shared: &Shared,
    log: &LogAdapter,
    entry: Entry,
    what: &'static str,
    delay_ms: u64,
) -> bool {
    let asked_at = shared.clock.now();
    let Err(e) = (log.write)(Topic::Peers, entry).await else {
        shared.log_access.on_served();
        return true;
    };
    tracing::warn!(error = %e, "{what} could not be written to the log");
    (log.drop_idle)();
    shared.on_log_failed(asked_at);
    shared.log_access.wait_to_ask(shared.clock, delay_ms).await;
    false
}

/// Writes an entry of the topic of instances if the log serves this instance; returns whether it was written.
///
/// A failure does not count for the pace at which the log is asked, so that the reads of the configuration, on which
/// requests depend, never wait for such a write.
pub(super) async fn write_if_served(
    shared: &Shared,
    log: &LogAdapter,
    entry: Entry,
    what: &'static str,
) -> bool {
    if shared.log_access.is_failing() {
        return false;
    }
    let written = (log.write)(Topic::Peers, entry).await;
    if let Err(e) = &written {
        tracing::warn!(error = %e, "{what} could not be written to the log");
    }
    written.is_ok()
}
