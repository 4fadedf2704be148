//! Agreement on the configuration in force, by the order of records on the log.
//!
//! Used by the `vanillakeel-entry` daemon. An operator publishes a configuration as a TOML text,
//! which [`crate::config`] parses. Here the text is opaque: a proposal, a decision and a
//! checkpoint carry it as it was published.
//!
//! A [`Proposal`] names the version that it was made from. One instance checks it and appends a
//! [`Decision`]. The first decision on a proposal binds all readers, so that instances of different
//! software versions can't disagree. The version of an accepted configuration is the offset of its
//! decision plus one. An instance never moves to a lower version; it may learn a newer one from a
//! peer.
//!
//! The protobuf messages of a proposal and a decision are called `Edit` and `Ruling`.
//!
//! ```
//! use vanillakeel::{config_log::{ConfigReplica, Record, Decision}, Millis};
//!
//! let mut cfg = ConfigReplica::new("instance-1", |_| Ok(()));
//! let decision = Decision {
//!     proposal: 9,
//!     base: 0,
//!     accepted: true,
//!     text: "".into(),
//!     reason: "".into(),
//! };
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

/// Version of a configuration in force, zero for none; a later configuration has a greater one.
pub type Version = u64;

/// A configuration that an operator proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Unique ID of the proposal.
    pub id: u128,
    /// The version it was made from.
    pub base: Version,
    /// The proposed configuration as TOML.
    pub text: Arc<str>,
    /// Name of the author, for display only.
    pub author: Arc<str>,
}

/// The recorded decision on a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// ID of the proposal.
    pub proposal: u128,
    /// The version that the proposal was made from.
    pub base: Version,
    /// Whether the configuration passed its checks and `base` was the version in force.
    pub accepted: bool,
    /// The configuration as TOML if it was accepted, else empty.
    pub text: Arc<str>,
    /// Why it was refused, else empty.
    pub reason: Arc<str>,
}

/// The state at an offset, so that the log may drop older records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// The version in force.
    pub version: Version,
    /// The configuration in force as TOML.
    pub text: Arc<str>,
    /// All records before this offset are part of the state.
    pub applied_to: u64,
    /// IDs of the proposals decided most recently.
    pub decided: Vec<u128>,
}

/// A record of the log about the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A proposed configuration.
    Proposal(Proposal),
    /// The decision on a proposal.
    Decision(Decision),
    /// The state at an offset.
    Checkpoint(Checkpoint),
}
