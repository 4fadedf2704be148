//! What the stand-ins have run, to be compared with what callers were told.

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

/// Runs by request tag, and tokens produced.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    tokens: Arc<AtomicU64>,
}

impl Ledger {
    /// Notes that a request has begun to run.
    pub fn note_run(&self, tag: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(tag.to_owned()).or_insert(0) += 1;
    }

    /// Notes tokens that an engine has produced.
    pub fn note_tokens(&self, count: u64) {
        self.tokens.fetch_add(count, Ordering::Relaxed);
    }

    /// Tokens that engines have produced.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// How often a request has begun to run.
    #[must_use]
    pub fn runs(&self, tag: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(tag).copied().unwrap_or(0)
    }
}

/// The tag of a request: the first word of its prompt or body.
#[must_use]
pub fn request_tag(prompt: &str) -> &str {
    prompt.split_whitespace().next().unwrap_or("")
}

/// Length of the answer to a prompt, in tokens, which no one but the engine knows beforehand.
#[must_use]
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let hash = xxh3_64(request_tag(prompt).as_bytes());
    let unit = (hash % 1_000) as f64 / 1_000.0;
    let length = f64::from(max_tokens) * unit * unit;
    (length as u32).clamp(1, max_tokens.max(1))
}

/// Text of the token at `index` of the answer to a prompt.
#[must_use]
pub fn token_text(prompt: &str, index: u32) -> String {
    format!("{}:{index} ", request_tag(prompt))
}
