//! Compresses configurations in records of the log and in messages between instances.
//!
//! They are compressed since each instance reads every published configuration. The format is raw
//! DEFLATE (RFC 1951).
//!
//! ```
//! use vanillakeel_wire::compression::{compress, decompress};
//!
//! let text = "tier = 1\n".repeat(100);
//! assert!(compress(&text).len() < text.len() / 4);
//! assert_eq!(decompress(&compress(&text)).as_deref(), Some(text.as_str()));
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

/// Compresses the TOML text of a configuration.
#[must_use]
pub fn compress(text: &str) -> Vec<u8> {
    let mut compressed = Vec::new();
    let mut encoder = DeflateEncoder::new(text.as_bytes(), Compression::default());
    // Reading from memory into memory can't fail.
    let _ = encoder.read_to_end(&mut compressed);
    compressed
}

/// Decompresses the TOML text of a configuration.
///
/// Returns `None` if the bytes are not valid DEFLATE data, or if the result is not UTF-8 or is longer
/// than [`MAX_CONFIG_BYTES`]. Decompression stops just above that length, so that a small message
/// can't take up much memory.
#[must_use]
pub fn decompress(compressed: &[u8]) -> Option<String> {
    let mut text = String::new();
    let limit = MAX_CONFIG_BYTES as u64 + 1;
    let mut decoder = DeflateDecoder::new(compressed).take(limit);
    decoder.read_to_string(&mut text).ok()?;
    (text.len() <= MAX_CONFIG_BYTES).then_some(text)
}
