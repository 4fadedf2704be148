//! How the log serves this instance, and when its tasks ask it again after a call has failed.

use crate::Clock;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::timeout, //
};
use vanillakeel::{
    Millis,
    ask_pace::{
        AskPace,
        Asker, //
    },
};

/// What the calls of all tasks have shown of the log.
#[derive(Debug, Default)]
pub(super) struct LogAccess {
    pace: RefCell<AskPace>,
    /// Wakes the tasks that wait to ask when the log serves this instance again.
    serves: Notify,
    /// Whether the log has not served a call since the upstreams were read last.
    pub(super) was_lost: Cell<bool>,
}

impl LogAccess {
    /// Records that the log has served a call of this instance.
    pub(super) fn on_served(&self) {
        let mut pace = self.pace.borrow_mut();
        if pace.is_failing() {
            pace.on_answer();
            self.serves.notify_waiters();
        }
    }

    /// Records that the log has not served a call that was made at `asked_at`; `random` is a random number.
    pub(super) fn on_failed(&self, asked_at: Millis, asker: Asker, random: u64) {
        self.was_lost.set(true);
        self.pace.borrow_mut().on_failure(asked_at, asker, random);
    }

    /// Returns whether the log has not served the last call of this instance.
    pub(super) fn is_failing(&self) -> bool {
        self.pace.borrow().is_failing()
    }

    /// Waits until the log may be asked again, `delay_ms` later than others may, or until it has served another
    /// call of this instance.
    ///
    /// Returns at once unless the last call has failed. Of several tasks that wait, one asks at a time.
    pub(super) async fn wait_to_ask(&self, clock: Clock, delay_ms: u64) {
        loop {
            let served = self.serves.notified();
            let wait_ms = {
                let pace = self.pace.borrow();
                if !pace.is_failing() {
                    return;
                }
                pace.wait_ms(clock.now())
            };
            let pause = Duration::from_millis(wait_ms + delay_ms);
            if timeout(pause, served).await.is_ok() {
                return;
            }
            if self.pace.borrow_mut().take_turn(clock.now()) {
                return;
            }
        }
    }
}
