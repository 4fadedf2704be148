//! Requests that were refused for overload, which never reach an upstream and would not show as load.

use super::state::Fleet;
use crate::{
    Millis,
    mesh::Loads,
    order, //
};

/// Time for which a refused request counts, in ms.
const COUNTED_MS: u64 = 1_000;

/// Length of the intervals in which refused requests are counted, in ms.
const INTERVAL_MS: u64 = 100;

/// Refused requests of a service in an interval.
#[derive(Clone, Copy, Debug)]
struct Interval {
    since: Millis,
    service: u32,
    count: u32,
}

/// Requests refused for overload lately, here and at other instances.
#[derive(Clone, Debug)]
pub(super) struct RefusedRequests {
    /// In ascending order of time.
    own: Vec<Interval>,
    /// Hash of the name of a service and the number, sorted.
    remote: Vec<(u32, u32)>,
}

impl RefusedRequests {
    pub(super) const NONE: Self = Self {
        own: Vec::new(),
        remote: Vec::new(),
    };

    fn record(&mut self, now: Millis, service: u32) {
        self.own.retain(|i| now.since(i.since) < COUNTED_MS);
        let is_open = |i: &&mut Interval| now.since(i.since) < INTERVAL_MS && i.service == service;
        match self.own.iter_mut().find(is_open) {
            Some(interval) => interval.count = interval.count.saturating_add(1),
            None => self.own.push(Interval {
                since: now,
                service,
                count: 1,
            }),
        }
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = &Interval> {
        self.own
            .iter()
            .filter(move |i| now.since(i.since) < COUNTED_MS)
    }

    pub(super) fn set_remote(&mut self, loads: &Loads) {
        self.remote = loads.refused().to_vec();
    }
}

impl Fleet {
    /// Records a request of a service that was refused for overload.
    pub fn on_refused(&mut self, now: Millis, service: &str) {
        let service = order::hash(service) as u32;
        self.refused_mut().record(now, service);
        self.shares_mut().on_refused(now, service);
    }

    /// Returns the load that this instance has in flight, the requests that it has refused in the last second, and what
    /// workspaces have got of services that refuse.
    #[must_use]
    pub fn loads_at(&self, now: Millis) -> Loads {
        let mut loads = self.loads();
        for interval in self.refused().recent(now) {
            loads.add_refused(interval.service, interval.count);
        }
        self.add_served(now, &mut loads);
        loads
    }

    /// Returns the requests of a service refused for overload in the last second, of all instances, extrapolated to
    /// those that do not report.
    #[must_use]
    pub fn refused_per_second(&self, now: Millis, service: &str) -> u32 {
        let service = order::hash(service) as u32;
        let refused = self.refused();
        let own = refused.recent(now).filter(|i| i.service == service);
        let own: u32 = own.map(|i| i.count).sum();
        let remote = refused.remote.iter().find(|r| r.0 == service);
        let total = own.saturating_add(remote.map_or(0, |r| r.1));
        (f64::from(total) * self.extrapolation_factor()).round() as u32
    }
}
