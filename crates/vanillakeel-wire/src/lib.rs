//! Protobuf messages between instances and on the log, and their conversion to library types.
//!
//! [`generated`] holds the types generated from `proto/vanillakeel.proto`. [`convert`] converts
//! them to and from the types of the `vanillakeel` library, and [`encode`] and [`decode`] do so for
//! whole records of the log. [`compression`] compresses configurations.
//!
//! ```
//! use vanillakeel::lease;
//! use vanillakeel_wire::{decode, encode, RecordBody};
//!
//! let record = lease::Record {
//!     name: "placement".into(),
//!     holder: "a".into(),
//!     append_id: 1,
//!     previous_offset: None,
//! };
//! let bytes = encode(&RecordBody::Lease(record.clone()));
//! assert_eq!(decode(&bytes), Ok(RecordBody::Lease(record)));
//! ```

pub mod convert;
#[expect(
    missing_docs,
    clippy::must_use_candidate,
    clippy::use_self,
    reason = "the generator copies only some of the comments, and spells out each type"
)]
#[rustfmt::skip]
pub mod generated;

pub mod compression;

pub use self::convert::{
    DecodeError,
    DrainIntent,
    RecordBody,
    decode,
    encode, //
};
pub use prost::Message;
