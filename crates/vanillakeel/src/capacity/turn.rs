//! Whether an order for one kind in one data centre is sent now, and for which number.

use super::{
    demand::{
        Demand,
        Need, //
    },
    lane::Lane,
    settings::Settings,
    site::Site,
    spread::{
        self,
        Bounds,
        Counts, //
    },
    status::Reason,
};
use crate::Millis;

/// What is known when the orders of a service are worked out.
pub(super) struct Turn<'a> {
    pub(super) now: Millis,
    pub(super) need: Need,
    pub(super) bounds: Bounds,
    pub(super) settings: &'a Settings,
    /// Time within which an order is carried out, in ms.
    pub(super) due_ms: u64,
    pub(super) demand: &'a Demand,
    pub(super) sites: &'a [Site],
    /// Upstreams of each site that are there and stay, whichever order is carried out.
    pub(super) staying: &'a [Counts],
}

impl Turn<'_> {
    /// Returns the number to order and the reason, if there is one.
    pub(super) fn order(&self, at: usize, is_spot: bool) -> Option<(u32, Reason)> {
        if !self.sites[at].lane(is_spot).is_open(self.now) {
            return None;
        }
        self.rise(at, is_spot)
            .or_else(|| self.lowering(at, is_spot))
            .or_else(|| self.repetition(at, is_spot))
    }

    /// Returns a higher number, if more are wanted.
    fn rise(&self, at: usize, is_spot: bool) -> Option<(u32, Reason)> {
        let site = &self.sites[at];
        let lane = site.lane(is_spot);
        let taken = site.lane(!is_spot).most();
        let most = self.bounds.max.saturating_sub(taken);
        let wanted = lane.wanted.min(most);
        let committed = lane.committed();
        if wanted <= committed {
            return None;
        }
        let ignored = f64::from(committed) * self.settings.ignored_rise;
        let is_small = f64::from(wanted - committed) <= ignored;
        if is_small && taken + committed >= self.bounds.min {
            return None;
        }
        // An earlier order for more may have been carried out without an answer; a lower number would end what starts.
        let wanted = wanted.max(lane.most()).min(most);
        Some((wanted, self.rise_reason(lane, is_spot)))
    }

    fn rise_reason(&self, lane: &Lane, is_spot: bool) -> Reason {
        if lane.has_lost() {
            return Reason::Reclaimed;
        }
        let is_scarce = |s: &Site| s.spot.is_unavailable() && s.spot.limit(self.now) < u32::MAX;
        if self.sites.iter().any(is_scarce) {
            return Reason::Unavailable;
        }
        let wanted = self.sites.iter().map(|s| s.ordinary.wanted + s.spot.wanted);
        if is_spot && spread::total(self.staying) >= wanted.sum() {
            return Reason::Cheaper;
        }
        Reason::Burst
    }

    /// Returns a lower number, if fewer are wanted and the others suffice.
    fn lowering(&self, at: usize, is_spot: bool) -> Option<(u32, Reason)> {
        let site = &self.sites[at];
        let lane = site.lane(is_spot);
        let committed = lane.committed();
        if lane.wanted >= committed.min(lane.limit(self.now)) {
            return None;
        }
        let most = self.bounds.max;
        let most = most.saturating_sub(site.lane(!is_spot).committed());
        if committed > most {
            return Some((lane.wanted.max(most), Reason::Calm));
        }
        if !lane.may_lower(self.now, self.settings.ordinary_step_ms) {
            return None;
        }
        let spare = self.spare(at, is_spot);
        if spare == 0 {
            return None;
        }
        let lowest = self.staying[at].of(is_spot).saturating_sub(spare);
        let wanted = self.stepwise(lane, is_spot).max(lowest);
        let reason = if !is_spot && self.bounds.spot_price.is_some() && self.has_spot() {
            Reason::Cheaper
        } else {
            Reason::Calm
        };
        (wanted < committed).then_some((wanted, reason))
    }

    /// Returns the number after the next step toward the wanted one.
    ///
    /// Before the first load nothing is cached, and no steps are needed.
    fn stepwise(&self, lane: &Lane, is_spot: bool) -> u32 {
        if is_spot || !self.demand.has_had_load() {
            return lane.wanted;
        }
        let committed = lane.committed();
        let step = f64::from(committed) * self.settings.ordinary_step_share;
        lane.wanted
            .max(committed.saturating_sub(step.ceil() as u32))
    }

    fn has_spot(&self) -> bool {
        self.sites.iter().any(|s| s.spot.present > 0)
    }

    /// Returns how many upstreams of a kind in a data centre can go while enough are left.
    fn spare(&self, at: usize, is_spot: bool) -> u32 {
        let staying = self.staying;
        let total = spread::total(staying);
        let by_total = total.saturating_sub(self.need.total);
        let by_minimum = staying[at].total().saturating_sub(self.bounds.min);
        let by_load = total.saturating_sub(self.demand.in_flight());
        // Where there are most spot upstreams, those above the number elsewhere count as lost anyway.
        let elsewhere = staying.iter().enumerate().filter(|(other, _)| *other != at);
        let elsewhere = elsewhere.map(|(_, c)| c.spot).max().unwrap_or(0);
        let lost_anyway = if is_spot {
            staying[at].spot.saturating_sub(elsewhere)
        } else {
            0
        };
        let by_loss = spread::surviving(staying).saturating_sub(self.need.surviving);
        let by_loss = by_loss.saturating_add(lost_anyway);
        by_total.min(by_minimum).min(by_load).min(by_loss)
    }

    /// Returns the number of the last order, if it has to be repeated.
    fn repetition(&self, at: usize, is_spot: bool) -> Option<(u32, Reason)> {
        let lane = self.sites[at].lane(is_spot);
        let reason = lane.repeat_reason(self.now, self.due_ms, self.settings)?;
        Some((lane.committed(), reason))
    }
}
