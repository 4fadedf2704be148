//! How slow each upstream is against the others of its service, and what instances tell each other of it.

use super::{
    state::Fleet,
    upstream::Upstream, //
};
use crate::Millis;
use std::sync::Arc;

/// Time after which the mean over a service is worked out anew, in ms.
const REFRESH_MS: u64 = 200;

/// Weight of a new sample in the moving average (EWMA) of the call duration of a service.
const CALL_EWMA_WEIGHT: f64 = 0.05;

/// Distance from the mean that does not count, in natural logarithms: answers differ by as much without a reason in the
/// upstream.
const EQUAL_DISTANCE: f64 = 0.1;

/// Smallest slowness: a mistake about a fast upstream must not send much more there than it can take.
const MIN_SLOWNESS: f64 = 0.5;

/// Largest slowness.
const MAX_SLOWNESS: f64 = 8.0;

/// Time over the mean of the service from which an upstream counts as slow in the metrics.
pub(super) const SLOW_FACTOR: f64 = 1.5;

/// Most upstreams whose factors are told in one message.
const MAX_TOLD: usize = 16;

/// Time for which the same part of the upstreams is told, in ms.
const TELL_MS: u64 = 100;

/// What an instance tells others of the speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldSpeed {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Time that it takes over the time expected, the geometric mean of samples or the factor made of them.
    pub factor: f64,
    /// Number of samples of the last moments.
    pub samples: u32,
}

/// What is known of the calls of a service as a whole.
#[derive(Clone, Debug)]
struct ServiceSpeed {
    service: Arc<str>,
    /// Moving average of the duration of calls without a prompt, in ms.
    call_ms: Option<f64>,
    /// Mean of the levels of its upstreams, each by its weight.
    mean_level: f64,
    refreshed: Option<Millis>,
}

/// The services whose speed is known, sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceSpeeds {
    services: Vec<ServiceSpeed>,
}

impl ServiceSpeeds {
    pub(super) const fn new() -> Self {
        Self {
            services: Vec::new(),
        }
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|s| (*s.service).cmp(service))
    }

    fn entry(&mut self, service: &Arc<str>) -> &mut ServiceSpeed {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                let new = ServiceSpeed {
                    service: Arc::clone(service),
                    call_ms: None,
                    mean_level: 0.0,
                    refreshed: None,
                };
                self.services.insert(at, new);
                at
            }
        };
        &mut self.services[at]
    }

    /// Returns the mean duration of the calls without a prompt of a service, in ms.
    pub(super) fn mean_call_ms(&self, service: &str) -> Option<f64> {
        self.find(service)
            .ok()
            .and_then(|at| self.services[at].call_ms)
    }

    /// Records the duration of a call without a prompt; returns the mean before it.
    pub(super) fn record_call(&mut self, service: &Arc<str>, ms: f64) -> Option<f64> {
        let entry = self.entry(service);
        let mean = entry.call_ms;
        entry.call_ms = Some(mean.map_or(ms, |m| m + CALL_EWMA_WEIGHT * (ms - m)));
        mean
    }
}

impl Fleet {
    /// Works out how slow an upstream is against its service, and from time to time also all others of it.
    pub(super) fn update_slowness(&mut self, now: Millis, name: &str) {
        let Ok(at) = self.find(name) else {
            return;
        };
        let service = Arc::clone(&self.at(at).listed.service);
        let speed = self.service_speeds.entry(&service);
        let is_due = speed.refreshed.is_none_or(|t| now.since(t) >= REFRESH_MS);
        if is_due {
            self.refresh_service(now, &service);
            return;
        }
        let mean = speed.mean_level;
        self.at_mut(at).set_slowness(now, mean);
    }

    fn refresh_service(&mut self, now: Millis, service: &Arc<str>) {
        let (mut sum, mut weights) = (0.0, 0.0);
        for upstream in self.of_service(service) {
            let known = upstream.speed.known(now);
            sum += known.level * known.weight;
            weights += known.weight;
        }
        let mean = if weights > 0.0 { sum / weights } else { 0.0 };
        let entry = self.service_speeds.entry(service);
        entry.mean_level = mean;
        entry.refreshed = Some(now);
        for upstream in self.iter_mut() {
            if upstream.listed.service == *service {
                upstream.set_slowness(now, mean);
            }
        }
    }

    /// Takes the samples of the speed of upstreams that other instances have not been told yet.
    pub fn take_speed_samples(&mut self) -> Vec<ToldSpeed> {
        let untold = self.iter_mut().filter_map(|u| {
            let (factor, samples) = u.speed.take_untold()?;
            Some(ToldSpeed {
                upstream: u.hash,
                factor,
                samples,
            })
        });
        untold.collect()
    }

    /// Applies samples that another instance has taken; those of members are passed on to the other data centres.
    pub fn on_speed_samples(&mut self, now: Millis, told: &ToldSpeed, is_passed_on: bool) {
        let Some(upstream) = self.find_hash(told.upstream) else {
            return;
        };
        upstream.speed.record(now, told.factor, told.samples);
        if is_passed_on {
            upstream.speed.pass_on(told.factor, told.samples);
        }
        let name = Arc::clone(&upstream.listed.name);
        self.update_slowness(now, &name);
    }

    /// Returns what this instance has made of the samples of all, for those that it leads: a bounded part of the
    /// upstreams, by the time another one.
    #[must_use]
    pub fn speeds_to_tell(&self, now: Millis) -> Vec<ToldSpeed> {
        let count = self.iter().count();
        let parts = count.div_ceil(MAX_TOLD).max(1) as u64;
        let first = (now.get() / TELL_MS % parts) as usize * MAX_TOLD;
        let part = self.upstreams().skip(first).take(MAX_TOLD);
        let known = part.filter(|u| u.speed.is_known(now));
        let told = known.map(|u| ToldSpeed {
            upstream: u.hash,
            factor: u.speed.own_factor(),
            samples: u.speed.recent_samples(now),
        });
        told.collect()
    }

    /// Applies what a hub has made of the samples of all instances.
    pub fn on_told_speed(&mut self, now: Millis, told: &ToldSpeed) {
        let Some(upstream) = self.find_hash(told.upstream) else {
            return;
        };
        upstream.speed.on_told(now, told.factor);
        let name = Arc::clone(&upstream.listed.name);
        self.update_slowness(now, &name);
    }
}

impl Upstream {
    /// Works out how slow the upstream is against the mean level of its service.
    ///
    /// Without samples it counts as equal to the others, whatever these show.
    fn set_slowness(&mut self, now: Millis, mean: f64) {
        let known = self.speed.known(now);
        let distance = (known.level - mean) * known.weight;
        let counted = distance - distance.clamp(-EQUAL_DISTANCE, EQUAL_DISTANCE);
        self.slowness = counted.exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS);
    }
}
