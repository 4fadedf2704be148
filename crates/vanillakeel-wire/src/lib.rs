//! Messages between instances and on the log, with their conversions.
//!
//! [`generated`] holds the types made from `proto/vanillakeel.proto`; the conversions in
//! [`convert`] are the border between them and the types of the `vanillakeel` library.
//!
//! ```
//! use vanillakeel::lease;
//! use vanillakeel_wire::{decode, encode, Body};
//!
//! let record = lease::Record {
//!     name: "placement".into(),
//!     holder: "a".into(),
//!     append_id: 1,
//!     previous_offset: None,
//! };
//! let bytes = encode(&Body::Lease(record.clone()));
//! assert_eq!(decode(&bytes), Ok(Body::Lease(record)));
//! ```

pub mod convert;
#[expect(
    missing_docs,
    clippy::must_use_candidate,
    reason = "the generator copies only some of the comments"
)]
#[rustfmt::skip]
pub mod generated;

pub mod pack;

pub use self::convert::{
    Body,
    DecodeError,
    Intent,
    decode,
    encode, //
};
pub use prost::Message;
