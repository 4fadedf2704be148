//! What load and faults come when.

use vanillakeel_standin::batch;

/// Length of a run in ms, without the time to drain.
pub(super) const LENGTH_MS: u64 = 60_000;

/// Part of the engines' capacity that the load asks for in ordinary times.
const STEADY_LOAD: f64 = 0.6;

/// Part of the engines' capacity with warm caches that the load asks for under overload, so that
/// no policy can serve it all.
const OVERLOAD: f64 = 1.5;

/// Prompts of a class that share one beginning.
const PREFIXES: u64 = 16;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Class {
    pub(super) name: &'static str,
    pub(super) tier: u8,
    pub(super) target_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) is_protected: bool,
    pub(super) is_idempotent: bool,
    pub(super) is_plain: bool,
    pub(super) prompt_tokens: u32,
    pub(super) max_tokens: u32,
    /// Part of the load on its pool.
    pub(super) part: f64,
}

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
    part: 0.5,
};

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
    part: 0.2,
};

/// Classes of Alpenland.
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
        part: 0.3,
        ..MODEL
    },
    Class {
        name: "question",
        tier: 3,
        target_ms: 3_000,
        prompt_tokens: 120,
        part: 0.3,
        ..MODEL
    },
    Class {
        name: "archive",
        tier: 4,
        target_ms: 10_000,
        deadline_ms: 50_000,
        max_tokens: 192,
        part: 0.2,
        ..MODEL
    },
];

/// Classes of Acoustique.
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
        part: 0.1,
        ..MODEL
    },
    Class {
        name: "reverberation",
        prompt_tokens: 1_600,
        target_ms: 3_000,
        max_tokens: 192,
        part: 0.25,
        ..MODEL
    },
    Class {
        name: "treatment",
        tier: 2,
        part: 0.25,
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
        part: 0.4,
        ..MODEL
    },
];

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Size {
    pub(super) name: &'static str,
    pub(super) instances: usize,
    pub(super) engines: usize,
    pub(super) plains: usize,
    pub(super) workspaces: u64,
    pub(super) classes: &'static [Class],
}

/// All deployments.
pub(super) const SIZES: [Size; 4] = [
    Size {
        name: "alpenland",
        instances: 7,
        engines: 9,
        plains: 4,
        workspaces: 10,
        classes: &ALPENLAND,
    },
    Size {
        name: "acoustique",
        instances: 7,
        engines: 12,
        plains: 3,
        workspaces: 10,
        classes: &ACOUSTIQUE,
    },
    Size {
        name: "alpenland-x10",
        instances: 70,
        engines: 90,
        plains: 40,
        workspaces: 100,
        classes: &ALPENLAND,
    },
    Size {
        name: "acoustique-x10",
        instances: 70,
        engines: 120,
        plains: 30,
        workspaces: 100,
        classes: &ACOUSTIQUE,
    },
];

/// Something that goes wrong at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Steps of a part of the engines take this many times as long.
    Straggle { part: f64, slowness: f64 },
    /// A part of the engines crashes.
    Crash { part: f64 },
    /// Crashed and straggling engines are good again.
    Recover,
}

/// A course of load and faults.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    /// Load on model engines as a part of their capacity.
    pub(super) load: f64,
    /// Whether that capacity is the one with warm prefix caches, not with cold ones.
    pub(super) is_of_warm: bool,
    /// Factor on the rate of the class of tier 2 from 20 s to 40 s.
    pub(super) burst: f64,
    /// Factor on the rate of the top class of model engines from 20 s to 40 s.
    pub(super) due: f64,
    /// Factor on the rate of the top class of model engines, all the time.
    pub(super) top: f64,
    /// Part of all requests that come to the first instance.
    pub(super) skew: f64,
    /// Lag of load reports in ms.
    pub(super) report_lag_ms: u64,
    /// Whether instances hear nothing of each other.
    pub(super) peers_are_cut: bool,
    pub(super) faults: Vec<(u64, Fault)>,
}

fn base(name: &'static str) -> Scenario {
    Scenario {
        name,
        load: STEADY_LOAD,
        is_of_warm: false,
        burst: 1.0,
        due: 1.0,
        top: 1.0,
        skew: 0.0,
        report_lag_ms: 500,
        peers_are_cut: false,
        faults: Vec::new(),
    }
}

/// All scenarios.
pub(super) fn all() -> Vec<Scenario> {
    let straggle = Fault::Straggle {
        part: 0.2,
        slowness: 5.0,
    };
    let crash = Fault::Crash { part: 0.2 };
    vec![
        base("steady"),
        Scenario {
            burst: 4.0,
            ..base("burst")
        },
        Scenario {
            load: OVERLOAD,
            is_of_warm: true,
            ..base("overload")
        },
        Scenario {
            is_of_warm: true,
            top: 12.0,
            ..base("top-overload")
        },
        Scenario {
            faults: vec![(15_000, straggle), (45_000, Fault::Recover)],
            ..base("straggler")
        },
        Scenario {
            faults: vec![(20_000, crash), (40_000, Fault::Recover)],
            ..base("crash")
        },
        Scenario {
            report_lag_ms: 10_000,
            ..base("stale-reports")
        },
        Scenario {
            skew: 0.7,
            ..base("skewed-entry")
        },
        Scenario {
            peers_are_cut: true,
            ..base("outage-of-peers")
        },
        Scenario {
            due: 3.0,
            ..base("due-event")
        },
        Scenario {
            faults: vec![
                (15_000, straggle),
                (20_000, crash),
                (45_000, Fault::Recover),
            ],
            ..base("straggler-and-crash")
        },
        Scenario {
            burst: 4.0,
            skew: 0.7,
            faults: vec![(25_000, crash), (45_000, Fault::Recover)],
            ..base("burst-and-crash")
        },
    ]
}

impl Scenario {
    /// Requests a second of a class at a time.
    pub(super) fn rate(&self, size: &Size, class: &Class, now_ms: u64) -> f64 {
        let is_middle = (20_000..40_000).contains(&now_ms);
        let factor = match class.tier {
            2 if is_middle => self.burst,
            1 if is_middle => self.due * self.top,
            1 => self.top,
            _ => 1.0,
        };
        if class.is_plain {
            return factor * class.part * 40.0 * size.plains as f64;
        }
        let capacity = 1_000.0 / engine_ms(class, &batch::Settings::default(), self.is_of_warm);
        factor * self.load * class.part * capacity * size.engines as f64
    }

    /// Beginnings of prompts of a class.
    pub(super) const fn prefixes(&self) -> u64 {
        PREFIXES
    }
}

/// Mean length of an answer, whose length is `max_tokens` times a squared uniform number.
fn mean_tokens(class: &Class) -> f64 {
    f64::from(class.max_tokens) / 3.0
}

/// Time of an engine that runs full which a request of a class takes, in ms.
fn engine_ms(class: &Class, batch: &batch::Settings, is_warm: bool) -> f64 {
    let part = if is_warm {
        batch.cached_prefill_fraction
    } else {
        1.0
    };
    let full = batch.base_step_ms + batch.per_sequence_ms * batch.slots as f64;
    let decode = mean_tokens(class) * full / batch.slots as f64;
    decode + part * f64::from(class.prompt_tokens) * batch.per_prefill_token_ms
}
