//! Updates of the metrics and of the status page that the control thread publishes.

use super::Control;
use serde_json::json;
use std::sync::{
    PoisonError,
    atomic::Ordering, //
};
use vanillakeel::{
    Millis,
    membership::{
        Kind,
        State, //
    },
};

impl Control {
    /// Updates the gauges, the readiness flag and the status page.
    pub(super) fn publish_status(&mut self, now: Millis) {
        let list_age_ms = self.membership.list_age_ms(now);
        self.update_poll_targets();
        let metrics = self.metrics();
        metrics.sync_router(self.router.counts());
        metrics.version.set(self.config_replica.version() as i64);
        metrics.open_calls.set(self.requests.len() as i64);
        metrics.ejected.set(self.router.ejected() as i64);
        self.publish_rates();
        let metrics = self.metrics();
        metrics.claim_keys.set(self.claims.log_state().len() as i64);
        metrics
            .list_age_ms
            .set(list_age_ms.map_or(-1, |ms| ms as i64));
        let is_ready = self.config_replica.version() > 0 && !self.is_leaving();
        self.out.is_ready.store(is_ready, Ordering::SeqCst);
        let page = self.status(now, list_age_ms).to_string();
        let mut shared = self
            .out
            .status
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *shared = page;
    }

    /// Returns the status page as JSON.
    fn status(&self, now: Millis, list_age_ms: Option<u64>) -> serde_json::Value {
        let members = self.membership.iter().map(|m| {
            json!({
                "name": &*m.name,
                "kind": if m.kind == Kind::Entry { "entry" } else { "upstream" },
                "leaving": m.state == State::Leaving,
            })
        });
        let services = self.config.services.iter().map(|s| {
            json!({
                "name": s.name,
                "queued": self.router.queued(&s.name),
            })
        });
        let risks = self.placement.risks().iter().map(|r| {
            json!({
                "service": &*r.service,
                "missing": r.missing,
                "late_ms": r.late_ms,
            })
        });
        json!({
            "instance": self.settings.instance.name,
            "data_centre": self.settings.instance.data_centre,
            "version": self.config_replica.version(),
            "ready": self.out.is_ready.load(Ordering::SeqCst),
            "leaving": self.is_leaving(),
            "open_calls": self.requests.len(),
            "ejected_upstreams": self.router.ejected(),
            "list_age_ms": list_age_ms,
            "log_age_ms": self.log_read_at.map(|t| now.since(t)),
            "log_next": self.log_next,
            "claims_waiting": self.claims.waiting(),
            "placement_holder": self.lease.holder(),
            "members": members.collect::<Vec<_>>(),
            "services": services.collect::<Vec<_>>(),
            "events_at_risk": risks.collect::<Vec<_>>(),
        })
    }
}
