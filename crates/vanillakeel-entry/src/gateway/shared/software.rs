//! The software versions that may have begun streams.

use super::Shared;
use std::sync::Arc;
use vanillakeel::Millis;

/// Time for which software versions that have served are remembered, in ms: longer than a stream lives.
const VERSION_REMEMBERED_MS: u64 = 600_000;

impl Shared {
    /// Returns the longest time from the first event of a stream to a request that takes it up, by the
    /// configuration in force, in ms.
    pub(in super::super) fn stream_life_ms(&self) -> Option<u64> {
        let in_force = self.in_force.borrow();
        in_force.table().map(|t| t.stream_life_ms())
    }

    /// Applies the life of streams that the configuration in force allows.
    pub(in super::super) fn on_stream_life_changed(&self) {
        if let Some(life_ms) = self.stream_life_ms() {
            self.begun_streams.borrow_mut().set_remembered(life_ms);
        }
    }

    /// Records that the list of upstreams is complete as of `seen_at`.
    pub(in super::super) fn on_upstreams_seen(&self, seen_at: Millis) {
        let fleet = self.fleet.borrow();
        let upstreams = fleet.iter().map(|u| (&u.service, u.software.as_ref()));
        let mut served = self.served_versions.borrow_mut();
        served.on_view(seen_at, upstreams);
        served.forget(seen_at.minus(VERSION_REMEMBERED_MS));
    }

    /// Returns the only software version of a service that has served for as long as streams live, if
    /// there was only one.
    pub(in super::super) fn sole_software(&self, service: &str) -> Option<Arc<str>> {
        let life_ms = self.stream_life_ms()?;
        let served = self.served_versions.borrow();
        served.sole(self.clock.now(), service, life_ms).cloned()
    }

    /// Returns the only software version of a service that had served before this instance started, while streams of
    /// then may live, if all streams that have begun since are known here.
    pub(in super::super) fn sole_earlier_software(&self, service: &str) -> Option<Arc<str>> {
        if !self.mesh.borrow().are_all_keepers() {
            return None;
        }
        let life_ms = self.stream_life_ms()?;
        let served = self.served_versions.borrow();
        let now = self.clock.now();
        served.sole_earlier(now, service, life_ms).cloned()
    }

    /// Returns whether several software versions of a service may have begun streams that live.
    pub(in super::super) fn has_several_versions(&self) -> bool {
        let now = self.clock.now();
        let life_ms = self.stream_life_ms();
        life_ms.is_some_and(|ms| self.served_versions.borrow().has_several(now, ms))
    }
}
