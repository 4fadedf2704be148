//! Deterministic choice among names by rendezvous hashing, and seeded random numbers.
//!
//! [`owner`] picks which of the live peers performs a shared task. Two peers with different views
//! may pick differently; such a disagreement must only cost efficiency.
//!
//! ```
//! use vanillakeel::order;
//!
//! let peers = ["a", "b", "c"];
//! let first = order::owner("pool", peers.iter().copied());
//! assert_eq!(first, order::owner("pool", ["c", "b", "a"].into_iter()));
//! ```

use rand_core::Rng as _;
use rand_core::SeedableRng as _;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the hash of a string, which is the same at all instances.
#[must_use]
pub fn hash(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// Returns the hash of bytes, which is the same at all instances.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Returns the rendezvous weight of `name` for `key`.
#[must_use]
pub fn weight(key: &str, name: &str) -> u64 {
    weight_for(hash(key), name)
}

/// Returns the rendezvous weight of `name` for a key that is a hash already.
#[must_use]
pub fn weight_for(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the name with the highest weight for `key`.
#[must_use]
pub fn owner<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (weight(key, name), *name))
}

/// Returns the position of `me` in the descending order of weights for `key`; the owner has
/// position zero.
#[must_use]
pub fn position<'a>(key: &str, me: &str, names: impl Iterator<Item = &'a str>) -> usize {
    let mine = (weight(key, me), me);
    names
        .filter(|name| (weight(key, name), *name) > mine)
        .count()
}

/// A seeded pseudorandom number generator.
#[derive(Clone, Debug)]
pub struct Random(rand_pcg::Pcg64Mcg);

impl Random {
    /// Creates a generator; equal seeds give equal sequences.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a number below `bound`, or zero if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.0.next_u64() % bound
    }

    /// Returns a number from 0 to 1, excluding 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with probability `p`.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// Returns a sample of the exponential distribution with mean `mean`.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
