//! Lengths of answers by class, to estimate those that are not known yet.

use hdrhistogram::Histogram;
use std::sync::Arc;

/// Longest answer that is told apart, in tokens.
const MAX_TOKENS: u64 = 1 << 20;

/// Answers after which the histogram is halved, so that old ones count less.
const HALVE_AFTER: u64 = 4_096;

/// Length to expect before any answer is seen, in tokens.
const FIRST_GUESS: u32 = 64;

/// Histograms of answer lengths, sorted by class.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    sorted: Vec<(Arc<str>, Histogram<u32>)>,
}

impl Lengths {
    /// Counts a whole answer of `tokens` tokens.
    pub fn record(&mut self, class: &Arc<str>, tokens: u32) {
        let at = match self.sorted.binary_search_by(|c| c.0.cmp(class)) {
            Ok(at) => at,
            Err(at) => {
                let Ok(histogram) = Histogram::new_with_bounds(1, MAX_TOKENS, 2) else {
                    return;
                };
                self.sorted.insert(at, (Arc::clone(class), histogram));
                at
            }
        };
        let histogram = &mut self.sorted[at].1;
        if histogram.len() >= HALVE_AFTER {
            halve(histogram);
        }
        histogram.saturating_record(u64::from(tokens.max(1)));
    }

    /// Length below which a share `quantile` of the answers longer than `so_far` lies, in tokens.
    #[must_use]
    pub fn quantile(&self, class: &str, quantile: f64, so_far: u32) -> u32 {
        let Ok(at) = self.sorted.binary_search_by(|c| (*c.0).cmp(class)) else {
            return FIRST_GUESS.max(so_far + 1);
        };
        let histogram = &self.sorted[at].1;
        let below = histogram.quantile_below(u64::from(so_far));
        let wanted = below + (1.0 - below) * quantile;
        let tokens = histogram.value_at_quantile(wanted);
        u32::try_from(tokens).unwrap_or(u32::MAX).max(so_far + 1)
    }
}

fn halve(histogram: &mut Histogram<u32>) {
    let Ok(mut halved) = Histogram::new_with_bounds(1, MAX_TOKENS, 2) else {
        return;
    };
    for step in histogram.iter_recorded() {
        let count = step.count_at_value() / 2;
        halved.saturating_record_n(step.value_iterated_to(), count);
    }
    *histogram = halved;
}
