//! The engines of the simulation: batches in virtual time, delayed load reports, and faults.

use super::{
    CACHE_EVENT_DELAY_US,
    CACHE_EVENT_LOSS_PROBABILITY,
    Event,
    LOAD_POLL_INTERVAL_US,
    MODEL_POOL,
    NETWORK_DELAY_US,
    Simulation,
    US_PER_MS, //
};
use crate::policy::scenario::Fault;
use std::sync::Arc;
use vanillakeel::{
    Verdict,
    attempt::End,
    routing::LoadReport, //
};
use vanillakeel_standin::batch::Sequence;

impl Simulation<'_> {
    /// Handles a request that reaches an engine.
    ///
    /// The engine queues the request or refuses it as busy; if it is down, the request fails.
    pub(super) fn on_engine_request(&mut self, engine: usize, attempt_index: usize) {
        let attempt = self.attempts[attempt_index];
        if self.engines[engine].is_down {
            let end = End::Failed {
                verdict: Verdict::NotRun,
                delivered: attempt.resume_from,
            };
            self.schedule_in(NETWORK_DELAY_US, Event::AttemptEnd { attempt_index, end });
            return;
        }
        let request = &self.requests[attempt.request];
        let class = self.deployment.classes[request.outcome.class];
        let sequence = Sequence {
            id: attempt_index as u64,
            priority: if self.variant.sends_priority {
                class.tier
            } else {
                0
            },
            prompt_tokens: class.prompt_tokens,
            prefix_hash: if class.is_plain { 0 } else { request.prefix },
            output_tokens: request.output_tokens,
            resume_from: attempt.resume_from,
        };
        if self.engines[engine].batch.push(sequence) {
            self.start_step(engine);
        } else {
            let end = End::Busy;
            self.schedule_in(NETWORK_DELAY_US, Event::AttemptEnd { attempt_index, end });
        }
    }

    /// Starts the next batch step if the engine is up, is not in a step and has work.
    fn start_step(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        if e.is_stepping || e.is_down || e.batch.is_idle() {
            return;
        }
        let step = e.batch.step();
        e.is_stepping = true;
        e.step_tokens = step
            .tokens
            .iter()
            .map(|t| (t.id, t.index, t.is_last))
            .collect();
        let duration_ms = step.duration_ms * e.slowness;
        let is_model = e.pool == MODEL_POOL;
        for id in &step.started {
            let request = self.attempts[*id as usize].request;
            self.requests[request].outcome.runs += 1;
        }
        for (prefix, is_cached) in step.cache_changes {
            if is_model && !self.random.chance(CACHE_EVENT_LOSS_PROBABILITY) {
                self.schedule_in(
                    CACHE_EVENT_DELAY_US,
                    Event::CacheChange {
                        engine,
                        prefix,
                        is_cached,
                    },
                );
            }
        }
        self.schedule_in(
            (duration_ms * US_PER_MS as f64) as u64,
            Event::StepEnd(engine),
        );
    }

    /// Sends the tokens of a completed batch step, and starts the next step.
    pub(super) fn finish_step(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        e.is_stepping = false;
        let step_tokens = std::mem::take(&mut e.step_tokens);
        if e.pool == MODEL_POOL {
            self.produced_tokens += step_tokens.len() as u64;
        }
        for (id, index, is_last) in step_tokens {
            let attempt_index = id as usize;
            self.schedule_in(
                NETWORK_DELAY_US,
                Event::Token {
                    attempt_index,
                    index,
                    is_last,
                },
            );
        }
        self.start_step(engine);
    }

    /// Removes an attempt from its engine's batch.
    pub(super) fn cancel(&mut self, attempt_index: usize) {
        let engine = self.attempts[attempt_index].engine;
        self.engines[engine].batch.cancel(attempt_index as u64);
    }

    /// Polls the next engine on behalf of an instance.
    ///
    /// The poll records the engine's load for later polls by any instance. The router gets the newest
    /// recorded load that is at least `report_lag_ms` old, or no report if there is none or the
    /// engine is down.
    pub(super) fn poll_load(&mut self, instance: usize) {
        let count = self.engines.len();
        self.last_polled[instance] = (self.last_polled[instance] + 1) % count;
        let engine = self.last_polled[instance];
        let (now_us, now) = (self.now_us, self.now());
        let lag_us = self.scenario.report_lag_ms * US_PER_MS;
        let e = &mut self.engines[engine];
        let current = LoadReport {
            running: e.batch.running() as u32,
            waiting: e.batch.waiting() as u32,
        };
        e.load_history.push((now_us, current));
        let old_enough_count = e.load_history.partition_point(|l| l.0 + lag_us <= now_us);
        let reported = old_enough_count
            .checked_sub(1)
            .map(|last| e.load_history[last]);
        e.load_history.drain(..old_enough_count.saturating_sub(1));
        let name = Arc::clone(&e.name);
        if let Some((_, report)) = reported.filter(|_| !self.engines[engine].is_down) {
            self.routers[instance].on_load_report(now, now, &name, report);
            self.perform_actions(instance);
        }
        self.schedule_in(LOAD_POLL_INTERVAL_US, Event::PollLoad(instance));
    }

    /// Applies a fault of the scenario, which affects model engines only.
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        let count = self.deployment.engines;
        match fault {
            Fault::Straggle { fraction, slowness } => {
                let slow = (count as f64 * fraction).ceil() as usize;
                for engine in self.engines.iter_mut().take(slow) {
                    engine.slowness = slowness;
                }
            }
            Fault::Crash { fraction } => {
                let down = (count as f64 * fraction).ceil() as usize;
                for engine in count - down..count {
                    self.crash(engine);
                }
            }
            Fault::Recover => {
                for engine in &mut self.engines {
                    engine.slowness = 1.0;
                    engine.is_down = false;
                }
            }
        }
    }

    /// Stops an engine and breaks off all its attempts.
    fn crash(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        e.is_down = true;
        e.step_tokens.clear();
        for id in e.batch.clear() {
            let attempt_index = id as usize;
            let attempt = self.attempts[attempt_index];
            let end = End::Failed {
                verdict: Verdict::MayHaveRun,
                delivered: attempt.resume_from + attempt.tokens,
            };
            // Tokens that were sent before the crash arrive before the end of the connection.
            self.schedule_in(
                NETWORK_DELAY_US + 1,
                Event::AttemptEnd { attempt_index, end },
            );
        }
    }
}
