//! Faults that a stand-in can be told to have.

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

/// Faults of a stand-in; each kind looks only at those that concern it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// All requests are refused as unavailable.
    pub outage: bool,
    /// Each request takes this much longer, in ms.
    pub slow_ms: u64,
    /// Writes from now on whose answers are lost after they took effect.
    pub lose_answers: u32,
    /// Steps take this many times as long.
    pub slowness: f64,
    /// Streams and requests in progress break off, and new ones are refused.
    pub crashed: bool,
    /// Nothing is produced, and connections stay open.
    pub stalled: bool,
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
        }
    }
}

/// The present faults of a stand-in, shared with whoever sets them.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<Fault>>);

impl Faults {
    fn lock(&self) -> MutexGuard<'_, Fault> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present faults.
    #[must_use]
    pub fn get(&self) -> Fault {
        *self.lock()
    }

    /// Sets the faults.
    pub fn set(&self, fault: Fault) {
        *self.lock() = fault;
    }

    /// Whether the answer to this write is to be lost; counts it.
    #[must_use]
    pub fn loses_answer(&self) -> bool {
        let mut fault = self.lock();
        let loses = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        loses
    }
}
