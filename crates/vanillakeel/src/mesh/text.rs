//! The text of a configuration in parts that fit into datagrams.
//!
//! Hundreds of instances that each read a large configuration from the log share the log's bandwidth, and the version is
//! in force late at all of them. A hub therefore passes on the text that it has read: a [`PartedText`] gives its parts, and
//! a member puts them together in a [`TextAssembly`]. Parts may be lost, repeated, out of order, or of another text of the
//! same version.
//!
//! ```
//! use vanillakeel::mesh::{PartedText, TextAssembly};
//!
//! let text = PartedText::new(7, vec![1; 3_000]);
//! let mut assembly = TextAssembly::new(7);
//! for part in text.parts(&[]) {
//!     assembly.add(&part);
//! }
//! assert_eq!(assembly.complete(), Some(vec![1; 3_000]));
//! ```

use crate::order;

/// Size of a part, in bytes; with its headers it fits into a packet on common networks.
const PART_BYTES: usize = 1_200;

/// Largest number of parts of a text.
const MAX_PARTS: u32 = 4_096;

/// The compressed text of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartedText {
    version: u64,
    digest: u64,
    bytes: Vec<u8>,
}

/// A part of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextPart<'a> {
    /// Version of the configuration.
    pub version: u64,
    /// Digest of the whole text.
    pub digest: u64,
    /// Number of parts.
    pub parts: u32,
    /// Number of this part, from zero.
    pub part: u32,
    /// Bytes of this part.
    pub data: &'a [u8],
}

impl PartedText {
    /// Creates the parts of a text of a version.
    #[must_use]
    pub fn new(version: u64, bytes: Vec<u8>) -> Self {
        Self {
            version,
            digest: order::hash_bytes(&bytes),
            bytes,
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the parts with the given numbers, or all if there are none; numbers beyond the last are left out.
    pub fn parts<'a>(&'a self, numbers: &'a [u32]) -> impl Iterator<Item = TextPart<'a>> {
        let chunks = self.bytes.chunks(PART_BYTES).enumerate();
        let parts = self.bytes.len().div_ceil(PART_BYTES) as u32;
        chunks
            .map(|(at, data)| (at as u32, data))
            .filter(|(at, _)| numbers.is_empty() || numbers.contains(at))
            .map(move |(part, data)| TextPart {
                version: self.version,
                digest: self.digest,
                parts,
                part,
                data,
            })
    }
}

/// A text that is put together from its parts.
#[derive(Clone, Debug)]
pub struct TextAssembly {
    version: u64,
    digest: Option<u64>,
    parts: Vec<Option<Vec<u8>>>,
}

impl TextAssembly {
    /// Creates an assembly of the text of a version, without parts.
    #[must_use]
    pub const fn new(version: u64) -> Self {
        Self {
            version,
            digest: None,
            parts: Vec::new(),
        }
    }

    /// Adds a part; one of another version, or of another text than the first part, is left out.
    ///
    /// Returns whether the part was missing.
    pub fn add(&mut self, part: &TextPart<'_>) -> bool {
        let is_valid = part.version == self.version && (1..=MAX_PARTS).contains(&part.parts);
        if !is_valid || self.digest.is_some_and(|d| d != part.digest) {
            return false;
        }
        if self.digest.is_none() {
            self.digest = Some(part.digest);
            self.parts = vec![None; part.parts as usize];
        }
        match self.parts.get_mut(part.part as usize) {
            Some(known @ None) => {
                *known = Some(part.data.to_vec());
                true
            }
            _ => false,
        }
    }

    /// Returns the numbers of the parts that are missing; none if no part has come.
    #[must_use]
    pub fn missing(&self) -> Vec<u32> {
        let numbered = (0..).zip(&self.parts);
        numbered
            .filter(|(_, part)| part.is_none())
            .map(|(number, _)| number)
            .collect()
    }

    /// Returns the whole text if all parts have come and it is the text that they say.
    #[must_use]
    pub fn complete(&self) -> Option<Vec<u8>> {
        let digest = self.digest?;
        let mut bytes = Vec::new();
        for part in &self.parts {
            bytes.extend_from_slice(part.as_deref()?);
        }
        (order::hash_bytes(&bytes) == digest).then_some(bytes)
    }
}
