//! All upstreams and what is in flight at them.

use super::{
    choose::{
        Part,
        Pick, //
    },
    upstream::{
        End,
        Listed,
        Load,
        Upstream, //
    },
};
use crate::{
    Millis,
    membership::State,
    mesh::Loads,
    order, //
};
use std::sync::Arc;

/// Settings of a [`Fleet`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The data centre of this instance.
    pub data_centre: Arc<str>,
    /// Tokens of a prompt that an engine reads in a ms.
    pub tokens_per_ms: f64,
    /// Cost of a call that takes all slots of an upstream, in ms.
    pub call_ms: f64,
    /// Weight of shared tokens that are read again, relative to the time this takes.
    pub reread_weight: f64,
    /// Wait for each call that is queued beyond the slots, if there were one slot, in ms.
    pub queued_ms: f64,
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
            tokens_per_ms: 50.0,
            call_ms: 100.0,
            queued_ms: 1_000.0,
            min_ranks: 2,
            bound_factor: 1.3,
            free_ms: 150.0,
            reread_weight: 3.0,
            far_ms: 3.0,
            failures_to_eject: 3,
            max_ejected: 0.5,
        }
    }
}

/// A call in flight.
#[derive(Clone, Debug)]
pub struct Ticket {
    name: Arc<str>,
    incarnation: u64,
    tokens_to_read: u32,
    has_begun: bool,
}

/// Upstreams of all services, sorted by name.
#[derive(Clone, Debug)]
pub struct Fleet {
    settings: Settings,
    sorted: Vec<Upstream>,
    seed: u64,
}

impl Fleet {
    /// Makes an empty fleet.
    #[must_use]
    pub const fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            sorted: Vec::new(),
            seed,
        }
    }

    pub(super) const fn settings(&self) -> &Settings {
        &self.settings
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
        let mut loads = Loads::default();
        for upstream in &self.sorted {
            let load = upstream.load;
            loads.add(upstream.hash, load.calls, load.tokens_to_read);
        }
        loads
    }

    /// Takes what the other instances have in flight.
    pub fn set_remote(&mut self, loads: &Loads) {
        for upstream in &mut self.sorted {
            let (calls, tokens_to_read) = loads.get(upstream.hash);
            upstream.remote = Load {
                calls,
                tokens_to_read,
            };
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

    /// Counts a call that is sent to a chosen upstream.
    pub fn on_send(&mut self, now: Millis, pick: &Pick, parts: &[Part]) -> Ticket {
        if let Some(upstream) = self.find_incarnation(&pick.name, pick.incarnation) {
            upstream.load.calls += 1;
            upstream.load.tokens_to_read += u64::from(pick.tokens_to_read);
            upstream.health.on_send();
            for part in parts {
                upstream.cached.insert(now, part.id);
            }
        }
        Ticket {
            name: Arc::clone(&pick.name),
            incarnation: pick.incarnation,
            tokens_to_read: pick.tokens_to_read,
            has_begun: false,
        }
    }

    /// Takes note that a call has shown its first event, so its prompt is read.
    pub fn on_first(&mut self, ticket: &mut Ticket) {
        if ticket.has_begun {
            return;
        }
        ticket.has_begun = true;
        let tokens = u64::from(ticket.tokens_to_read);
        if let Some(upstream) = self.find_incarnation(&ticket.name, ticket.incarnation) {
            let left = upstream.load.tokens_to_read.saturating_sub(tokens);
            upstream.load.tokens_to_read = left;
        }
    }

    /// Takes note that a call has ended.
    pub fn on_end(&mut self, now: Millis, mut ticket: Ticket, end: End) {
        self.on_first(&mut ticket);
        let may_eject = self.may_eject(&ticket.name);
        let limit = self.settings.failures_to_eject;
        let Some(upstream) = self.find_incarnation(&ticket.name, ticket.incarnation) else {
            return;
        };
        upstream.load.calls = upstream.load.calls.saturating_sub(1);
        match end {
            End::Good => {
                upstream.failures_in_a_row = 0;
                upstream.health.on_success(upstream.listed.slots);
            }
            End::Refused | End::Neutral => upstream.health.on_neutral(now),
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
