//! Handling of signals: a graceful stop and a reload of the settings.
//!
//! SIGTERM and SIGINT start the stop, SIGHUP reloads the settings. After a stop was requested,
//! [`drain`] waits for the open requests. Those that are still open shortly before the process has to exit get
//! their last answers, which say whether they may have run.

use super::{
    settings::Settings,
    shared::Shared, //
};
use std::{
    io,
    path::Path,
    rc::Rc,
    time::Duration, //
};
use tokio::{
    signal::unix::{
        Signal,
        SignalKind,
        signal, //
    },
    time::sleep,
};

/// Time between two checks whether all requests have ended, in ms.
const POLL_MS: u64 = 100;

/// Time that is left for the process to exit before it would be killed, in ms.
const EXIT_MARGIN_MS: u64 = 600;

/// Time in which the last answers are written before the process exits, in ms.
const LAST_ANSWERS_MS: u64 = 200;

/// Time without an open request after which a stopping instance exits, in ms.
const QUIET_MS: u64 = 700;

/// Streams of the signals that the process handles.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the handlers of the signals.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects a handler.
    pub(super) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal that requests a stop; reloads the settings on each SIGHUP until then.
    pub(super) async fn wait_for_stop(&mut self, shared: &Rc<Shared>, settings_path: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.hangup.recv() => reload(shared, settings_path),
            }
        }
        shared.stopping_since.set(Some(shared.clock.now()));
        shared.stopping.notify_waiters();
        tracing::info!(open = shared.open_requests.get(), "stopping");
    }
}

/// Keeps serving until the load balancer has noticed the stop and all requests have ended.
///
/// It returns early when the time that the settings grant for a stop is almost over, after it has let open requests
/// answer their callers.
pub(super) async fn drain(shared: &Rc<Shared>) {
    let since = shared.stopping_since.get().unwrap_or_default();
    let timing = shared.settings.borrow().timing;
    sleep(Duration::from_millis(timing.balancer_delay_ms)).await;
    shared.is_closing.set(true);
    shared.closing.notify_waiters();
    let limit_ms = timing.grace_ms.saturating_sub(EXIT_MARGIN_MS);
    let mut quiet_ms = 0;
    while shared.clock.now().since(since) < limit_ms && quiet_ms < QUIET_MS {
        sleep(Duration::from_millis(POLL_MS)).await;
        quiet_ms = if shared.open_requests.get() == 0 {
            quiet_ms + POLL_MS
        } else {
            0
        };
    }
    let open = shared.open_requests.get();
    if open > 0 {
        shared.is_exiting.set(true);
        shared.exiting.notify_waiters();
        sleep(Duration::from_millis(LAST_ANSWERS_MS)).await;
    }
    tracing::info!(open, cut = shared.open_requests.get(), "stopped");
}

/// Waits until the instance has been stopping for so long that a new request could not end before the process
/// exits.
pub(super) async fn until_request_cutoff(shared: &Shared) {
    let since = loop {
        let stopping = shared.stopping.notified();
        match shared.stopping_since.get() {
            Some(since) => break since,
            None => stopping.await,
        }
    };
    let limit_ms = shared.settings.borrow().timing.last_request_ms;
    let elapsed_ms = shared.clock.now().since(since);
    let left_ms = limit_ms.saturating_sub(elapsed_ms);
    // A timer of no time is not over at once.
    if left_ms > 0 {
        sleep(Duration::from_millis(left_ms)).await;
    }
}

/// Waits until open requests have to get their last answers.
pub(super) async fn until_exit(shared: &Shared) {
    let exiting = shared.exiting.notified();
    if !shared.is_exiting.get() {
        exiting.await;
    }
}

/// Reads the settings again and puts them in force.
///
/// Changes of settings that are only used at the start have no effect. If the file can't be read,
/// the old settings stay.
fn reload(shared: &Rc<Shared>, settings_path: &Path) {
    match Settings::read(settings_path) {
        Ok(settings) => {
            let has_listen_changed = settings.listen != shared.settings.borrow().listen;
            shared.set_settings(settings);
            tracing::info!(is_moved = has_listen_changed, "settings read again");
        }
        Err(e) => tracing::error!(error = %e, "settings can't be read; the old ones stay in force"),
    }
}
