//! Signals: a planned stop and a reload of the settings.

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

/// Time between two looks at whether all requests have ended, in ms.
const POLL_MS: u64 = 100;

/// Time that is left for the process to end before it would be killed, in ms.
const EXIT_MARGIN_MS: u64 = 600;

/// Time without a request after which a stopping instance ends, in ms.
const QUIET_MS: u64 = 700;

/// The signals that a process handles.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    pub(super) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Reloads the settings when asked to; returns once a stop is asked for.
    pub(super) async fn until_asked(&mut self, shared: &Rc<Shared>, path: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.hangup.recv() => reload(shared, path),
            }
        }
        shared.stopping.set(Some(shared.clock.now()));
        tracing::info!(open = shared.open.get(), "stopping");
    }
}

/// Goes on serving until the balancer has noticed and all requests have ended, or time is up.
pub(super) async fn drain(shared: &Rc<Shared>) {
    let since = shared.stopping.get().unwrap_or_default();
    let timing = shared.settings.borrow().timing;
    sleep(Duration::from_millis(timing.balancer_delay_ms)).await;
    shared.is_closing.set(true);
    shared.closing.notify_waiters();
    let limit = timing.grace_ms.saturating_sub(EXIT_MARGIN_MS);
    let mut quiet_ms = 0;
    while shared.clock.now().since(since) < limit && quiet_ms < QUIET_MS {
        sleep(Duration::from_millis(POLL_MS)).await;
        quiet_ms = if shared.open.get() == 0 {
            quiet_ms + POLL_MS
        } else {
            0
        };
    }
    tracing::info!(open = shared.open.get(), "stopped");
}

/// Takes new settings; those that only matter at the start stay as they are.
fn reload(shared: &Rc<Shared>, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            let is_moved = settings.listen != shared.settings.borrow().listen;
            *shared.settings.borrow_mut() = settings;
            tracing::info!(is_moved, "settings read again");
        }
        Err(e) => tracing::error!(error = %e, "settings can't be read; the old ones stay in force"),
    }
}
