//! The operator's commands as a library, for the `vanillakeel-ctl` binary and for benches.
//!
//! - [`publish`](mod@publish) appends a configuration to the log and waits until an instance has
//!   accepted or refused it.
//! - [`keys`] generates keys for a test set of instances.
//! - [`explain`] reconstructs the history of a request from log lines.
//!
//! ```
//! let keys = vanillakeel_ctl::keys::generate(&["entry-1"])?;
//! assert!(keys.ca.contains("BEGIN CERTIFICATE"));
//! # Ok::<(), vanillakeel_ctl::keys::Error>(())
//! ```

pub mod explain;
pub mod keys;
pub mod publish;

pub use self::publish::{
    PublishOutcome,
    publish,
    read_log_state, //
};
