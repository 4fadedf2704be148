//! Whether a request that was refused or has failed may have run on an upstream.
//!
//! Each refusal and each failed answer carries a [`Verdict`]. A caller may safely retry a request
//! that is not idempotent only if the verdict is [`Verdict::NotRun`]. Both daemons use [`Verdict`];
//! [`Reason`] and [`Refusal`] are those of the `vanillakeel-entry` daemon.
//!
//! ```
//! use vanillakeel::Verdict;
//!
//! assert!(Verdict::NotRun.allows_retry(false));
//! assert!(!Verdict::MayHaveRun.allows_retry(false));
//! assert!(Verdict::MayHaveRun.allows_retry(true));
//! ```

use std::fmt;

/// Whether an upstream has run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No upstream has run it, and none will.
    NotRun,
    /// An upstream may have run it, in whole or in part.
    #[default]
    MayHaveRun,
    /// An upstream has run it.
    Ran,
}

impl Verdict {
    /// Returns the value of the `x-verdict` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Parses the value of an `x-verdict` header.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran]
            .into_iter()
            .find(|v| v.as_str() == text)
    }

    /// Returns whether the request may be retried.
    #[must_use]
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        idempotent || matches!(self, Self::NotRun)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused or has failed.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// the pool's queue is full and nothing of a lower tier is queued
    QueueFull,
    /// the upstreams take no requests from this instance by the rates that they name
    RateLimited,
    /// a request of a higher tier took the place in the queue
    Shed,
    /// the deadline passed before the request was sent
    DeadlineBeforeSend,
    /// the deadline passed after the request was sent
    DeadlineAfterSend,
    /// the upstream failed and the request may not be sent again
    UpstreamFailed,
    /// no attempts or retry budget are left
    RetriesSpent,
    /// no upstream serves the pool
    NoUpstream,
    /// the key was claimed by an earlier request
    KeyClaimed,
    /// the key's time is outside of the window
    KeyExpired,
    /// the claim could not be made before the deadline
    ClaimUnavailable,
    /// the instance is stopping
    Stopping,
    /// the upstream refused the request
    UpstreamRefused,
}

impl Reason {
    /// Returns the stable name of the reason in response bodies and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::RateLimited => "rate_limited",
            Self::Shed => "shed",
            Self::DeadlineBeforeSend => "deadline_before_send",
            Self::DeadlineAfterSend => "deadline_after_send",
            Self::UpstreamFailed => "upstream_failed",
            Self::RetriesSpent => "retries_spent",
            Self::NoUpstream => "no_upstream",
            Self::KeyClaimed => "key_claimed",
            Self::KeyExpired => "key_expired",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::Stopping => "stopping",
            Self::UpstreamRefused => "upstream_refused",
        }
    }

    /// Returns the HTTP status of the response to the caller.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::QueueFull | Self::RateLimited | Self::Shed => 429,
            Self::DeadlineBeforeSend | Self::DeadlineAfterSend => 504,
            Self::UpstreamFailed | Self::RetriesSpent | Self::UpstreamRefused => 502,
            Self::NoUpstream | Self::ClaimUnavailable | Self::Stopping => 503,
            Self::KeyClaimed => 409,
            Self::KeyExpired => 400,
        }
    }
}

/// The final response to a request that the router gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the router gave it up.
    pub reason: Reason,
    /// How long the caller should wait before a retry, in ms; zero for no advice.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Creates a refusal without advice on when to retry.
    #[must_use]
    pub const fn new(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after_ms: 0,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.verdict, self.reason)
    }
}
