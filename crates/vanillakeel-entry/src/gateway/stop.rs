//! Handling of signals: a graceful stop and a reload of the settings.
//!
//! SIGTERM and SIGINT start the stop, SIGHUP reloads the settings. After a stop was requested,
//! [`drain`] waits for the open requests.

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
        tracing::info!(open = shared.open_requests.get(), "stopping");
    }
}

/// Keeps serving until the load balancer has noticed the stop and all requests have ended.
///
/// It returns early when the time that the settings grant for a stop is almost over.
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
    tracing::info!(open = shared.open_requests.get(), "stopped");
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
