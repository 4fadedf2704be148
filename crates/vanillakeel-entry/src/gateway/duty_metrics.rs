//! Metrics of the tasks that one instance at a time does for the platform.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

/// Labels of the counter of losses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct LossLabels {
    reason: &'static str,
}

/// Labels of the counter of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CallLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Metrics of the lease and of the calls of its holder.
#[derive(Clone, Debug, Default)]
pub(super) struct DutyMetrics {
    pub(super) holding: Gauge,
    pub(super) token: Gauge,
    pub(super) acquisitions: Counter,
    pub(super) renewal_age_ms: Gauge,
    losses: Family<LossLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    log_calls: Family<CallLabels, Counter>,
}

impl DutyMetrics {
    /// Adds the metrics to a registry, with the help texts of the page.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "duty_holding",
            "Whether this instance holds the lease for the platform's tasks",
            self.holding.clone(),
        );
        registry.register(
            "duty_token",
            "Fencing token of the lease, while this instance holds it",
            self.token.clone(),
        );
        registry.register(
            "duty_acquisitions",
            "Times that this instance acquired the lease",
            self.acquisitions.clone(),
        );
        registry.register(
            "duty_renewal_age_ms",
            "Time since the last successful renewal was sent; -1 if the lease is not held",
            self.renewal_age_ms.clone(),
        );
        registry.register(
            "duty_losses",
            "Times that this instance lost the lease or gave it up",
            self.losses.clone(),
        );
        registry.register(
            "duty_calls",
            "Calls to the platform as holder of the lease",
            self.calls.clone(),
        );
        registry.register(
            "duty_log_calls",
            "Calls to the log for the lease",
            self.log_calls.clone(),
        );
    }

    /// Counts a loss of the lease.
    pub(super) fn on_lost(&self, reason: &'static str) {
        self.losses.get_or_create(&LossLabels { reason }).inc();
    }

    /// Counts a call to the platform.
    pub(super) fn on_call(&self, kind: &'static str, outcome: &'static str) {
        let labels = CallLabels { kind, outcome };
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts a call to the log.
    pub(super) fn on_log_call(&self, kind: &'static str, outcome: &'static str) {
        let labels = CallLabels { kind, outcome };
        self.log_calls.get_or_create(&labels).inc();
    }
}
