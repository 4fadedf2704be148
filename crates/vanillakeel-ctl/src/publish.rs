//! Publishes a configuration on the log.
//!
//! [`publish`] appends a proposal, and an instance appends the decision on it. [`read_log_state`]
//! returns the configuration in force.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use uuid::Uuid;
use vanillakeel::config_log::{
    LogState,
    Outcome,
    Proposal,
    Record,
    Version, //
};
use vanillakeel_log::{
    Client,
    Page,
    Unavailable, //
};
use vanillakeel_wire::RecordBody;

/// Maximum time for which the log service waits for new records before it answers a read; also the
/// pause after a failed read.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Time from an unanswered append to its retry; until then the record may still appear on the log.
const APPEND_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The outcome of publishing a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It came into force as this version.
    InForce(Version),
    /// It was refused for this reason.
    Refused(String),
    /// No instance has decided on it in time; it may still come into force.
    Undecided,
}

fn apply(log_state: &mut LogState, page: &Page) {
    log_state.start_at(page.first_offset);
    for (offset, body) in &page.records {
        if let RecordBody::Config(record) = body {
            log_state.apply(*offset, record);
        }
    }
    log_state.skip_to(page.next_offset);
}

/// Reads the log to its end and returns its state, with the configuration in force.
///
/// # Errors
///
/// Returns an error if the log service does not answer.
pub fn read_log_state(log: &Client) -> Result<LogState, Unavailable> {
    let mut log_state = LogState::default();
    let mut next = 0;
    loop {
        let page = log.read(next, Duration::ZERO)?;
        apply(&mut log_state, &page);
        next = page.next_offset;
        if page.is_end {
            return Ok(log_state);
        }
    }
}

/// Publishes the configuration `config` and waits up to `wait` for the decision on it.
///
/// `base` is the version that `config` was derived from, by default the one in force. The proposal
/// is refused if another version has come into force since.
///
/// An unanswered append may have succeeded. It is retried only if the proposal does not appear on
/// the log for a while.
///
/// # Errors
///
/// Returns an error if the log can't be read at the start. Later failures are retried until `wait`
/// is over.
pub fn publish(
    log: &Client,
    config: &str,
    base: Option<Version>,
    author: &str,
    wait: Duration,
) -> Result<PublishOutcome, Unavailable> {
    let mut log_state = read_log_state(log)?;
    let proposal = Proposal {
        id: Uuid::new_v4().as_u128(),
        base: base.unwrap_or_else(|| log_state.version()),
        text: Arc::from(config),
        author: Arc::from(author),
    };
    let body = RecordBody::Config(Record::Proposal(proposal.clone()));
    let start = Instant::now();
    let mut last_append: Option<Instant> = None;
    let mut is_on_log = false;
    while start.elapsed() < wait {
        let is_append_due = last_append.is_none_or(|t| t.elapsed() >= APPEND_RETRY_DELAY);
        if !is_on_log && is_append_due {
            is_on_log = log.append(&body);
            last_append = Some(Instant::now());
        }
        let Ok(page) = log.read(log_state.next(), LONG_POLL_TIMEOUT) else {
            std::thread::sleep(LONG_POLL_TIMEOUT);
            continue;
        };
        apply(&mut log_state, &page);
        is_on_log |= log_state.pending().any(|p| p.id == proposal.id);
        if let Some(outcome) = log_state.outcome(proposal.id) {
            return Ok(to_publish_outcome(outcome));
        }
    }
    Ok(PublishOutcome::Undecided)
}

fn to_publish_outcome(outcome: &Outcome) -> PublishOutcome {
    match outcome {
        Outcome::InForce(version) => PublishOutcome::InForce(*version),
        Outcome::Superseded { by } => {
            PublishOutcome::Refused(format!("version {by} came into force meanwhile"))
        }
        Outcome::Refused(reason) => PublishOutcome::Refused(reason.to_string()),
    }
}
