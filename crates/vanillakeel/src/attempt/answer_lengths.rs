//! Histograms of answer lengths per class, to estimate the length of an answer in progress.

use hdrhistogram::Histogram;
use std::sync::Arc;

/// Upper bound of the histograms; longer answers count as this long.
const MAX_TOKENS: u64 = 1 << 20;

/// Recorded answers at which the counts of a histogram are halved, so that old answers count less.
const HALVE_AFTER_ANSWERS: u64 = 4_096;

/// Assumed length before any answer of a class has been recorded.
const DEFAULT_TOKENS: u32 = 64;

/// Histograms of answer lengths in tokens, one per class.
#[derive(Clone, Debug, Default)]
pub struct AnswerLengths {
    /// Histograms in ascending order of the class names.
    histograms: Vec<(Arc<str>, Histogram<u32>)>,
}

impl AnswerLengths {
    /// Records a complete answer of `tokens` tokens.
    pub fn record(&mut self, class: &Arc<str>, tokens: u32) {
        let index = match self.histograms.binary_search_by(|c| c.0.cmp(class)) {
            Ok(index) => index,
            Err(index) => {
                let Ok(histogram) = Histogram::new_with_bounds(1, MAX_TOKENS, 2) else {
                    return;
                };
                self.histograms
                    .insert(index, (Arc::clone(class), histogram));
                index
            }
        };
        let histogram = &mut self.histograms[index].1;
        if histogram.len() >= HALVE_AFTER_ANSWERS {
            halve(histogram);
        }
        histogram.saturating_record(u64::from(tokens.max(1)));
    }

    /// Returns the `quantile`, from 0 to 1, of the length in tokens over the answers longer than
    /// `so_far`.
    #[must_use]
    pub fn quantile(&self, class: &str, quantile: f64, so_far: u32) -> u32 {
        let Ok(index) = self.histograms.binary_search_by(|c| (*c.0).cmp(class)) else {
            return DEFAULT_TOKENS.max(so_far + 1);
        };
        let histogram = &self.histograms[index].1;
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
