//! At most one run for each idempotency key, by the order of claims on the log.
//!
//! Before a keyed request is sent, its claim is appended to the log. All instances read the same
//! records in the same order: the first claim of a key wins, a release lets a later claim win, and
//! an outcome says that the key has run. A batch whose append was not answered is appended again
//! under the same number, and readers drop the second copy.
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
        KeyState, //
        LogState,
    },
    state::{
        Action,
        Appended,
        Claims,
        Settings, //
    },
};

use std::sync::Arc;

/// What an entry says of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// The writer wants to run the key.
    Claim,
    /// The claim's request has not run and never will.
    Release,
    /// The claim's request has run.
    Outcome,
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// Number of the claim, unique for its writer.
    pub claim: u64,
    /// What the entry says.
    pub op: Op,
}

/// A record on the log with entries of one writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The instance with its boot's number, so that a restarted one is another writer.
    pub writer: Arc<str>,
    /// Number of the batch, ascending for its writer.
    pub number: u64,
    /// The entries in order.
    pub entries: Vec<Entry>,
}
