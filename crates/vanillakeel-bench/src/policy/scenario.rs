//! Deployments, their request classes, and the scenarios of load and faults.

use vanillakeel_standin::batch;

/// Duration of the load in ms, without the time to answer what is left.
pub(super) const LOAD_DURATION_MS: u64 = 60_000;

/// Load in ordinary scenarios, as a fraction of the engines' capacity.
const STEADY_LOAD: f64 = 0.6;

/// Load under overload, as a fraction of the engines' capacity with warm prefix caches, so that no
/// policy can serve it all.
const OVERLOAD: f64 = 1.5;

/// Number of different prompt prefixes in a class.
const PREFIXES_PER_CLASS: u64 = 16;

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Class {
    pub(super) name: &'static str,
    pub(super) tier: u8,
    /// Target time from the arrival to the first token.
    pub(super) target_ms: u64,
    /// Time from the arrival to the deadline.
    pub(super) deadline_ms: u64,
    pub(super) is_protected: bool,
    pub(super) is_idempotent: bool,
    /// Whether the class calls a plain service and not a model.
    pub(super) is_plain: bool,
    pub(super) prompt_tokens: u32,
    pub(super) max_tokens: u32,
    /// Fraction of the load on its pool.
    pub(super) load_fraction: f64,
}

/// Template of the classes that call plain services.
const PLAIN: Class = Class {
    name: "",
    tier: 0,
    target_ms: 400,
    deadline_ms: 8_000,
    is_protected: true,
    is_idempotent: true,
    is_plain: true,
    prompt_tokens: 0,
    max_tokens: 1,
    load_fraction: 0.5,
};

/// Template of the classes that call models.
const MODEL: Class = Class {
    name: "",
    tier: 1,
    target_ms: 1_700,
    deadline_ms: 34_000,
    is_protected: false,
    is_idempotent: true,
    is_plain: false,
    prompt_tokens: 300,
    max_tokens: 96,
    load_fraction: 0.2,
};

/// Classes of the deployment Alpenland.
const ALPENLAND: [Class; 6] = [
    Class {
        name: "validity",
        ..PLAIN
    },
    Class {
        name: "issuance",
        target_ms: 1_000,
        is_idempotent: false,
        ..PLAIN
    },
    Class {
        name: "draft",
        ..MODEL
    },
    Class {
        name: "review",
        tier: 2,
        prompt_tokens: 600,
        load_fraction: 0.3,
        ..MODEL
    },
    Class {
        name: "question",
        tier: 3,
        target_ms: 3_000,
        prompt_tokens: 120,
        load_fraction: 0.3,
        ..MODEL
    },
    Class {
        name: "archive",
        tier: 4,
        target_ms: 10_000,
        deadline_ms: 50_000,
        max_tokens: 192,
        load_fraction: 0.2,
        ..MODEL
    },
];

/// Classes of the deployment Acoustique.
const ACOUSTIQUE: [Class; 6] = [
    Class {
        name: "sheet",
        ..PLAIN
    },
    Class {
        name: "comparison",
        tier: 0,
        is_protected: true,
        is_idempotent: false,
        load_fraction: 0.1,
        ..MODEL
    },
    Class {
        name: "reverberation",
        prompt_tokens: 1_600,
        target_ms: 3_000,
        max_tokens: 192,
        load_fraction: 0.25,
        ..MODEL
    },
    Class {
        name: "treatment",
        tier: 2,
        load_fraction: 0.25,
        ..MODEL
    },
    Class {
        name: "decay",
        tier: 3,
        is_protected: false,
        ..PLAIN
    },
    Class {
        name: "diffuser",
        tier: 4,
        target_ms: 4_000,
        prompt_tokens: 80,
        load_fraction: 0.4,
        ..MODEL
    },
];

/// A deployment: the number of its processes and workspaces, and its request classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Deployment {
    pub(super) name: &'static str,
    pub(super) instances: usize,
    pub(super) engines: usize,
    pub(super) plain_services: usize,
    pub(super) workspaces: u64,
    pub(super) classes: &'static [Class],
}

/// All deployments.
pub(super) const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        name: "alpenland",
        instances: 7,
        engines: 9,
        plain_services: 4,
        workspaces: 10,
        classes: &ALPENLAND,
    },
    Deployment {
        name: "acoustique",
        instances: 7,
        engines: 12,
        plain_services: 3,
        workspaces: 10,
        classes: &ACOUSTIQUE,
    },
    Deployment {
        name: "alpenland-x10",
        instances: 70,
        engines: 90,
        plain_services: 40,
        workspaces: 100,
        classes: &ALPENLAND,
    },
    Deployment {
        name: "acoustique-x10",
        instances: 70,
        engines: 120,
        plain_services: 30,
        workspaces: 100,
        classes: &ACOUSTIQUE,
    },
];

/// A fault, or the recovery from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// The batch steps of a fraction of the engines take `slowness` times as long.
    Straggle { fraction: f64, slowness: f64 },
    /// A fraction of the engines crashes.
    Crash { fraction: f64 },
    /// All crashed and straggling engines recover.
    Recover,
}

/// The load and the faults of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    /// Load on model engines as a fraction of their capacity.
    pub(super) load: f64,
    /// Whether the capacity is computed for warm instead of cold prefix caches.
    pub(super) assumes_warm_caches: bool,
    /// Factor on the rate of the classes of tier 2 from 20 s to 40 s.
    pub(super) burst_factor: f64,
    /// Factor on the rate of the classes of tier 1 from 20 s to 40 s.
    pub(super) due_event_factor: f64,
    /// Factor on the rate of the classes of tier 1 during the whole run.
    pub(super) tier_1_factor: f64,
    /// Probability that a request goes to the first instance instead of a random one.
    pub(super) skew_fraction: f64,
    /// Age of the load that a load report carries, in ms.
    pub(super) report_lag_ms: u64,
    /// Whether all messages between instances are lost.
    pub(super) peers_are_cut: bool,
    /// Faults with their times in ms.
    pub(super) faults: Vec<(u64, Fault)>,
}

/// Returns a scenario of ordinary load without faults, from which the others are derived.
fn steady_scenario(name: &'static str) -> Scenario {
    Scenario {
        name,
        load: STEADY_LOAD,
        assumes_warm_caches: false,
        burst_factor: 1.0,
        due_event_factor: 1.0,
        tier_1_factor: 1.0,
        skew_fraction: 0.0,
        report_lag_ms: 500,
        peers_are_cut: false,
        faults: Vec::new(),
    }
}

/// Returns all scenarios.
pub(super) fn all() -> Vec<Scenario> {
    let straggle = Fault::Straggle {
        fraction: 0.2,
        slowness: 5.0,
    };
    let crash = Fault::Crash { fraction: 0.2 };
    vec![
        steady_scenario("steady"),
        Scenario {
            burst_factor: 4.0,
            ..steady_scenario("burst")
        },
        Scenario {
            load: OVERLOAD,
            assumes_warm_caches: true,
            ..steady_scenario("overload")
        },
        Scenario {
            assumes_warm_caches: true,
            tier_1_factor: 12.0,
            ..steady_scenario("top-overload")
        },
        Scenario {
            faults: vec![(15_000, straggle), (45_000, Fault::Recover)],
            ..steady_scenario("straggler")
        },
        Scenario {
            faults: vec![(20_000, crash), (40_000, Fault::Recover)],
            ..steady_scenario("crash")
        },
        Scenario {
            report_lag_ms: 10_000,
            ..steady_scenario("stale-reports")
        },
        Scenario {
            skew_fraction: 0.7,
            ..steady_scenario("skewed-entry")
        },
        Scenario {
            peers_are_cut: true,
            ..steady_scenario("outage-of-peers")
        },
        Scenario {
            due_event_factor: 3.0,
            ..steady_scenario("due-event")
        },
        Scenario {
            faults: vec![
                (15_000, straggle),
                (20_000, crash),
                (45_000, Fault::Recover),
            ],
            ..steady_scenario("straggler-and-crash")
        },
        Scenario {
            burst_factor: 4.0,
            skew_fraction: 0.7,
            faults: vec![(25_000, crash), (45_000, Fault::Recover)],
            ..steady_scenario("burst-and-crash")
        },
    ]
}

impl Scenario {
    /// Returns the rate of a class at a time of the run, in requests a second.
    pub(super) fn rate(&self, deployment: &Deployment, class: &Class, now_ms: u64) -> f64 {
        let is_middle = (20_000..40_000).contains(&now_ms);
        let factor = match class.tier {
            2 if is_middle => self.burst_factor,
            1 if is_middle => self.due_event_factor * self.tier_1_factor,
            1 => self.tier_1_factor,
            _ => 1.0,
        };
        if class.is_plain {
            // All classes of plain services together send 40 requests a second to each service.
            return factor * class.load_fraction * 40.0 * deployment.plain_services as f64;
        }
        let capacity =
            1_000.0 / engine_time_ms(class, &batch::Settings::default(), self.assumes_warm_caches);
        factor * self.load * class.load_fraction * capacity * deployment.engines as f64
    }

    /// Returns the number of different prompt prefixes in a class.
    pub(super) const fn prefix_count(&self) -> u64 {
        PREFIXES_PER_CLASS
    }
}

/// Returns the mean length of an answer in tokens.
///
/// The length of an answer is `max_tokens` times the square of a uniform random number, whose mean
/// is 1/3.
fn mean_tokens(class: &Class) -> f64 {
    f64::from(class.max_tokens) / 3.0
}

/// Returns the time that a request of a class takes from an engine with a full batch, in ms.
fn engine_time_ms(class: &Class, batch: &batch::Settings, is_warm: bool) -> f64 {
    let prefill_fraction = if is_warm {
        batch.cached_prefill_fraction
    } else {
        1.0
    };
    let full_step_ms = batch.base_step_ms + batch.per_sequence_ms * batch.slots as f64;
    let decode_ms = mean_tokens(class) * full_step_ms / batch.slots as f64;
    decode_ms + prefill_fraction * f64::from(class.prompt_tokens) * batch.per_prefill_token_ms
}
