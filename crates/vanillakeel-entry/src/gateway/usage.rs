//! Counts of the requests that upstreams began, and their exchange with other instances.
//!
//! The counts travel in the reports of members, the answers of hubs and the exchange between hubs; what does not fit goes
//! in datagrams of its own. [`Ledger`] decides what a peer is told.
//!
//! ```ignore
//! let report = MeshReport {
//!     usage: usage::tell(&ledger, &metrics, now, &hub, Towards::Hub, send),
//!     ..report
//! };
//! ```

use super::{
    settings::Settings,
    usage_metrics::UsageMetrics, //
};
use crate::time::wall_ms;
use http::StatusCode;
use std::{
    cell::RefCell,
    sync::Arc, //
};
use vanillakeel::{
    Millis,
    mesh::Peer,
    usage::{
        self,
        Ledger,
        ProcessId,
        Role,
        Told,
        ToldCount,
        Towards, //
    },
};
use vanillakeel_wire::{
    Message as _,
    generated::{
        MeshUsage,
        mesh_message::Kind, //
    },
};

/// Returns whether requests are counted: only where the settings ask for reports.
pub(super) const fn is_counted(settings: &Settings) -> bool {
    settings.duties.is_active() && settings.duties.tasks.reports_usage
}

/// Creates the ledger of a process that starts now.
pub(super) fn new_ledger(settings: &Settings) -> Ledger {
    let duties = &settings.duties;
    let library = usage::Settings {
        window_ms: duties.usage_window_ms,
        due_ms: duties.usage_due_ms,
        ..usage::Settings::default()
    };
    let instance = &settings.instance;
    Ledger::new(&instance.name, library).in_process(
        &instance.name,
        &instance.data_centre,
        wall_ms(),
    )
}

/// Returns whether an answer with a status shows that its upstream ran the request.
pub(super) const fn shows_run(status: StatusCode) -> bool {
    !matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Counts a request that an upstream has begun now.
pub(super) fn on_begun(ledger: &RefCell<Ledger>, metrics: &UsageMetrics, workspace: &Arc<str>) {
    ledger.borrow_mut().on_begun(wall_ms(), workspace);
    metrics.requests.inc();
}

/// Forgets what is overdue, and updates the metrics.
pub(super) fn tick(ledger: &RefCell<Ledger>, metrics: &UsageMetrics, now: Millis, is_hub: bool) {
    let wall = wall_ms();
    let role = if is_hub { Role::Hub } else { Role::Member };
    ledger.borrow_mut().tick(now, wall, role);
    let ledger = ledger.borrow();
    metrics.update(now, wall, &ledger);
}

/// Returns what a peer is told with the next message; sends what does not fit in one.
pub(super) fn tell(
    ledger: &RefCell<Ledger>,
    metrics: &UsageMetrics,
    now: Millis,
    peer: &Peer,
    towards: Towards,
    send: impl Fn(&Peer, Kind),
) -> Option<MeshUsage> {
    let messages = ledger.borrow_mut().tell(now, &peer.name, towards);
    let mut messages = messages.iter().map(to_wire).inspect(|wire| {
        metrics.sent_bytes.inc_by(wire.encoded_len() as u64);
    });
    let first = messages.next();
    for message in messages {
        send(peer, Kind::Usage(message));
    }
    first
}

/// Records the counts of which a peer tells.
pub(super) fn on_told(
    ledger: &RefCell<Ledger>,
    metrics: &UsageMetrics,
    now: Millis,
    peer: &str,
    wire: &MeshUsage,
) {
    metrics.received_bytes.inc_by(wire.encoded_len() as u64);
    let Some(told) = from_wire(wire) else {
        metrics.bad_messages.inc();
        tracing::warn!(peer, "counts of a peer can't be read");
        return;
    };
    ledger.borrow_mut().on_told(now, wall_ms(), peer, &told);
}

/// Encodes a message; its counts are sorted by window, process and workspace.
fn to_wire(told: &Told) -> MeshUsage {
    let (known_process, known_last) = told.known.map_or((0, 0), |(p, last)| (p.get(), last));
    let mut wire = MeshUsage {
        process: told.process.get(),
        first: told.first,
        last: told.last,
        end: told.is_end,
        whole_from: told.whole_from,
        window: told.counts.first().map_or(0, |c| c.window),
        known_process,
        known_last,
        ..MeshUsage::default()
    };
    let rows = told
        .counts
        .chunk_by(|a, b| (a.window, a.process) == (b.window, b.process));
    for row in rows {
        wire.processes.push(row[0].process.get());
        wire.windows.push((row[0].window - wire.window) as u32);
        wire.lengths.push(row.len() as u32);
    }
    for count in &told.counts {
        let known = wire.workspaces.iter().position(|w| **w == *count.workspace);
        let at = known.unwrap_or_else(|| {
            wire.workspaces.push(count.workspace.to_string());
            wire.workspaces.len() - 1
        });
        wire.workspace_at.push(at as u32);
        wire.counts.push(count.count);
    }
    wire
}

/// Decodes a message; returns `None` if its lists do not fit together.
fn from_wire(wire: &MeshUsage) -> Option<Told> {
    let rows = wire.lengths.len();
    let cells = wire.counts.len();
    let length: u64 = wire.lengths.iter().map(|l| u64::from(*l)).sum();
    let fits = wire.processes.len() == rows
        && wire.windows.len() == rows
        && wire.workspace_at.len() == cells
        && length == cells as u64;
    if !fits {
        return None;
    }
    let names: Vec<Arc<str>> = wire.workspaces.iter().map(|w| Arc::from(&**w)).collect();
    let mut cells = wire.workspace_at.iter().zip(&wire.counts);
    let mut counts = Vec::with_capacity(wire.counts.len());
    let rows = wire.processes.iter().zip(&wire.windows).zip(&wire.lengths);
    for ((process, window), length) in rows {
        for (at, count) in cells.by_ref().take(*length as usize) {
            counts.push(ToldCount {
                window: wire.window.checked_add(u64::from(*window))?,
                process: ProcessId::new(*process),
                workspace: Arc::clone(names.get(*at as usize)?),
                count: *count,
            });
        }
    }
    Some(Told {
        process: ProcessId::new(wire.process),
        first: wire.first,
        last: wire.last,
        is_end: wire.end,
        whole_from: wire.whole_from,
        counts,
        known: (wire.known_process != 0)
            .then(|| (ProcessId::new(wire.known_process), wire.known_last)),
    })
}

#[cfg(test)]
#[path = "../../tests/unit/usage_wire.rs"]
mod usage_wire;
