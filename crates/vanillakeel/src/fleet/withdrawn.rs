//! Upstreams that want no requests, by what their answers say.
//!
//! See [`availability`](crate::availability) for what is known of each of them. Their absence from the choice is in
//! the module [`limited`](super::limited).

use super::{
    request::Pick,
    state::Fleet, //
};
use crate::{
    Millis,
    availability::{
        AvailabilityChange,
        Notice, //
    },
};

/// Number of upstreams that want no requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WithdrawnCounts {
    /// Listed as live, but have said that they leave.
    pub leaving: u32,
    /// Have asked this instance for a pause that has not ended.
    pub paused: u32,
}

impl Fleet {
    /// Records what the head of an answer says of whether its upstream takes requests; returns what has changed.
    ///
    /// `sent` is the time at which the request was sent.
    pub fn on_notice(
        &mut self,
        now: Millis,
        pick: &Pick,
        sent: Millis,
        notice: Notice,
    ) -> Option<AvailabilityChange> {
        let random = self.next_random();
        if let Some(upstream) = self.find_incarnation(&pick.name, pick.incarnation) {
            return upstream.availability.on_answer(now, sent, notice, random);
        }
        let absent = self.find_absent(pick)?;
        absent.availability.on_answer(now, sent, notice, random)
    }

    /// Marks an incarnation as leaving.
    pub fn on_leaving(&mut self, pick: &Pick) {
        if let Some(upstream) = self.find_incarnation(&pick.name, pick.incarnation) {
            upstream.availability.on_leaving();
        } else if let Some(absent) = self.find_absent(pick) {
            absent.availability.on_leaving();
        }
    }

    /// Returns whether a request that was to be sent to a chosen upstream must not be sent any more, since the list or
    /// an answer to another request has said so meanwhile.
    #[must_use]
    pub fn is_withdrawn(&self, now: Millis, pick: &Pick) -> bool {
        let upstream = self.named(&pick.name);
        upstream
            .filter(|u| u.listed.incarnation == pick.incarnation)
            .is_none_or(|u| !u.is_live() || u.availability.is_paused(now))
    }

    /// Returns how many upstreams want no requests.
    #[must_use]
    pub fn withdrawn_counts(&self, now: Millis) -> WithdrawnCounts {
        let mut counts = WithdrawnCounts::default();
        for upstream in self.upstreams() {
            let availability = &upstream.availability;
            counts.leaving += u32::from(upstream.is_listed_live() && availability.is_leaving());
            counts.paused += u32::from(availability.is_paused(now));
        }
        counts
    }
}
