//! Texts in a compressed form, since each instance reads all of them.
//!
//! ```
//! use vanillakeel_wire::pack::{pack, unpack};
//!
//! let text = "tier = 1\n".repeat(100);
//! assert!(pack(&text).len() < text.len() / 4);
//! assert_eq!(unpack(&pack(&text)).as_deref(), Some(text.as_str()));
//! ```

use flate2::{
    Compression,
    read::{
        DeflateDecoder,
        DeflateEncoder, //
    },
};
use std::io::Read as _;
use vanillakeel::config::MAX_CONFIG_BYTES;

/// Compresses a text.
#[must_use]
pub fn pack(text: &str) -> Vec<u8> {
    let mut packed = Vec::new();
    let mut encoder = DeflateEncoder::new(text.as_bytes(), Compression::default());
    // Reading from memory into memory can't fail.
    let _ = encoder.read_to_end(&mut packed);
    packed
}

/// Reads a compressed text; none if it is broken or longer than a text may be.
#[must_use]
pub fn unpack(packed: &[u8]) -> Option<String> {
    let mut text = String::new();
    let limit = MAX_CONFIG_BYTES as u64 + 1;
    let mut decoder = DeflateDecoder::new(packed).take(limit);
    decoder.read_to_string(&mut text).ok()?;
    (text.len() <= MAX_CONFIG_BYTES).then_some(text)
}
