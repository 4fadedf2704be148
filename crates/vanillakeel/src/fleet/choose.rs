//! The choice of an upstream for one request.
//!
//! All instances rank the upstreams of a service in the same order for a subject, by rendezvous
//! hashing, so the first rank is the subject's home and has its prompt cached. A request goes down
//! the ranks until an upstream is free compared with the others, and takes the cheapest on the way:
//! the wait there and the shared tokens to be read again. A hot subject so spreads over its first
//! few ranks, and different subjects spill to different upstreams although all instances see the
//! same old load.

use super::{
    state::Fleet,
    upstream::{
        RANKS,
        Upstream, //
    },
};
use crate::{
    Millis,
    order, //
};
use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::Arc, //
};

/// Factor between two sizes of the group for light calls.
const LIGHT_STEP: f64 = 1.35;

/// Fewest upstreams of a service that are divided into groups.
const MIN_TO_DIVIDE: usize = 3;

/// Rank of an upstream that is not taken to hold a subject.
const NOT_HOME: usize = usize::MAX;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part together with what comes before it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// Parts of the prompt in order; the last one belongs to the request alone.
    pub parts: &'a [Part],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Rank of the request, zero is the most urgent.
    pub priority: u8,
    /// Time to the first event that is in time, in ms.
    pub target_ms: u64,
    /// Upstreams that were tried already.
    pub tried: &'a [Arc<str>],
}

impl Ask<'_> {
    /// The parts that other requests have too.
    pub(super) fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    pub(super) fn rank(&self) -> usize {
        usize::from(self.priority).min(RANKS - 1)
    }

    /// What identifies the subject of the request, zero if it shares nothing.
    fn subject(&self) -> u64 {
        self.shared().last().map_or(0, |p| p.id)
    }
}

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Its name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tokens that it probably has to read.
    pub tokens_to_read: u32,
    /// Tokens of other prompts that are to be read there first.
    pub tokens_ahead: u64,
    /// Expected wait there until the prompt is read, in ms.
    pub wait_ms: u64,
}

/// An upstream that is considered, with what it would cost.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Expected wait until the prompt is read, in ms.
    wait_ms: f64,
    /// Tokens of other prompts that are read first.
    tokens_ahead: u64,
    /// Tokens that have to be read.
    to_read: u32,
    cost: f64,
}

impl Candidate<'_> {
    fn pick(&self) -> Pick {
        let listed = &self.upstream.listed;
        Pick {
            name: Arc::clone(&listed.name),
            incarnation: listed.incarnation,
            address: listed.address,
            tokens_to_read: self.to_read,
            tokens_ahead: self.tokens_ahead,
            wait_ms: self.wait_ms as u64,
        }
    }
}

impl Fleet {
    /// The upstream that takes a call now with the least cost.
    #[must_use]
    pub fn choose(&mut self, now: Millis, ask: &Ask<'_>) -> Option<Pick> {
        let jitter = self.roll();
        let group = self.group(now, ask);
        let ranked = Self::ranked(ask, &group, jitter);
        let bound = self.bound_ms(ask, &group);
        self.walk(ask, &ranked, bound).map(|best| best.pick())
    }

    /// The upstream with the shortest wait, whatever it has to read.
    pub(super) fn shortest(&self, now: Millis, ask: &Ask<'_>) -> Option<Pick> {
        let group = self.group(now, ask);
        let candidates = group.iter().map(|u| self.candidate(ask, u, NOT_HOME));
        candidates
            .min_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms))
            .map(|best| best.pick())
    }

    /// Whether a request has a short prompt.
    pub(super) fn is_light(&self, ask: &Ask<'_>) -> bool {
        ask.prompt_tokens > 0 && ask.prompt_tokens <= self.settings().light_tokens
    }

    /// Upstreams that may take a call of this kind.
    ///
    /// While a long prompt is read, each token of the calls beside it takes as long as a chunk of
    /// that prompt. So some upstreams are set apart for light calls, as many as these fill to a
    /// part of their slots; if none of a group can be used, the others can.
    fn group(&self, now: Millis, ask: &Ask<'_>) -> Vec<&Upstream> {
        let usable = |u: &&Upstream| {
            let has_room = u.load.total_calls() < u.health.max_in_flight(now);
            u.is_live() && has_room && !ask.tried.contains(&u.listed.name)
        };
        let all: Vec<_> = self
            .of_service(ask.service)
            .filter(|u| u.is_live())
            .collect();
        let light = self.light_count(ask, &all);
        if light == 0 {
            return all.into_iter().filter(usable).collect();
        }
        let mut order = all;
        order.sort_unstable_by_key(|u| u.hash);
        let (light_group, heavy_group) = order.split_at(light);
        let (own, other) = if self.is_light(ask) {
            (light_group, heavy_group)
        } else {
            (heavy_group, light_group)
        };
        let own: Vec<_> = own.iter().copied().filter(usable).collect();
        if own.is_empty() {
            return other.iter().copied().filter(usable).collect();
        }
        own
    }

    /// How many upstreams are set apart for light calls.
    fn light_count(&self, ask: &Ask<'_>, all: &[&Upstream]) -> usize {
        let cfg = self.settings();
        let light_calls = self.all_light_calls();
        if ask.prompt_tokens == 0 || light_calls == 0.0 || all.len() < MIN_TO_DIVIDE {
            return 0;
        }
        let slots = all.iter().map(|u| f64::from(u.listed.slots)).sum::<f64>() / all.len() as f64;
        let wanted = light_calls / (slots * cfg.light_occupancy).max(1.0);
        // Steps keep the groups of all instances alike although their views differ a little.
        let step = (wanted.max(1.0).ln() / LIGHT_STEP.ln()).ceil();
        let most = all.len() as f64 * cfg.max_light_part;
        LIGHT_STEP.powf(step).ceil().clamp(1.0, most.max(1.0)) as usize
    }

    /// A group in the order of rendezvous hashing for the subject, which is the same at all
    /// instances, or in an order of chance for a request without one.
    fn ranked<'a>(ask: &Ask<'_>, group: &[&'a Upstream], jitter: u64) -> Vec<&'a Upstream> {
        let subject = ask.subject();
        let chore = if subject == 0 { jitter } else { subject };
        let mut ranked = group.to_vec();
        ranked.sort_by_cached_key(|u| Reverse(rank_weight(chore, u.hash)));
        ranked
    }

    /// Wait up to which an upstream counts as free, relative to the others of its group.
    fn bound_ms(&self, ask: &Ask<'_>, group: &[&Upstream]) -> f64 {
        let cfg = self.settings();
        let total: f64 = group.iter().map(|u| self.wait_ms(ask, u)).sum();
        let mean = total / group.len().max(1) as f64;
        (mean * cfg.bound_factor).max(cfg.free_ms)
    }

    /// Walks down the ranks until one is free, and takes the one with the least cost so far.
    fn walk<'a>(
        &self,
        ask: &Ask<'_>,
        ranked: &[&'a Upstream],
        bound: f64,
    ) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate<'a>> = None;
        for (rank, upstream) in ranked.iter().enumerate() {
            let candidate = self.candidate(ask, upstream, rank);
            let is_free = candidate.wait_ms <= bound;
            if best.as_ref().is_none_or(|b| candidate.cost < b.cost) {
                best = Some(candidate);
            }
            if is_free && rank + 1 >= self.settings().min_ranks {
                break;
            }
        }
        best
    }

    fn candidate<'a>(&self, ask: &Ask<'_>, upstream: &'a Upstream, rank: usize) -> Candidate<'a> {
        let cfg = self.settings();
        let to_read = self.to_read(ask, upstream, rank);
        let own = ask.parts.last().map_or(0, |p| p.tokens);
        let again = f64::from(to_read.saturating_sub(own));
        let is_far = upstream.listed.data_centre != cfg.data_centre;
        let wait_ms = self.wait_ms(ask, upstream);
        Candidate {
            upstream,
            wait_ms,
            tokens_ahead: upstream.tokens_up_to(ask.rank()),
            to_read,
            cost: wait_ms
                + again * self.read_ms_per_token() * cfg.reread_weight
                + if is_far { cfg.far_ms } else { 0.0 },
        }
    }

    /// Tokens of the prompt that an upstream has not cached; the first rank counts as home.
    fn to_read(&self, ask: &Ask<'_>, upstream: &Upstream, rank: usize) -> u32 {
        let shared = ask.shared();
        let is_home = rank == 0 && ask.tried.is_empty();
        let cached: u32 = shared
            .iter()
            .take_while(|p| is_home || upstream.cached.contains(p.id))
            .map(|p| p.tokens)
            .sum();
        ask.prompt_tokens.saturating_sub(cached)
    }

    /// Expected wait at an upstream until a new prompt is read, in ms: prompts that are as
    /// urgent are read first, and a slot has to be free of requests as urgent.
    fn wait_ms(&self, ask: &Ask<'_>, upstream: &Upstream) -> f64 {
        let cfg = self.settings();
        let calls = f64::from(upstream.calls_up_to(ask.rank()));
        let slots = f64::from(upstream.listed.slots.max(1));
        let queued = (calls + 1.0 - slots).max(0.0);
        upstream.tokens_up_to(ask.rank()) as f64 * self.read_ms_per_token()
            + calls * cfg.call_ms / slots
            + queued * upstream.call_ms / slots
    }
}

/// Rendezvous weight of an upstream for a subject.
fn rank_weight(subject: u64, upstream: u32) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&subject.to_le_bytes());
    bytes[8..].copy_from_slice(&upstream.to_le_bytes());
    order::hash_bytes(&bytes)
}
