//! Tasks that follow the routing configuration and the list of upstreams on the log.
//!
//! Each task first reads the newest record of every key, then the records that follow. Later, while a
//! hub reads the log for this instance and announces the results (the instance is covered), the tasks
//! read the log only if the hub has a newer configuration or knows other upstreams. When the log has
//! come back from an earlier copy, its era rises and the newest records are read again.
//!
//! - [`follow_configuration`] puts versions in force and confirms the one in force as the newest.
//! - [`follow_upstreams`] keeps the fleet up to date.

mod configuration;
mod upstreams;

pub(super) use self::{
    configuration::follow_configuration,
    upstreams::follow_upstreams, //
};

use super::{
    log_adapter::{
        Page,
        Position,
        ReadError, //
    },
    log_reads::Answer,
    shared::Shared,
};
use vanillakeel::Millis;

/// Pause after a failed read, in ms.
const RETRY_PAUSE_MS: u64 = 250;

/// Time between two checks whether a hub still covers this instance, in ms.
const COVERED_POLL_MS: u64 = 200;

/// Returns whether a page belongs to the present era of the log, as does the position that it was read
/// from, if any.
fn is_usable(shared: &Shared, page: &Page, position: Option<Position>) -> bool {
    shared.on_log_era(page.era) && position.is_none_or(|p| p.era == page.era)
}

/// Returns the position after a page.
const fn position_after(page: &Page) -> Position {
    Position {
        era: page.era,
        offset: page.next_offset,
    }
}

/// State of the reads of a topic, for the log lines about an outage.
#[derive(Debug)]
struct TopicStatus {
    topic: &'static str,
    /// Time at which the first read of the failures since the last answer was sent.
    lost_since: Option<Millis>,
}

impl TopicStatus {
    const fn new(topic: &'static str) -> Self {
        Self {
            topic,
            lost_since: None,
        }
    }

    /// Returns whether the last read failed.
    const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records the result of a read; logs the start and the end of an outage.
    fn on_read(&mut self, shared: &Shared, answer: &Answer) {
        let now = shared.clock.now();
        let asked_at = answer.asked_at;
        let error = match &answer.result {
            Ok(_) | Err(ReadError::Compacted) => None,
            Err(e) => Some(e),
        };
        if error.is_some() {
            shared.on_log_failed(asked_at);
        } else {
            shared.log_access.on_served();
        }
        if let Some(e) = error {
            shared.metrics.source_errors.inc();
            if self.lost_since.is_none() {
                self.lost_since = Some(asked_at);
                let read_ms = now.since(asked_at);
                let received_bytes = answer.received_bytes;
                tracing::warn!(topic = self.topic, error = %e, read_ms, received_bytes, "log lost");
            }
        } else if let Some(since) = self.lost_since.take() {
            let lost_ms = now.since(since);
            tracing::info!(topic = self.topic, lost_ms, "log regained");
        }
    }
}
