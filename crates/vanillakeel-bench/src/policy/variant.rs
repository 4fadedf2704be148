//! Settings of the routers that are compared.

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

/// Routers with some settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Variant {
    pub(super) name: &'static str,
    pub(super) settings: router::Settings,
    /// Whether upstreams are told tiers as priorities.
    pub(super) tells_priority: bool,
}

/// First come first served, random of two by own calls in flight, blind retry up to 2.
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
        tells_priority: false,
    }
}

fn keel(name: &'static str, change: impl FnOnce(&mut router::Settings)) -> Variant {
    let mut settings = router::Settings::default();
    change(&mut settings);
    Variant {
        name,
        settings,
        tells_priority: true,
    }
}

/// All variants; the second is the one that the daemon has.
pub(super) fn all() -> Vec<Variant> {
    vec![
        baseline(),
        keel("default", |_| {}),
        keel("share-even", |s| s.share.mode = Mode::Even),
        keel("share-learned", |s| s.share.mode = Mode::Learned),
        keel("share-none", |s| s.share.mode = Mode::Unlimited),
        keel("route-two-random", |s| {
            s.routing.strategy = Strategy::TwoRandom;
        }),
        keel("route-least-cost", |s| {
            s.routing.strategy = Strategy::LeastCost;
        }),
        keel("load-bound-2", |s| s.routing.load_bound = 2.0),
        keel("fill-1", |s| s.share.overcommit = 1.0),
        keel("fill-1.5", |s| s.share.overcommit = 1.5),
        keel("fill-2", |s| s.share.overcommit = 2.0),
        keel("order-earliest-due", |s| {
            s.admission.order = QueueOrder::EarliestDue;
        }),
        keel("order-arrival", |s| s.admission.order = QueueOrder::Arrival),
        keel("no-floor", |s| s.admission.reserved_turn_every = 0),
        keel("no-hedge", |s| s.attempt.hedge = false),
        keel("no-resume", |s| s.attempt.resume = false),
        keel("no-ejection", |s| s.routing.ejection = false),
        keel("no-groups", |s| s.subset.size = 0),
        keel("groups-of-6", |s| s.subset.size = 6),
        keel("groups-of-24", |s| s.subset.size = 24),
        keel("no-spill", |s| s.subset.overflow = false),
        keel("window-100", |s| s.routing.straggler_window_ms = 100),
        keel("window-400", |s| s.routing.straggler_window_ms = 400),
        keel("no-moving", |s| s.attempt.migrate_from_stragglers = false),
        keel("no-preemption", |s| s.attempt.preempt = false),
    ]
}
