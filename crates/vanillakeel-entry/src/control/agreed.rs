//! What is agreed through the log: the text in force, and the log's own news.

use super::{
    Control,
    Known, //
};
use crate::{
    caller::Snapshot,
    metrics::Metrics,
    platform::{
        Append,
        Target, //
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
    Body,
    Intent, //
};

/// Part of the log's records, oldest first, that may be trimmed soon.
const AT_RISK_PART: u64 = 4;

/// Time for which an upstream that is to lose a model gets no requests for it, in ms.
const WITHDRAWN_MS: u64 = 60_000;

impl Control {
    pub(super) fn on_log(&mut self, now: Millis, news: &Page) {
        let has_gap = self.log_heard.is_some() && news.first_offset > self.log_next;
        if self.log_heard.is_none() || has_gap {
            self.lease.begin(news.first_offset);
        }
        if has_gap {
            tracing::warn!(
                first = news.first_offset,
                read = self.log_next,
                "log was trimmed"
            );
        }
        let mut claims: Vec<(u64, claim::Batch)> = Vec::new();
        let mut edits: Vec<(u64, config_log::Record)> = Vec::new();
        let mut leases: Vec<(u64, lease::Record)> = Vec::new();
        for (offset, body) in &news.records {
            match body {
                Body::Claims(batch) => claims.push((*offset, batch.clone())),
                Body::Configuration(record) => edits.push((*offset, record.clone())),
                Body::Lease(record) => leases.push((*offset, record.clone())),
                Body::Intent(intent) => self.on_intent(now, intent),
            }
        }
        self.log_first = news.first_offset;
        self.log_next = news.next_offset;
        self.log_heard = Some(now);
        self.claims
            .on_records(now, &claims, news.next_offset, news.is_end);
        self.configuration
            .on_records(now, news.first_offset, &edits, news.next_offset);
        self.lease.on_records(now, &leases, news.is_end);
        self.claims.forget(wall_ms(), news.first_offset);
    }

    /// The oldest offset that the log is going to keep for a while.
    pub(super) const fn first_at_risk(&self) -> u64 {
        if self.log_first == 0 {
            return 0;
        }
        self.log_first + (self.log_next - self.log_first) / AT_RISK_PART
    }

    fn on_intent(&mut self, now: Millis, intent: &Intent) {
        let gone = now.plus(WITHDRAWN_MS);
        self.withdrawn.push((
            Arc::clone(&intent.upstream),
            Arc::clone(&intent.model),
            gone,
        ));
        self.apply_upstreams(now);
    }

    pub(super) fn carry_out_configuration(&mut self, now: Millis) {
        let actions: Vec<Action> = self.configuration.drain().collect();
        for action in actions {
            match action {
                Action::Append(record) => {
                    Metrics::count(&self.metrics().appends, "configuration", 1);
                    self.waiting_appends
                        .push_back(Append(Body::Configuration(record)));
                }
                Action::Apply { version, text } => self.apply_text(now, version, &text),
            }
        }
    }

    fn apply_text(&mut self, now: Millis, version: Version, source: &str) {
        match Config::parse(source) {
            Ok(text) => self.text = text,
            Err(e) => {
                tracing::error!(version, error = %e, "the agreed text can't be read here");
                return;
            }
        }
        tracing::info!(version, "text in force");
        self.metrics().version.set(version as i64);
        self.shared.set_snapshot(Snapshot {
            version,
            text: self.text.clone(),
        });
        self.out.is_ready.store(true, Ordering::SeqCst);
        self.note_upstreams();
        self.apply_upstreams(now);
    }

    /// Takes addresses and pools of upstreams from the text.
    fn note_upstreams(&mut self) {
        let scope = self.settings.routing.scope;
        let data_centre = &self.settings.instance.data_centre;
        let old = std::mem::take(&mut self.upstreams);
        let observed = |name: &str| {
            old.iter()
                .find(|u| *u.name == *name)
                .and_then(|u| u.observed.clone())
        };
        for u in &self.text.upstreams {
            if scope == Scope::DataCentre && u.data_centre != *data_centre {
                continue;
            }
            let Ok(address) = u.address.parse() else {
                continue;
            };
            self.upstreams.push(Known {
                name: Arc::from(u.name.as_str()),
                pool: Arc::from(u.pool.as_str()),
                address,
                observed: observed(&u.name),
            });
        }
    }

    /// Tells the thread that asks for load reports whom to ask.
    pub(super) fn note_targets(&self) {
        let targets = self.upstreams.iter().map(|u| Target {
            name: Arc::clone(&u.name),
            address: u.address,
            is_model: self.text.pool(&u.pool).map(|p| p.kind) == Some(Kind::Model),
            is_own: self.router.is_in_own_group(&u.name),
        });
        let targets: Vec<Target> = targets.collect();
        let mut shared = self
            .out
            .targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shared = targets;
    }

    /// Tells the router which upstreams serve which service.
    pub(super) fn apply_upstreams(&mut self, now: Millis) {
        self.withdrawn.retain(|w| w.2 > now);
        let mut served: Vec<(String, String)> = Vec::new();
        for service in &self.text.services {
            for u in self.upstreams.iter().filter(|u| *u.pool == *service.pool) {
                let model = service.model.as_deref();
                if !self.serves(u, model) {
                    continue;
                }
                let Some(settings) = self.text.upstream(&u.name) else {
                    continue;
                };
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

    /// Whether an upstream holds a model, as far as it has reported, and is not to lose it.
    fn serves(&self, u: &Known, model: Option<&str>) -> bool {
        let Some(model) = model else { return true };
        let is_withdrawn = self
            .withdrawn
            .iter()
            .any(|w| w.0 == u.name && *w.1 == *model);
        let holds = u
            .observed
            .as_ref()
            .is_none_or(|o| o.1.models.iter().any(|m| **m == *model));
        holds && !is_withdrawn
    }
}
