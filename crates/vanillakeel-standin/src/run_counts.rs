//! Counts of what the stand-ins have executed, and the deterministic content of their answers.
//!
//! Tests compare the counts with what the callers were told. For example, if a caller was told that
//! its request did not run, the count of its runs has to be zero.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};
use xxhash_rust::xxh3::xxh3_64;

/// Counts of runs per request tag, and of decoded tokens; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    tokens: Arc<AtomicU64>,
}

impl RunCounts {
    /// Records that a request has started to run.
    pub fn record_run(&self, tag: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(tag.to_owned()).or_insert(0) += 1;
    }

    /// Records tokens that an engine has decoded.
    pub fn record_tokens(&self, count: u64) {
        self.tokens.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the number of tokens that all engines have decoded.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Returns how often the request with this tag has started to run.
    #[must_use]
    pub fn runs(&self, tag: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(tag).copied().unwrap_or(0)
    }
}

/// Returns the tag of a request, which is the first word of its prompt or body.
#[must_use]
pub fn request_tag(prompt: &str) -> &str {
    prompt.split_whitespace().next().unwrap_or("")
}

/// Returns the length of the answer to a prompt, in tokens, from 1 to `max_tokens`.
///
/// It depends only on the tag and `max_tokens`, so that an answer can be resumed on another engine
/// and a test can compute its length. The router does not know it beforehand.
#[must_use]
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let hash = xxh3_64(request_tag(prompt).as_bytes());
    let uniform = (hash % 1_000) as f64 / 1_000.0;
    // The square makes short answers more frequent than long ones.
    let length = f64::from(max_tokens) * uniform * uniform;
    (length as u32).clamp(1, max_tokens.max(1))
}

/// Returns the text of the token at `index` of the answer to a prompt.
#[must_use]
pub fn token_text(prompt: &str, index: u32) -> String {
    format!("{}:{index} ", request_tag(prompt))
}
