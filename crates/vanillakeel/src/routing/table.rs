//! Routing table: the upstreams of one pool and the selection among them.

use super::{
    health::Health,
    prefix::PrefixHints,
    step_times::StepTimes, //
};
use crate::{
    Millis, Request,
    availability::Availability,
    order::{
        self,
        Random,
        weight, //
    },
    rate_limits::RateLimit,
    subset,
};
use std::sync::Arc;

/// Weight of the newest sample in the moving average of the time to the first token.
const EWMA_WEIGHT: f64 = 0.2;

/// Uncached prompt tokens that cost as much as one request in flight.
const PREFILL_TOKENS_PER_REQUEST: f64 = 512.0;

/// How an upstream is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// The upstream with the lowest cost of all.
    LeastCost,
    /// The upstream with the lower cost of two random ones (power of two choices).
    TwoRandom,
    /// Of two random upstreams, the one with fewer requests of this instance in flight.
    TwoRandomInFlight,
    /// Cache affinity: the first upstream by rendezvous hashing of the prefix whose load is within
    /// [`Settings::load_bound`]; without a prefix, the same as [`Self::TwoRandom`].
    #[default]
    PrefixAffinity,
}

/// Settings of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How an upstream is selected.
    pub strategy: Strategy,
    /// Highest load at which an upstream is selected by prefix, as a multiple of the mean load.
    pub load_bound: f64,
    /// Age at which a load report has half its weight, in ms.
    pub report_half_life_ms: u64,
    /// An upstream is ejected as a straggler if its minimum step time exceeds this multiple of the
    /// pool's median.
    pub straggler_factor: f64,
    /// Window over which the minimum step time is taken, in ms.
    pub straggler_window_ms: u64,
    /// Largest fraction of a pool that may be ejected for straggling at the same time.
    pub max_ejected_fraction: f64,
    /// Whether upstreams are ejected at all.
    pub ejection: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strategy: Strategy::PrefixAffinity,
            load_bound: 1.25,
            report_half_life_ms: 1_500,
            straggler_factor: 2.5,
            straggler_window_ms: 200,
            max_ejected_fraction: 0.34,
            ejection: true,
        }
    }
}

/// Load that an upstream reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
}

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) name: Arc<str>,
    data_centre: Arc<str>,
    slots: u32,
    in_flight: u32,
    /// The last load report, with its time and the requests of this instance in flight when it came.
    report: Option<(Millis, LoadReport, u32)>,
    step_times: StepTimes,
    health: Health,
    prefix_hints: PrefixHints,
    pub(super) rate_limit: RateLimit,
    /// Whether it has asked for a pause.
    pub(super) availability: Availability,
    pub(super) leaving: bool,
    /// Whether the upstream belongs to another group than this instance.
    pub(super) is_in_other_group: bool,
}

impl Upstream {
    /// Estimates the requests of other instances at the upstream from its last report, whose weight
    /// decays exponentially with its age.
    fn remote_load(&self, now: Millis, half_life_ms: u64) -> f64 {
        let Some((reported_at, report, own_in_flight)) = self.report else {
            return 0.0;
        };
        let total = f64::from(report.running + report.waiting);
        let age = now.since(reported_at) as f64 / half_life_ms.max(1) as f64;
        (total - f64::from(own_in_flight)).max(0.0) * 0.5f64.powf(age)
    }
}

/// What an instance knows about the upstreams of one pool.
#[derive(Clone, Debug)]
pub struct Table {
    settings: Settings,
    /// Upstreams in ascending order of their names.
    upstreams: Vec<Upstream>,
    median_step_ms: f64,
    first_token_ms: f64,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            upstreams: Vec::new(),
            median_step_ms: 0.0,
            first_token_ms: 0.0,
        }
    }

    pub(super) fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    pub(super) const fn upstreams_mut(&mut self) -> &mut Vec<Upstream> {
        &mut self.upstreams
    }

    pub(super) fn find(&self, name: &str) -> Option<usize> {
        self.upstreams
            .binary_search_by(|u| (*u.name).cmp(name))
            .ok()
    }

    /// Adds an upstream or changes its settings.
    pub fn upsert(&mut self, name: &str, slots: u32, data_centre: &str) {
        match self.upstreams.binary_search_by(|u| (*u.name).cmp(name)) {
            Ok(index) => {
                self.upstreams[index].slots = slots;
                self.upstreams[index].data_centre = Arc::from(data_centre);
            }
            Err(index) => self.upstreams.insert(
                index,
                Upstream {
                    name: Arc::from(name),
                    data_centre: Arc::from(data_centre),
                    slots,
                    in_flight: 0,
                    report: None,
                    step_times: StepTimes::default(),
                    health: Health::default(),
                    prefix_hints: PrefixHints::default(),
                    rate_limit: RateLimit::new(order::hash(name) as u32),
                    availability: Availability::default(),
                    leaving: false,
                    is_in_other_group: false,
                },
            ),
        }
    }

    /// Removes the upstreams for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.upstreams.retain(|u| is_kept(&u.name));
    }

    /// Marks an upstream as leaving (draining) or live; a leaving one gets no new requests.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(index) = self.find(name) {
            self.upstreams[index].leaving = leaving;
        }
    }

    /// Returns the names of the upstreams in ascending order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.upstreams.iter().map(|u| &*u.name)
    }

    /// Sets this instance's group to `group` of `count`.
    ///
    /// If the group has no upstream, or only leaving ones, all upstreams count as the own group.
    pub fn set_group(&mut self, group: usize, count: usize) {
        for (rank, u) in self.upstreams.iter_mut().enumerate() {
            u.is_in_other_group = subset::group_of(rank, count) != group;
        }
        let is_usable = |u: &Upstream| !u.is_in_other_group && !u.leaving;
        if !self.upstreams.iter().any(is_usable) {
            self.upstreams
                .iter_mut()
                .for_each(|u| u.is_in_other_group = false);
        }
    }

    fn own_group(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().filter(|u| !u.is_in_other_group)
    }

    /// Returns the number of upstreams of all groups.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether the table has no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the number of upstreams of the own group.
    #[must_use]
    pub fn own_group_len(&self) -> usize {
        self.own_group().count()
    }

    /// Returns the slots of the own group, without upstreams that are leaving or ejected.
    #[must_use]
    pub fn available_slots(&self) -> u32 {
        self.own_group()
            .filter(|u| !u.leaving && !u.health.is_ejected())
            .map(|u| u.slots)
            .sum()
    }

    /// Returns the requests that this instance has in flight in its own group.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.own_group().map(|u| u.in_flight).sum()
    }

    /// Returns the requests that this instance has in flight in other groups.
    #[must_use]
    pub fn in_flight_in_other_groups(&self) -> u32 {
        let others = self.upstreams.iter().filter(|u| u.is_in_other_group);
        others.map(|u| u.in_flight).sum()
    }

    /// Returns whether an upstream belongs to the own group.
    #[must_use]
    pub fn is_in_own_group(&self, name: &str) -> bool {
        self.find(name)
            .is_some_and(|index| !self.upstreams[index].is_in_other_group)
    }

    /// Returns whether an upstream belongs to another group.
    #[must_use]
    pub fn is_in_other_group(&self, name: &str) -> bool {
        self.find(name)
            .is_some_and(|index| self.upstreams[index].is_in_other_group)
    }

    /// Returns whether any upstream is not leaving.
    #[must_use]
    pub fn has_usable_upstream(&self) -> bool {
        self.upstreams.iter().any(|u| !u.leaving)
    }

    /// Returns the number of ejected upstreams.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.upstreams
            .iter()
            .filter(|u| u.health.is_ejected())
            .count()
    }

    /// Returns the pool's moving average of the time to the first token, in ms.
    #[must_use]
    pub const fn first_token_ms(&self) -> u64 {
        self.first_token_ms as u64
    }

    /// Returns the median of the upstreams' mean decode step times, in ms.
    #[must_use]
    pub const fn median_step_ms(&self) -> f64 {
        self.median_step_ms
    }

    /// Picks an upstream of the own group that has room and is not in `exclude`.
    ///
    /// If all upstreams with room are in `exclude`, one of them is picked.
    pub fn pick(
        &self,
        now: Millis,
        req: &Request,
        exclude: &[Arc<str>],
        random: &mut Random,
    ) -> Option<Arc<str>> {
        self.pick_within(now, req, exclude, u32::MAX, random)
    }

    /// Picks like [`Self::pick`], with at most `max_per_upstream` requests of this instance in flight
    /// at each upstream.
    pub fn pick_within(
        &self,
        now: Millis,
        req: &Request,
        exclude: &[Arc<str>],
        max_per_upstream: u32,
        random: &mut Random,
    ) -> Option<Arc<str>> {
        self.pick_in_group(now, req, exclude, max_per_upstream, false, random)
    }

    /// Picks like [`Self::pick`], but from the other groups.
    pub fn pick_in_other_group(
        &self,
        now: Millis,
        req: &Request,
        exclude: &[Arc<str>],
        random: &mut Random,
    ) -> Option<Arc<str>> {
        self.pick_in_group(now, req, exclude, u32::MAX, true, random)
    }

    fn pick_in_group(
        &self,
        now: Millis,
        req: &Request,
        exclude: &[Arc<str>],
        max_per_upstream: u32,
        is_in_other_group: bool,
        random: &mut Random,
    ) -> Option<Arc<str>> {
        let has_room = |index: &usize| {
            let u = &self.upstreams[*index];
            let limit = u.health.max_in_flight(now).min(max_per_upstream);
            let is_below_limits = u.in_flight < limit && u.has_room(now);
            u.is_in_other_group == is_in_other_group && !u.leaving && is_below_limits
        };
        let with_room: Vec<usize> = (0..self.upstreams.len()).filter(has_room).collect();
        let untried: Vec<usize> = with_room
            .iter()
            .copied()
            .filter(|index| !exclude.contains(&self.upstreams[*index].name))
            .collect();
        let candidates = if untried.is_empty() {
            with_room
        } else {
            untried
        };
        let index = self.choose(now, req, &candidates, random)?;
        Some(Arc::clone(&self.upstreams[index].name))
    }

    fn choose(
        &self,
        now: Millis,
        req: &Request,
        candidates: &[usize],
        random: &mut Random,
    ) -> Option<usize> {
        match self.settings.strategy {
            Strategy::LeastCost => {
                let start = random.below(candidates.len() as u64) as usize;
                let rotated = candidates[start..].iter().chain(&candidates[..start]);
                min_by_cost(rotated.copied(), |index| self.cost(now, req, index))
            }
            Strategy::TwoRandom => {
                let sample = sample_two(candidates, random);
                min_by_cost(sample.into_iter(), |index| self.cost(now, req, index))
            }
            Strategy::TwoRandomInFlight => {
                let sample = sample_two(candidates, random);
                min_by_cost(sample.into_iter(), |index| {
                    f64::from(self.upstreams[index].in_flight)
                })
            }
            Strategy::PrefixAffinity if req.prefix == 0 => {
                let sample = sample_two(candidates, random);
                min_by_cost(sample.into_iter(), |index| self.cost(now, req, index))
            }
            Strategy::PrefixAffinity => self.choose_by_prefix(now, req, candidates),
        }
    }

    /// Returns the cost of sending `req` to an upstream.
    ///
    /// The unit is one request in flight at an upstream of 16 slots and median speed.
    fn cost(&self, now: Millis, req: &Request, index: usize) -> f64 {
        let u = &self.upstreams[index];
        let load = f64::from(u.in_flight) + u.remote_load(now, self.settings.report_half_life_ms);
        let prefill = if u.prefix_hints.contains(req.prefix) {
            0.0
        } else {
            f64::from(req.prompt_tokens) / PREFILL_TOKENS_PER_REQUEST
        };
        let utilization = (load + 1.0) / f64::from(u.slots.max(1));
        (utilization * 16.0 + prefill) * self.slowness(u)
    }

    /// Returns the step time of an upstream relative to the median, at least 0.5.
    fn slowness(&self, u: &Upstream) -> f64 {
        match u.step_times.mean_ms() {
            Some(ms) if self.median_step_ms > 0.0 => (ms / self.median_step_ms).max(0.5),
            _ => 1.0,
        }
    }

    fn choose_by_prefix(&self, now: Millis, req: &Request, candidates: &[usize]) -> Option<usize> {
        let prefix_key = format!("{:x}", req.prefix);
        let load = |index: usize| {
            let u = &self.upstreams[index];
            let remote = u.remote_load(now, self.settings.report_half_life_ms);
            let total = f64::from(u.in_flight) + remote;
            total / f64::from(u.slots.max(1)) * self.slowness(u)
        };
        let mean =
            candidates.iter().map(|index| load(*index)).sum::<f64>() / candidates.len() as f64;
        candidates
            .iter()
            .copied()
            .filter(|index| load(*index) <= mean * self.settings.load_bound)
            .max_by_key(|index| weight(&prefix_key, &self.upstreams[*index].name))
            .or_else(|| min_by_cost(candidates.iter().copied(), load))
    }

    /// Records that a request is sent to an upstream.
    pub fn on_send(&mut self, now: Millis, name: &str) {
        if let Some(index) = self.find(name) {
            self.upstreams[index].in_flight += 1;
            self.upstreams[index].health.on_send();
            self.upstreams[index].rate_limit.on_send(now);
            self.upstreams[index].availability.on_send(now);
        }
    }

    /// Records a request whose end shows nothing about the upstream's health.
    pub fn on_end(&mut self, now: Millis, name: &str) {
        if let Some(index) = self.find(name) {
            let u = &mut self.upstreams[index];
            u.in_flight = u.in_flight.saturating_sub(1);
            u.availability.on_end(now, now);
            u.health.on_neutral(now);
        }
    }

    /// Records a request that was answered.
    pub fn on_success(&mut self, name: &str) {
        if let Some(index) = self.find(name) {
            let u = &mut self.upstreams[index];
            u.in_flight = u.in_flight.saturating_sub(1);
            u.health.on_success(u.slots);
        }
    }

    /// Records a request that failed through a fault of the upstream.
    ///
    /// The upstream is ejected, unless it already is, and its prefix hints are dropped.
    pub fn on_failure(&mut self, now: Millis, name: &str) {
        let ejection = self.settings.ejection;
        if let Some(index) = self.find(name) {
            let u = &mut self.upstreams[index];
            u.in_flight = u.in_flight.saturating_sub(1);
            u.availability.on_end(now, now);
            u.prefix_hints.clear();
            if ejection && !matches!(u.health.max_in_flight(now), 0) {
                u.health.eject(now);
            }
        }
    }

    /// Records a time to the first token, in ms.
    pub fn on_first_token(&mut self, ms: u64) {
        if self.first_token_ms == 0.0 {
            self.first_token_ms = ms as f64;
        }
        self.first_token_ms += EWMA_WEIGHT * (ms as f64 - self.first_token_ms);
    }

    /// Records the time of a decode step, in ms; returns whether the upstream is ejected as a
    /// straggler.
    pub fn on_step(&mut self, now: Millis, name: &str, ms: f64) -> bool {
        let Some(index) = self.find(name) else {
            return false;
        };
        let window_ms = self.settings.straggler_window_ms;
        self.upstreams[index].step_times.record(now, ms, window_ms);
        self.median_step_ms = self.median(|u| u.step_times.mean_ms());
        let is_ejected = self.is_straggler(index) && self.may_eject();
        if is_ejected {
            self.upstreams[index].health.eject_straggler(now);
            self.upstreams[index].step_times.clear();
        }
        is_ejected
    }

    /// Returns the median of `value` over the upstreams that have one.
    fn median(&self, value: impl Fn(&Upstream) -> Option<f64>) -> f64 {
        let mut values: Vec<f64> = self.upstreams.iter().filter_map(value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    }

    fn is_straggler(&self, index: usize) -> bool {
        let u = &self.upstreams[index];
        let Some(min_ms) = u.step_times.min_ms() else {
            return false;
        };
        let median_ms = self.median(|u| u.step_times.min_ms());
        !u.health.is_ejected() && min_ms > median_ms * self.settings.straggler_factor
    }

    /// Returns whether one more straggler may be ejected.
    ///
    /// Upstreams ejected for a failure do not count, since they have to be ejected in any case.
    fn may_eject(&self) -> bool {
        let limit = self.upstreams.len() as f64 * self.settings.max_ejected_fraction;
        let stragglers = self
            .upstreams
            .iter()
            .map(|u| u.health.is_ejected_straggler());
        let ejected = stragglers.filter(|is_ejected| *is_ejected).count();
        self.settings.ejection && (ejected + 1) as f64 <= limit
    }

    /// Records a load report made at `reported_at`.
    pub fn on_load_report(&mut self, reported_at: Millis, name: &str, report: LoadReport) {
        if let Some(index) = self.find(name) {
            let own_in_flight = self.upstreams[index].in_flight;
            self.upstreams[index].report = Some((reported_at, report, own_in_flight));
        }
    }

    /// Records that an upstream has cached or evicted a prefix.
    pub fn on_cache_event(&mut self, name: &str, prefix: u64, cached: bool) {
        let Some(index) = self.find(name) else { return };
        if cached {
            self.upstreams[index].prefix_hints.insert(prefix);
        } else {
            self.upstreams[index].prefix_hints.remove(prefix);
        }
    }
}

fn min_by_cost(items: impl Iterator<Item = usize>, cost: impl Fn(usize) -> f64) -> Option<usize> {
    items
        .map(|index| (cost(index), index))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, index)| index)
}

fn sample_two(candidates: &[usize], random: &mut Random) -> Vec<usize> {
    let mut pick = || {
        let index = random.below(candidates.len() as u64) as usize;
        candidates.get(index).copied()
    };
    [pick(), pick()].into_iter().flatten().collect()
}
