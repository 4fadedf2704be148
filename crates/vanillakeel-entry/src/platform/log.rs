//! Reading and writing the log.

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
use vanillakeel_wire::Body;

/// How long the log may hold a read back until there is a record.
const WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed read.
const RETRY_EVERY: Duration = Duration::from_millis(250);

/// A record to append; claims are answered for, others are repeated by their slices.
#[derive(Debug)]
pub(crate) struct Append(pub(crate) Body);

/// Starts the thread that reads the log from its oldest record on.
pub(crate) fn spawn_reader(log: Client, tx: Sender<Input>, is_stopping: Arc<AtomicBool>) {
    named("vk-log", move || {
        let mut next = 0;
        while !is_stopping.load(Ordering::Relaxed) {
            let input = match log.read(next, WAIT) {
                Ok(page) => {
                    next = page.next_offset;
                    Input::Log(page)
                }
                Err(_) => {
                    thread::sleep(RETRY_EVERY);
                    Input::LogDown
                }
            };
            if tx.send(input).is_err() {
                return;
            }
        }
    });
}

/// Starts the thread that appends records in order.
pub(crate) fn spawn_writer(log: Client, rx: Receiver<Append>, tx: Sender<Input>) {
    named("vk-append", move || {
        for Append(body) in rx {
            let is_written = log.append(&body);
            if let Body::Claims(batch) = body {
                let end = if is_written {
                    Appended::Written
                } else {
                    Appended::Unknown
                };
                let number = batch.number;
                if tx.send(Input::Appended { number, end }).is_err() {
                    return;
                }
            }
        }
    });
}
