//! Placement of models on upstreams.
//!
//! It is done by the instance of the `vanillakeel-entry` daemon that holds the placement lease.
//!
//! [`requirements`] derives the desired state from the operator's configuration and the time: how
//! many upstreams have to hold the model of each service, and by when. A service inherits the
//! earliest due time of the services that depend on it. [`Placement::reconcile`] compares the
//! desired state with what the upstreams report, and returns the commands that close the gap. It is
//! level-triggered: the commands depend on the current state, not on the changes that led to it. It
//! may be called at any rate, since it does not repeat a command that is pending.
//!
//! ```
//! use vanillakeel::{placement, Config};
//!
//! let config = Config::default();
//! assert!(placement::requirements(&config, 0, placement::EVENT_LEAD_MS).is_empty());
//! ```

mod reconcile;
mod requirement;

pub use self::{
    reconcile::{
        Command,
        CommandKind,
        Observed,
        Placement,
        Risk,
        Settings, //
    },
    requirement::{
        EVENT_LEAD_MS,
        Requirement,
        requirements, //
    },
};
