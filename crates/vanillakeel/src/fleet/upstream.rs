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
    /// The upstream failed: no connection, a broken answer or an error.
    Failed,
    /// It ended for a reason that says nothing of the upstream.
    Neutral,
}

/// What is in flight at an upstream from this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) calls: u32,
    /// Tokens to be read of calls that have shown no event yet.
    pub(super) tokens_to_read: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) listed: Listed,
    /// Hash of the name, as other instances call it.
    pub(super) hash: u32,
    pub(super) load: Load,
    /// What the other instances have in flight.
    pub(super) remote: Load,
    pub(super) cached: Cached,
    pub(super) health: Health,
    pub(super) failures_in_a_row: u32,
}

impl Upstream {
    pub(super) fn new(listed: &Listed) -> Self {
        Self {
            listed: listed.clone(),
            hash: order::hash(&listed.name) as u32,
            load: Load::default(),
            remote: Load::default(),
            cached: Cached::default(),
            health: Health::default(),
            failures_in_a_row: 0,
        }
    }

    /// Calls in flight from all instances.
    pub(super) fn calls(&self) -> u32 {
        self.load.calls + self.remote.calls
    }

    /// Tokens to be read from all instances.
    pub(super) fn tokens_to_read(&self) -> u64 {
        self.load.tokens_to_read + self.remote.tokens_to_read
    }

    pub(super) fn is_live(&self) -> bool {
        self.listed.state == State::Live
    }
}
