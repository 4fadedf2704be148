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
    compress_with(text.as_bytes(), Compression::default())
}

/// Compresses bytes in little time.
#[must_use]
pub fn compress_bytes(bytes: &[u8]) -> Vec<u8> {
    compress_with(bytes, Compression::fast())
}

fn compress_with(bytes: &[u8], level: Compression) -> Vec<u8> {
    let mut compressed = Vec::new();
    let mut encoder = DeflateEncoder::new(bytes, level);
    // Reading from memory into memory can't fail.
    let _ = encoder.read_to_end(&mut compressed);
    compressed
}

/// Decompresses bytes.
///
/// Returns `None` if the bytes are not valid DEFLATE data, or if the result is longer than `max_bytes`.
#[must_use]
pub fn decompress_bytes(compressed: &[u8], max_bytes: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = max_bytes as u64 + 1;
    let mut decoder = DeflateDecoder::new(compressed).take(limit);
    decoder.read_to_end(&mut bytes).ok()?;
    (bytes.len() <= max_bytes).then_some(bytes)
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
