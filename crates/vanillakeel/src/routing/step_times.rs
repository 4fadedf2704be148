//! Decode step times of one upstream.
//!
//! An engine that prefills a long prompt makes a few slow steps among fast ones, while a straggler
//! makes no fast step at all. The moving average therefore predicts how fast a request will be,
//! and the minimum over a time window shows whether the upstream is a straggler.

use crate::Millis;

/// Weight of the newest sample in the moving average.
const EWMA_WEIGHT: f64 = 0.2;

/// Samples needed before the moving average is used.
const MIN_SAMPLES: u32 = 4;

/// Moving average and windowed minimum of the decode step time of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepTimes {
    mean_ms: f64,
    samples: u32,
    window_start: Millis,
    window_min_ms: f64,
    last_window_min_ms: Option<f64>,
}

impl StepTimes {
    /// Records a step that took `ms`; the minimum is kept per window of `window_ms`.
    pub(super) fn record(&mut self, now: Millis, ms: f64, window_ms: u64) {
        if self.samples == 0 {
            self.mean_ms = ms;
            self.window_start = now;
            self.window_min_ms = ms;
        }
        self.mean_ms += EWMA_WEIGHT * (ms - self.mean_ms);
        self.samples = self.samples.saturating_add(1);
        if now.since(self.window_start) >= window_ms {
            self.last_window_min_ms = Some(self.window_min_ms);
            self.window_start = now;
            self.window_min_ms = ms;
        }
        self.window_min_ms = self.window_min_ms.min(ms);
    }

    /// Drops all samples.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the moving average of the step time, once there are enough samples.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_ms)
    }

    /// Returns the minimum step time of the last complete window and the current one.
    pub(super) fn min_ms(&self) -> Option<f64> {
        self.last_window_min_ms.map(|ms| ms.min(self.window_min_ms))
    }
}
