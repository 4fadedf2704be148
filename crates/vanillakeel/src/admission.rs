//! Which request is served next, and which is refused.
//!
//! A [`Queue`] holds the waiting requests of one pool. Tiers decide strictly who is shed. Inside a
//! tier the order is by latest start; among workspaces that are behind on their share the earliest
//! latest start goes first. A request that can no longer meet its target goes behind those that
//! can. A bounded share of turns is kept for lower tiers that wait, so that each class is served.
//!
//! ```
//! use vanillakeel::{admission::{Offer, Queue, Settings}, Millis, Request};
//!
//! let mut queue = Queue::new(Settings::default());
//! let req = Request { id: 1, ..Request::default() };
//! assert!(matches!(queue.push(Millis::ZERO, req), Offer::Queued { shed: None }));
//! assert_eq!(queue.pop(Millis::ZERO, 0).map(|r| r.id), Some(1));
//! ```

mod fair;
mod queue;
mod tier;

pub use self::queue::{
    Offer,
    Order,
    Queue,
    Settings, //
};

use crate::Millis;
use std::sync::Arc;

/// A request as the slices see it.
///
/// It carries the settings of its class from when it was admitted, so that it finishes under them
/// whatever text comes into force meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique on this instance, ascending.
    pub id: u64,
    /// The class's name.
    pub class: Arc<str>,
    /// The workspace's name.
    pub workspace: Arc<str>,
    /// The pool's name.
    pub pool: Arc<str>,
    /// Priority, zero is the highest.
    pub tier: u8,
    /// Whether it is never shed or preempted for a lower tier.
    pub protected: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Share of its workspace.
    pub weight: u32,
    /// When it came.
    pub arrived: Millis,
    /// When its first token is due.
    pub due: Millis,
    /// When it is given up.
    pub deadline: Millis,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens that it may produce.
    pub max_tokens: u32,
    /// Hash of the prompt's first part, for the prefix cache; zero if there is none.
    pub prefix: u64,
    /// Whether an upstream can go on with it from a token.
    pub resumable: bool,
}

impl Default for Request {
    fn default() -> Self {
        Self {
            id: 0,
            class: Arc::from(""),
            workspace: Arc::from(""),
            pool: Arc::from(""),
            tier: 0,
            protected: false,
            idempotent: true,
            weight: 1,
            arrived: Millis::ZERO,
            due: Millis::MAX,
            deadline: Millis::MAX,
            prompt_tokens: 0,
            max_tokens: 256,
            prefix: 0,
            resumable: true,
        }
    }
}
