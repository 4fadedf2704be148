//! Small stand-ins for the systems that the router meets: engines, plain services, the log
//! service, the instance list and the weight store.
//!
//! They run inside one process for tests and benches, and as the `vanillakeel-standin` binary for
//! a person. [`batch`] is the engine's batching without threads, for runs in virtual time.
//!
//! ```
//! use vanillakeel_standin::{Ledger, plain::Plain};
//!
//! let plain = Plain::start("127.0.0.1:0".parse()?, &Ledger::default(), 1)?;
//! assert_ne!(plain.address().port(), 0);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod batch;
pub mod engine;
mod faults;
mod ledger;
pub mod list;
pub mod log;
pub mod plain;
mod reply;
pub mod weights;

pub use self::{
    faults::{
        Fault,
        Faults, //
    },
    ledger::{
        Ledger,
        answer_tokens,
        request_tag,
        token_text, //
    },
};
