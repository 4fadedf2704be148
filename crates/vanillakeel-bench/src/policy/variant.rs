//! The policies that are compared: variants of the router's settings.

use vanillakeel::{
    admission::{
        self,
        QueueOrder, //
    },
    attempt, router,
    routing::{
        self,
        Strategy, //
    },
    share::{
        self,
        Mode, //
    },
    subset,
};

/// A policy, that is, the settings of all routers in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Variant {
    pub(super) name: &'static str,
    pub(super) settings: router::Settings,
    /// Whether requests carry their tier to the upstream as a priority.
    pub(super) sends_priority: bool,
}

/// Returns the policy of an ordinary load balancer.
///
/// Requests are served in order of arrival by the better of two random upstreams, judged by the
/// instance's own calls in flight, and a failed request is retried up to twice even if it may have
/// run.
fn baseline() -> Variant {
    Variant {
        name: "baseline",
        settings: router::Settings {
            admission: admission::Settings {
                limit: usize::MAX,
                reserved_turn_every: 0,
                order: QueueOrder::Arrival,
                tiers: false,
                ..admission::Settings::default()
            },
            routing: routing::Settings {
                strategy: Strategy::TwoRandomInFlight,
                ejection: false,
                ..routing::Settings::default()
            },
            attempt: attempt::Settings {
                max_attempts: 3,
                blind_retry: true,
                resume: false,
                hedge: false,
                preempt: false,
                migrate_from_stragglers: false,
                stall_ms: u64::MAX,
                first_token_stall_ms: u64::MAX,
                ..attempt::Settings::default()
            },
            share: share::Settings {
                mode: Mode::Unlimited,
                ..share::Settings::default()
            },
            subset: subset::Settings {
                size: 0,
                overflow: false,
            },
        },
        sends_priority: false,
    }
}

/// Returns a variant of the default settings.
fn variant(name: &'static str, change: impl FnOnce(&mut router::Settings)) -> Variant {
    let mut settings = router::Settings::default();
    change(&mut settings);
    Variant {
        name,
        settings,
        sends_priority: true,
    }
}

/// Returns all variants; the second, `default`, has the settings of the daemon.
pub(super) fn all() -> Vec<Variant> {
    vec![
        baseline(),
        variant("default", |_| {}),
        variant("share-even", |s| s.share.mode = Mode::Even),
        variant("share-learned", |s| s.share.mode = Mode::Learned),
        variant("share-none", |s| s.share.mode = Mode::Unlimited),
        variant("route-two-random", |s| {
            s.routing.strategy = Strategy::TwoRandom;
        }),
        variant("route-least-cost", |s| {
            s.routing.strategy = Strategy::LeastCost;
        }),
        variant("load-bound-2", |s| s.routing.load_bound = 2.0),
        variant("fill-1", |s| s.share.overcommit = 1.0),
        variant("fill-1.5", |s| s.share.overcommit = 1.5),
        variant("fill-2", |s| s.share.overcommit = 2.0),
        variant("order-earliest-due", |s| {
            s.admission.order = QueueOrder::EarliestDue;
        }),
        variant("order-arrival", |s| s.admission.order = QueueOrder::Arrival),
        variant("no-floor", |s| s.admission.reserved_turn_every = 0),
        variant("no-hedge", |s| s.attempt.hedge = false),
        variant("no-resume", |s| s.attempt.resume = false),
        variant("no-ejection", |s| s.routing.ejection = false),
        variant("no-groups", |s| s.subset.size = 0),
        variant("groups-of-6", |s| s.subset.size = 6),
        variant("groups-of-24", |s| s.subset.size = 24),
        variant("no-spill", |s| s.subset.overflow = false),
        variant("window-100", |s| s.routing.straggler_window_ms = 100),
        variant("window-400", |s| s.routing.straggler_window_ms = 400),
        variant("no-moving", |s| s.attempt.migrate_from_stragglers = false),
        variant("no-preemption", |s| s.attempt.preempt = false),
    ]
}
