//! What instances tell each other of the contents of the log.
//!
//! A hub tells its members, in the summaries of [`peers`](super::peers), and a member tells a hub that the log does not
//! serve; see [`vanillakeel::mesh`].

use super::{
    datagrams,
    mesh_wire::{
        change_from_wire,
        change_to_wire, //
    },
    shared::Shared, //
};
use std::sync::Arc;
use tokio::net::UdpSocket;
use vanillakeel::Millis;
use vanillakeel_wire::generated::{
    MeshLogQuery,
    MeshSummary,
    mesh_message::Kind, //
};

/// Most changes of upstreams in a message, so that it fits into a datagram. A member that misses others notices by the
/// digest, and reads the list itself.
const MAX_CHANGES: usize = 200;

/// Largest age of the last read of the upstreams at which a hub counts as fresh, in ms: an interval of
/// reads and a repetition of one that is late.
pub(super) const MAX_READ_AGE_MS: u64 = 1_200;

/// Asks a member what the log holds while the log does not serve this hub.
pub(super) async fn query_reader(shared: &Shared, socket: &UdpSocket, now: Millis) {
    if !shared.log_access.is_failing() {
        return;
    }
    let reader = shared.mesh.borrow_mut().log_reader(now);
    if let Some(reader) = reader {
        let id = shared.report_ids.id(now);
        datagrams::send(shared, socket, &reader, Kind::LogQuery(MeshLogQuery { id })).await;
    }
}

/// Creates the part of a summary that tells what the log holds.
pub(super) fn view(shared: &Shared, now: Millis, report_id: u64, is_fresh: bool) -> MeshSummary {
    let in_force = shared.in_force.borrow();
    let changes = shared.recent_changes.borrow();
    let newest = changes.iter().rev().take(MAX_CHANGES);
    MeshSummary {
        report_id,
        fresh: is_fresh,
        version: in_force.version(),
        proof_age: in_force.confirmation_age_ms(now).unwrap_or(u64::MAX),
        digest: shared.fleet.borrow().digest(),
        changes: newest.map(|(_, c)| change_to_wire(c)).collect(),
        log_era: shared.log_era(),
        ..MeshSummary::default()
    }
}

/// Returns whether this instance has recently read the log itself.
pub(super) fn has_read_log(shared: &Shared, now: Millis) -> bool {
    let read_at = shared.upstreams_read_at.get();
    let was_read_recently = read_at.is_some_and(|t| now.since(t) < MAX_READ_AGE_MS);
    was_read_recently && is_confirmed(shared, now) && !shared.in_force.borrow().has_failed_read()
}

/// Returns whether a member has recently read the log for this hub, and knows the same upstreams.
pub(super) fn has_relayed_log(shared: &Shared, now: Millis) -> bool {
    let has_same_upstreams = shared.hub_differs_since.get().is_none();
    has_same_upstreams && is_confirmed(shared, now) && shared.mesh.borrow().has_log_view(now)
}

/// Returns whether the version in force was confirmed so recently that members may rely on it.
fn is_confirmed(shared: &Shared, now: Millis) -> bool {
    let max_age_ms = shared.settings.borrow().timing.hub_confirmation_ms();
    let age_ms = shared.in_force.borrow().confirmation_age_ms(now);
    age_ms.is_some_and(|age| age < max_age_ms)
}

/// Applies the answer of a member that reads the log for this hub.
pub(super) fn on_view(shared: &Shared, now: Millis, member: &Arc<str>, view: &MeshSummary) {
    let Some(sent_at) = shared.report_ids.sent_at(view.report_id, now) else {
        shared.metrics.bad_datagrams.inc();
        return;
    };
    let is_fresh = view.fresh && view.log_era >= shared.log_era();
    shared.mesh.borrow_mut().on_log_view(now, member, is_fresh);
    shared.has_relayed_changes.set(true);
    apply(shared, now, member, view, is_fresh.then_some(sent_at));
}

/// Applies what another instance has read from the log; `asked_at` is the time at which it was asked, if its view is
/// fresh.
pub(super) fn apply(
    shared: &Shared,
    now: Millis,
    reader: &Arc<str>,
    summary: &MeshSummary,
    asked_at: Option<Millis>,
) {
    shared.on_announced(summary.version, reader);
    if summary.log_era > shared.log_era() {
        // The log itself shows its era to the task that reads the configuration.
        shared.newer_version.notify_one();
    }
    let Some(asked_at) = asked_at else {
        return;
    };
    confirm_version(shared, summary, asked_at, reader);
    let changes = summary.changes.iter().filter_map(change_from_wire);
    let mut has_changed = false;
    for change in changes {
        if change.is_removed {
            shared.on_removed(&change.listed.name, reader);
        } else {
            has_changed |= shared.on_listed(&change.listed, reader);
        }
    }
    if has_changed {
        shared.fleet_changed.notify_waiters();
    }
    let is_equal = shared.fleet.borrow().digest() == summary.digest;
    let differs_since = (!is_equal).then(|| shared.hub_differs_since.get().unwrap_or(now));
    shared.hub_differs_since.set(differs_since);
}

/// Confirms the version in force if the hub has confirmed the same version as the newest.
///
/// The hub measures the age of its confirmation when it receives the report, which is after `sent_at`,
/// the time at which the report was sent from here. `sent_at` minus the age is therefore never later
/// than the hub's confirmation, whatever the delays of the datagrams. A confirmation from before the
/// start of this instance is ignored.
fn confirm_version(shared: &Shared, summary: &MeshSummary, sent_at: Millis, hub: &Arc<str>) {
    if shared.in_force.borrow().version() != summary.version {
        return;
    }
    if let Some(read_at) = sent_at.checked_minus(summary.proof_age) {
        shared.confirm_newest(read_at, hub);
    }
}
