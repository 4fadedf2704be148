//! Attempts of a request: when one may be repeated, hedged, resumed or has to be given up.
//!
//! [`Call`] is the state of one request from admission to its final answer. [`Budget`] bounds
//! repeats to a share of the calls sent, so that failures cannot multiply the load.
//!
//! ```
//! use vanillakeel::attempt::{Budget, BudgetSettings};
//!
//! let mut budget = Budget::new(BudgetSettings { initial: 1.0, ..Default::default() });
//! assert!(budget.take());
//! assert!(!budget.take());
//! ```

mod budget;
mod call;
mod lengths;

pub use self::{
    budget::{
        Budget,
        BudgetSettings,
        WindowBudget,
        WindowSettings, //
    },
    call::{
        Attempt,
        Call,
        End,
        Next, //
    },
    lengths::Lengths,
};

/// Settings of attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most attempts of one request.
    pub max_tries: u32,
    /// Whether a request that may have run is sent again although it is not idempotent; only a
    /// baseline sets it.
    pub blind_retry: bool,
    /// Whether a broken stream is resumed from its last token.
    pub resume: bool,
    /// Whether idempotent requests of high tiers are hedged.
    pub hedge: bool,
    /// Lowest tier that is hedged.
    pub hedge_tier: u8,
    /// A hedge is sent once this share of the target has passed without a token.
    pub hedge_after: f64,
    /// A stream is given up after this long without a token, in ms.
    pub stall_ms: u64,
    /// A call is given up after this long without a first token, in ms.
    pub first_token_stall_ms: u64,
    /// Whether calls are moved away from an upstream that is ejected for straggling.
    pub move_away: bool,
    /// Whether low tiers are preempted for protected requests.
    pub preempt: bool,
    /// Retry budget.
    pub budget: BudgetSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_tries: 4,
            blind_retry: false,
            resume: true,
            hedge: true,
            hedge_tier: 1,
            hedge_after: 0.5,
            stall_ms: 1_000,
            first_token_stall_ms: 10_000,
            move_away: true,
            preempt: true,
            budget: BudgetSettings::default(),
        }
    }
}
