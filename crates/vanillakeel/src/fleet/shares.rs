//! Shares of workspaces while a service has too little room.
//!
//! Each instance remembers how much prefill it has sent for each workspace lately, by service and rank. While
//! requests of a service are refused for overload, instances tell each other these amounts. A workspace that has got
//! more than the mean of those that compete with it within a rank is then admitted to shorter queues only, in
//! proportion to what it has got beyond the mean: the least served ones go first, and one that sends many times its
//! usual takes what the others leave.
//!
//! - Without refusals nobody is held back, and a queue that is shorter than the lowered limit holds nobody back either.
//! - Rank goes before shares: a workspace is held back only while no less urgent requests arrive, since these are
//!   refused first.

use super::{
    request::RequestInfo,
    state::Fleet,
    upstream::RANK_COUNT, //
};
use crate::{
    Millis,
    mesh::{
        Loads,
        ServedWorkspace, //
    },
    order,
};

/// Time in which a remembered amount falls to 1/e, in ms.
const MEMORY_MS: f64 = 5_000.0;

/// Time after the last refusal for which a service counts as having too little room, in ms.
const PRESSED_MS: u64 = 3_000;

/// Amount below which a workspace is forgotten, in tokens.
const MIN_TOKENS: f64 = 64.0;

/// Most workspaces, services and ranks together that are remembered.
const MAX_SERVED: usize = 1_024;

/// Most workspaces of a service and rank of which others are told, those that have got most.
const MAX_TOLD: usize = 32;

/// Share above the mean that counts as equal.
const TOLERANCE: f64 = 0.25;

/// Smallest part of the limit that a workspace keeps.
const MIN_LIMIT_SHARE: f64 = 0.5;

/// What a workspace has got of a service at a rank.
#[derive(Clone, Copy, Debug)]
struct Served {
    key: Key,
    tokens: f64,
    updated: Millis,
}

/// Hash of the name of a service, a rank, and the hash of the name of a workspace.
type Key = (u32, u8, u32);

impl Served {
    fn tokens_at(&self, now: Millis) -> f64 {
        self.tokens * (-(now.since(self.updated) as f64) / MEMORY_MS).exp()
    }
}

/// What workspaces have got lately, from this instance and from others.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceShares {
    /// Sorted by key.
    own: Vec<Served>,
    /// Sorted by service, rank and workspace.
    remote: Vec<ServedWorkspace>,
    /// Hash of the name of each service that has refused requests, and the time of the last one, sorted.
    pressed: Vec<(u32, Millis)>,
}

fn hash(name: &str) -> u32 {
    order::hash(name) as u32
}

impl WorkspaceShares {
    pub(super) const NONE: Self = Self {
        own: Vec::new(),
        remote: Vec::new(),
        pressed: Vec::new(),
    };

    /// Returns whether a service has had too little room lately.
    fn is_pressed(&self, now: Millis, service: u32) -> bool {
        let found = self.pressed.binary_search_by_key(&service, |p| p.0);
        found.is_ok_and(|at| now.since(self.pressed[at].1) < PRESSED_MS)
    }

    pub(super) fn on_refused(&mut self, now: Millis, service: u32) {
        match self.pressed.binary_search_by_key(&service, |p| p.0) {
            Ok(at) => self.pressed[at].1 = now,
            Err(at) => self.pressed.insert(at, (service, now)),
        }
    }

    pub(super) fn set_remote(&mut self, loads: &Loads) {
        self.remote = loads.served().to_vec();
    }

    /// Records the prefill of a request that is sent.
    pub(super) fn record(&mut self, now: Millis, request: &RequestInfo<'_>, tokens: u32) {
        if request.workspace.is_empty() || tokens == 0 {
            return;
        }
        let key = key_of(request);
        let tokens = f64::from(tokens);
        match self.own.binary_search_by_key(&key, |s| s.key) {
            Ok(at) => {
                let served = &mut self.own[at];
                served.tokens = served.tokens_at(now) + tokens;
                served.updated = now;
            }
            Err(_) => {
                self.own.retain(|s| s.tokens_at(now) >= MIN_TOKENS);
                if self.own.len() >= MAX_SERVED {
                    return;
                }
                let at = self.own.partition_point(|s| s.key < key);
                let updated = now;
                self.own.insert(
                    at,
                    Served {
                        key,
                        tokens,
                        updated,
                    },
                );
            }
        }
    }

    /// Returns what this instance tells others of a service: of each rank the workspaces that have got most.
    fn told(&self, now: Millis, service: u32) -> Vec<ServedWorkspace> {
        let mut told = Vec::new();
        for rank in 0..RANK_COUNT as u8 {
            let start = self.own.partition_point(|s| s.key < (service, rank, 0));
            let of_rank = self.own[start..].iter();
            let mut of_rank: Vec<ServedWorkspace> = of_rank
                .take_while(|s| (s.key.0, s.key.1) == (service, rank))
                .map(|s| ServedWorkspace {
                    service,
                    rank,
                    workspace: s.key.2,
                    tokens: s.tokens_at(now) as u64,
                })
                .filter(|s| s.tokens as f64 >= MIN_TOKENS)
                .collect();
            of_rank.sort_unstable_by_key(|s| std::cmp::Reverse(s.tokens));
            told.extend(of_rank.into_iter().take(MAX_TOLD));
        }
        told
    }

    /// Returns what the workspace of a request has got, and the mean of all that have got anything at its rank.
    fn served_and_mean(&self, now: Millis, request: &RequestInfo<'_>) -> (f64, f64) {
        let (service, rank, workspace) = key_of(request);
        let own = self.own.iter().map(|s| (s.key, s.tokens_at(now)));
        let remote = self.remote.iter();
        let remote = remote.map(|s| ((s.service, s.rank, s.workspace), s.tokens as f64));
        let mut of_rank: Vec<(u32, f64)> = own
            .chain(remote)
            .filter(|((s, r, _), _)| (*s, *r) == (service, rank))
            .map(|((_, _, workspace), tokens)| (workspace, tokens))
            .collect();
        of_rank.sort_unstable_by_key(|(workspace, _)| *workspace);
        let names = of_rank.chunk_by(|a, b| a.0 == b.0);
        let sums: Vec<(u32, f64)> = names
            .map(|of_one| (of_one[0].0, of_one.iter().map(|(_, tokens)| tokens).sum()))
            .filter(|(_, tokens)| *tokens >= MIN_TOKENS)
            .collect();
        let total: f64 = sums.iter().map(|(_, tokens)| tokens).sum();
        let mean = total / sums.len().max(1) as f64;
        let own = sums.iter().find(|(name, _)| *name == workspace);
        (own.map_or(0.0, |(_, tokens)| *tokens), mean)
    }
}

fn key_of(request: &RequestInfo<'_>) -> Key {
    let rank = request.rank_index() as u8;
    (hash(request.service), rank, hash(request.workspace))
}

impl Fleet {
    /// Returns the part of the limit on its wait that a request keeps by the share of its workspace: one, or less while
    /// the service has too little room and the workspace has got more than others.
    pub(super) fn limit_share(&mut self, now: Millis, request: &RequestInfo<'_>) -> f64 {
        if request.workspace.is_empty() {
            return 1.0;
        }
        let service = hash(request.service);
        if self.refused_per_second(now, request.service) > 0 {
            self.shares_mut().on_refused(now, service);
        }
        let is_held_back = self.shares().is_pressed(now, service)
            && !self.targets().has_below(now, request.rank_index());
        if !is_held_back {
            return 1.0;
        }
        let (served, mean) = self.shares().served_and_mean(now, request);
        let most = mean * (1.0 + TOLERANCE);
        if served <= most {
            return 1.0;
        }
        (most / served).max(MIN_LIMIT_SHARE)
    }

    /// Adds what workspaces have got of the services that have too little room.
    pub(super) fn add_served(&self, now: Millis, loads: &mut Loads) {
        let shares = self.shares();
        for (service, _) in &shares.pressed {
            if shares.is_pressed(now, *service) {
                for served in shares.told(now, *service) {
                    loads.add_served(served);
                }
            }
        }
    }
}
