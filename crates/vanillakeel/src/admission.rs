//! Admission control, scheduling and load shedding of the `vanillakeel-entry` daemon.
//!
//! A [`Queue`] holds the waiting requests of one pool. A full queue sheds requests of lower tiers
//! only. The latest start time of a request is the last time at which it can be sent and still
//! meet its target. Inside a tier the request with the earliest such time is served first, among
//! those of workspaces that are within their fair share. A request that can no longer meet its
//! target is served after those that can. A bounded fraction of turns is reserved for lower tiers,
//! so that none of them starves.
//!
//! ```
//! use vanillakeel::{admission::{Admission, Queue, Settings}, Millis, Request};
//!
//! let mut queue = Queue::new(Settings::default());
//! let req = Request { id: 1, ..Request::default() };
//! assert!(matches!(queue.push(Millis::ZERO, req), Admission::Queued { shed: None }));
//! assert_eq!(queue.pop(Millis::ZERO, 0).map(|r| r.id), Some(1));
//! ```

mod fair;
mod queue;
mod tier;

pub use self::queue::{
    Admission,
    Queue,
    QueueOrder,
    Settings, //
};

use crate::Millis;
use std::sync::Arc;

/// A request, with the attributes that admission, routing and retries depend on.
///
/// It carries a copy of the settings of its class from the time of its admission, so that a
/// configuration change does not affect requests that are already under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier, unique on this instance and ascending in order of arrival.
    pub id: u64,
    /// Name of its class.
    pub class: Arc<str>,
    /// Name of its workspace.
    pub workspace: Arc<str>,
    /// Name of the pool that serves it.
    pub pool: Arc<str>,
    /// Priority tier; zero is the highest.
    pub tier: u8,
    /// Whether it may exceed the instance's limit and preempt requests of lower tiers; it is never
    /// preempted itself.
    pub protected: bool,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Weight of its workspace in fair queueing.
    pub weight: u32,
    /// Time at which it arrived.
    pub arrived: Millis,
    /// Time at which its first token is due.
    pub due: Millis,
    /// Time at which the router gives it up.
    pub deadline: Millis,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that it may produce.
    pub max_tokens: u32,
    /// Hash of the leading bytes of the prompt, for cache affinity; zero if there is none.
    pub prefix: u64,
    /// Whether another upstream can resume it after the last token that was received.
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
