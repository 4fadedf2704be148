//! The figures of a run, from what the callers saw and what the stand-ins have run.

use crate::load::{
    CallResult,
    Class,
    Outcome, //
};
use serde::Serialize;
use vanillakeel::Verdict;
use vanillakeel_standin::RunCounts;

/// Figures of one class; retries do not count.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct ClassReport {
    pub(crate) name: String,
    pub(crate) tier: u8,
    pub(crate) sent: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    /// Fraction of the requests that met their targets.
    pub(crate) attainment: f64,
    /// Median time to the first token.
    pub(crate) ttft_p50_ms: f64,
    pub(crate) ttft_p95_ms: f64,
    /// Median of the mean time between two tokens of an answer.
    pub(crate) itl_p50_ms: f64,
    pub(crate) itl_p95_ms: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Report {
    pub(crate) classes: Vec<ClassReport>,
    /// Tokens a second of answers that met their targets.
    pub(crate) goodput_tokens_per_s: f64,
    /// Tokens that the engines produced and that are part of no whole answer.
    pub(crate) wasted_tokens: u64,
    /// Calls with neither an answer nor a verdict.
    pub(crate) lost: usize,
    /// Requests that are not idempotent and ran more than once.
    pub(crate) doubled: usize,
    /// Calls whose answer belongs to another request or is incomplete.
    pub(crate) crossed: usize,
    /// Requests that ran although all their calls were refused as not run.
    pub(crate) false_not_run: usize,
}

impl Report {
    /// Returns whether no request was lost, doubled, crossed or falsely refused as not run.
    pub(crate) const fn is_sound(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.crossed == 0 && self.false_not_run == 0
    }
}

/// Returns the quantile `level`, from 0 to 1, of sorted values, or 0 if there are none.
pub(crate) fn quantile(sorted: &[f64], level: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * level).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Returns whether a call was answered within the targets of its class.
fn is_attained(class: &Class, result: &CallResult) -> bool {
    match result {
        CallResult::Answered {
            first_token_ms,
            inter_token_ms,
            ..
        } => *first_token_ms <= class.target_ms as f64 && *inter_token_ms <= class.inter_token_ms,
        _ => false,
    }
}

/// Computes the figures of a class from the outcomes of its requests.
fn class_report(class: &Class, outcomes: &[&Outcome]) -> ClassReport {
    let mut first_token_times: Vec<f64> = Vec::new();
    let mut inter_token_times: Vec<f64> = Vec::new();
    for outcome in outcomes {
        if let CallResult::Answered {
            first_token_ms,
            inter_token_ms,
            ..
        } = outcome.result
        {
            first_token_times.push(first_token_ms);
            inter_token_times.push(inter_token_ms);
        }
    }
    first_token_times.sort_by(f64::total_cmp);
    inter_token_times.sort_by(f64::total_cmp);
    let refused = outcomes
        .iter()
        .filter(|o| matches!(o.result, CallResult::Refused(_)))
        .count();
    let attained = outcomes
        .iter()
        .filter(|o| is_attained(class, &o.result))
        .count();
    ClassReport {
        name: class.name.to_owned(),
        tier: class.tier,
        sent: outcomes.len(),
        answered: first_token_times.len(),
        refused,
        attainment: attained as f64 / outcomes.len().max(1) as f64,
        ttft_p50_ms: quantile(&first_token_times, 0.5),
        ttft_p95_ms: quantile(&first_token_times, 0.95),
        itl_p50_ms: quantile(&inter_token_times, 0.5),
        itl_p95_ms: quantile(&inter_token_times, 0.95),
    }
}

/// Returns the results of a request and of its retry.
fn results(outcome: &Outcome) -> impl Iterator<Item = &CallResult> {
    std::iter::once(&outcome.result).chain(&outcome.retry)
}

/// Returns whether all calls of a request were refused as not run although it ran.
fn is_false_not_run(outcome: &Outcome, runs: u32) -> bool {
    let not_run = CallResult::Refused(Verdict::NotRun);
    runs > 0 && results(outcome).all(|s| *s == not_run)
}

/// Returns the tokens of a model's whole answer, or 0 if there is none.
fn useful_tokens(classes: &[Class], outcome: &Outcome) -> u64 {
    match outcome.result {
        CallResult::Answered { tokens, .. } if classes[outcome.planned.class].path.is_none() => {
            u64::from(tokens)
        }
        _ => 0,
    }
}

/// Computes the figures of a run that took `seconds` seconds.
pub(crate) fn report(
    classes: &[Class],
    outcomes: &[Outcome],
    run_counts: &RunCounts,
    seconds: u64,
) -> Report {
    let mut report = Report::default();
    for (index, class) in classes.iter().enumerate() {
        let class_outcomes: Vec<&Outcome> = outcomes
            .iter()
            .filter(|o| o.planned.class == index)
            .collect();
        report.classes.push(class_report(class, &class_outcomes));
    }
    let mut good_tokens = 0;
    let mut useful_token_count = 0;
    for outcome in outcomes {
        let class = &classes[outcome.planned.class];
        let runs = run_counts.runs(&outcome.planned.tag);
        let tokens = useful_tokens(classes, outcome);
        useful_token_count += tokens;
        if is_attained(class, &outcome.result) {
            good_tokens += tokens;
        }
        report.lost += results(outcome).filter(|s| **s == CallResult::Lost).count();
        report.crossed += results(outcome)
            .filter(|s| **s == CallResult::Crossed)
            .count();
        report.doubled += usize::from(!class.is_idempotent && runs > 1);
        report.false_not_run += usize::from(is_false_not_run(outcome, runs));
    }
    report.goodput_tokens_per_s = good_tokens as f64 / seconds.max(1) as f64;
    report.wasted_tokens = run_counts.tokens().saturating_sub(useful_token_count);
    report
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{:<10} {:>4} {:>6} {:>8} {:>7} {:>10} {:>9} {:>9} {:>9} {:>9}",
            "class",
            "tier",
            "sent",
            "answered",
            "refused",
            "attainment",
            "ttft p50",
            "ttft p95",
            "itl p50",
            "itl p95"
        )?;
        for c in &self.classes {
            writeln!(
                f,
                "{:<10} {:>4} {:>6} {:>8} {:>7} {:>9.1}% {:>6.0} ms {:>6.0} ms {:>6.1} ms {:>6.1} ms",
                c.name,
                c.tier,
                c.sent,
                c.answered,
                c.refused,
                c.attainment * 100.0,
                c.ttft_p50_ms,
                c.ttft_p95_ms,
                c.itl_p50_ms,
                c.itl_p95_ms
            )?;
        }
        writeln!(f, "goodput {:.0} tokens/s", self.goodput_tokens_per_s)?;
        writeln!(f, "wasted {} tokens", self.wasted_tokens)?;
        writeln!(
            f,
            "lost {}, doubled {}, crossed {}, false \"not run\" {}",
            self.lost, self.doubled, self.crossed, self.false_not_run
        )
    }
}
