//! The threads that read the log and append to it.

use crate::{
    message::Input,
    spawn::named, //
};
use crossbeam::channel::{
    Receiver,
    Sender, //
};
use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};
use vanillakeel::claim::Appended;
use vanillakeel_log::Client;
use vanillakeel_wire::RecordBody;

/// Longest time that the log service may hold a read while there is no new record (long poll).
const READ_WAIT: Duration = Duration::from_secs(1);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A record to append.
///
/// The result is reported for claims only; records of other kinds are appended again by their state
/// machines if they don't show up on the log.
#[derive(Debug)]
pub(crate) struct Append(pub(crate) RecordBody);

/// Starts the thread that reads the log, beginning with its oldest record.
pub(crate) fn spawn_log_reader(log: Client, tx: Sender<Input>, is_stopping: Arc<AtomicBool>) {
    named("vk-log", move || {
        let mut next = 0;
        while !is_stopping.load(Ordering::Relaxed) {
            let input = match log.read(next, READ_WAIT) {
                Ok(page) => {
                    next = page.next_offset;
                    Input::Log(page)
                }
                Err(_) => {
                    thread::sleep(RETRY_DELAY);
                    Input::LogReadFailed
                }
            };
            if tx.send(input).is_err() {
                return;
            }
        }
    });
}

/// Starts a thread that appends records in order.
pub(crate) fn spawn_log_writer(log: Client, rx: Receiver<Append>, tx: Sender<Input>) {
    named("vk-append", move || {
        for Append(body) in rx {
            let is_written = log.append(&body);
            if let RecordBody::Claims(batch) = body {
                let end = if is_written {
                    Appended::Written
                } else {
                    Appended::Unknown
                };
                let number = batch.number;
                if tx.send(Input::ClaimsAppended { number, end }).is_err() {
                    return;
                }
            }
        }
    });
}
