//! The keys that versions of the routing configuration have held.
//!
//! A version without a list of workspaces needs no keys, but a key that an earlier version held was taken away and stays
//! refused. An instance that starts with such a version has not read the earlier ones; it learns of their keys from a
//! record on the log, which holds digests.
//!
//! ```
//! use vanillakeel::routes::KeyHistory;
//!
//! let mut history = KeyHistory::default();
//! history.add(["key-1"].into_iter());
//! assert!(history.holds("key-1") && !history.holds("key-2"));
//! ```

use sha2::{
    Digest as _,
    Sha256, //
};

/// Length of the digest of a key, in bytes.
const DIGEST_BYTES: usize = 16;

/// Most keys that are remembered; those that were added first make room for others.
pub const MAX_REMEMBERED_KEYS: usize = 8_192;

/// The start of the SHA-256 digest of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        Self(*digest.first_chunk().unwrap_or(&[0; DIGEST_BYTES]))
    }
}

/// The keys that earlier versions held and the present one may not hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyHistory {
    /// In the order in which they were added.
    held: Vec<KeyDigest>,
    /// The same digests, sorted.
    sorted: Vec<KeyDigest>,
    /// Whether a version required keys, if only by an empty list.
    has_used_keys: bool,
}

impl KeyHistory {
    /// Creates the history that a record holds: the digests one after the other, and whether a version required keys.
    ///
    /// Bytes at the end that are no digest are left out.
    #[must_use]
    pub fn from_record(digests: &[u8], has_used_keys: bool) -> Self {
        let mut history = Self {
            has_used_keys,
            ..Self::default()
        };
        let (digests, _) = digests.as_chunks();
        history.append(digests.iter().copied().map(KeyDigest).collect());
        history
    }

    /// Returns the digests for a record, one after the other.
    #[must_use]
    pub fn digests(&self) -> Vec<u8> {
        self.held.iter().flat_map(|d| d.0).collect()
    }

    /// Adds the keys of a version that requires keys.
    pub fn add<'a>(&mut self, keys: impl Iterator<Item = &'a str>) {
        self.has_used_keys = true;
        self.append(keys.map(KeyDigest::of).collect());
    }

    /// Adds what another history holds, as what was added last.
    pub fn merge(&mut self, other: &Self) {
        self.has_used_keys |= other.has_used_keys;
        self.append(other.held.clone());
    }

    /// Adds digests, which are the last ones from now on, and drops the first ones beyond the limit.
    fn append(&mut self, added: Vec<KeyDigest>) {
        let mut last = added.clone();
        last.sort_unstable();
        self.held.retain(|d| last.binary_search(d).is_err());
        self.held.extend(added);
        let surplus = self.held.len().saturating_sub(MAX_REMEMBERED_KEYS);
        self.held.drain(..surplus);
        self.sorted.clone_from(&self.held);
        self.sorted.sort_unstable();
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether a version held this key.
    #[must_use]
    pub fn holds(&self, key: &str) -> bool {
        self.sorted.binary_search(&KeyDigest::of(key)).is_ok()
    }

    /// Returns whether a version required keys.
    #[must_use]
    pub const fn has_used_keys(&self) -> bool {
        self.has_used_keys
    }

    /// Returns whether this history holds all that another one does.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let has = |digest: &KeyDigest| self.sorted.binary_search(digest).is_ok();
        self.has_used_keys >= other.has_used_keys && other.held.iter().all(has)
    }
}
