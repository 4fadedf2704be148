//! What the planner shows of its decisions.

use std::sync::Arc;

/// Why a number of upstreams is ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The load has risen.
    #[default]
    Burst,
    /// The load has been low for a while.
    Calm,
    /// Cheaper upstreams take the place of others.
    Cheaper,
    /// Upstreams that were there have gone or are leaving.
    Reclaimed,
    /// None of the other kind are available at the moment.
    Unavailable,
    /// An earlier order has not been carried out in time.
    Overdue,
}

impl Reason {
    /// Returns the word for log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::Calm => "calm",
            Self::Cheaper => "cheaper",
            Self::Reclaimed => "reclaimed",
            Self::Unavailable => "unavailable",
            Self::Overdue => "overdue",
        }
    }
}

/// The upstreams of one kind in one data centre, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaneStatus {
    /// Name of the service.
    pub service: Arc<str>,
    /// Data centre in which the upstreams run.
    pub data_centre: Arc<str>,
    /// Whether they are cheaper and may be reclaimed.
    pub is_spot: bool,
    /// Number that the load asks for.
    pub wanted: u32,
    /// Number that takes requests.
    pub present: u32,
    /// Number that was ordered and is still expected.
    pub coming: u32,
    /// Reason of the last order, if there was one.
    pub reason: Option<Reason>,
}
