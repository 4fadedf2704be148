//! Interface to the calls of a platform that one instance at a time may make.
//!
//! An adapter for a platform fills [`DutyCalls`] with functions that make its calls.

use futures_util::future::LocalBoxFuture;
use std::{
    fmt,
    rc::Rc,
    sync::Arc, //
};
use vanillakeel::{
    capacity::Order,
    usage::Report, //
};

/// What a call says of the instance that makes it.
#[derive(Clone)]
pub struct Fence {
    /// Name of the instance that holds the duty.
    pub holder: Arc<str>,
    /// Fencing token, which rises each time that the duty is acquired.
    pub token: u64,
    /// Returns whether the instance still holds the duty with this token; asked right before a call is sent.
    pub is_held: Rc<dyn Fn() -> bool>,
}

impl fmt::Debug for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fence")
            .field("holder", &self.holder)
            .field("token", &self.token)
            .finish_non_exhaustive()
    }
}

/// Reason why a call of a duty failed.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DutyError {
    /// a holder with a higher fencing token has made a call
    Fenced,
    /// none are available at the moment
    Unavailable,
    /// the platform refused the call: {0}
    Refused(String),
    /// no answer, the call may still be carried out: {0}
    NoAnswer(String),
}

impl std::error::Error for DutyError {}

/// Result of a call that is under way.
type CallFuture = LocalBoxFuture<'static, Result<(), DutyError>>;

/// Reports the usage of a window.
type ReportUsage = dyn Fn(Fence, Report) -> CallFuture;

/// Orders a number of upstreams.
type OrderUpstreams = dyn Fn(Fence, Order) -> CallFuture;

/// Functions that make the calls of duties.
#[derive(Clone)]
pub struct DutyCalls {
    /// Reports the usage of a window; repeating the same report does no harm.
    pub report_usage: Rc<ReportUsage>,
    /// Orders a number of upstreams of one kind in one data centre.
    pub order_upstreams: Rc<OrderUpstreams>,
}

impl fmt::Debug for DutyCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DutyCalls").finish_non_exhaustive()
    }
}

impl Default for DutyCalls {
    /// Creates an adapter whose functions always fail.
    fn default() -> Self {
        let fail = || DutyError::Refused("no platform is set".to_owned());
        Self {
            report_usage: Rc::new(move |_, _| Box::pin(async move { Err(fail()) })),
            order_upstreams: Rc::new(move |_, _| Box::pin(async move { Err(fail()) })),
        }
    }
}
