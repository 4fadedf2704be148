//! Load reports, and placement commands to upstreams under the placement lease.
//!
//! The instance that holds the lease compares the models that upstreams have reported with those
//! that the configuration requires, and sends the commands that close the gap. Each command carries
//! the fencing token of the lease, by which an upstream rejects commands of a former holder.

use super::Control;
use crate::{
    message::UpstreamLoad,
    metrics::Metrics,
    platform::{
        Append,
        UpstreamCommand, //
    },
    time::wall_ms,
};
use std::sync::{
    Arc,
    atomic::Ordering, //
};
use vanillakeel::{
    Millis,
    lease::Action,
    placement::{
        self,
        CommandKind,
        Observed, //
    },
};
use vanillakeel_wire::{
    DrainIntent,
    RecordBody, //
};

/// Interval of reconciliation, in ms.
const RECONCILE_EVERY_MS: u64 = 500;

/// Age from which a load report is ignored by reconciliation, in ms.
const MAX_REPORT_AGE_MS: u64 = 60_000;

impl Control {
    /// Records a load report; if the models of the upstream have changed, the router is updated.
    pub(super) fn on_load(&mut self, now: Millis, load: UpstreamLoad) {
        let index = self
            .upstreams
            .binary_search_by(|u| u.name.cmp(&load.upstream));
        let Ok(index) = index else { return };
        let upstream = &mut self.upstreams[index];
        let old_models = upstream.observed.as_ref().map(|o| o.1.models.clone());
        let has_changed = old_models.as_ref() != Some(&load.models);
        upstream.observed = Some((
            now,
            Observed {
                upstream: Arc::clone(&load.upstream),
                pool: Arc::clone(&upstream.pool),
                models: load.models,
                loading: load.loading,
            },
        ));
        self.router
            .on_load_report(now, now, &load.upstream, load.report);
        if has_changed {
            let name = &load.upstream;
            let observed = &self.upstreams[index].observed;
            let models = observed.as_ref().map_or(&[][..], |o| &o.1.models);
            self.draining
                .retain(|d| d.0 != *name || models.contains(&d.1));
            self.update_router_upstreams(now);
        }
    }

    pub(super) fn perform_lease_actions(&mut self) {
        let actions: Vec<Action> = self.lease.drain().collect();
        for Action::Append(record) in actions {
            Metrics::count(&self.metrics().appends, "lease", 1);
            self.pending_appends
                .push_back(Append(RecordBody::Lease(record)));
        }
    }

    /// Renews or acquires the lease and, as its holder, sends the commands that are due.
    pub(super) fn reconcile_placement(&mut self, now: Millis) {
        let should_hold = self.config_replica.version() > 0 && !self.is_leaving();
        self.lease.tick(now, should_hold);
        let is_lease_holder = self.lease.fencing_token(now).is_some();
        self.out
            .is_lease_holder
            .store(is_lease_holder, Ordering::Relaxed);
        if now < self.next_reconciliation || !is_lease_holder {
            return;
        }
        self.next_reconciliation = now.plus(RECONCILE_EVERY_MS);
        let requirements =
            placement::requirements(&self.config, wall_ms(), placement::EVENT_LEAD_MS);
        let observed: Vec<Observed> = self
            .upstreams
            .iter()
            .filter(|u| !self.membership.is_leaving(&u.name))
            .filter_map(|u| u.observed.as_ref())
            .filter(|o| now.since(o.0) < MAX_REPORT_AGE_MS)
            .map(|o| o.1.clone())
            .collect();
        let commands = self
            .placement
            .reconcile(now, wall_ms(), &requirements, &observed);
        let risks = self.placement.risks().len() as i64;
        // `set` returns the previous value, so that only a change is logged.
        if self.metrics().events_at_risk.set(risks) != risks {
            tracing::warn!(risks, "events at risk");
        }
        for command in commands {
            self.send_command(now, &command);
        }
    }

    /// Sends a command, after checking again that the lease is still held.
    ///
    /// A drain is not sent to the upstream but recorded on the log, so that all instances stop sending
    /// it requests for the model.
    fn send_command(&mut self, now: Millis, command: &placement::Command) {
        let Some(fencing_token) = self.lease.fencing_token(now) else {
            return;
        };
        let change = match command.kind {
            CommandKind::Drain => {
                let intent = DrainIntent {
                    upstream: Arc::clone(&command.upstream),
                    model: Arc::clone(&command.model),
                    fencing_token,
                };
                self.pending_appends
                    .push_back(Append(RecordBody::DrainIntent(intent)));
                return;
            }
            CommandKind::Load => "load",
            CommandKind::Unload => "unload",
        };
        tracing::info!(upstream = %command.upstream, model = %command.model, change, "order");
        Metrics::count(&self.metrics().orders, change, 1);
        let index = self
            .upstreams
            .binary_search_by(|u| u.name.cmp(&command.upstream));
        let Ok(index) = index else { return };
        let upstream_command = UpstreamCommand::ChangeModel {
            address: self.upstreams[index].address,
            change,
            model: command.model.to_string(),
            fencing_token,
        };
        let _ = self.out.upstream_commands.try_send(upstream_command);
    }
}
