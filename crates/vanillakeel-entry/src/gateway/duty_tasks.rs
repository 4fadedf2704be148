//! What the tasks of the platform need of an instance, handed in by value.

use super::{
    capacity_metrics::CapacityMetrics,
    duty_calls::DutyCalls,
    duty_metrics::DutyMetrics,
    log_adapter::LogAdapter,
    settings::Duties, //
};
use crate::Clock;
use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};
use vanillakeel::{
    Millis,
    capacity::{
        Planner,
        ServiceView, //
    },
    duty::Candidate,
    usage::Ledger,
};

/// What the tasks need of the instance.
pub(super) struct Tasks {
    pub(super) clock: Clock,
    pub(super) name: Arc<str>,
    pub(super) settings: Duties,
    pub(super) log: LogAdapter,
    pub(super) calls: DutyCalls,
    /// The lease; tasks that exchange datagrams share it.
    pub(super) candidate: Rc<RefCell<Candidate>>,
    /// The counts of usage; tasks that serve requests share them.
    pub(super) ledger: Rc<RefCell<Ledger>>,
    pub(super) planner: Planner,
    pub(super) metrics: DutyMetrics,
    pub(super) capacity: CapacityMetrics,
    /// Returns whether this instance may take the lease.
    pub(super) is_candidate: Box<dyn Fn(Millis) -> bool>,
    /// Returns the latest known era of the log.
    pub(super) log_era: Box<dyn Fn() -> u64>,
    /// Records an era that an answer of the log has shown.
    pub(super) on_log_era: Box<dyn Fn(u64)>,
    /// Returns the present state of the services whose number of upstreams follows the load.
    pub(super) observe: Box<dyn Fn(Millis) -> Vec<ServiceView>>,
    /// Tells other candidates that the lease was given up.
    pub(super) announce: Box<dyn Fn()>,
    /// Returns whether the instance is stopping.
    pub(super) is_stopping: Box<dyn Fn() -> bool>,
}
