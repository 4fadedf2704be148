//! Retry budgets: a token bucket that calls fill and repeats empty, and a sliding window.

use crate::Millis;
use std::collections::VecDeque;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats allowed for each call sent.
    pub per_call: f64,
    /// Repeats at the start.
    pub initial: f64,
    /// Most repeats saved up.
    pub most: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            per_call: 0.2,
            initial: 20.0,
            most: 100.0,
        }
    }
}

/// Repeats that are left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    left: f64,
}

impl Budget {
    /// Makes a budget with its initial repeats.
    #[must_use]
    pub const fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            left: settings.initial,
        }
    }

    /// Adds the share of one call that is sent.
    pub fn on_call(&mut self) {
        self.left = (self.left + self.settings.per_call).min(self.settings.most);
    }

    /// Takes one repeat, if one is left.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let has_one = self.left >= 1.0;
        if has_one {
            self.left -= 1.0;
        }
        has_one
    }

    /// Repeats that are left.
    #[must_use]
    pub const fn left(&self) -> f64 {
        self.left
    }
}

/// Settings of a [`WindowBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// Repeats allowed for each request of the window.
    pub ratio: f64,
    /// Repeats of a window that all instances together may make beyond that.
    pub slack: f64,
    /// Length of the window in ms.
    pub window_ms: u64,
}

impl Default for WindowSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
        }
    }
}

/// Repeats that a sliding window allows an instance, its part of a budget that all share.
///
/// Without a message between instances the sum stays under the shared bound: each spends the
/// ratio on its own requests only, and an equal part of the slack.
#[derive(Clone, Debug, Default)]
pub struct WindowBudget {
    settings: WindowSettings,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl WindowBudget {
    /// Makes a budget whose window is empty.
    #[must_use]
    pub fn new(settings: WindowSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Millis) {
        self.slide(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if the window has one left for one of `instances`.
    #[must_use]
    pub fn take(&mut self, now: Millis, instances: u32) -> bool {
        self.slide(now);
        let part = self.settings.slack / f64::from(instances.max(1));
        let allowed = self.requests.len() as f64 * self.settings.ratio + part;
        let has_one = (self.repeats.len() + 1) as f64 <= allowed;
        if has_one {
            self.repeats.push_back(now);
        }
        has_one
    }

    fn slide(&mut self, now: Millis) {
        let start = now.minus(self.settings.window_ms);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t < start) {
                times.pop_front();
            }
        }
    }
}
