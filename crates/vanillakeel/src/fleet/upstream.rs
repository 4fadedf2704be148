//! One upstream as an instance knows it.

use super::cached::Cached;
use crate::{
    membership::State,
    order,
    routing::Health, //
};
use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
};

/// An upstream as discovery shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Unique name.
    pub name: Arc<str>,
    /// Grows with each start under the same name.
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
}

impl Default for Listed {
    fn default() -> Self {
        Self {
            name: Arc::from(""),
            incarnation: 0,
            service: Arc::from(""),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            data_centre: Arc::from(""),
            slots: 1,
            state: State::Live,
        }
    }
}

/// How a call at an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered.
    Good,
    /// The upstream refused it without running it.
    Refused,
    /// No connection could be established.
    Unreached,
    /// The upstream failed: a broken answer or an error.
    Failed,
    /// It ended for a reason that says nothing of the upstream.
    Neutral,
}

/// Ranks that upstreams tell apart, zero is the most urgent; less urgent ones count as the last.
pub(crate) const RANKS: usize = 10;

/// What is in flight at an upstream, by rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlight {
    pub(super) calls: [u32; RANKS],
    /// Tokens to be read of calls that have shown no event yet.
    pub(super) tokens: [u64; RANKS],
}

impl InFlight {
    pub(super) fn total_calls(&self) -> u32 {
        self.calls.iter().sum()
    }
}

/// Smoothing of the time that a call takes, share of the newest.
const SMOOTHING: f64 = 0.1;

/// Time that a call takes before one was seen, in ms.
const FIRST_CALL_MS: f64 = 1_000.0;

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) listed: Listed,
    /// Hash of the name, as other instances call it.
    pub(super) hash: u32,
    pub(super) load: InFlight,
    /// What the other instances have in flight.
    pub(super) remote: InFlight,
    /// Smoothed time of a call, in ms.
    pub(super) call_ms: f64,
    pub(super) cached: Cached,
    pub(super) health: Health,
    pub(super) failures_in_a_row: u32,
}

impl Upstream {
    pub(super) fn new(listed: &Listed) -> Self {
        Self {
            listed: listed.clone(),
            hash: order::hash(&listed.name) as u32,
            load: InFlight::default(),
            remote: InFlight::default(),
            call_ms: FIRST_CALL_MS,
            cached: Cached::default(),
            health: Health::default(),
            failures_in_a_row: 0,
        }
    }

    /// Calls in flight from all instances, of `rank` and more urgent ones.
    pub(super) fn calls_up_to(&self, rank: usize) -> u32 {
        let sum = |load: &InFlight| load.calls[..=rank].iter().sum::<u32>();
        sum(&self.load) + sum(&self.remote)
    }

    /// Tokens to be read from all instances, of `rank` and more urgent ones.
    pub(super) fn tokens_up_to(&self, rank: usize) -> u64 {
        let sum = |load: &InFlight| load.tokens[..=rank].iter().sum::<u64>();
        sum(&self.load) + sum(&self.remote)
    }

    pub(super) fn on_duration(&mut self, ms: u64) {
        self.call_ms += SMOOTHING * (ms as f64 - self.call_ms);
    }

    pub(super) fn is_live(&self) -> bool {
        self.listed.state == State::Live
    }
}
