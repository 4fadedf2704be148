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

/// Handles signals; returns once the process has to end.
pub(super) async fn until_stopped(shared: &Rc<Shared>, path: &Path) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(shared, path),
        }
    }
    let since = shared.clock.now();
    shared.stopping.set(Some(since));
    tracing::info!(open = shared.open.get(), "stopping");
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
    Ok(())
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
