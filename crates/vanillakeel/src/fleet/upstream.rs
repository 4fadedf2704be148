//! The state of one upstream at an instance.

use super::{
    cached::CachedSegments,
    request::RequestInfo,
    speed::Speed, //
};
use crate::{
    Millis,
    availability::Availability,
    membership::State,
    order,
    rate_limits::RateLimit,
    routing::Health, //
};
use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
};

/// An upstream as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Unique name.
    pub name: Arc<str>,
    /// Increases with each start under the same name.
    pub incarnation: u64,
    /// Name of the service that it belongs to.
    pub service: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: State,
    /// Version of its software, or `None` while this is not known.
    pub software: Option<Arc<str>>,
    /// Whether it is cheaper and may be reclaimed with all of its kind in the data centre.
    pub is_spot: bool,
}

impl Default for ListedUpstream {
    fn default() -> Self {
        Self {
            name: Arc::from(""),
            incarnation: 0,
            service: Arc::from(""),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            data_centre: Arc::from(""),
            slots: 1,
            state: State::Live,
            software: None,
            is_spot: false,
        }
    }
}

/// The outcome of a call at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered.
    Success,
    /// The upstream refused the request without running it.
    Refused,
    /// No connection could be established.
    ConnectFailed,
    /// The upstream failed with an error or a broken answer.
    Failed,
    /// The call ended for a reason that says nothing about the upstream.
    Neutral,
}

/// Number of ranks that upstreams distinguish; zero is the most urgent, and ranks beyond the last
/// one count as the last.
pub(crate) const RANK_COUNT: usize = 10;

/// Load in flight at an upstream, by rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RankLoad {
    pub(super) calls: [u32; RANK_COUNT],
    /// Prompt tokens that need prefill, of calls without a first event.
    pub(super) prefill_tokens: [u64; RANK_COUNT],
}

impl RankLoad {
    pub(super) fn total_calls(&self) -> u32 {
        self.calls.iter().sum()
    }
}

/// Weight of a new sample in the moving average (EWMA) of the call duration.
const CALL_EWMA_WEIGHT: f64 = 0.1;

/// Weight of a new sample in the moving average (EWMA) of the tokens awaiting prefill.
const QUEUE_EWMA_WEIGHT: f64 = 0.1;

/// Assumed duration of a call before one was measured, in ms.
const INITIAL_CALL_MS: f64 = 1_000.0;

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) listed: ListedUpstream,
    /// Hash of the name, which identifies the upstream in messages between instances.
    pub(super) hash: u32,
    pub(super) load: RankLoad,
    /// Load of the other instances.
    pub(super) remote: RankLoad,
    /// Moving average of the call duration, in ms.
    pub(super) mean_call_ms: f64,
    /// Moving average of the tokens awaiting prefill, of all instances.
    pub(super) mean_prefill_tokens: f64,
    pub(super) cached: CachedSegments,
    pub(super) health: Health,
    pub(super) rate_limit: RateLimit,
    /// What its answers say of whether it takes requests.
    pub(super) availability: Availability,
    pub(super) consecutive_failures: u32,
    pub(super) speed: Speed,
    /// Time that it takes for its work over that which its service takes on average.
    pub(super) slowness: f64,
}

/// Returns the number by which instances tell each other of one process of an upstream.
fn process_id(listed: &ListedUpstream) -> u32 {
    let mut bytes = listed.name.as_bytes().to_vec();
    bytes.extend(listed.incarnation.to_le_bytes());
    order::hash_bytes(&bytes) as u32
}

impl Upstream {
    pub(super) fn new(listed: &ListedUpstream) -> Self {
        Self {
            listed: listed.clone(),
            hash: order::hash(&listed.name) as u32,
            load: RankLoad::default(),
            remote: RankLoad::default(),
            mean_call_ms: INITIAL_CALL_MS,
            mean_prefill_tokens: 0.0,
            cached: CachedSegments::default(),
            health: Health::default(),
            rate_limit: RateLimit::new(process_id(listed)),
            availability: Availability::default(),
            consecutive_failures: 0,
            speed: Speed::default(),
            slowness: 1.0,
        }
    }

    /// Returns the calls in flight of all instances, of `rank` and more urgent ones.
    pub(super) fn calls_up_to(&self, rank: usize) -> u32 {
        self.calls_above(rank + 1)
    }

    /// Returns the calls in flight of all instances that are more urgent than `rank`.
    pub(super) fn calls_above(&self, rank: usize) -> u32 {
        let sum = |load: &RankLoad| load.calls[..rank].iter().sum::<u32>();
        sum(&self.load) + sum(&self.remote)
    }

    /// Returns the tokens awaiting prefill of all instances, of `rank` and more urgent ones.
    pub(super) fn prefill_tokens_up_to(&self, rank: usize) -> u64 {
        let sum = |load: &RankLoad| load.prefill_tokens[..=rank].iter().sum::<u64>();
        sum(&self.load) + sum(&self.remote)
    }

    pub(super) fn record_duration(&mut self, ms: u64) {
        self.mean_call_ms += CALL_EWMA_WEIGHT * (ms as f64 - self.mean_call_ms);
    }

    /// Adds the tokens that now await prefill to their moving average.
    pub(super) fn record_queue(&mut self) {
        let tokens = self.prefill_tokens_up_to(RANK_COUNT - 1) as f64;
        self.mean_prefill_tokens += QUEUE_EWMA_WEIGHT * (tokens - self.mean_prefill_tokens);
    }

    /// Returns whether it is listed as live and has not said that it leaves.
    pub(super) fn is_live(&self) -> bool {
        self.is_listed_live() && !self.availability.is_leaving()
    }

    pub(super) fn is_listed_live(&self) -> bool {
        self.listed.state == State::Live
    }

    /// Returns whether the upstream may run a request now, apart from its rate limit and from a pause.
    pub(super) fn is_usable(&self, now: Millis, request: &RequestInfo<'_>) -> bool {
        let has_room = self.load.total_calls() < self.health.max_in_flight(now);
        has_room && self.may_run(request)
    }

    /// Returns whether the upstream accepts new work, has not been tried and runs software that may
    /// run the request.
    pub(super) fn may_run(&self, request: &RequestInfo<'_>) -> bool {
        let is_untried = !request.tried.contains(&self.listed.name);
        self.is_live() && is_untried && request.allows(self.listed.software.as_deref())
    }
}
