//! The operator's commands as a library, for the binary and for benches.
//!
//! [`publish`] puts a text onto the log and waits until it is ruled on; [`keys`] makes keys for a
//! test set of instances; [`explain`] tells the story of a request from log lines.
//!
//! ```
//! let keys = vanillakeel_ctl::keys::make(&["entry-1"])?;
//! assert!(keys.ca.contains("BEGIN CERTIFICATE"));
//! # Ok::<(), vanillakeel_ctl::keys::Error>(())
//! ```

pub mod explain;
pub mod keys;
pub mod publish;

pub use self::publish::{
    Published,
    current,
    publish, //
};
