//! Retries, hedges and resumption of requests, and the retry budgets of both daemons.
//!
//! The pass-through daemon uses [`WindowBudget`] only, and the `vanillakeel-entry` daemon everything
//! else.
//!
//! [`PendingRequest`] is the state of one request from admission to its final answer; it decides
//! whether another attempt may follow. [`Budget`] bounds retries to a fraction of the attempts
//! sent, so that failures cannot multiply the load.
//!
//! ```
//! use vanillakeel::attempt::{Budget, BudgetSettings};
//!
//! let mut budget = Budget::new(BudgetSettings { initial: 1.0, ..Default::default() });
//! assert!(budget.take());
//! assert!(!budget.take());
//! ```

mod answer_lengths;
mod budget;
mod pending;

pub use self::{
    answer_lengths::AnswerLengths,
    budget::{
        Budget,
        BudgetSettings,
        WindowBudget,
        WindowSettings,
        WindowUsage, //
    },
    pending::{
        Attempt,
        End,
        PendingRequest,
        RetryDecision, //
    },
};

/// Settings of retries, hedges and preemption.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most attempts of one request; attempts cancelled by preemption or migration do not count.
    pub max_attempts: u32,
    /// Whether a request that may have run is sent again although it is not idempotent, and without
    /// regard to the retry budget; only the baseline of the benchmark sets it.
    pub blind_retry: bool,
    /// Whether a broken stream is resumed after its last delivered token.
    pub resume: bool,
    /// Whether idempotent requests of high tiers are hedged, that is sent to a second upstream when
    /// the first is slow.
    pub hedge: bool,
    /// Lowest tier that is hedged.
    pub lowest_hedged_tier: u8,
    /// A hedge is sent once this fraction of the target latency has passed without a token.
    pub hedge_after_fraction: f64,
    /// An attempt has stalled after this time without a further token, in ms.
    pub stall_ms: u64,
    /// An attempt has stalled after this time without a first token, in ms.
    pub first_token_stall_ms: u64,
    /// Whether requests are migrated to another upstream when theirs is ejected as a straggler.
    pub migrate_from_stragglers: bool,
    /// Whether requests of lower tiers are preempted for protected ones.
    pub preempt: bool,
    /// Retry budget, from which hedges and migrations are taken too.
    pub budget: BudgetSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            blind_retry: false,
            resume: true,
            hedge: true,
            lowest_hedged_tier: 1,
            hedge_after_fraction: 0.5,
            stall_ms: 1_000,
            first_token_stall_ms: 10_000,
            migrate_from_stragglers: true,
            preempt: true,
            budget: BudgetSettings::default(),
        }
    }
}
