//! Capacity of a pool split between the instances that use it.
//!
//! Each instance may have a part of a pool's slots in flight. The part is learnt from its own
//! delays ([`Mode::Learned`]), the same for all live instances ([`Mode::Even`]), or granted in
//! proportion to demand by the pool's soft owner ([`Mode::Demand`]). When the owner is silent,
//! the last one falls back to an even split.
//!
//! ```
//! use vanillakeel::{share::{Mode, Settings, Share}, Millis};
//!
//! let mut share = Share::new("a", Settings { mode: Mode::Even, fill: 1.0, ..Settings::default() });
//! share.set_peers(["a", "b"].into_iter());
//! assert_eq!(share.limit(Millis::ZERO, 32), 16);
//! ```

use crate::Millis;
use std::sync::Arc;

/// A grant counts for this long, in ms.
const GRANT_LIFE_MS: u64 = 10_000;

/// A demand counts for this long, in ms.
const DEMAND_LIFE_MS: u64 = 10_000;

/// A demand or grant is sent again after this long, in ms.
const REFRESH_MS: u64 = 3_000;

/// Demands and grants are sent no more often than this, in ms.
const PACE_MS: u64 = 1_000;

/// Change of a demand or grant that is worth a message.
const WORTH_SENDING: f64 = 0.15;

/// Share of an even split that each instance has whatever its demand.
const BASE: f64 = 0.25;

/// Thousandths in a whole.
const PER_MILLE: f64 = 1_000.0;

/// Limit that a learning instance starts with.
const LEARNED_START: f64 = 8.0;

/// How the part of an instance is found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// From its own delays, without messages.
    Learned,
    /// The same for all live instances.
    Even,
    /// In proportion to demand, granted by the pool's soft owner.
    #[default]
    Demand,
    /// Without a limit.
    Unlimited,
}

/// Settings of a [`Share`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How the part is found.
    pub mode: Mode,
    /// Part of the limit that protected requests may go beyond it.
    pub overdraw: f64,
    /// Part of the pool's slots that is in flight at most, over all instances.
    pub fill: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            mode: Mode::Demand,
            overdraw: 0.25,
            fill: 1.25,
        }
    }
}

/// A message between instances about one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Calls in flight and waiting at the sender; goes to the pool's soft owner.
    Demand(u32),
    /// The receiver's part of the pool, in thousandths.
    Grant(u32),
}

#[derive(Clone, Debug)]
struct Demand {
    from: Arc<str>,
    calls: u32,
    heard: Millis,
    granted: u32,
    granted_at: Option<Millis>,
}

/// The part of one pool that an instance may use.
#[derive(Clone, Debug)]
pub struct Share {
    settings: Settings,
    me: Arc<str>,
    peers: Vec<Arc<str>>,
    /// Rank of the pool, which says who of the peers owns it.
    rank: usize,
    demands: Vec<Demand>,
    grant: Option<(Millis, u32)>,
    sent: Option<(Millis, u32)>,
    learned: f64,
}

impl Share {
    /// Makes a share for an instance that knows of no peer.
    #[must_use]
    pub fn new(me: &str, settings: Settings) -> Self {
        Self {
            settings,
            me: Arc::from(me),
            peers: vec![Arc::from(me)],
            rank: 0,
            demands: Vec::new(),
            grant: None,
            sent: None,
            learned: LEARNED_START,
        }
    }

    /// Sets the live instances, with or without this one.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.peers = names.map(Arc::from).collect();
        self.peers.push(Arc::clone(&self.me));
        self.peers.sort();
        self.peers.dedup();
        let peers = &self.peers;
        self.demands
            .retain(|d| peers.binary_search(&d.from).is_ok());
    }

    /// Sets the rank of the pool among all pools; pools of different rank have different owners,
    /// as long as there are enough peers.
    pub const fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    fn owner(&self) -> &str {
        &self.peers[self.rank % self.peers.len()]
    }

    /// Calls that this instance may have in flight, of `slots` in the pool.
    #[must_use]
    pub fn limit(&self, now: Millis, slots: u32) -> u32 {
        let slots = f64::from(slots) * self.settings.fill;
        let limit = match self.settings.mode {
            Mode::Unlimited => return u32::MAX,
            Mode::Learned => self.learned,
            Mode::Even => slots / self.peers.len() as f64,
            Mode::Demand => slots * self.fraction(now),
        };
        (limit.floor() as u32).max(1)
    }

    /// Calls that protected requests may bring it to.
    #[must_use]
    pub fn protected_limit(&self, now: Millis, slots: u32) -> u32 {
        let limit = self.limit(now, slots);
        let more = (f64::from(limit) * self.settings.overdraw).ceil() as u32;
        limit.saturating_add(more).saturating_add(1)
    }

    /// The part of the pool that this instance may use.
    #[must_use]
    pub fn fraction(&self, now: Millis) -> f64 {
        let even = 1.0 / self.peers.len() as f64;
        match self.grant {
            Some((at, per_mille)) if now.since(at) < GRANT_LIFE_MS => {
                f64::from(per_mille) / PER_MILLE
            }
            _ => even,
        }
    }

    /// Does the periodic work and returns the messages to send.
    pub fn tick(&mut self, now: Millis, calls: u32) -> Vec<(Arc<str>, Message)> {
        let mut out = Vec::new();
        if self.settings.mode != Mode::Demand || self.peers.len() < 2 {
            return out;
        }
        if *self.owner() == *self.me {
            self.hear(now, &Arc::clone(&self.me), calls);
            self.grant_all(now, &mut out);
        } else if self.is_worth_sending(now, calls) {
            self.sent = Some((now, calls));
            out.push((Arc::from(self.owner()), Message::Demand(calls)));
        }
        out
    }

    fn is_worth_sending(&self, now: Millis, calls: u32) -> bool {
        self.sent
            .is_none_or(|(at, last)| is_due(now, at, last, calls))
    }

    fn hear(&mut self, now: Millis, from: &Arc<str>, calls: u32) {
        match self.demands.binary_search_by(|d| d.from.cmp(from)) {
            Ok(at) => {
                self.demands[at].calls = calls;
                self.demands[at].heard = now;
            }
            Err(at) => self.demands.insert(
                at,
                Demand {
                    from: Arc::clone(from),
                    calls,
                    heard: now,
                    granted: 0,
                    granted_at: None,
                },
            ),
        }
    }

    /// Grants each instance that was heard of its part; the others keep an even one.
    fn grant_all(&mut self, now: Millis, out: &mut Vec<(Arc<str>, Message)>) {
        self.demands.retain(|d| now.since(d.heard) < DEMAND_LIFE_MS);
        let even = 1.0 / self.peers.len() as f64;
        let unheard = self.peers.len().saturating_sub(self.demands.len()) as f64;
        let to_split = 1.0 - unheard * even;
        let total: f64 = self.demands.iter().map(|d| f64::from(d.calls)).sum();
        let heard = self.demands.len() as f64;
        for d in &mut self.demands {
            let by_demand = if total > 0.0 {
                f64::from(d.calls) / total
            } else {
                1.0 / heard
            };
            let part = to_split * (BASE / heard + (1.0 - BASE) * by_demand);
            let per_mille = (part * PER_MILLE).round() as u32;
            let granted = d.granted;
            if d.granted_at
                .is_some_and(|at| !is_due(now, at, granted, per_mille))
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

    /// Takes a message of another instance.
    pub fn on_message(&mut self, now: Millis, from: &str, message: Message) {
        match message {
            Message::Demand(calls) => {
                let known = self.peers.binary_search_by(|p| (**p).cmp(from)).is_ok();
                if known && *self.owner() == *self.me {
                    self.hear(now, &Arc::from(from), calls);
                }
            }
            Message::Grant(per_mille) => {
                if self.owner() == from {
                    self.grant = Some((now, per_mille.min(PER_MILLE as u32)));
                }
            }
        }
    }

    /// Learns from a first token that came within its target or not.
    pub fn on_first_token(&mut self, in_time: bool) {
        if in_time {
            self.learned += 1.0 / self.learned;
        } else {
            self.learned = (self.learned * 0.9).max(1.0);
        }
    }
}

/// Whether a number that was last sent at `at` is sent again.
fn is_due(now: Millis, at: Millis, old: u32, new: u32) -> bool {
    let age_ms = now.since(at);
    age_ms >= REFRESH_MS || (age_ms >= PACE_MS && differs(old, new))
}

fn differs(old: u32, new: u32) -> bool {
    let change = f64::from(old.abs_diff(new));
    change > f64::from(old.max(2)) * WORTH_SENDING
}
