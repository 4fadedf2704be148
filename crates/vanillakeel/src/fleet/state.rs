//! All upstreams and what is in flight at them.

use super::{
    admit::Targets,
    choose::{
        Ask,
        Pick, //
    },
    upstream::{
        End,
        InFlight,
        Listed,
        RANKS,
        Upstream, //
    },
};
use crate::{
    Millis,
    membership::State,
    mesh::{
        Load,
        Loads, //
    },
    order, //
};
use std::sync::Arc;

/// Settings of a [`Fleet`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The data centre of this instance.
    pub data_centre: Arc<str>,
    /// Time that an engine takes to read a token before this was learnt, in ms.
    pub read_ms_per_token: f64,
    /// Cost of a call that takes all slots of an upstream, in ms.
    pub call_ms: f64,
    /// Weight of shared tokens that are read again, relative to the time this takes.
    pub reread_weight: f64,
    /// Prompts up to this length are light: they hardly delay the tokens of others.
    pub light_tokens: u32,
    /// Part of the slots that light calls take of the upstreams set apart for them.
    pub light_occupancy: f64,
    /// Queue that a request may join, in multiples of its own target.
    pub queue_targets: f64,
    /// Queue that a request may join, in multiples of the tightest target of more urgent ones.
    pub urgent_targets: f64,
    /// Shortest time after which a refused caller may come back, in ms.
    pub min_return_ms: u64,
    /// Parts from this length on are told to other instances when they are read.
    pub told_tokens: u32,
    /// Largest part of a service's upstreams that is set apart for light calls.
    pub max_light_part: f64,
    /// Ranks that are looked at in any case.
    pub min_ranks: usize,
    /// An upstream is free up to this multiple of the mean wait.
    pub bound_factor: f64,
    /// An upstream is free up to this wait in any case, in ms.
    pub free_ms: f64,
    /// Cost of an upstream in another data centre, in ms.
    pub far_ms: f64,
    /// Failures in a row after which an upstream is ejected.
    pub failures_to_eject: u32,
    /// Largest part of a service's upstreams that are ejected.
    pub max_ejected: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            data_centre: Arc::from(""),
            read_ms_per_token: 0.02,
            call_ms: 100.0,
            light_tokens: 4_096,
            light_occupancy: 0.5,
            queue_targets: 2.0,
            told_tokens: 512,
            urgent_targets: 1.0,
            min_return_ms: 1_000,
            max_light_part: 0.6,
            min_ranks: 2,
            bound_factor: 1.3,
            free_ms: 150.0,
            reread_weight: 5.0,
            far_ms: 3.0,
            failures_to_eject: 3,
            max_ejected: 0.5,
        }
    }
}

/// Fewest tokens from which the speed of reading is learnt.
const MIN_LEARNT_TOKENS: u64 = 2_000;

/// Largest factor between the first and the learnt speed of reading.
const MOST_LEARNT_FACTOR: f64 = 4.0;

/// Smoothing of the speed of reading, share of the newest.
const READING_SMOOTHING: f64 = 0.05;

/// A call in flight.
#[derive(Clone, Debug)]
pub struct Ticket {
    name: Arc<str>,
    incarnation: u64,
    tokens_to_read: u32,
    tokens_ahead: u64,
    rank: usize,
    is_light: bool,
    sent: Millis,
    has_begun: bool,
}

/// Upstreams of all services, sorted by name.
#[derive(Clone, Debug)]
pub struct Fleet {
    settings: Settings,
    sorted: Vec<Upstream>,
    seed: u64,
    light_calls: u32,
    remote_light_calls: u32,
    /// Instances for each one whose load is known.
    unheard_factor: f64,
    /// Learnt time to read a token, in ms.
    read_ms_per_token: f64,
    targets: Targets,
    /// Parts that were lately sent to be read, by this instance and those that told it.
    reads: Vec<Read>,
}

/// A shared part of a prompt that was sent to an upstream which did not hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    at: Millis,
    /// Identity of the part.
    pub part: u64,
    /// Hash of the upstream's name.
    pub upstream: u32,
}

/// Time for which a read is told to other instances, in ms; it covers lost datagrams.
const READ_TOLD_MS: u64 = 450;

impl Fleet {
    /// Makes an empty fleet.
    #[must_use]
    pub const fn new(settings: Settings, seed: u64) -> Self {
        Self {
            read_ms_per_token: settings.read_ms_per_token,
            settings,
            sorted: Vec::new(),
            seed,
            light_calls: 0,
            remote_light_calls: 0,
            unheard_factor: 1.0,
            targets: Targets::EMPTY,
            reads: Vec::new(),
        }
    }

    pub(super) const fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) const fn targets(&self) -> &Targets {
        &self.targets
    }

    pub(super) const fn targets_mut(&mut self) -> &mut Targets {
        &mut self.targets
    }

    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.sorted
            .iter()
            .filter(move |u| *u.listed.service == *service)
    }

    /// The next number of an evenly spread sequence.
    pub fn roll(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(1);
        order::hash_bytes(&self.seed.to_le_bytes())
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.sorted.binary_search_by(|u| (*u.listed.name).cmp(name))
    }

    fn find_incarnation(&mut self, name: &str, incarnation: u64) -> Option<&mut Upstream> {
        let at = self.find(name).ok()?;
        let upstream = &mut self.sorted[at];
        (upstream.listed.incarnation == incarnation).then_some(upstream)
    }

    /// Takes what discovery shows of one upstream; returns whether the view has changed.
    ///
    /// A new incarnation starts without load, cache and history. Within one incarnation leaving is
    /// for good, whatever an older record says.
    pub fn on_listed(&mut self, listed: &Listed) -> bool {
        let at = match self.find(&listed.name) {
            Err(at) => {
                self.sorted.insert(at, Upstream::new(listed));
                return true;
            }
            Ok(at) => at,
        };
        let known = &mut self.sorted[at];
        if listed.incarnation < known.listed.incarnation {
            return false;
        }
        if listed.incarnation > known.listed.incarnation {
            *known = Upstream::new(listed);
            return true;
        }
        let state = known.listed.state.max(listed.state);
        let next = Listed {
            state,
            ..listed.clone()
        };
        if known.listed == next {
            return false;
        }
        known.listed = next;
        true
    }

    /// Forgets an upstream that discovery no longer shows; returns whether it was known.
    pub fn on_removed(&mut self, name: &str) -> bool {
        let at = self.find(name);
        if let Ok(at) = at {
            self.sorted.remove(at);
        }
        at.is_ok()
    }

    /// Marks an incarnation as leaving, since it said so itself.
    pub fn on_leaving(&mut self, name: &str, incarnation: u64) {
        if let Some(upstream) = self.find_incarnation(name, incarnation) {
            upstream.listed.state = State::Leaving;
        }
    }

    /// All upstreams in ascending order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Listed> {
        self.sorted.iter().map(|u| &u.listed)
    }

    /// What this instance has in flight.
    #[must_use]
    pub fn loads(&self) -> Loads {
        let mut loads = Loads::with_light(self.light_calls);
        for upstream in &self.sorted {
            for rank in 0..RANKS {
                loads.add(Load {
                    upstream: upstream.hash,
                    rank: rank as u8,
                    calls: upstream.load.calls[rank],
                    tokens: upstream.load.tokens[rank],
                });
            }
        }
        loads
    }

    /// Takes what the other instances have in flight.
    pub fn set_remote(&mut self, loads: &Loads) {
        self.remote_light_calls = loads.light_calls;
        for upstream in &mut self.sorted {
            upstream.remote = InFlight::default();
            for load in loads.of(upstream.hash) {
                let rank = usize::from(load.rank).min(RANKS - 1);
                upstream.remote.calls[rank] += load.calls;
                upstream.remote.tokens[rank] += load.tokens;
            }
        }
    }

    /// Digest of the upstreams that take new work.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.sorted
            .iter()
            .filter(|u| u.is_live())
            .map(|u| {
                let incarnation = order::hash_bytes(&u.listed.incarnation.to_le_bytes());
                (incarnation | 1).wrapping_mul(u64::from(u.hash))
            })
            .fold(0, u64::wrapping_add)
    }

    /// Whether `name` is known, in this incarnation, and takes new work.
    #[must_use]
    pub fn is_live(&self, name: &str, incarnation: u64) -> bool {
        self.find(name).is_ok_and(|at| {
            let upstream = &self.sorted[at];
            upstream.is_live() && upstream.listed.incarnation == incarnation
        })
    }

    /// Calls with short prompts in flight, from unheard instances too.
    pub(super) fn all_light_calls(&self) -> f64 {
        f64::from(self.light_calls + self.remote_light_calls) * self.unheard_factor
    }

    /// Takes how many instances there are for each one whose load is known.
    pub const fn set_unheard_factor(&mut self, factor: f64) {
        self.unheard_factor = factor;
    }

    /// Counts a call that is sent to a chosen upstream.
    pub fn on_send(&mut self, now: Millis, pick: &Pick, ask: &Ask<'_>) -> Ticket {
        let rank = ask.rank();
        let is_light = self.is_light(ask);
        let cfg_tokens = self.settings.told_tokens;
        let mut reads = Vec::new();
        if let Some(upstream) = self.find_incarnation(&pick.name, pick.incarnation) {
            upstream.load.calls[rank] += 1;
            upstream.load.tokens[rank] += u64::from(pick.tokens_to_read);
            upstream.health.on_send();
            let hash = upstream.hash;
            for part in ask.shared() {
                let is_new = upstream.cached.insert(now, part.id);
                if is_new && part.tokens >= cfg_tokens {
                    reads.push((part.id, hash));
                }
            }
        }
        for (part, upstream) in reads {
            self.note_read(now, part, upstream);
        }
        if is_light {
            self.light_calls += 1;
        }
        Ticket {
            name: Arc::clone(&pick.name),
            incarnation: pick.incarnation,
            tokens_to_read: pick.tokens_to_read,
            tokens_ahead: pick.tokens_ahead,
            rank,
            is_light,
            sent: now,
            has_begun: false,
        }
    }

    fn note_read(&mut self, now: Millis, part: u64, upstream: u32) {
        self.reads.retain(|r| now.since(r.at) <= READ_TOLD_MS);
        let is_known = self
            .reads
            .iter()
            .any(|r| r.part == part && r.upstream == upstream);
        if !is_known {
            self.reads.push(Read {
                at: now,
                part,
                upstream,
            });
        }
    }

    /// Parts that were lately sent to be read, for other instances.
    pub fn reads(&self, now: Millis) -> impl Iterator<Item = &Read> {
        self.reads
            .iter()
            .filter(move |r| now.since(r.at) <= READ_TOLD_MS)
    }

    /// Takes note of a read that another instance has told; a new one is told on.
    pub fn on_read(&mut self, now: Millis, part: u64, upstream: u32) {
        let known = self.sorted.iter_mut().find(|u| u.hash == upstream);
        let is_new = known.is_some_and(|u| u.cached.insert(now, part));
        if is_new {
            self.note_read(now, part, upstream);
        }
    }

    pub(super) const fn read_ms_per_token(&self) -> f64 {
        self.read_ms_per_token
    }

    /// Learns from the time to a first event how fast prompts are read beside everything else.
    fn learn_reading(&mut self, now: Millis, ticket: &Ticket) {
        let tokens = ticket.tokens_ahead + u64::from(ticket.tokens_to_read);
        if tokens < MIN_LEARNT_TOKENS {
            return;
        }
        let seen = now.since(ticket.sent) as f64 / tokens as f64;
        let first = self.settings.read_ms_per_token;
        let seen = seen.clamp(first / MOST_LEARNT_FACTOR, first * MOST_LEARNT_FACTOR);
        self.read_ms_per_token += READING_SMOOTHING * (seen - self.read_ms_per_token);
    }

    /// Takes note that a call has shown its first event, so its prompt is read.
    pub fn on_first(&mut self, now: Millis, ticket: &mut Ticket) {
        if !ticket.has_begun {
            self.learn_reading(now, ticket);
        }
        self.on_read_ended(ticket);
    }

    fn on_read_ended(&mut self, ticket: &mut Ticket) {
        if ticket.has_begun {
            return;
        }
        ticket.has_begun = true;
        let tokens = u64::from(ticket.tokens_to_read);
        if let Some(upstream) = self.find_incarnation(&ticket.name, ticket.incarnation) {
            let left = &mut upstream.load.tokens[ticket.rank];
            *left = left.saturating_sub(tokens);
        }
    }

    /// Takes note that a call has ended.
    pub fn on_end(&mut self, now: Millis, mut ticket: Ticket, end: End) {
        self.on_read_ended(&mut ticket);
        if ticket.is_light {
            self.light_calls = self.light_calls.saturating_sub(1);
        }
        let may_eject = self.may_eject(&ticket.name);
        let limit = self.settings.failures_to_eject;
        let Some(upstream) = self.find_incarnation(&ticket.name, ticket.incarnation) else {
            return;
        };
        let calls = &mut upstream.load.calls[ticket.rank];
        *calls = calls.saturating_sub(1);
        match end {
            End::Good => {
                upstream.on_duration(now.since(ticket.sent));
                upstream.failures_in_a_row = 0;
                upstream.health.on_success(upstream.listed.slots);
            }
            End::Unreached if may_eject => upstream.health.eject(now),
            End::Refused | End::Neutral | End::Unreached => upstream.health.on_neutral(now),
            End::Failed => {
                upstream.failures_in_a_row += 1;
                let is_suspect = upstream.health.is_ejected();
                if is_suspect || (upstream.failures_in_a_row >= limit && may_eject) {
                    upstream.failures_in_a_row = 0;
                    upstream.health.eject(now);
                }
            }
        }
    }

    /// Whether one more upstream of the service of `name` may be ejected.
    fn may_eject(&self, name: &str) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let service = &self.sorted[at].listed.service;
        let total = self.of_service(service).count();
        let ejected = self
            .of_service(service)
            .filter(|u| u.health.is_ejected())
            .count();
        (ejected + 1) as f64 <= total as f64 * self.settings.max_ejected
    }
}
