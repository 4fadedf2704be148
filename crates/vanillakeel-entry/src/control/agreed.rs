//! State agreed through the log: the configuration in force, and the upstreams that follow from it.
//!
//! [`Control::on_log`] passes the records of a page to the claims, the configuration replica and the
//! lease. When the replica brings a version into force, [`Control::apply_config`] parses it and gives
//! its upstreams to the router.

use super::{
    Control,
    KnownUpstream, //
};
use crate::{
    caller::Snapshot,
    metrics::Metrics,
    platform::{
        Append,
        PollTarget, //
    },
    settings::Scope,
    time::wall_ms,
};
use std::sync::{
    Arc,
    PoisonError,
    atomic::Ordering, //
};
use vanillakeel::{
    Config, Millis, claim,
    config::Kind,
    config_log::{
        self,
        Action,
        Version, //
    },
    lease,
};
use vanillakeel_log::Page;
use vanillakeel_wire::{
    DrainIntent,
    RecordBody, //
};

/// Divisor of the number of records on the log: the oldest quarter counts as about to be trimmed. A
/// checkpoint of the configuration that lies in it is written again.
const AT_RISK_DIVISOR: u64 = 4;

/// Time for which an upstream that is to unload a model gets no requests for it, in ms, unless it
/// reports earlier that it no longer holds the model.
const DRAIN_MS: u64 = 60_000;

impl Control {
    /// Applies a page of the log.
    pub(super) fn on_log(&mut self, now: Millis, page: &Page) {
        let has_gap = self.log_read_at.is_some() && page.first_offset > self.log_next;
        if self.log_read_at.is_none() || has_gap {
            self.lease.begin(page.first_offset);
        }
        if has_gap {
            tracing::warn!(
                first = page.first_offset,
                read = self.log_next,
                "records were trimmed from the log before they were read"
            );
        }
        let mut claims: Vec<(u64, claim::Batch)> = Vec::new();
        let mut config_records: Vec<(u64, config_log::Record)> = Vec::new();
        let mut leases: Vec<(u64, lease::Record)> = Vec::new();
        for (offset, body) in &page.records {
            match body {
                RecordBody::Claims(batch) => claims.push((*offset, batch.clone())),
                RecordBody::Config(record) => config_records.push((*offset, record.clone())),
                RecordBody::Lease(record) => leases.push((*offset, record.clone())),
                RecordBody::DrainIntent(intent) => self.on_drain_intent(now, intent),
            }
        }
        self.log_first = page.first_offset;
        self.log_next = page.next_offset;
        self.log_read_at = Some(now);
        self.claims
            .on_records(now, &claims, page.next_offset, page.is_end);
        self.config_replica
            .on_records(now, page.first_offset, &config_records, page.next_offset);
        self.lease.on_records(now, &leases, page.is_end);
        self.claims.forget(wall_ms(), page.first_offset);
    }

    /// Returns the oldest offset that is not about to be trimmed from the log.
    pub(super) const fn first_safe_offset(&self) -> u64 {
        if self.log_first == 0 {
            return 0;
        }
        self.log_first + (self.log_next - self.log_first) / AT_RISK_DIVISOR
    }

    /// Stops sending requests for a model to an upstream that the holder of the placement lease drains.
    fn on_drain_intent(&mut self, now: Millis, intent: &DrainIntent) {
        let expires = now.plus(DRAIN_MS);
        self.draining.push((
            Arc::clone(&intent.upstream),
            Arc::clone(&intent.model),
            expires,
        ));
        self.update_router_upstreams(now);
    }

    pub(super) fn perform_config_actions(&mut self, now: Millis) {
        let actions: Vec<Action> = self.config_replica.drain().collect();
        for action in actions {
            match action {
                Action::Append(record) => {
                    Metrics::count(&self.metrics().appends, "configuration", 1);
                    self.pending_appends
                        .push_back(Append(RecordBody::Config(record)));
                }
                Action::Apply { version, text } => self.apply_config(now, version, &text),
            }
        }
    }

    fn apply_config(&mut self, now: Millis, version: Version, source: &str) {
        match Config::parse(source) {
            Ok(config) => self.config = config,
            Err(e) => {
                tracing::error!(version, error = %e, "failed to parse the agreed configuration; this instance keeps the previous one");
                return;
            }
        }
        tracing::info!(version, "text in force");
        self.metrics().version.set(version as i64);
        self.shared.set_snapshot(Snapshot {
            version,
            config: self.config.clone(),
        });
        self.out.is_ready.store(true, Ordering::SeqCst);
        self.rebuild_upstreams();
        self.update_router_upstreams(now);
    }

    /// Rebuilds the list of upstreams from the configuration and keeps their last reports.
    fn rebuild_upstreams(&mut self) {
        let scope = self.settings.routing.scope;
        let data_centre = &self.settings.instance.data_centre;
        let old = std::mem::take(&mut self.upstreams);
        let observed = |name: &str| {
            old.iter()
                .find(|u| *u.name == *name)
                .and_then(|u| u.observed.clone())
        };
        for u in &self.config.upstreams {
            if scope == Scope::DataCentre && u.data_centre != *data_centre {
                continue;
            }
            let Ok(address) = u.address.parse() else {
                continue;
            };
            self.upstreams.push(KnownUpstream {
                name: Arc::from(u.name.as_str()),
                pool: Arc::from(u.pool.as_str()),
                address,
                observed: observed(&u.name),
            });
        }
    }

    /// Updates the list of upstreams that are polled for load reports.
    pub(super) fn update_poll_targets(&self) {
        let targets = self.upstreams.iter().map(|u| PollTarget {
            name: Arc::clone(&u.name),
            address: u.address,
            is_model: self.config.pool(&u.pool).map(|p| p.kind) == Some(Kind::Model),
            is_in_own_group: self.router.is_in_own_group(&u.name),
        });
        let targets: Vec<PollTarget> = targets.collect();
        let mut shared = self
            .out
            .poll_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shared = targets;
    }

    /// Gives the router the upstreams that serve each service, and removes all others.
    pub(super) fn update_router_upstreams(&mut self, now: Millis) {
        self.draining.retain(|d| d.2 > now);
        let mut served: Vec<(String, String)> = Vec::new();
        for service in &self.config.services {
            for u in self.upstreams.iter().filter(|u| *u.pool == *service.pool) {
                let model = service.model.as_deref();
                if !self.can_serve(u, model) {
                    continue;
                }
                let Some(settings) = self.config.upstream(&u.name) else {
                    continue;
                };
                // The models that an upstream holds share its slots equally.
                let models = u.observed.as_ref().map_or(1, |o| o.1.models.len());
                let slots = (settings.slots / models.max(1) as u32).max(1);
                let data_centre = &settings.data_centre;
                self.router
                    .set_upstream(&service.name, &u.name, slots, data_centre);
                served.push((service.name.clone(), u.name.to_string()));
            }
        }
        served.sort();
        self.router.retain_upstreams(|pool, upstream| {
            let key = (pool, upstream);
            served
                .binary_search_by(|s| (s.0.as_str(), s.1.as_str()).cmp(&key))
                .is_ok()
        });
        for member in self.membership.leaving() {
            self.router.set_leaving(now, &member.name, true);
        }
    }

    /// Returns whether an upstream can serve a model, or a service without one.
    ///
    /// It has to hold the model and not be draining it. Before its first report it is assumed to hold
    /// every model.
    fn can_serve(&self, u: &KnownUpstream, model: Option<&str>) -> bool {
        let Some(model) = model else { return true };
        let is_draining = self
            .draining
            .iter()
            .any(|d| d.0 == u.name && *d.1 == *model);
        let holds = u
            .observed
            .as_ref()
            .is_none_or(|o| o.1.models.iter().any(|m| **m == *model));
        holds && !is_draining
    }
}
