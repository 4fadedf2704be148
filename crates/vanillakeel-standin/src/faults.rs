//! Fault injection: the faults that a test sets on a running stand-in.

use serde::{
    Deserialize,
    Serialize, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// The faults that a stand-in simulates.
///
/// A stand-in ignores the faults that its kind does not implement. The names of the fields are the
/// keys of the JSON body of `POST /faults`; a missing key means no such fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Each request is refused with status 503.
    pub outage: bool,
    /// Extra latency of each request, in ms.
    pub slow_ms: u64,
    /// Number of coming writes that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Factor by which the duration of each engine step is multiplied; values below 0.1 count as 0.1.
    pub slowness: f64,
    /// Requests and streams in progress are aborted, and new connections are closed without a
    /// response.
    pub crashed: bool,
    /// The engine produces no tokens, but its connections stay open.
    pub stalled: bool,
    /// Requests a second that the engine names as those that it takes from all instances.
    pub rate_limit: Option<f64>,
    /// The engine says in its answers that it leaves.
    pub leaving: bool,
    /// Each request is refused with the time for which the engine wants none from that instance, in seconds.
    pub pause_s: Option<f64>,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            outage: false,
            slow_ms: 0,
            lose_answers: 0,
            slowness: 1.0,
            crashed: false,
            stalled: false,
            rate_limit: None,
            leaving: false,
            pause_s: None,
        }
    }
}

/// A shared handle to the current faults of a stand-in; clones refer to the same faults.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector(Arc<Mutex<Fault>>);

impl FaultInjector {
    fn lock(&self) -> MutexGuard<'_, Fault> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current faults.
    #[must_use]
    pub fn get(&self) -> Fault {
        *self.lock()
    }

    /// Replaces the current faults.
    pub fn set(&self, fault: Fault) {
        *self.lock() = fault;
    }

    /// Returns whether the response to this write is to be lost, and decrements the number of
    /// responses that are still to be lost.
    #[must_use]
    pub fn take_lost_answer(&self) -> bool {
        let mut fault = self.lock();
        let is_lost = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        is_lost
    }
}
