//! Which text is in force, agreed by the order of records on the log.
//!
//! An [`Edit`] names the version it was made from. One instance checks it and appends a
//! [`Ruling`]; the first ruling on an edit binds all readers, so that instances of different
//! software versions cannot disagree. An accepted text becomes version `offset + 1` of its ruling.
//! An instance never moves to a lower version; it may learn a newer one from a peer.
//!
//! ```
//! use vanillakeel::{configuration::{Configuration, Record, Ruling}, Millis};
//!
//! let mut cfg = Configuration::new("instance-1", |_| Ok(()));
//! let ruling = Ruling { edit: 9, base: 0, accepted: true, text: "".into(), reason: "".into() };
//! cfg.on_records(Millis::ZERO, 0, &[(0, Record::Ruling(ruling))], 1);
//! assert_eq!(cfg.version(), 1);
//! ```

mod fold;
mod state;

pub use self::{
    fold::{
        Fold,
        Outcome, //
    },
    state::{
        Action,
        Configuration, //
    },
};

use std::sync::Arc;

/// Number of a text in force, zero for none; later ones are greater.
pub type Version = u64;

/// A proposed text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
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
pub struct Ruling {
    /// The edit.
    pub edit: u128,
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
    pub folded_to: u64,
    /// Edits ruled on of late.
    pub ruled: Vec<u128>,
}

/// A record of the log about the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A proposed text.
    Edit(Edit),
    /// The decision on an edit.
    Ruling(Ruling),
    /// The state at an offset.
    Checkpoint(Checkpoint),
}
