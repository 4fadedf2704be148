//! Deterministic choice among names, and random numbers from a seed.
//!
//! [`owner`] picks by rendezvous hashing which of the live peers does a shared chore. Two peers
//! with different views may pick differently; that must only ever cost efficiency.
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

/// Hash of a text, the same in all instances.
#[must_use]
pub fn hash(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// Hash of bytes, the same in all instances.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Rendezvous weight of `name` for `chore`.
#[must_use]
pub fn weight(chore: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), hash(chore))
}

/// The name with the highest weight for `chore`.
#[must_use]
pub fn owner<'a>(chore: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (weight(chore, name), *name))
}

/// The place of `me` in the order of weights for `chore`, zero for the owner.
#[must_use]
pub fn rank<'a>(chore: &str, me: &str, names: impl Iterator<Item = &'a str>) -> usize {
    let mine = (weight(chore, me), me);
    names
        .filter(|name| (weight(chore, name), *name) > mine)
        .count()
}

/// Random numbers from a seed.
#[derive(Clone, Debug)]
pub struct Random(rand_pcg::Pcg64Mcg);

impl Random {
    /// Makes a generator; the same seed gives the same numbers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number below `bound`, or zero if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.0.next_u64() % bound
    }

    /// A number in 0 to 1, one excluded.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// True with probability `p`.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// A sample of the exponential distribution with mean `mean`.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
