//! What a run has shown, counted from the stand-ins' records against the callers'.

use crate::load::{
    Class,
    Outcome,
    Seen, //
};
use serde::Serialize;
use vanillakeel::Verdict;
use vanillakeel_standin::RunCounts;

/// Figures of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct OfClass {
    pub(crate) name: String,
    pub(crate) tier: u8,
    pub(crate) sent: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    pub(crate) attainment: f64,
    pub(crate) ttft_p50_ms: f64,
    pub(crate) ttft_p95_ms: f64,
    pub(crate) itl_p50_ms: f64,
    pub(crate) itl_p95_ms: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Report {
    pub(crate) classes: Vec<OfClass>,
    pub(crate) goodput_tokens_per_s: f64,
    pub(crate) wasted_tokens: u64,
    pub(crate) lost: usize,
    pub(crate) doubled: usize,
    pub(crate) crossed: usize,
    pub(crate) false_not_run: usize,
}

impl Report {
    /// Whether nothing was lost, doubled, crossed or falsely called not run.
    pub(crate) const fn is_sound(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.crossed == 0 && self.false_not_run == 0
    }
}

/// The value below which a share `part` of `sorted` lies.
pub(crate) fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * part).round() as usize;
    sorted.get(at).copied().unwrap_or(0.0)
}

fn is_attained(class: &Class, seen: &Seen) -> bool {
    match seen {
        Seen::Answered {
            first_ms,
            between_ms,
            ..
        } => *first_ms <= class.target_ms as f64 && *between_ms <= class.between_ms,
        _ => false,
    }
}

fn of_class(class: &Class, outcomes: &[&Outcome]) -> OfClass {
    let mut first: Vec<f64> = Vec::new();
    let mut between: Vec<f64> = Vec::new();
    for outcome in outcomes {
        if let Seen::Answered {
            first_ms,
            between_ms,
            ..
        } = outcome.seen
        {
            first.push(first_ms);
            between.push(between_ms);
        }
    }
    first.sort_by(f64::total_cmp);
    between.sort_by(f64::total_cmp);
    let refused = outcomes
        .iter()
        .filter(|o| matches!(o.seen, Seen::Refused(_)))
        .count();
    let attained = outcomes
        .iter()
        .filter(|o| is_attained(class, &o.seen))
        .count();
    OfClass {
        name: class.name.to_owned(),
        tier: class.tier,
        sent: outcomes.len(),
        answered: first.len(),
        refused,
        attainment: attained as f64 / outcomes.len().max(1) as f64,
        ttft_p50_ms: quantile(&first, 0.5),
        ttft_p95_ms: quantile(&first, 0.95),
        itl_p50_ms: quantile(&between, 0.5),
        itl_p95_ms: quantile(&between, 0.95),
    }
}

/// All that callers saw of a request and its repeat.
fn sights(outcome: &Outcome) -> impl Iterator<Item = &Seen> {
    std::iter::once(&outcome.seen).chain(&outcome.repeat)
}

/// Whether all answers said that a request has not run although it has.
fn is_false_not_run(outcome: &Outcome, runs: u32) -> bool {
    let not_run = Seen::Refused(Verdict::NotRun);
    runs > 0 && sights(outcome).all(|s| *s == not_run)
}

fn useful_tokens(classes: &[Class], outcome: &Outcome) -> u64 {
    match outcome.seen {
        Seen::Answered { tokens, .. } if classes[outcome.planned.class].path.is_none() => {
            u64::from(tokens)
        }
        _ => 0,
    }
}

/// Counts the outcomes of a run of `seconds`.
pub(crate) fn report(
    classes: &[Class],
    outcomes: &[Outcome],
    ledger: &RunCounts,
    seconds: u64,
) -> Report {
    let mut report = Report::default();
    for (at, class) in classes.iter().enumerate() {
        let own: Vec<&Outcome> = outcomes.iter().filter(|o| o.planned.class == at).collect();
        report.classes.push(of_class(class, &own));
    }
    let mut good = 0;
    let mut useful = 0;
    for outcome in outcomes {
        let class = &classes[outcome.planned.class];
        let runs = ledger.runs(&outcome.planned.tag);
        let tokens = useful_tokens(classes, outcome);
        useful += tokens;
        if is_attained(class, &outcome.seen) {
            good += tokens;
        }
        report.lost += sights(outcome).filter(|s| **s == Seen::Lost).count();
        report.crossed += sights(outcome).filter(|s| **s == Seen::Crossed).count();
        report.doubled += usize::from(!class.is_idempotent && runs > 1);
        report.false_not_run += usize::from(is_false_not_run(outcome, runs));
    }
    report.goodput_tokens_per_s = good as f64 / seconds.max(1) as f64;
    report.wasted_tokens = ledger.tokens().saturating_sub(useful);
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
