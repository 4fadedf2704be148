//! Settings of a quarantine.

use super::subject::Subject;

/// Time for which a crash is remembered with those suspects that no upstream has answered since, in ms: three
/// requests that come as seldom as a verdict lasts.
pub const SUSPECT_TTL_MS: u64 = 1_800_000;

/// Settings of a [`Quarantine`](super::Quarantine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Crashes without a success in between for which a subject is blamed that no upstream is known to
    /// have answered.
    pub crashes: u32,
    /// The same number for a segment that was answered before. So many suffice for any segment if they are
    /// not all at the same time.
    pub crashes_of_answered: u32,
    /// Time within which crashes count as one, in ms: the processes of a machine or a rack end together.
    pub crash_spacing_ms: u64,
    /// Time for which a crash is remembered with all its suspects, in ms; those that no upstream has answered since are
    /// remembered for [`SUSPECT_TTL_MS`].
    pub crash_ttl_ms: u64,
    /// Time after the last request for it for which a subject stays blamed, in ms.
    pub hold_ms: u64,
    /// Time after a provisional verdict from which one request is let through, in ms.
    pub trial_ms: u64,
    /// Time for which news are repeated to other instances, in ms; repetition covers lost datagrams.
    pub repeat_ms: u64,
    /// Most subjects whose last success is known.
    pub max_answered: usize,
    /// Subjects that are never blamed, in ascending order.
    pub exempt: Vec<Subject>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            crashes: 3,
            crashes_of_answered: 5,
            crash_spacing_ms: 250,
            crash_ttl_ms: 60_000,
            hold_ms: 600_000,
            trial_ms: 1_000,
            repeat_ms: 600,
            max_answered: 4_096,
            exempt: Vec::new(),
        }
    }
}
