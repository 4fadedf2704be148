//! How long an upstream takes for its work, relative to the others of its service.
//!
//! Each answer gives a sample: the time that it took over the time that the whole fleet would need for the same
//! work. A [`Speed`] makes a factor of them that resists single samples: samples are collected in intervals of
//! [`INTERVAL_MS`], the factor follows them in small steps, and jumps only if the median of a window of
//! [`WINDOW_MS`] is far from it. A disturbance shorter than half of the window thus hardly moves the factor, and a
//! lasting change does as soon as it fills half of the window.
//!
//! Instances tell each other their samples, since with many instances each of them sees few answers of one upstream.
//!
//! ```
//! use vanillakeel::{Millis, fleet::Speed};
//!
//! let mut speed = Speed::default();
//! for at in 0..20 {
//!     speed.record(Millis::new(at * 100), 2.0, 1);
//! }
//! assert!((speed.factor(Millis::new(2_000)) - 2.0).abs() < 0.1);
//! ```

use crate::Millis;

/// Length of an interval whose samples are taken together, in ms.
const INTERVAL_MS: u64 = 100;

/// Length of the window over which the median is taken, in ms.
const WINDOW_MS: u64 = 1_500;

/// Fewest intervals of which the median is taken, if need be from before the window.
const MIN_INTERVALS: usize = 5;

/// Most intervals that are kept.
const MAX_INTERVALS: usize = 20;

/// Weight of an interval in the moving average once there are many.
const INTERVAL_WEIGHT: f64 = 0.05;

/// Largest distance that counts for an interval in the moving average, in natural logarithms of the factor.
const MAX_STEP: f64 = 0.3;

/// Distance between the median and the moving average above which the median replaces it, in natural logarithms.
const JUMP: f64 = 0.4;

/// Largest factor, and the inverse of the smallest one.
const MAX_FACTOR: f64 = 8.0;

/// Samples from which a factor counts in full; with fewer it lies between one and what they show.
const FULL_SAMPLES: f64 = 5.0;

/// Time without a sample after which a factor begins to return to one, in ms.
const STALE_MS: u64 = 4_000;

/// Time without a sample after which a factor is one again, in ms.
const EXPIRY_MS: u64 = 16_000;

/// Time for which the factor that another instance has told counts, in ms: longer than it takes to tell all.
const TOLD_TTL_MS: u64 = 5_000;

/// Samples of one interval.
#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Millis,
    /// Sum of the natural logarithms of the samples.
    sum: f64,
    count: u32,
}

impl Interval {
    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count)
    }
}

/// Speed of one upstream: a factor of the time that the others need.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    /// In ascending order of time.
    intervals: Vec<Interval>,
    /// Natural logarithm of the factor.
    level: f64,
    /// Intervals that the moving average has taken in since its last jump.
    averaged: u32,
    samples: u32,
    last: Option<Millis>,
    /// Sum of the natural logarithms of samples that other instances have not been told, and their number.
    untold: (f64, u32),
    /// What another instance has made of all samples.
    told: Option<Told>,
}

/// What another instance has made of the samples of all instances.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Millis,
    level: f64,
}

/// Natural logarithm of a factor, and how far it counts, from zero to one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownLevel {
    pub(super) level: f64,
    pub(super) weight: f64,
}

impl Speed {
    /// Records a sample of this instance, which others have to be told of.
    pub(super) fn record_own(&mut self, now: Millis, ratio: f64) {
        self.record(now, ratio, 1);
        self.pass_on(ratio, 1);
    }

    /// Adds samples to those that other instances have to be told of.
    pub(super) fn pass_on(&mut self, ratio: f64, count: u32) {
        let log = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.untold.0 += log * f64::from(count);
        self.untold.1 = self.untold.1.saturating_add(count);
    }

    /// Takes the samples that other instances have not been told: their geometric mean and their number.
    pub(super) fn take_untold(&mut self) -> Option<(f64, u32)> {
        let (sum, count) = std::mem::take(&mut self.untold);
        (count > 0).then(|| ((sum / f64::from(count)).exp(), count))
    }

    /// Records the factor that another instance has made of all samples.
    pub(super) fn on_told(&mut self, now: Millis, factor: f64) {
        let level = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.told = Some(Told { at: now, level });
    }

    /// Returns whether there are samples that still count in full.
    pub(super) fn is_known(&self, now: Millis) -> bool {
        self.last.is_some_and(|last| now.since(last) <= STALE_MS)
    }

    /// Returns the number of samples in the window.
    pub(super) fn recent_samples(&self, now: Millis) -> u32 {
        let in_window = |i: &&Interval| now.since(i.start) <= WINDOW_MS;
        let recent = self.intervals.iter().filter(in_window);
        recent.map(|i| i.count).fold(0, u32::saturating_add)
    }

    /// Records `count` samples whose geometric mean is `ratio`, the time taken over the time expected.
    pub fn record(&mut self, now: Millis, ratio: f64, count: u32) {
        if count == 0 || !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let log = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        let sum = log * f64::from(count);
        self.samples = self.samples.saturating_add(count);
        self.last = Some(now);
        match self.intervals.last_mut() {
            Some(open) if now.since(open.start) < INTERVAL_MS => {
                open.sum += sum;
                open.count = open.count.saturating_add(count);
            }
            _ => self.open_interval(now, sum, count),
        }
        if self.averaged == 0 {
            self.level = self.median(now);
        }
    }

    fn open_interval(&mut self, now: Millis, sum: f64, count: u32) {
        let closed = self.intervals.last().copied();
        if self.intervals.len() == MAX_INTERVALS {
            self.intervals.remove(0);
        }
        let start = now;
        self.intervals.push(Interval { start, sum, count });
        let Some(closed) = closed else {
            return;
        };
        self.averaged = self.averaged.saturating_add(1);
        let distance = closed.mean() - self.level;
        self.level += if self.averaged as usize <= MIN_INTERVALS {
            distance / f64::from(self.averaged)
        } else {
            INTERVAL_WEIGHT * distance.clamp(-MAX_STEP, MAX_STEP)
        };
        let median = self.median(now);
        if self.averaged as usize > MIN_INTERVALS && (median - self.level).abs() > JUMP {
            self.level = median;
        }
    }

    /// Returns the median of the intervals of the window, each weighted by its samples.
    fn median(&self, now: Millis) -> f64 {
        let recent = self
            .intervals
            .partition_point(|i| now.since(i.start) > WINDOW_MS);
        let first = recent.min(self.intervals.len().saturating_sub(MIN_INTERVALS));
        let mut window: Vec<_> = self.intervals[first..]
            .iter()
            .map(|i| (i.mean(), i.count))
            .collect();
        window.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let total: u64 = window.iter().map(|(_, count)| u64::from(*count)).sum();
        let mut seen = 0;
        for (mean, count) in &window {
            seen += u64::from(*count);
            if seen * 2 >= total {
                return *mean;
            }
        }
        0.0
    }

    /// Returns the factor: how long the upstream takes for what is expected to take one unit of time.
    ///
    /// With few or old samples it lies between one and what they show.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let known = self.known(now);
        (known.level * known.weight).exp()
    }

    /// Returns what is known of the upstream: by another instance that knows the samples of all, or by own samples.
    pub(super) fn known(&self, now: Millis) -> KnownLevel {
        let told = self.told.filter(|t| now.since(t.at) <= TOLD_TTL_MS);
        if let Some(told) = told {
            let level = told.level;
            return KnownLevel { level, weight: 1.0 };
        }
        let Some(last) = self.last else {
            return KnownLevel::default();
        };
        let known = (f64::from(self.samples) / FULL_SAMPLES).min(1.0);
        let age = now.since(last).clamp(STALE_MS, EXPIRY_MS) - STALE_MS;
        let fresh = 1.0 - age as f64 / (EXPIRY_MS - STALE_MS) as f64;
        KnownLevel {
            level: self.level,
            weight: known * fresh,
        }
    }

    /// Returns the factor by the samples that this instance knows.
    pub(super) fn own_factor(&self) -> f64 {
        self.level.exp()
    }
}
