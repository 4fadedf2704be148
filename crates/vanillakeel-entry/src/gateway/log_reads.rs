//! Reads of the log that are answered in time although a connection has died without a sign.
//!
//! A connection to the log can be dead for long before it is used again: one that is idle while a hub
//! reads the log for this instance, or one on which a read waits for a new record. [`read`] therefore
//! repeats a read whose answer is late on a new connection and takes the answer that comes first.
//!
//! An answer is late while nothing of it arrives. One that arrives slowly is not: it may be long, and a
//! second transfer would take from the same link.
//!
//! ```ignore
//! let req = ReadRequest { topic: Topic::Upstreams, ..ReadRequest::default() };
//! let answer = log_reads::read(shared.clock, &log, req, &ReadProgress::default()).await;
//! ```

use super::log_adapter::{
    LogAdapter,
    Page,
    ReadError,
    ReadProgress,
    Topic, //
};
use crate::Clock;
use futures_util::future::{
    Either,
    select, //
};
use std::time::Duration;
use tokio::time::timeout;
use vanillakeel::Millis;

/// Time without a byte after which an answer is late, in addition to the wait that the read asks for, in
/// ms.
pub(super) const ANSWER_DUE_MS: u64 = 300;

/// What to read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadRequest {
    pub(super) topic: Topic,
    /// Offset from which records are read; without it, the newest record of every key is read.
    pub(super) from: Option<u64>,
    /// Time for which the log waits for the first record, in ms.
    pub(super) wait_ms: u64,
    /// Whether the read before this one failed; this one then uses a new connection at once.
    pub(super) is_retry: bool,
}

impl Default for ReadRequest {
    fn default() -> Self {
        Self {
            topic: Topic::Configuration,
            from: None,
            wait_ms: 0,
            is_retry: false,
        }
    }
}

/// The answer to a read.
#[derive(Debug)]
pub(super) struct Answer {
    /// Time at which the read was sent; for a failure, that of the last attempt.
    pub(super) asked_at: Millis,
    /// Bytes that have arrived.
    pub(super) received_bytes: u64,
    pub(super) result: Result<Page, ReadError>,
}

impl Answer {
    /// Returns whether this is evidence that the log can't be reached from here.
    ///
    /// A read fails only after an attempt on a new connection, or with a refusal, so a failure is
    /// evidence. If it took much longer than the time limit of an attempt, the process was paused and
    /// may have missed the answer.
    pub(super) const fn shows_unreachable_log(&self, now: Millis, limit_ms: u64) -> bool {
        let is_failure = !matches!(self.result, Ok(_) | Err(ReadError::Compacted));
        is_failure && now.since(self.asked_at) < limit_ms + ANSWER_DUE_MS
    }

    /// Returns whether the log itself has answered, if only with a refusal.
    pub(super) const fn is_from_log(&self) -> bool {
        !matches!(
            self.result,
            Err(ReadError::NoAnswer(_) | ReadError::Malformed(_))
        )
    }
}

/// Reads from the log; repeats the read once on a new connection if the answer is late or missing.
///
/// `progress` shows how much of the first answer has arrived.
pub(super) async fn read(
    clock: Clock,
    log: &LogAdapter,
    req: ReadRequest,
    progress: &ReadProgress,
) -> Answer {
    if req.is_retry {
        (log.drop_idle)();
    }
    let mut first = Box::pin(send(clock, log, req, progress.clone()));
    let answer = if req.is_retry {
        first.await
    } else {
        match answer_in_time(&mut first, req.wait_ms, progress).await {
            Some(answer) if answer.is_from_log() => return answer,
            first_result => {
                (log.drop_idle)();
                let req = ReadRequest { wait_ms: 0, ..req };
                let second = Box::pin(send(clock, log, req, ReadProgress::default()));
                if first_result.is_some() {
                    second.await
                } else {
                    first_answered(first, second).await
                }
            }
        }
    };
    if !answer.is_from_log() {
        (log.drop_idle)();
    }
    answer
}

/// Returns the answer to a read, or `None` once it is late.
async fn answer_in_time(
    read: impl Future<Output = Answer> + Unpin,
    wait_ms: u64,
    progress: &ReadProgress,
) -> Option<Answer> {
    let mut read = read;
    let mut due_ms = wait_ms + ANSWER_DUE_MS;
    loop {
        let received = progress.bytes();
        match timeout(Duration::from_millis(due_ms), &mut read).await {
            Ok(answer) => return Some(answer),
            Err(_) if progress.bytes() == received => return None,
            Err(_) => due_ms = ANSWER_DUE_MS,
        }
    }
}

/// Returns the first answer that comes from the log, or the failure of the second read.
async fn first_answered(
    first: impl Future<Output = Answer> + Unpin,
    second: impl Future<Output = Answer> + Unpin,
) -> Answer {
    match select(first, second).await {
        Either::Left((answer, _)) if answer.is_from_log() => answer,
        Either::Left((_, second)) => second.await,
        Either::Right((answer, _)) if answer.is_from_log() => answer,
        Either::Right((failure, first)) => {
            let answer = first.await;
            if answer.is_from_log() {
                answer
            } else {
                failure
            }
        }
    }
}

async fn send(clock: Clock, log: &LogAdapter, req: ReadRequest, progress: ReadProgress) -> Answer {
    let asked_at = clock.now();
    let result = match req.from {
        None => read_all_newest(log, req.topic, &progress).await,
        Some(from) => (log.read_from)(req.topic, from, req.wait_ms, progress.clone()).await,
    };
    Answer {
        asked_at,
        received_bytes: progress.bytes(),
        result,
    }
}

/// Reads all pages of the newest records, with the offset from which to continue.
async fn read_all_newest(
    log: &LogAdapter,
    topic: Topic,
    progress: &ReadProgress,
) -> Result<Page, ReadError> {
    let mut all = (log.read_newest)(topic, None, progress.clone()).await?;
    // `next_offset` stays that of the first page: records that are written while the other pages are
    // read follow after it.
    while let Some(after) = all.continue_after.take() {
        let page = (log.read_newest)(topic, Some(after), progress.clone()).await?;
        if page.era != all.era {
            return Err(ReadError::Compacted);
        }
        all.entries.extend(page.entries);
        all.continue_after = page.continue_after;
    }
    Ok(all)
}
