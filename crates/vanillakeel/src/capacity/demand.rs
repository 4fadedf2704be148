//! The load of a service, and the number of upstreams that it asks for.

use super::{
    settings::Settings,
    view::ServiceView, //
};
use crate::Millis;

/// Length of the intervals for which the largest load is kept, in ms.
const INTERVAL_MS: u64 = 1_000;

/// Load above which a service is in use, in upstreams with all slots taken.
const IN_USE: f64 = 0.001;

/// Most upstreams that are counted for one data centre.
pub(super) const MAX_COUNTED: u32 = 10_000;

/// Numbers of upstreams that the load of a moment asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Levels {
    /// With headroom by the price of a further upstream.
    total: f64,
    /// With the headroom that is worth the price of ordinary ones.
    essential: f64,
    /// While the spot ones of a data centre are gone.
    surviving: f64,
    /// With a slot for each call.
    in_flight: f64,
}

impl Levels {
    const ZERO: Self = Self {
        total: 0.0,
        essential: 0.0,
        surviving: 0.0,
        in_flight: 0.0,
    };

    fn of(service: &ServiceView, settings: &Settings) -> Self {
        let live = service.upstreams.iter().filter(|u| u.is_live);
        let (count, slots) = live.fold((0.0, 0.0), |(count, slots), u| {
            (count + 1.0, slots + f64::from(u.slots.max(1)))
        });
        let count = f64::max(count, 1.0);
        let slots = f64::max(slots, 1.0);
        let calls: f64 = service.upstreams.iter().map(|u| f64::from(u.calls)).sum();
        let calls = calls + f64::from(service.refused_per_second);
        let tokens = service.upstreams.iter().map(|u| u.prefill_tokens as f64);
        let prefill_ms = tokens.sum::<f64>() * service.prefill_ms_per_token.max(0.0);
        let level = |utilization: f64, queued_ms: f64| {
            let by_slots = damped(calls / slots) / utilization.max(f64::EPSILON);
            let by_prefill = damped(prefill_ms / count / queued_ms.max(f64::EPSILON));
            count * by_slots.max(by_prefill)
        };
        Self {
            total: level(utilization(service, settings), settings.queued_prefill_ms),
            essential: level(settings.ordinary_utilization, settings.queued_prefill_ms),
            surviving: level(
                settings.surviving_utilization,
                settings.surviving_prefill_ms,
            ),
            in_flight: count * calls / slots,
        }
    }

    const fn max(self, other: Self) -> Self {
        Self {
            total: self.total.max(other.total),
            essential: self.essential.max(other.essential),
            surviving: self.surviving.max(other.surviving),
            in_flight: self.in_flight.max(other.in_flight),
        }
    }

    fn toward(self, next: Self, weight: f64) -> Self {
        let levels = [next.total, next.essential, next.surviving, next.in_flight];
        if !levels.iter().all(|level| level.is_finite()) {
            return self;
        }
        let mean = |from: f64, to: f64| from + weight * (to - from);
        Self {
            total: mean(self.total, next.total),
            essential: mean(self.essential, next.essential),
            surviving: mean(self.surviving, next.surviving),
            in_flight: mean(self.in_flight, next.in_flight),
        }
    }
}

/// Returns a ratio of load to room as that of upstreams to order: above 1 the load waits, and what waits falls faster
/// than the number of upstreams rises.
fn damped(ratio: f64) -> f64 {
    if ratio > 1.0 { ratio.sqrt() } else { ratio }
}

/// How many upstreams a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Need {
    /// Upstreams of both kinds, with headroom.
    pub(super) total: u32,
    /// Upstreams of both kinds, with the headroom that is worth the price of ordinary ones.
    pub(super) essential: u32,
    /// Upstreams that have to be left when the spot ones of any one data centre have gone.
    pub(super) surviving: u32,
    /// Ordinary upstreams.
    pub(super) ordinary: u32,
}

/// The recent load of a service.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    last: Millis,
    now: Levels,
    average: Levels,
    /// Largest average of each recent interval, oldest first.
    peaks: Vec<(Millis, Levels)>,
    /// Number that is held, which falls stepwise.
    held: u32,
    /// Time from which the held number may fall.
    held_until: Millis,
    /// Time until which the list of upstreams may not be known whole.
    settles_at: Option<Millis>,
    has_had_load: bool,
}

impl Demand {
    /// Starts with the upstreams that are there, as long as it is not known what the load needs.
    pub(super) fn new(now: Millis, service: &ServiceView, settings: &Settings) -> Self {
        Self {
            last: now,
            now: Levels::of(service, settings),
            average: Levels::of(service, settings),
            peaks: Vec::new(),
            held: replaced_count(service, settings),
            held_until: now.plus(settings.idle_ms),
            settles_at: None,
            has_had_load: false,
        }
    }

    pub(super) fn observe(&mut self, now: Millis, service: &ServiceView, settings: &Settings) {
        let passed_ms = now.since(self.last);
        self.last = now;
        let next = Levels::of(service, settings);
        let weight = passed_ms as f64 / (passed_ms + settings.smoothing_ms.max(1)) as f64;
        self.now = next;
        self.average = self.average.toward(next, weight);
        match self.peaks.last_mut() {
            Some((since, peak)) if now.since(*since) < INTERVAL_MS => {
                *peak = peak.max(self.average);
            }
            _ => self.peaks.push((now, self.average)),
        }
        let hold_ms = settings.hold_ms;
        self.peaks.retain(|(since, _)| now.since(*since) <= hold_ms);
        if !self.has_had_load && next != Levels::ZERO {
            self.has_had_load = true;
            self.held_until = self.held_until.min(now.plus(settings.hold_ms));
        }
        if !service.upstreams.is_empty() {
            let settled_at = now.plus(settings.first_order_ms);
            let settles_at = *self.settles_at.get_or_insert(settled_at);
            if now <= settles_at {
                self.held = self.held.max(replaced_count(service, settings));
            }
        }
        let needed = self.recent().total.ceil() as u32;
        if needed > self.held {
            let with_margin = f64::from(needed) * (1.0 + settings.rise_margin);
            self.held = (with_margin.ceil() as u32).min(orderable(service));
            self.held_until = now.plus(settings.hold_ms);
        } else if now >= self.held_until && needed < self.held {
            let kept = f64::from(self.held) * (1.0 - settings.calm_step_share);
            self.held = (kept as u32).max(needed);
            self.held_until = now.plus(settings.calm_step_ms);
        }
    }

    /// Returns the largest numbers of the last while.
    fn recent(&self) -> Levels {
        self.peaks.iter().fold(self.average, |a, (_, b)| a.max(*b))
    }

    pub(super) fn need(&self, settings: &Settings) -> Need {
        let recent = self.recent();
        let ordinary = (f64::from(self.held) * settings.ordinary_share).ceil() as u32;
        Need {
            total: self.held,
            essential: (recent.essential.ceil() as u32).min(self.held),
            surviving: (recent.surviving.ceil() as u32).min(self.held),
            ordinary,
        }
    }

    /// Returns whether there has been load in the last while.
    pub(super) fn is_in_use(&self) -> bool {
        self.recent().in_flight > IN_USE
    }

    /// Returns whether there has been any load.
    pub(super) const fn has_had_load(&self) -> bool {
        self.has_had_load
    }

    /// Returns the fewest upstreams at which the load of this moment has a slot each.
    pub(super) fn in_flight(&self) -> u32 {
        self.average.max(self.now).in_flight.ceil() as u32
    }
}

/// Returns the share of slots to be taken, by the price of a further upstream.
fn utilization(service: &ServiceView, settings: &Settings) -> f64 {
    let price = service.autoscale.spot_price.unwrap_or(1_000).min(1_000);
    let span = settings.ordinary_utilization - settings.free_utilization;
    settings.free_utilization + span * f64::from(price) / 1_000.0
}

/// Returns the most upstreams that may be ordered in all data centres.
fn orderable(service: &ServiceView) -> u32 {
    let priced = service.autoscale.prices.iter().map(|(name, _)| name);
    let present = service.upstreams.iter().map(|u| &u.data_centre);
    let mut names: Vec<_> = priced.chain(present).collect();
    names.sort_unstable();
    names.dedup();
    let max = service.autoscale.max_upstreams.min(MAX_COUNTED);
    max.saturating_mul(names.len() as u32)
}

/// Returns the number that is there, without ordinary upstreams whose places spot ones are taking.
///
/// While spot ones take their places, both are there for a while.
fn replaced_count(service: &ServiceView, settings: &Settings) -> u32 {
    let live = service.upstreams.iter().filter(|u| u.is_live);
    let (ordinary, spot) = live.fold((0_u32, 0_u32), |(ordinary, spot), u| {
        (
            ordinary + u32::from(!u.is_spot),
            spot + u32::from(u.is_spot),
        )
    });
    let with_share = f64::from(spot) / (1.0 - settings.ordinary_share).max(f64::EPSILON);
    ordinary.max((with_share.ceil() as u32).min(ordinary + spot))
}
