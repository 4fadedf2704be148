//! Figures of a run.

use super::scenario::{
    Class,
    LENGTH_MS, //
};
use serde::Serialize;
use std::collections::BTreeMap;
use vanillakeel::router::Counts;

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Fate {
    pub(super) class: usize,
    pub(super) arrived_ms: f64,
    pub(super) first_ms: Option<f64>,
    pub(super) last_ms: f64,
    pub(super) tokens: u32,
    pub(super) is_answered: bool,
    pub(super) is_refused: bool,
    pub(super) runs: u32,
    /// Refused as not run.
    pub(super) says_not_run: bool,
}

/// Figures of a run, as printed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct Figures {
    pub(super) scenario: String,
    pub(super) policy: String,
    pub(super) size: String,
    pub(super) seed: u64,
    pub(super) attainment: BTreeMap<String, f64>,
    pub(super) tier_attainment: BTreeMap<u8, f64>,
    pub(super) goodput: f64,
    pub(super) wasted: u64,
    pub(super) lowest_max_wait_ms: u64,
    pub(super) lowest_answered: usize,
    pub(super) control_bytes_per_instance_s: f64,
    pub(super) protected_violations: u64,
    pub(super) doubled: usize,
    pub(super) lost: usize,
    pub(super) false_not_run: usize,
    pub(super) retries: u64,
    pub(super) hedges: u64,
    pub(super) resumes: u64,
    pub(super) preempted: u64,
}

impl Fate {
    fn is_attained(&self, class: &Class) -> bool {
        let Some(first_ms) = self.first_ms.filter(|_| self.is_answered) else {
            return false;
        };
        let steps = f64::from(self.tokens.max(2) - 1);
        let between_ms = (self.last_ms - first_ms) / steps;
        first_ms - self.arrived_ms <= class.target_ms as f64 && between_ms <= 31.0
    }

    fn wait_ms(&self) -> f64 {
        self.first_ms.unwrap_or(self.last_ms) - self.arrived_ms
    }
}

fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Counts fates, tokens that engines produced, and decisions of the routers.
pub(super) fn figures(
    classes: &[Class],
    fates: &[Fate],
    produced: u64,
    counts: &[Counts],
    bytes_per_instance: f64,
) -> Figures {
    let mut out = Figures::default();
    let mut good = 0;
    let mut useful = 0;
    let attained = |f: &&Fate| f.is_attained(&classes[f.class]);
    for (at, class) in classes.iter().enumerate() {
        let own = || fates.iter().filter(|f| f.class == at);
        let part = share(own().filter(attained).count(), own().count());
        out.attainment.insert(class.name.to_owned(), part);
        let tier = || fates.iter().filter(|f| classes[f.class].tier == class.tier);
        let part = share(tier().filter(attained).count(), tier().count());
        out.tier_attainment.insert(class.tier, part);
    }
    let lowest = classes.iter().map(|c| c.tier).max().unwrap_or(0);
    for fate in fates {
        let class = &classes[fate.class];
        if !class.is_plain && fate.is_answered {
            useful += u64::from(fate.tokens);
            good += u64::from(fate.tokens) * u64::from(fate.is_attained(class));
        }
        if class.tier == lowest {
            out.lowest_max_wait_ms = out.lowest_max_wait_ms.max(fate.wait_ms() as u64);
            out.lowest_answered += usize::from(fate.is_answered);
        }
        out.doubled += usize::from(!class.is_idempotent && fate.runs > 1);
        out.lost += usize::from(!fate.is_answered && !fate.is_refused);
        out.false_not_run += usize::from(fate.says_not_run && fate.runs > 0);
    }
    let sum = |of: fn(&Counts) -> u64| counts.iter().map(of).sum();
    out.goodput = good as f64 * 1_000.0 / LENGTH_MS as f64;
    out.wasted = produced.saturating_sub(useful);
    out.control_bytes_per_instance_s = bytes_per_instance * 1_000.0 / LENGTH_MS as f64;
    out.protected_violations = sum(|c| c.protected_violations);
    out.retries = sum(|c| c.retries);
    out.hedges = sum(|c| c.hedges);
    out.resumes = sum(|c| c.resumes);
    out.preempted = sum(|c| c.preempted);
    out
}
