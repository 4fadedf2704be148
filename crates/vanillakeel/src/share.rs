//! Concurrency limit of one instance of the `vanillakeel-entry` daemon for each pool.
//!
//! The instances that use a pool split its slots, and each keeps its requests in flight within its
//! part. The part is learnt from the instance's own delays ([`Mode::Learned`]), equal for all live
//! instances ([`Mode::Even`]), or granted in proportion to demand by the pool's coordinator
//! ([`Mode::Demand`]). The coordinator is one of the instances, which each of them works out from
//! the pool's rank and its own list of live instances. No election backs this choice: instances
//! with different lists may disagree for a while, and ignore grants of any instance that is not the
//! coordinator by their own list. Without a recent grant, an instance assumes an even split.
//!
//! ```
//! use vanillakeel::{share::{Mode, Settings, Share}, Millis};
//!
//! let mut share = Share::new("a", Settings { mode: Mode::Even, overcommit: 1.0, ..Settings::default() });
//! share.set_peers(["a", "b"].into_iter());
//! assert_eq!(share.limit(Millis::ZERO, 32), 16);
//! ```

use crate::Millis;
use std::sync::Arc;

/// Time that a grant stays valid, in ms.
const GRANT_TTL_MS: u64 = 10_000;

/// Time that a reported demand stays valid, in ms.
const DEMAND_TTL_MS: u64 = 10_000;

/// Time after which an unchanged demand or grant is sent again, in ms.
const REFRESH_INTERVAL_MS: u64 = 3_000;

/// Minimum time between two demands or grants to the same instance, in ms.
const MIN_SEND_INTERVAL_MS: u64 = 1_000;

/// Relative change above which a demand or grant is sent before its refresh.
const SIGNIFICANT_CHANGE: f64 = 0.15;

/// Fraction of an even split that each instance gets regardless of its demand.
const GUARANTEED_FRACTION: f64 = 0.25;

/// Grants are in thousandths of the pool.
const PER_MILLE: f64 = 1_000.0;

/// Concurrency limit that an instance starts with in [`Mode::Learned`].
const INITIAL_LEARNED_LIMIT: f64 = 8.0;

/// How an instance determines its part of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// From its own delays, without messages, by additive increase and multiplicative decrease.
    Learned,
    /// Equal for all live instances.
    Even,
    /// In proportion to demand, granted by the pool's coordinator.
    #[default]
    Demand,
    /// No limit.
    Unlimited,
}

/// Settings of a [`Share`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How the part of the pool is determined.
    pub mode: Mode,
    /// Fraction of the limit by which protected requests may exceed it.
    pub protected_excess: f64,
    /// Maximum number of requests in flight over all instances, as a multiple of the pool's slots.
    pub overcommit: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            mode: Mode::Demand,
            protected_excess: 0.25,
            overcommit: 1.25,
        }
    }
}

/// A message between instances about one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Number of requests in flight and queued at the sender; sent to the pool's coordinator.
    Demand(u32),
    /// Part of the pool that is granted to the receiver, in thousandths.
    Grant(u32),
}

/// What the coordinator knows of one instance.
#[derive(Clone, Debug)]
struct Demand {
    from: Arc<str>,
    requests: u32,
    received_at: Millis,
    /// Part that was last granted to it, in thousandths.
    granted: u32,
    granted_at: Option<Millis>,
}

/// The part of one pool that this instance may use.
#[derive(Clone, Debug)]
pub struct Share {
    settings: Settings,
    me: Arc<str>,
    peers: Vec<Arc<str>>,
    /// Rank of the pool, which selects its coordinator among the peers.
    rank: usize,
    demands: Vec<Demand>,
    /// Last grant to this instance: its time, and the part in thousandths.
    grant: Option<(Millis, u32)>,
    /// Last demand that this instance sent: its time, and its number of requests.
    last_sent: Option<(Millis, u32)>,
    learned_limit: f64,
}

impl Share {
    /// Creates the share of the instance `me`, which knows no peers yet.
    #[must_use]
    pub fn new(me: &str, settings: Settings) -> Self {
        Self {
            settings,
            me: Arc::from(me),
            peers: vec![Arc::from(me)],
            rank: 0,
            demands: Vec::new(),
            grant: None,
            last_sent: None,
            learned_limit: INITIAL_LEARNED_LIMIT,
        }
    }

    /// Sets the live instances; this one is added if it is missing.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers = names.map(Arc::from).collect();
        self.peers.push(Arc::clone(&self.me));
        self.peers.sort();
        self.peers.dedup();
        let peers = &self.peers;
        self.demands
            .retain(|d| peers.binary_search(&d.from).is_ok());
    }

    /// Sets the rank of the pool among all pools.
    ///
    /// Pools of different ranks have different coordinators, as long as there are enough peers.
    pub const fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    fn coordinator(&self) -> &str {
        &self.peers[self.rank % self.peers.len()]
    }

    /// Returns the number of requests that this instance may have in flight, given the pool's
    /// `slots`.
    #[must_use]
    pub fn limit(&self, now: Millis, slots: u32) -> u32 {
        let slots = f64::from(slots) * self.settings.overcommit;
        let limit = match self.settings.mode {
            Mode::Unlimited => return u32::MAX,
            Mode::Learned => self.learned_limit,
            Mode::Even => slots / self.peers.len() as f64,
            Mode::Demand => slots * self.fraction(now),
        };
        (limit.floor() as u32).max(1)
    }

    /// Returns the number of requests in flight up to which protected requests are sent.
    #[must_use]
    pub fn protected_limit(&self, now: Millis, slots: u32) -> u32 {
        let limit = self.limit(now, slots);
        let more = (f64::from(limit) * self.settings.protected_excess).ceil() as u32;
        limit.saturating_add(more).saturating_add(1)
    }

    /// Returns the fraction of the pool that this instance may use in [`Mode::Demand`].
    #[must_use]
    pub fn fraction(&self, now: Millis) -> f64 {
        let even = 1.0 / self.peers.len() as f64;
        match self.grant {
            Some((at, per_mille)) if now.since(at) < GRANT_TTL_MS => {
                f64::from(per_mille) / PER_MILLE
            }
            _ => even,
        }
    }

    /// Does the periodic work and returns the messages to send, each with its receiver.
    ///
    /// `requests` is the number of requests in flight and queued at this instance.
    pub fn tick(&mut self, now: Millis, requests: u32) -> Vec<(Arc<str>, Message)> {
        let mut out = Vec::new();
        if self.settings.mode != Mode::Demand || self.peers.len() < 2 {
            return out;
        }
        if *self.coordinator() == *self.me {
            self.record_demand(now, &Arc::clone(&self.me), requests);
            self.grant_parts(now, &mut out);
        } else if self.should_send_demand(now, requests) {
            self.last_sent = Some((now, requests));
            out.push((Arc::from(self.coordinator()), Message::Demand(requests)));
        }
        out
    }

    fn should_send_demand(&self, now: Millis, requests: u32) -> bool {
        self.last_sent
            .is_none_or(|(at, last)| should_resend(now, at, last, requests))
    }

    fn record_demand(&mut self, now: Millis, from: &Arc<str>, requests: u32) {
        match self.demands.binary_search_by(|d| d.from.cmp(from)) {
            Ok(index) => {
                self.demands[index].requests = requests;
                self.demands[index].received_at = now;
            }
            Err(index) => self.demands.insert(
                index,
                Demand {
                    from: Arc::clone(from),
                    requests,
                    received_at: now,
                    granted: 0,
                    granted_at: None,
                },
            ),
        }
    }

    /// Grants a part to each instance that has reported its demand.
    ///
    /// The even parts of the other instances are left to them.
    fn grant_parts(&mut self, now: Millis, out: &mut Vec<(Arc<str>, Message)>) {
        self.demands
            .retain(|d| now.since(d.received_at) < DEMAND_TTL_MS);
        let even = 1.0 / self.peers.len() as f64;
        let unreported = self.peers.len().saturating_sub(self.demands.len()) as f64;
        let divisible = 1.0 - unreported * even;
        let total: f64 = self.demands.iter().map(|d| f64::from(d.requests)).sum();
        let reported = self.demands.len() as f64;
        for d in &mut self.demands {
            let by_demand = if total > 0.0 {
                f64::from(d.requests) / total
            } else {
                1.0 / reported
            };
            let part = divisible
                * (GUARANTEED_FRACTION / reported + (1.0 - GUARANTEED_FRACTION) * by_demand);
            let per_mille = (part * PER_MILLE).round() as u32;
            let granted = d.granted;
            if d.granted_at
                .is_some_and(|at| !should_resend(now, at, granted, per_mille))
            {
                continue;
            }
            d.granted = per_mille;
            d.granted_at = Some(now);
            if d.from == self.me {
                self.grant = Some((now, per_mille));
            } else {
                out.push((Arc::clone(&d.from), Message::Grant(per_mille)));
            }
        }
    }

    /// Handles a message from the instance `from`.
    ///
    /// Demands are ignored if the sender is unknown or this instance is not the coordinator. Grants
    /// are ignored if the sender is not the coordinator.
    pub fn on_message(&mut self, now: Millis, from: &str, message: Message) {
        match message {
            Message::Demand(requests) => {
                let known = self.peers.binary_search_by(|p| (**p).cmp(from)).is_ok();
                if known && *self.coordinator() == *self.me {
                    self.record_demand(now, &Arc::from(from), requests);
                }
            }
            Message::Grant(per_mille) => {
                if self.coordinator() == from {
                    self.grant = Some((now, per_mille.min(PER_MILLE as u32)));
                }
            }
        }
    }

    /// Adjusts the learned limit after a first token; `in_time` says whether it met its target.
    pub fn on_first_token(&mut self, in_time: bool) {
        if in_time {
            self.learned_limit += 1.0 / self.learned_limit;
        } else {
            self.learned_limit = (self.learned_limit * 0.9).max(1.0);
        }
    }
}

/// Returns whether to send `new`, given that `old` was sent at `sent_at`.
fn should_resend(now: Millis, sent_at: Millis, old: u32, new: u32) -> bool {
    let age_ms = now.since(sent_at);
    age_ms >= REFRESH_INTERVAL_MS || (age_ms >= MIN_SEND_INTERVAL_MS && is_significant(old, new))
}

/// Returns whether the change is large enough to be sent before the refresh.
fn is_significant(old: u32, new: u32) -> bool {
    let change = f64::from(old.abs_diff(new));
    change > f64::from(old.max(2)) * SIGNIFICANT_CHANGE
}
