//! Outcomes of single requests, and the figures of a run that are computed from them.

use super::scenario::{
    Class,
    LOAD_DURATION_MS, //
};
use serde::Serialize;
use std::collections::BTreeMap;
use vanillakeel::router::Counts;

/// What became of a request, as its caller and the engines saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestOutcome {
    /// Index of the class in the deployment's list.
    pub(super) class: usize,
    pub(super) arrived_ms: f64,
    /// Time at which the first token reached the caller.
    pub(super) first_token_ms: Option<f64>,
    /// Time at which the instance got the newest token or refused the request.
    pub(super) ended_ms: f64,
    pub(super) tokens: u32,
    pub(super) is_answered: bool,
    pub(super) is_refused: bool,
    /// Number of times that an engine has started the request.
    pub(super) runs: u32,
    /// Whether the refusal says that the request has not run.
    pub(super) is_refused_as_not_run: bool,
}

/// Figures of a run, as printed in JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct Figures {
    pub(super) scenario: String,
    pub(super) policy: String,
    pub(super) size: String,
    pub(super) seed: u64,
    /// Fraction of the requests that met their targets, by class.
    pub(super) attainment: BTreeMap<String, f64>,
    /// Fraction of the requests that met their targets, by tier.
    pub(super) tier_attainment: BTreeMap<u8, f64>,
    /// Tokens a second of model answers that met their targets.
    pub(super) goodput: f64,
    /// Tokens that model engines produced but that belong to no complete answer.
    pub(super) wasted: u64,
    /// Longest wait in the lowest tier for the first token, or for the refusal if there was no
    /// token.
    pub(super) lowest_max_wait_ms: u64,
    /// Requests of the lowest tier that were answered.
    pub(super) lowest_answered: usize,
    /// Bytes of messages between instances, per instance and second of load.
    pub(super) control_bytes_per_instance_s: f64,
    /// Protected requests that were refused while one of a lower tier could have been shed.
    pub(super) protected_violations: u64,
    /// Requests that are not idempotent and ran more than once.
    pub(super) doubled: usize,
    /// Requests that were neither answered nor refused.
    pub(super) lost: usize,
    /// Requests that were refused as not run although they ran.
    pub(super) false_not_run: usize,
    pub(super) retries: u64,
    pub(super) hedges: u64,
    pub(super) resumes: u64,
    pub(super) preempted: u64,
}

impl RequestOutcome {
    /// Returns whether the first token came in time and the mean time between tokens was at most
    /// 31 ms.
    fn is_attained(&self, class: &Class) -> bool {
        let Some(first_token_ms) = self.first_token_ms.filter(|_| self.is_answered) else {
            return false;
        };
        let steps = f64::from(self.tokens.max(2) - 1);
        let inter_token_ms = (self.ended_ms - first_token_ms) / steps;
        first_token_ms - self.arrived_ms <= class.target_ms as f64 && inter_token_ms <= 31.0
    }

    /// Returns the time to the first token, or to the refusal if there was no token.
    fn wait_ms(&self) -> f64 {
        self.first_token_ms.unwrap_or(self.ended_ms) - self.arrived_ms
    }
}

fn ratio(count: usize, total: usize) -> f64 {
    count as f64 / total.max(1) as f64
}

/// Computes the figures of a run from the outcomes of all requests, the tokens that model engines
/// produced, and the routers' counts of their decisions.
pub(super) fn figures(
    classes: &[Class],
    outcomes: &[RequestOutcome],
    produced_tokens: u64,
    counts: &[Counts],
    control_bytes_per_instance: f64,
) -> Figures {
    let mut figures = Figures::default();
    let mut good_tokens = 0;
    let mut useful_tokens = 0;
    let attained = |o: &&RequestOutcome| o.is_attained(&classes[o.class]);
    for (index, class) in classes.iter().enumerate() {
        let in_class = || outcomes.iter().filter(|o| o.class == index);
        let attainment = ratio(in_class().filter(attained).count(), in_class().count());
        figures.attainment.insert(class.name.to_owned(), attainment);
        let in_tier = || {
            outcomes
                .iter()
                .filter(|o| classes[o.class].tier == class.tier)
        };
        let attainment = ratio(in_tier().filter(attained).count(), in_tier().count());
        figures.tier_attainment.insert(class.tier, attainment);
    }
    let lowest_tier = classes.iter().map(|c| c.tier).max().unwrap_or(0);
    for outcome in outcomes {
        let class = &classes[outcome.class];
        if !class.is_plain && outcome.is_answered {
            useful_tokens += u64::from(outcome.tokens);
            good_tokens += u64::from(outcome.tokens) * u64::from(outcome.is_attained(class));
        }
        if class.tier == lowest_tier {
            figures.lowest_max_wait_ms = figures.lowest_max_wait_ms.max(outcome.wait_ms() as u64);
            figures.lowest_answered += usize::from(outcome.is_answered);
        }
        figures.doubled += usize::from(!class.is_idempotent && outcome.runs > 1);
        figures.lost += usize::from(!outcome.is_answered && !outcome.is_refused);
        figures.false_not_run += usize::from(outcome.is_refused_as_not_run && outcome.runs > 0);
    }
    let sum = |of: fn(&Counts) -> u64| counts.iter().map(of).sum();
    figures.goodput = good_tokens as f64 * 1_000.0 / LOAD_DURATION_MS as f64;
    figures.wasted = produced_tokens.saturating_sub(useful_tokens);
    figures.control_bytes_per_instance_s =
        control_bytes_per_instance * 1_000.0 / LOAD_DURATION_MS as f64;
    figures.protected_violations = sum(|c| c.protected_violations);
    figures.retries = sum(|c| c.retries);
    figures.hedges = sum(|c| c.hedges);
    figures.resumes = sum(|c| c.resumes);
    figures.preempted = sum(|c| c.preempted);
    figures
}
