//! Which text is in force, agreed by the order of records on the log.
//!
//! An [`Proposal`] names the version it was made from. One instance checks it and appends a
//! [`Decision`]; the first decision on an proposal binds all readers, so that instances of different
//! software versions cannot disagree. An accepted text becomes version `offset + 1` of its ruling.
//! An instance never moves to a lower version; it may learn a newer one from a peer.
//!
//! ```
//! use vanillakeel::{config_log::{ConfigReplica, Record, Decision}, Millis};
//!
//! let mut cfg = ConfigReplica::new("instance-1", |_| Ok(()));
//! let decision = Decision { proposal: 9, base: 0, accepted: true, text: "".into(), reason: "".into() };
//! cfg.on_records(Millis::ZERO, 0, &[(0, Record::Decision(decision))], 1);
//! assert_eq!(cfg.version(), 1);
//! ```

mod log_state;
mod state;

pub use self::{
    log_state::{
        LogState,
        Outcome, //
    },
    state::{
        Action,
        ConfigReplica, //
    },
};

use std::sync::Arc;

/// Number of a text in force, zero for none; later ones are greater.
pub type Version = u64;

/// A proposed text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Unique number of the edit.
    pub id: u128,
    /// The version it was made from.
    pub base: Version,
    /// The proposed text.
    pub text: Arc<str>,
    /// Who made it, for people.
    pub author: Arc<str>,
}

/// The decision on an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The edit.
    pub proposal: u128,
    /// The version that the edit was made from.
    pub base: Version,
    /// Whether the text passed its checks.
    pub accepted: bool,
    /// The text, if it was accepted.
    pub text: Arc<str>,
    /// Why it was refused.
    pub reason: Arc<str>,
}

/// The state at an offset, so that older records may be forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// The version in force.
    pub version: Version,
    /// Its text.
    pub text: Arc<str>,
    /// All records before this offset are part of the state.
    pub applied_to: u64,
    /// Edits ruled on of late.
    pub decided: Vec<u128>,
}

/// A record of the log about the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A proposed text.
    Proposal(Proposal),
    /// The decision on an edit.
    Decision(Decision),
    /// The state at an offset.
    Checkpoint(Checkpoint),
}
