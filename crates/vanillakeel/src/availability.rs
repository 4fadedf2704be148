//! What upstreams say in their answers about whether they take requests.
//!
//! An [`Availability`] is what one instance has been told by one process of an upstream:
//!
//! - An upstream that **leaves** gets no further request. This is final: no later entry of the list, which may be
//!   older than the answer, takes it back. Another process under the same name starts afresh.
//! - An upstream that asks for a **pause** gets none for so long. A pause concerns this instance alone, so peers are
//!   not told of it. Several pauses hold until the latest end of them. After the end a single request tests
//!   whether the upstream takes requests again, so that those that were held back do not reach it all at once;
//!   a random delay spreads the tests of several instances.
//!
//! ```
//! use vanillakeel::{Millis, availability::{Availability, Notice}};
//!
//! let mut availability = Availability::default();
//! let now = Millis::new(1_000);
//! availability.on_answer(now, now, Notice { pause_ms: Some(3_000), ..Notice::default() }, 0);
//! assert!(!availability.takes_request(now.plus(2_999)));
//! assert!(availability.takes_request(now.plus(3_000)));
//! ```

mod notice;
mod state;

pub use self::{
    notice::{
        BadPause,
        Notice,
        Pause, //
    },
    state::{
        Availability,
        AvailabilityChange, //
    },
};
