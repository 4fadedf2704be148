//! What instances tell each other about crashes. All times are ages, as their clocks differ.

use super::subject::Subject;

/// A crash of an upstream, with what may have caused it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Identifies the process that crashed.
    pub id: u64,
    /// Time since the crash, in ms.
    pub age_ms: u64,
    /// What the calls had that it had not answered for a while.
    pub suspects: Vec<Subject>,
}

/// A subject under suspicion that an upstream has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoundSubject {
    /// Which one.
    pub subject: Subject,
    /// Time since the last success, in ms.
    pub age_ms: u64,
}

/// A subject that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlamedSubject {
    /// Which one.
    pub subject: Subject,
    /// Time since it was blamed, in ms.
    pub age_ms: u64,
    /// Time since it was asked for last, in ms.
    pub asked_ms: u64,
    /// Whether a request has to show whether the verdict is right.
    pub is_provisional: bool,
    /// Requests that were let through to show it; the last one may be under way.
    pub trials: u32,
    /// Time since the last of them, in ms.
    pub tried_ms: Option<u64>,
}

/// What an instance knows that others may not know yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes of which something has become known recently.
    pub crashes: Vec<CrashReport>,
    /// Recent successes with subjects under suspicion.
    pub sound: Vec<SoundSubject>,
    /// All subjects that are refused.
    pub blamed: Vec<BlamedSubject>,
}
