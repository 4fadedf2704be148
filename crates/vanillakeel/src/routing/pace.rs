//! Times of an upstream's steps.
//!
//! An engine that works off a long prompt makes a few slow steps; one that straggles makes no fast
//! one. So the smoothed time tells how fast a call will be, and the least time of a while tells
//! whether the upstream straggles.

use crate::Millis;

/// Smoothing of measured times, share of the newest.
const SMOOTHING: f64 = 0.2;

/// Samples before an upstream is judged.
const MIN_SAMPLES: u32 = 4;

/// Times of an upstream's steps, in ms.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    mean_ms: f64,
    samples: u32,
    window_start: Millis,
    window_least_ms: f64,
    last_least_ms: Option<f64>,
}

impl Pace {
    /// Takes note of a step that took `ms`, given the length of the windows.
    pub(super) fn note(&mut self, now: Millis, ms: f64, window_ms: u64) {
        if self.samples == 0 {
            self.mean_ms = ms;
            self.window_start = now;
            self.window_least_ms = ms;
        }
        self.mean_ms += SMOOTHING * (ms - self.mean_ms);
        self.samples = self.samples.saturating_add(1);
        if now.since(self.window_start) >= window_ms {
            self.last_least_ms = Some(self.window_least_ms);
            self.window_start = now;
            self.window_least_ms = ms;
        }
        self.window_least_ms = self.window_least_ms.min(ms);
    }

    /// Forgets all samples.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// The smoothed time of a step, once there are enough samples.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_ms)
    }

    /// The least time of a step in the last whole window and since.
    pub(super) fn least_ms(&self) -> Option<f64> {
        self.last_least_ms.map(|ms| ms.min(self.window_least_ms))
    }
}
