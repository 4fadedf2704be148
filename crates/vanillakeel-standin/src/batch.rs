//! The continuous batching of a model engine, without threads or a clock.
//!
//! [`BatchScheduler::step`] runs one step of the engine: each running sequence is prefilled further
//! or decodes one token, and the result tells how long the step takes. Sequences wait in order of
//! priority. The prefill of a prompt whose prefix is in the prefix cache costs little.
//!
//! ```
//! use vanillakeel_standin::batch::{BatchScheduler, Sequence, Settings};
//!
//! let mut scheduler = BatchScheduler::new(Settings::default());
//! scheduler.push(Sequence { id: 1, output_tokens: 1, ..Sequence::default() });
//! let step = scheduler.step();
//! assert!(step.tokens[0].is_last);
//! ```

/// Settings of a [`BatchScheduler`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Largest number of sequences that run at the same time.
    pub slots: usize,
    /// Largest number of waiting sequences; further ones are refused as busy.
    pub max_waiting: usize,
    /// Base duration of a step, in ms.
    pub base_step_ms: f64,
    /// Time that each running sequence adds to a step, in ms.
    pub per_sequence_ms: f64,
    /// Largest number of prompt tokens that are prefilled in one step.
    pub prefill_tokens_per_step: u32,
    /// Time that each prefilled prompt token adds to its step, in ms.
    pub per_prefill_token_ms: f64,
    /// Fraction of the prompt and the resumed tokens that has to be prefilled even if the prefix is
    /// cached.
    pub cached_prefill_fraction: f64,
    /// Number of prefixes that the prefix cache holds.
    pub prefix_cache_capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 16,
            max_waiting: 64,
            base_step_ms: 6.0,
            per_sequence_ms: 0.25,
            prefill_tokens_per_step: 512,
            per_prefill_token_ms: 0.05,
            cached_prefill_fraction: 0.1,
            prefix_cache_capacity: 24,
        }
    }
}

/// A request as the engine's scheduler sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    /// Unique number of the sequence.
    pub id: u64,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hash of the prompt's prefix; zero if it has none that could be cached.
    pub prefix_hash: u64,
    /// Length of the whole answer in tokens, including the tokens before `resume_from`.
    pub output_tokens: u32,
    /// Number of tokens of the answer that the caller has already; decoding resumes after them.
    pub resume_from: u32,
}

/// A sequence that occupies a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    sequence: Sequence,
    /// Prompt tokens that are still to be prefilled.
    prefill_left: u32,
    /// Index of the next token in the answer.
    next_index: u32,
}

/// A token that a step has decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The number of its sequence.
    pub id: u64,
    /// Its index in the answer, from zero.
    pub index: u32,
    /// Whether it is the last token of the answer.
    pub is_last: bool,
}

/// The result of one step of the engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// How long the step takes, in ms.
    pub duration_ms: f64,
    /// The decoded tokens, at most one per running sequence.
    pub tokens: Vec<Token>,
    /// Numbers of the sequences that started to run in this step.
    pub started: Vec<u64>,
    /// Changes of the prefix cache: hashes of prefixes with true if added, false if evicted.
    pub cache_changes: Vec<(u64, bool)>,
}

/// The continuous batching scheduler of an engine, with its sequences and its prefix cache.
#[derive(Clone, Debug)]
pub struct BatchScheduler {
    settings: Settings,
    /// Sequences with their priority and arrival number, in the order in which they will start.
    waiting: Vec<(u8, u64, Sequence)>,
    running: Vec<Running>,
    /// Hashes of the cached prefixes, the least recently used first.
    cache: Vec<u64>,
    /// Number of sequences that were queued so far.
    arrivals: u64,
}

impl BatchScheduler {
    /// Returns a scheduler without sequences and with an empty prefix cache.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: Vec::new(),
            arrivals: 0,
        }
    }

    /// Queues a sequence; returns false if the queue is full.
    pub fn push(&mut self, sequence: Sequence) -> bool {
        if self.waiting.len() >= self.settings.max_waiting {
            return false;
        }
        self.arrivals += 1;
        let key = (sequence.priority, self.arrivals);
        let at = self.waiting.partition_point(|w| (w.0, w.1) < key);
        self.waiting.insert(at, (key.0, key.1, sequence));
        true
    }

    /// Removes a sequence and returns the number of tokens it had decoded; `None` if it is unknown.
    pub fn cancel(&mut self, id: u64) -> Option<u32> {
        if let Some(at) = self.waiting.iter().position(|w| w.2.id == id) {
            self.waiting.remove(at);
            return Some(0);
        }
        let at = self.running.iter().position(|r| r.sequence.id == id)?;
        let removed = self.running.remove(at);
        Some(removed.next_index - removed.sequence.resume_from)
    }

    /// Removes all sequences and empties the prefix cache, as a crash does; returns the numbers of
    /// the sequences.
    pub fn clear(&mut self) -> Vec<u64> {
        let waiting = self.waiting.drain(..).map(|w| w.2.id);
        let running = self.running.drain(..).map(|r| r.sequence.id);
        self.cache.clear();
        waiting.chain(running).collect()
    }

    /// Returns the number of running sequences.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting sequences.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no sequence runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Runs one step: starts waiting sequences in free slots, prefills prompts up to the limit per
    /// step, and decodes one token of each sequence whose prefill is complete.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        self.start_waiting(&mut step);
        let prefilled_tokens = self.prefill();
        step.duration_ms = self.settings.base_step_ms
            + self.settings.per_sequence_ms * self.running.len() as f64
            + self.settings.per_prefill_token_ms * f64::from(prefilled_tokens);
        self.decode(&mut step);
        step
    }

    /// Moves waiting sequences into free slots.
    fn start_waiting(&mut self, step: &mut Step) {
        while self.running.len() < self.settings.slots && !self.waiting.is_empty() {
            let (_, _, sequence) = self.waiting.remove(0);
            let is_cached = self.use_prefix(sequence.prefix_hash, step);
            let fraction = if is_cached {
                self.settings.cached_prefill_fraction
            } else {
                1.0
            };
            // The tokens that the caller has already are prefilled together with the prompt.
            let prefill = f64::from(sequence.prompt_tokens + sequence.resume_from) * fraction;
            step.started.push(sequence.id);
            self.running.push(Running {
                sequence,
                prefill_left: prefill as u32,
                next_index: sequence.resume_from,
            });
        }
    }

    /// Marks a prefix as the most recently used one, and evicts the least recently used one if the
    /// cache is full; returns whether the prefix was cached.
    fn use_prefix(&mut self, prefix_hash: u64, step: &mut Step) -> bool {
        if prefix_hash == 0 {
            return false;
        }
        let found = self.cache.iter().position(|p| *p == prefix_hash);
        if let Some(at) = found {
            self.cache.remove(at);
        } else {
            step.cache_changes.push((prefix_hash, true));
        }
        self.cache.push(prefix_hash);
        if self.cache.len() > self.settings.prefix_cache_capacity {
            step.cache_changes.push((self.cache.remove(0), false));
        }
        found.is_some()
    }

    /// Prefills running sequences in the order of their start, up to the limit per step; returns
    /// the number of prefilled tokens.
    fn prefill(&mut self) -> u32 {
        let mut left = self.settings.prefill_tokens_per_step;
        for r in &mut self.running {
            let prefilled = r.prefill_left.min(left);
            r.prefill_left -= prefilled;
            left -= prefilled;
        }
        self.settings.prefill_tokens_per_step - left
    }

    /// Decodes one token of each sequence without prefill left, and removes finished sequences.
    fn decode(&mut self, step: &mut Step) {
        for r in self.running.iter_mut().filter(|r| r.prefill_left == 0) {
            let is_last = r.next_index + 1 >= r.sequence.output_tokens;
            step.tokens.push(Token {
                id: r.sequence.id,
                index: r.next_index,
                is_last,
            });
            r.next_index += 1;
        }
        self.running
            .retain(|r| r.prefill_left > 0 || r.next_index < r.sequence.output_tokens);
    }
}
