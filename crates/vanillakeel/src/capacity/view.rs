//! What the planner is told and what it returns.

use super::status::Reason;
use crate::routes::Autoscale;
use std::sync::Arc;

/// An order for a number of upstreams of one kind in one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the service.
    pub service: Arc<str>,
    /// Data centre in which the upstreams run.
    pub data_centre: Arc<str>,
    /// Whether the order is for upstreams that are cheaper and may be reclaimed.
    pub is_spot: bool,
    /// Number of upstreams of this kind, including those that run.
    pub wanted: u32,
    /// Whether it asks for more than there are.
    pub asks_for_more: bool,
    /// Why it is sent.
    pub reason: Reason,
}

impl Default for Order {
    fn default() -> Self {
        Self {
            service: Arc::from(""),
            data_centre: Arc::from(""),
            is_spot: false,
            wanted: 0,
            asks_for_more: false,
            reason: Reason::default(),
        }
    }
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted.
    Accepted,
    /// None of the kind are available there at the moment.
    Unavailable,
    /// It was refused or not answered; it may still be carried out.
    Unknown,
    /// It was dropped before it was sent.
    NotSent,
}

/// An upstream of a service whose number follows the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Whether it is cheaper and may be reclaimed.
    pub is_spot: bool,
    /// Whether it takes new requests.
    pub is_live: bool,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Requests in flight there, of all instances.
    pub calls: u32,
    /// Prompt tokens that await prefill there, of all instances.
    pub prefill_tokens: u64,
}

impl Default for UpstreamView {
    fn default() -> Self {
        Self {
            data_centre: Arc::from(""),
            is_spot: false,
            is_live: true,
            slots: 1,
            calls: 0,
            prefill_tokens: 0,
        }
    }
}

/// The upstreams of a service and what may be ordered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceView {
    /// Name of the service.
    pub service: Arc<str>,
    /// Bounds and prices.
    pub autoscale: Autoscale,
    /// Its upstreams, in any order.
    pub upstreams: Vec<UpstreamView>,
    /// Prefill time of a prompt token, in ms.
    pub prefill_ms_per_token: f64,
    /// Requests refused for overload in the last second, of all instances.
    pub refused_per_second: u32,
}
