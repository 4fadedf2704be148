//! The fakes of engines: batches in virtual time, load reports with a lag, and faults.

use super::{
    CACHE_EVENT_US,
    CACHE_EVENTS_LOST,
    Event,
    HOP_US,
    MODELS,
    MS,
    REPORT_US,
    World, //
};
use crate::policy::scenario::Fault;
use std::sync::Arc;
use vanillakeel::{
    Verdict,
    attempt::End,
    routing::LoadReport, //
};
use vanillakeel_standin::batch::Sequence;

impl World<'_> {
    /// A request reaches an engine, which takes it or not.
    pub(super) fn reach(&mut self, engine: usize, flight: usize) {
        let f = self.flights[flight];
        if self.engines[engine].is_down {
            let end = End::Failed {
                verdict: Verdict::NotRun,
                delivered: f.from,
            };
            self.soon(HOP_US, Event::Ended { flight, end });
            return;
        }
        let caller = &self.callers[f.request];
        let class = self.size.classes[caller.fate.class];
        let sequence = Sequence {
            id: flight as u64,
            priority: if self.variant.tells_priority {
                class.tier
            } else {
                0
            },
            prompt_tokens: class.prompt_tokens,
            prefix_hash: if class.is_plain { 0 } else { caller.prefix },
            output_tokens: caller.output,
            resume_from: f.from,
        };
        if self.engines[engine].batch.push(sequence) {
            self.start_step(engine);
        } else {
            let end = End::Busy;
            self.soon(HOP_US, Event::Ended { flight, end });
        }
    }

    fn start_step(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        if e.is_stepping || e.is_down || e.batch.is_idle() {
            return;
        }
        let step = e.batch.step();
        e.is_stepping = true;
        e.pending = step
            .tokens
            .iter()
            .map(|t| (t.id, t.index, t.is_last))
            .collect();
        let ms = step.duration_ms * e.slowness;
        let is_model = e.pool == MODELS;
        for id in &step.started {
            let request = self.flights[*id as usize].request;
            self.callers[request].fate.runs += 1;
        }
        for (prefix, is_cached) in step.cache_changes {
            if is_model && !self.random.chance(CACHE_EVENTS_LOST) {
                self.soon(
                    CACHE_EVENT_US,
                    Event::Cache {
                        engine,
                        prefix,
                        is_cached,
                    },
                );
            }
        }
        self.soon((ms * MS as f64) as u64, Event::Step(engine));
    }

    pub(super) fn end_step(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        e.is_stepping = false;
        let pending = std::mem::take(&mut e.pending);
        if e.pool == MODELS {
            self.produced += pending.len() as u64;
        }
        for (id, index, is_last) in pending {
            let flight = id as usize;
            self.soon(
                HOP_US,
                Event::News {
                    flight,
                    index,
                    is_last,
                },
            );
        }
        self.start_step(engine);
    }

    pub(super) fn cancel(&mut self, flight: usize) {
        let engine = self.flights[flight].engine;
        self.engines[engine].batch.cancel(flight as u64);
    }

    /// An instance asks the next engine for its load, which is told with a lag.
    pub(super) fn ask(&mut self, at: usize) {
        let count = self.engines.len();
        self.asked[at] = (self.asked[at] + 1) % count;
        let engine = self.asked[at];
        let (now_us, now) = (self.now_us, self.now());
        let lag_us = self.scenario.report_lag_ms * MS;
        let e = &mut self.engines[engine];
        let present = LoadReport {
            running: e.batch.running() as u32,
            waiting: e.batch.waiting() as u32,
        };
        e.loads.push((now_us, present));
        let old = e.loads.partition_point(|l| l.0 + lag_us <= now_us);
        let told = old.checked_sub(1).map(|last| e.loads[last]);
        e.loads.drain(..old.saturating_sub(1));
        let name = Arc::clone(&e.name);
        if let Some((_, report)) = told.filter(|_| !self.engines[engine].is_down) {
            self.routers[at].on_load_report(now, now, &name, report);
            self.carry_out(at);
        }
        self.soon(REPORT_US, Event::Ask(at));
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        let count = self.size.engines;
        match fault {
            Fault::Straggle { part, slowness } => {
                let slow = (count as f64 * part).ceil() as usize;
                for engine in self.engines.iter_mut().take(slow) {
                    engine.slowness = slowness;
                }
            }
            Fault::Crash { part } => {
                let down = (count as f64 * part).ceil() as usize;
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

    fn crash(&mut self, engine: usize) {
        let e = &mut self.engines[engine];
        e.is_down = true;
        e.pending.clear();
        for id in e.batch.clear() {
            let flight = id as usize;
            let f = self.flights[flight];
            let end = End::Failed {
                verdict: Verdict::MayHaveRun,
                delivered: f.from + f.tokens,
            };
            // Tokens on their way arrive before the end of the connection.
            self.soon(HOP_US + 1, Event::Ended { flight, end });
        }
    }
}
