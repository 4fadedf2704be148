//! The load of a run: arrivals of requests, faults, and the first round of periodic work.

use super::{
    CallerRequest,
    Event,
    LOAD_POLL_INTERVAL_US,
    NETWORK_DELAY_US,
    Simulation,
    TICK_INTERVAL_US,
    US_PER_MS, //
};
use crate::policy::{
    outcome::RequestOutcome,
    scenario::LOAD_DURATION_MS, //
};
use std::sync::Arc;

impl Simulation<'_> {
    /// Schedules all arrivals and faults, and the first round of the periodic work.
    pub(super) fn schedule_all(&mut self) {
        for index in 0..self.deployment.classes.len() {
            self.schedule_class(index);
        }
        for index in 0..self.deployment.instances {
            let offset = self.random.below(TICK_INTERVAL_US);
            self.schedule_at(offset, Event::Tick(index));
            let offset = self.random.below(LOAD_POLL_INTERVAL_US);
            self.schedule_at(offset, Event::PollLoad(index));
        }
        for (at_ms, fault) in self.scenario.faults.clone() {
            self.schedule_at(at_ms * US_PER_MS, Event::Fault(fault));
        }
    }

    /// Schedules the arrivals of one class as a Poisson process.
    fn schedule_class(&mut self, index: usize) {
        let class = self.deployment.classes[index];
        let mut t_ms = 0.0;
        loop {
            let rate = self.scenario.rate(self.deployment, &class, t_ms as u64);
            t_ms += self.random.exponential(1_000.0 / rate);
            if t_ms >= LOAD_DURATION_MS as f64 {
                return;
            }
            let unit = self.random.unit();
            let output_tokens = (f64::from(class.max_tokens) * unit * unit) as u32;
            let instance = if self.random.chance(self.scenario.skew_fraction) {
                0
            } else {
                self.random.below(self.deployment.instances as u64) as usize
            };
            let prefix = 1 + self.random.below(self.scenario.prefix_count());
            // The square of a uniform number makes a few workspaces send most of the requests.
            let unit = self.random.unit();
            let workspace = (unit * unit * self.deployment.workspaces as f64) as u64;
            self.requests.push(CallerRequest {
                outcome: RequestOutcome {
                    class: index,
                    arrived_ms: t_ms,
                    ..RequestOutcome::default()
                },
                prefix: (index as u64 + 1) * 1_000 + prefix,
                output_tokens: output_tokens.max(1),
                instance,
                workspace: Arc::from(format!("ws-{workspace}")),
                due_us: 0,
            });
            let request = self.requests.len() - 1;
            self.schedule_at(
                (t_ms * US_PER_MS as f64) as u64 + NETWORK_DELAY_US,
                Event::Arrival(request),
            );
        }
    }
}
