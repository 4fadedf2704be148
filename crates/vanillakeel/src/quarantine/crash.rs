//! Crashes of upstreams that are remembered, and series of them.

use super::subject::Subject;
use crate::Millis;

/// A crash that is remembered.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) id: u64,
    pub(super) at: Millis,
    /// Sorted.
    pub(super) suspects: Vec<Subject>,
    /// Time at which a suspect was added last.
    pub(super) changed: Millis,
    /// Whether it holds only suspects that no upstream has answered since.
    pub(super) is_old: bool,
}

impl Crash {
    pub(super) fn has(&self, subject: Subject) -> bool {
        self.suspects.binary_search(&subject).is_ok()
    }
}

/// Crashes with a subject under suspicion and without a success in between.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashSeries {
    pub(super) crashes: u32,
    /// Number of crashes if those at almost the same time count as one.
    pub(super) moments: u32,
    pub(super) first: Millis,
}

impl CrashSeries {
    pub(super) const fn length(&self) -> (u32, u32) {
        (self.moments, self.crashes)
    }

    /// Returns the series of the crashes with a subject since it was answered last; those that are closer than
    /// `spacing_ms` are one time.
    pub(super) fn of(
        crashes: &[&Crash],
        subject: Subject,
        answered: Option<Millis>,
        spacing_ms: u64,
    ) -> Option<Self> {
        let is_since = |at: Millis| answered.is_none_or(|answered| at > answered);
        let mut times: Vec<Millis> = crashes
            .iter()
            .filter(|c| c.has(subject) && is_since(c.at))
            .map(|c| c.at)
            .collect();
        times.sort_unstable();
        let first = *times.first()?;
        let (mut moments, mut last) = (1, first);
        for at in &times {
            if at.since(last) >= spacing_ms {
                moments += 1;
                last = *at;
            }
        }
        Some(Self {
            crashes: u32::try_from(times.len()).unwrap_or(u32::MAX),
            moments,
            first,
        })
    }
}
