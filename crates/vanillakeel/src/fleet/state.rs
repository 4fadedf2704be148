//! The known upstreams and the load on them.

use super::{
    absent::{
        Absent,
        AbsentUpstreams, //
    },
    limited::RoomSought,
    notices::{
        CacheNotice,
        RecentNotices, //
    },
    refused::RefusedRequests,
    request::Pick,
    service_speeds::ServiceSpeeds,
    shares::WorkspaceShares,
    targets::RecentTargets,
    upstream::{
        ListedUpstream,
        RANK_COUNT,
        RankLoad,
        Upstream, //
    },
};
use crate::{
    Millis,
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
    /// Data centre of this instance.
    pub data_centre: Arc<str>,
    /// Initial estimate of the prefill time per token, in ms, before it is learnt from calls.
    pub prefill_ms_per_token: f64,
    /// Cost of an upstream with all slots occupied, in ms; each call in flight adds the share of one
    /// slot.
    pub occupancy_cost_ms: f64,
    /// Weight of the time for computing shared tokens again, relative to a wait of the same length.
    pub recompute_weight: f64,
    /// Fewest tokens that are fetched from the cache of another upstream instead of computed again.
    pub min_fetched_tokens: u32,
    /// Weight of a token that is fetched, relative to one that is computed again.
    pub fetch_weight: f64,
    /// Longest prompt that counts as short, in tokens; such a prompt hardly delays the tokens of
    /// others.
    pub short_prompt_max_tokens: u32,
    /// Share of their slots that short-prompt calls should occupy at the upstreams reserved for
    /// them.
    pub short_prompt_occupancy: f64,
    /// The same share while long prompts need more than the other upstreams.
    pub max_short_prompt_occupancy: f64,
    /// Mean time of the queued prefill at an upstream above which long prompts need more of them, in
    /// ms.
    pub queued_prefill_ms: f64,
    /// Longest wait for which a request is admitted, in multiples of its own target.
    pub own_target_factor: f64,
    /// Longest wait for which a request with a long prompt is admitted, in multiples of the
    /// tightest target of recent long prompts that are at least as urgent, if that is tighter than
    /// its own.
    pub urgent_target_factor: f64,
    /// Shortest time after which a refused caller may retry, in ms.
    pub min_retry_after_ms: u64,
    /// Shortest segment that is announced to other instances when an upstream computes it, in
    /// tokens.
    pub announced_min_tokens: u32,
    /// Largest share of a service's upstreams that is reserved for short prompts.
    pub max_short_prompt_share: f64,
    /// Fewest upstreams that are compared, even if the first one is free.
    pub min_candidates: usize,
    /// An upstream whose wait is at most this multiple of the mean wait counts as free.
    pub free_wait_factor: f64,
    /// An upstream whose wait is at most this long always counts as free, in ms.
    pub free_wait_ms: f64,
    /// Extra cost of an upstream in another data centre, in ms.
    pub cross_data_centre_cost_ms: f64,
    /// Consecutive failures after which an upstream is ejected.
    pub failures_to_eject: u32,
    /// Largest share of a service's upstreams that may be ejected at once.
    pub max_ejected_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            data_centre: Arc::from(""),
            prefill_ms_per_token: 0.02,
            occupancy_cost_ms: 100.0,
            min_fetched_tokens: 64,
            fetch_weight: 0.25,
            short_prompt_max_tokens: 4_096,
            short_prompt_occupancy: 0.5,
            max_short_prompt_occupancy: 0.8,
            queued_prefill_ms: 200.0,
            own_target_factor: 2.0,
            announced_min_tokens: 64,
            urgent_target_factor: 1.0,
            min_retry_after_ms: 1_000,
            max_short_prompt_share: 0.6,
            min_candidates: 2,
            free_wait_factor: 1.3,
            free_wait_ms: 150.0,
            recompute_weight: 5.0,
            cross_data_centre_cost_ms: 3.0,
            failures_to_eject: 3,
            max_ejected_share: 0.5,
        }
    }
}

/// The upstreams of all services, with load, health and cached prompts.
#[derive(Clone, Debug)]
pub struct Fleet {
    settings: Settings,
    /// Sorted by name.
    upstreams: Vec<Upstream>,
    seed: u64,
    pub(super) short_prompt_calls: u32,
    remote_short_prompt_calls: u32,
    /// Number of live instances per instance whose load is known.
    extrapolation_factor: f64,
    /// Learnt prefill time per token, in ms.
    pub(super) prefill_ms_per_token: f64,
    targets: RecentTargets,
    pub(super) cache_notices: RecentNotices,
    /// Recent requests that found no room under rate limits, sorted by service.
    room_sought: Vec<RoomSought>,
    absent: AbsentUpstreams,
    refused: RefusedRequests,
    shares: WorkspaceShares,
    pub(super) service_speeds: ServiceSpeeds,
}

impl Fleet {
    /// Creates an empty fleet; `seed` starts its pseudorandom sequence.
    #[must_use]
    pub const fn new(settings: Settings, seed: u64) -> Self {
        Self {
            prefill_ms_per_token: settings.prefill_ms_per_token,
            settings,
            upstreams: Vec::new(),
            seed,
            short_prompt_calls: 0,
            remote_short_prompt_calls: 0,
            extrapolation_factor: 1.0,
            targets: RecentTargets::EMPTY,
            cache_notices: RecentNotices::new(),
            room_sought: Vec::new(),
            absent: AbsentUpstreams::NONE,
            refused: RefusedRequests::NONE,
            shares: WorkspaceShares::NONE,
            service_speeds: ServiceSpeeds::new(),
        }
    }

    pub(super) const fn refused(&self) -> &RefusedRequests {
        &self.refused
    }

    pub(super) const fn shares(&self) -> &WorkspaceShares {
        &self.shares
    }

    pub(super) const fn shares_mut(&mut self) -> &mut WorkspaceShares {
        &mut self.shares
    }

    pub(super) const fn refused_mut(&mut self) -> &mut RefusedRequests {
        &mut self.refused
    }

    pub(super) const fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) const fn targets(&self) -> &RecentTargets {
        &self.targets
    }

    pub(super) const fn targets_mut(&mut self) -> &mut RecentTargets {
        &mut self.targets
    }

    pub(super) fn room_sought(&self) -> &[RoomSought] {
        &self.room_sought
    }

    pub(super) const fn room_sought_mut(&mut self) -> &mut Vec<RoomSought> {
        &mut self.room_sought
    }

    pub(super) fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.iter_mut()
    }

    pub(super) fn at(&self, at: usize) -> &Upstream {
        &self.upstreams[at]
    }

    pub(super) fn at_mut(&mut self, at: usize) -> &mut Upstream {
        &mut self.upstreams[at]
    }

    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams
            .iter()
            .filter(move |u| *u.listed.service == *service)
    }

    /// Returns the next number of an evenly distributed pseudorandom sequence.
    pub fn next_random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(1);
        order::hash_bytes(&self.seed.to_le_bytes())
    }

    pub(super) fn find(&self, name: &str) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|u| (*u.listed.name).cmp(name))
    }

    pub(super) fn named(&self, name: &str) -> Option<&Upstream> {
        self.find(name).ok().map(|at| &self.upstreams[at])
    }

    pub(super) fn find_hash(&mut self, hash: u32) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| u.hash == hash)
    }

    pub(super) fn find_incarnation(
        &mut self,
        name: &str,
        incarnation: u64,
    ) -> Option<&mut Upstream> {
        let at = self.find(name).ok()?;
        let upstream = &mut self.upstreams[at];
        (upstream.listed.incarnation == incarnation).then_some(upstream)
    }

    /// Updates an upstream from a discovery record; returns whether the view has changed.
    ///
    /// A new incarnation starts without load, cache and history. Within one incarnation, leaving is
    /// final, even if an older record arrives later.
    pub fn on_listed(&mut self, listed: &ListedUpstream) -> bool {
        let at = match self.find(&listed.name) {
            Err(at) => {
                let mut upstream = self.new_upstream(listed);
                self.absent.restore(&mut upstream);
                self.upstreams.insert(at, upstream);
                return true;
            }
            Ok(at) => at,
        };
        let known_incarnation = self.upstreams[at].listed.incarnation;
        if listed.incarnation < known_incarnation {
            return false;
        }
        if listed.incarnation > known_incarnation {
            self.upstreams[at] = self.new_upstream(listed);
            return true;
        }
        let known = &mut self.upstreams[at];
        let state = known.listed.state.max(listed.state);
        let next = ListedUpstream {
            state,
            software: listed.software.clone().or(known.listed.software.clone()),
            ..listed.clone()
        };
        if known.listed == next {
            return false;
        }
        known.listed = next;
        true
    }

    /// Creates the state of an upstream without history; its calls are taken to last as long as those of its
    /// service.
    fn new_upstream(&self, listed: &ListedUpstream) -> Upstream {
        let mut upstream = Upstream::new(listed);
        if let Some(ms) = self.service_speeds.mean_call_ms(&listed.service) {
            upstream.mean_call_ms = ms;
        }
        upstream
    }

    /// Removes an upstream that discovery no longer lists; returns whether it was known.
    ///
    /// What it has said of itself is remembered in case it is listed again.
    pub fn on_removed(&mut self, now: Millis, name: &str) -> bool {
        let at = self.find(name);
        if let Ok(at) = at {
            let upstream = self.upstreams.remove(at);
            self.absent.on_removed(now, upstream);
        }
        at.is_ok()
    }

    /// Returns an incarnation that has been removed a short time ago.
    pub(super) fn find_absent(&mut self, pick: &Pick) -> Option<&mut Absent> {
        self.absent.find(&pick.name, pick.incarnation)
    }

    /// Returns all upstreams in ascending order of name.
    pub fn iter(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.iter().map(|u| &u.listed)
    }

    /// Returns the load that this instance has in flight.
    #[must_use]
    pub fn loads(&self) -> Loads {
        let mut loads = Loads::with_short_prompt_calls(self.short_prompt_calls);
        for upstream in &self.upstreams {
            for rank in 0..RANK_COUNT {
                loads.add(Load {
                    upstream: upstream.hash,
                    rank: rank as u8,
                    calls: upstream.load.calls[rank],
                    prefill_tokens: upstream.load.prefill_tokens[rank],
                });
            }
        }
        loads
    }

    /// Replaces the load that the other instances have in flight.
    pub fn set_remote(&mut self, loads: &Loads) {
        self.remote_short_prompt_calls = loads.short_prompt_calls;
        self.refused.set_remote(loads);
        self.shares.set_remote(loads);
        for upstream in &mut self.upstreams {
            upstream.remote = RankLoad::default();
            for load in loads.of(upstream.hash) {
                let rank = usize::from(load.rank).min(RANK_COUNT - 1);
                upstream.remote.calls[rank] += load.calls;
                upstream.remote.prefill_tokens[rank] += load.prefill_tokens;
            }
            upstream.record_queue();
        }
    }

    /// Returns a digest of the upstreams that are listed as accepting new work, by which instances detect that
    /// their views of the list differ.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.upstreams
            .iter()
            .filter(|u| u.is_listed_live())
            .map(|u| {
                let incarnation = order::hash_bytes(&u.listed.incarnation.to_le_bytes());
                (incarnation | 1).wrapping_mul(u64::from(u.hash))
            })
            .fold(0, u64::wrapping_add)
    }

    /// Returns whether this incarnation of `name` is known and accepts new work.
    #[must_use]
    pub fn is_live(&self, name: &str, incarnation: u64) -> bool {
        self.find(name).is_ok_and(|at| {
            let upstream = &self.upstreams[at];
            upstream.is_live() && upstream.listed.incarnation == incarnation
        })
    }

    /// Returns whether an upstream of a service accepts new work and runs a version of the software.
    #[must_use]
    pub fn serves_software(&self, service: &str, software: &str) -> bool {
        self.of_service(service)
            .any(|u| u.is_live() && u.listed.software.as_deref() == Some(software))
    }

    /// Returns the short-prompt calls in flight, extrapolated to instances that do not report.
    pub(super) fn total_short_prompt_calls(&self) -> f64 {
        f64::from(self.short_prompt_calls + self.remote_short_prompt_calls)
            * self.extrapolation_factor
    }

    pub(super) const fn extrapolation_factor(&self) -> f64 {
        self.extrapolation_factor
    }

    /// Sets the factor for extrapolating the load: the number of live instances per
    /// instance whose load is known.
    pub const fn set_extrapolation_factor(&mut self, factor: f64) {
        self.extrapolation_factor = factor;
    }

    /// Returns the recent cache notices, for other instances.
    pub fn cache_notices(&self, now: Millis) -> impl Iterator<Item = &CacheNotice> {
        self.cache_notices.iter(now)
    }

    /// Applies a cache notice of another instance; a new one is passed on.
    pub fn on_cache_notice(&mut self, now: Millis, segment: u64, upstream: u32) {
        let known = self.find_hash(upstream);
        let is_new = known.is_some_and(|u| u.cached.on_computed(now, segment));
        if is_new {
            self.cache_notices.record(now, segment, upstream);
        }
    }

    pub(super) const fn prefill_ms_per_token(&self) -> f64 {
        self.prefill_ms_per_token
    }
}
