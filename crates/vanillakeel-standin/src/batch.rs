//! Continuous batching of an engine, without threads or a clock.
//!
//! [`Batch::step`] lets each running sequence produce a token and says how long that took.
//! Sequences wait by priority; a prompt whose prefix is cached costs little.
//!
//! ```
//! use vanillakeel_standin::batch::{Batch, Sequence, Settings};
//!
//! let mut batch = Batch::new(Settings::default());
//! batch.push(Sequence { id: 1, output: 1, ..Sequence::default() });
//! let step = batch.step();
//! assert!(step.tokens[0].is_last);
//! ```

/// Settings of a [`Batch`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Sequences that run at once.
    pub slots: usize,
    /// Sequences that may wait; more are refused as busy.
    pub max_waiting: usize,
    /// Time of a step with one sequence, in ms.
    pub step_ms: f64,
    /// Time that each sequence adds to a step, in ms.
    pub per_sequence_ms: f64,
    /// Prompt tokens that are worked off in one step.
    pub prefill_per_step: u32,
    /// Time that a prompt token adds to its step, in ms.
    pub per_prompt_token_ms: f64,
    /// Part of a prompt that has to be worked off although its prefix is cached.
    pub cached_part: f64,
    /// Prefixes that are cached.
    pub cached_prefixes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 16,
            max_waiting: 64,
            step_ms: 6.0,
            per_sequence_ms: 0.25,
            prefill_per_step: 512,
            per_prompt_token_ms: 0.05,
            cached_part: 0.1,
            cached_prefixes: 24,
        }
    }
}

/// A request as the engine sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    /// Unique.
    pub id: u64,
    /// Priority, zero is the highest.
    pub priority: u8,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Hash of the prompt's prefix; zero for none.
    pub prefix: u64,
    /// Length of the whole answer in tokens.
    pub output: u32,
    /// Tokens of the answer that the caller has already.
    pub from: u32,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    sequence: Sequence,
    prefill: u32,
    next: u32,
}

/// A token that a step has produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The sequence.
    pub id: u64,
    /// Its place in the answer, from zero.
    pub index: u32,
    /// Whether the answer ends with it.
    pub is_last: bool,
}

/// What a step has done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// How long it took, in ms.
    pub ms: f64,
    /// The tokens produced.
    pub tokens: Vec<Token>,
    /// Sequences that began to run.
    pub started: Vec<u64>,
    /// Prefixes that came into the cache and that went.
    pub cached: Vec<(u64, bool)>,
}

/// The sequences of an engine.
#[derive(Clone, Debug)]
pub struct Batch {
    settings: Settings,
    waiting: Vec<(u8, u64, Sequence)>,
    running: Vec<Running>,
    cache: Vec<u64>,
    arrivals: u64,
}

impl Batch {
    /// Makes an engine without sequences.
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

    /// Takes a sequence; returns false if too many wait.
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

    /// Drops a sequence; returns the tokens it had produced, if it was there.
    pub fn cancel(&mut self, id: u64) -> Option<u32> {
        if let Some(at) = self.waiting.iter().position(|w| w.2.id == id) {
            self.waiting.remove(at);
            return Some(0);
        }
        let at = self.running.iter().position(|r| r.sequence.id == id)?;
        let gone = self.running.remove(at);
        Some(gone.next - gone.sequence.from)
    }

    /// Drops all sequences and the cache, as in a crash.
    pub fn clear(&mut self) -> Vec<u64> {
        let waiting = self.waiting.drain(..).map(|w| w.2.id);
        let running = self.running.drain(..).map(|r| r.sequence.id);
        self.cache.clear();
        waiting.chain(running).collect()
    }

    /// Sequences that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Lets each running sequence go on by a token or a piece of its prompt.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        self.start_waiting(&mut step);
        let worked_off = self.prefill();
        step.ms = self.settings.step_ms
            + self.settings.per_sequence_ms * self.running.len() as f64
            + self.settings.per_prompt_token_ms * f64::from(worked_off);
        self.produce(&mut step);
        step
    }

    fn start_waiting(&mut self, step: &mut Step) {
        while self.running.len() < self.settings.slots && !self.waiting.is_empty() {
            let (_, _, sequence) = self.waiting.remove(0);
            let is_cached = self.touch(sequence.prefix, step);
            let part = if is_cached {
                self.settings.cached_part
            } else {
                1.0
            };
            let prompt = f64::from(sequence.prompt + sequence.from) * part;
            step.started.push(sequence.id);
            self.running.push(Running {
                sequence,
                prefill: prompt as u32,
                next: sequence.from,
            });
        }
    }

    /// Brings a prefix to the front of the cache; returns whether it was there.
    fn touch(&mut self, prefix: u64, step: &mut Step) -> bool {
        if prefix == 0 {
            return false;
        }
        let found = self.cache.iter().position(|p| *p == prefix);
        if let Some(at) = found {
            self.cache.remove(at);
        } else {
            step.cached.push((prefix, true));
        }
        self.cache.push(prefix);
        if self.cache.len() > self.settings.cached_prefixes {
            step.cached.push((self.cache.remove(0), false));
        }
        found.is_some()
    }

    fn prefill(&mut self) -> u32 {
        let mut left = self.settings.prefill_per_step;
        for r in &mut self.running {
            let part = r.prefill.min(left);
            r.prefill -= part;
            left -= part;
        }
        self.settings.prefill_per_step - left
    }

    fn produce(&mut self, step: &mut Step) {
        for r in self.running.iter_mut().filter(|r| r.prefill == 0) {
            let is_last = r.next + 1 >= r.sequence.output;
            step.tokens.push(Token {
                id: r.sequence.id,
                index: r.next,
                is_last,
            });
            r.next += 1;
        }
        self.running
            .retain(|r| r.prefill > 0 || r.next < r.sequence.output);
    }
}
