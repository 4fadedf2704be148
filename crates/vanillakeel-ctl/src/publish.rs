//! Publishing a text on the log.

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
use vanillakeel_wire::Body;

/// How long the log may hold a read back.
const WAIT: Duration = Duration::from_millis(200);

/// Pause after an append without an answer, in which the record may still show up.
const REPEAT_AFTER: Duration = Duration::from_secs(2);

/// What became of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Published {
    /// It is in force as this version.
    InForce(Version),
    /// It was refused.
    Refused(String),
    /// No instance has ruled on it in time; it may still come into force.
    Open,
}

fn apply(fold: &mut LogState, page: &Page) {
    fold.start_at(page.first_offset);
    for (offset, body) in &page.records {
        if let Body::Configuration(record) = body {
            fold.apply(*offset, record);
        }
    }
    fold.skip_to(page.next_offset);
}

/// Reads the log to its end.
///
/// # Errors
///
/// Returns an error if the log gives no answer.
pub fn current(log: &Client) -> Result<LogState, Unavailable> {
    let mut fold = LogState::default();
    let mut next = 0;
    loop {
        let page = log.read(next, Duration::ZERO)?;
        apply(&mut fold, &page);
        next = page.next_offset;
        if page.is_end {
            return Ok(fold);
        }
    }
}

/// Publishes `text`, made from version `base`, and waits up to `wait` for the ruling.
///
/// An append without an answer is made again only after the log was read and did not show it.
///
/// # Errors
///
/// Returns an error if the log can't be read at the start.
pub fn publish(
    log: &Client,
    text: &str,
    base: Option<Version>,
    author: &str,
    wait: Duration,
) -> Result<Published, Unavailable> {
    let mut fold = current(log)?;
    let edit = Proposal {
        id: Uuid::new_v4().as_u128(),
        base: base.unwrap_or_else(|| fold.version()),
        text: Arc::from(text),
        author: Arc::from(author),
    };
    let body = Body::Configuration(Record::Proposal(edit.clone()));
    let start = Instant::now();
    let mut sent: Option<Instant> = None;
    let mut is_seen = false;
    while start.elapsed() < wait {
        let is_lost = sent.is_none_or(|t| t.elapsed() >= REPEAT_AFTER);
        if !is_seen && is_lost {
            is_seen = log.append(&body);
            sent = Some(Instant::now());
        }
        let Ok(page) = log.read(fold.next(), WAIT) else {
            std::thread::sleep(WAIT);
            continue;
        };
        apply(&mut fold, &page);
        is_seen |= fold.pending().any(|p| p.id == edit.id);
        if let Some(outcome) = fold.outcome(edit.id) {
            return Ok(published(outcome));
        }
    }
    Ok(Published::Open)
}

fn published(outcome: &Outcome) -> Published {
    match outcome {
        Outcome::InForce(version) => Published::InForce(*version),
        Outcome::Superseded { by } => {
            Published::Refused(format!("version {by} came into force meanwhile"))
        }
        Outcome::Refused(reason) => Published::Refused(reason.to_string()),
    }
}
