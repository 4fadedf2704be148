//! Retry budgets: a token bucket that attempts fill and retries drain, and a sliding window.

use crate::{
    Millis,
    division, //
};
use std::collections::VecDeque;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries earned by each attempt sent.
    pub per_attempt: f64,
    /// Retries available at the start.
    pub initial: f64,
    /// Most retries that can accumulate.
    pub max_retries: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            per_attempt: 0.2,
            initial: 20.0,
            max_retries: 100.0,
        }
    }
}

/// Token bucket of retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    remaining: f64,
}

impl Budget {
    /// Creates a budget with its initial retries.
    #[must_use]
    pub const fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            remaining: settings.initial,
        }
    }

    /// Credits the budget for one attempt sent.
    pub fn on_send(&mut self) {
        self.remaining =
            (self.remaining + self.settings.per_attempt).min(self.settings.max_retries);
    }

    /// Takes one retry from the budget; returns whether one was left.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let has_one = self.remaining >= 1.0;
        if has_one {
            self.remaining -= 1.0;
        }
        has_one
    }

    /// Returns the retries that are left.
    #[must_use]
    pub const fn remaining(&self) -> f64 {
        self.remaining
    }
}

/// Settings of a [`WindowBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// Retries allowed for each request in the window, up to the least number in any window that ended
    /// within the last one.
    pub ratio: f64,
    /// Retries allowed for each further request in the window. Another instance, or an earlier process, may
    /// have been sent the requests that this one did not have before, and have used their retries.
    pub growth_ratio: f64,
    /// Retries per window that all instances together may make beyond the ratio.
    pub slack: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
    /// Longest time from the decision on a retry until it arrives, in ms.
    pub arrival_ms: u64,
}

impl Default for WindowSettings {
    fn default() -> Self {
        Self {
            ratio: 0.18,
            growth_ratio: 0.02,
            slack: 50.0,
            window_ms: 10_000,
            arrival_ms: 1_400,
        }
    }
}

/// What a [`WindowBudget`] holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowUsage {
    /// Requests in the window.
    pub requests: usize,
    /// Least number of requests in any window that ended within the present one.
    pub least_requests: usize,
    /// Retries in the window.
    pub retries: usize,
    /// Retries that the process has taken since its start.
    pub taken: u64,
}

/// One instance's part of a retry budget that all instances share, over a sliding window.
///
/// The sum over all instances, and over processes that have ended, stays within the shared bound without
/// messages about retries:
///
/// - Each instance applies the ratio to its own requests only, and takes an equal part of the slack.
/// - Requests count in full only as far as the instance had them in every window that ended within the last
///   one. Those that came to another instance before, or to an earlier process, may have been used there for
///   retries that are still in the window. As all instances are held to the requests that they had a window
///   ago, among others, the sum of their retries is held to the sum of these.
/// - A process of several takes nothing of the slack during its first window, since an earlier process of the
///   same instance may have spent that part, or the other instances a larger one before this one joined.
/// - A retry counts for as long as it may arrive within a window of the next one, and only requests that are still in
///   the window when it arrives earn it in full.
#[derive(Clone, Debug, Default)]
pub struct WindowBudget {
    settings: WindowSettings,
    /// Time after which the slack counts.
    slack_from: Millis,
    /// Time up to which nobody else can have been sent this instance's requests before.
    first_until: Millis,
    /// Times of the requests in the window and in the one before it, in ascending order.
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    taken: u64,
}

impl WindowBudget {
    /// Creates a budget with an empty window, which takes nothing of the slack up to `slack_from`.
    ///
    /// All requests earn the whole ratio up to `first_until`, where the system starts for the first time.
    #[must_use]
    pub fn new(settings: WindowSettings, slack_from: Millis, first_until: Millis) -> Self {
        Self {
            settings,
            slack_from,
            first_until,
            ..Self::default()
        }
    }

    /// Counts a request, which earns a fraction of a retry.
    pub fn on_request(&mut self, now: Millis) {
        self.slide(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the window; returns whether one was left.
    ///
    /// `instances` is the number of instances that share the budget, or `None` while it is not known.
    #[must_use]
    pub fn take(&mut self, now: Millis, instances: Option<u32>) -> bool {
        self.slide(now);
        let instances = instances.filter(|_| now > self.slack_from);
        let slack_share = division::equal_part(self.settings.slack, instances);
        let allowed = self.earned(now) + slack_share;
        let has_one = (self.retries.len() + 1) as f64 <= allowed;
        if has_one {
            self.retries.push_back(now);
            self.taken += 1;
        }
        has_one
    }

    /// Returns the retries that the requests have earned.
    fn earned(&self, now: Millis) -> f64 {
        let earlier = self.earlier_requests(now);
        let recent = self.requests.len() - earlier;
        let steady = if now < self.first_until {
            recent
        } else {
            self.least_requests(earlier).min(self.lasting_requests(now))
        };
        let grown = recent - steady;
        steady as f64 * self.settings.ratio + grown as f64 * self.settings.growth_ratio
    }

    /// Returns the number of requests that are still in the window when a retry of now arrives as late as it may.
    fn lasting_requests(&self, now: Millis) -> usize {
        let cfg = self.settings;
        let start = now.minus(cfg.window_ms.saturating_sub(cfg.arrival_ms));
        self.requests.len() - self.requests.partition_point(|t| *t < start)
    }

    /// Returns the number of requests in the window before the present one.
    fn earlier_requests(&self, now: Millis) -> usize {
        let start = now.minus(self.settings.window_ms);
        self.requests.partition_point(|t| *t < start)
    }

    /// Returns the least number of requests in any window that ended within the present one, before which
    /// `earlier` requests came.
    fn least_requests(&self, earlier: usize) -> usize {
        // The number is lowest right after a request has left the window.
        let after_leaving = (0..earlier).map(|at| {
            let end = self.requests[at].plus(self.settings.window_ms);
            self.requests.partition_point(|t| *t <= end) - at - 1
        });
        let recent = self.requests.len() - earlier;
        after_leaving.chain([earlier, recent]).min().unwrap_or(0)
    }

    /// Returns the requests and retries that count now.
    pub fn usage(&mut self, now: Millis) -> WindowUsage {
        self.slide(now);
        let earlier = self.earlier_requests(now);
        WindowUsage {
            requests: self.requests.len() - earlier,
            least_requests: self.least_requests(earlier),
            retries: self.retries.len(),
            taken: self.taken,
        }
    }

    fn slide(&mut self, now: Millis) {
        let cfg = self.settings;
        let kept = [
            (&mut self.requests, 2 * cfg.window_ms),
            (&mut self.retries, cfg.window_ms + cfg.arrival_ms),
        ];
        for (times, kept_ms) in kept {
            let start = now.minus(kept_ms);
            while times.front().is_some_and(|t| *t < start) {
                times.pop_front();
            }
        }
    }
}
