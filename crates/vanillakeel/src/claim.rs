//! Claims of idempotency keys through the log, so that at most one request runs for each key.
//!
//! Used by the `vanillakeel-entry` daemon. Before it sends a request with a key, it appends a claim
//! to the log. All instances read the same records in the same order: the first claim of a key
//! wins, a release lets a later claim win, and an outcome records that the request has run. A batch
//! whose append was not acknowledged is appended again under the same number, and readers drop the
//! duplicate. [`LogState`] is the state that replaying the records gives.
//!
//! ```
//! use vanillakeel::{claim::{Action, Claims, Key, Settings}, Millis};
//!
//! let mut claims = Claims::new("instance-1/boot-1", Settings::default());
//! claims.on_records(Millis::ZERO, &[], 0, true);
//! let key = Key::new("clerks", 7, 0);
//! claims.begin(Millis::ZERO, 1, key, Millis::new(1_000));
//! claims.tick(Millis::new(5));
//! let Some(Action::Append(batch)) = claims.drain().next() else { panic!("no append") };
//! claims.on_records(Millis::new(9), &[(0, batch)], 1, true);
//! assert!(matches!(claims.drain().next(), Some(Action::Won { request: 1, .. })));
//! ```

mod key;
mod log_state;
mod state;

pub use self::{
    key::{
        Key,
        KeyError, //
    },
    log_state::{
        Holder,
        KeyState,
        LogState, //
    },
    state::{
        Action,
        Appended,
        Claims,
        Settings, //
    },
};

use std::sync::Arc;

/// What an entry records about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// The writer wants to run a request with the key.
    Claim,
    /// The request of the claim has not run and never will.
    Release,
    /// The request of the claim has run.
    Outcome,
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Number of the claim, unique within its writer.
    pub claim: u64,
    /// What the entry records.
    pub op: Op,
}

/// A record on the log with the entries of one writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Name of the instance and number of its boot, so that a restarted instance is a new writer.
    pub writer: Arc<str>,
    /// Sequence number of the batch, ascending within its writer.
    pub number: u64,
    /// The entries, in the order in which they apply.
    pub entries: Vec<Entry>,
}
