//! What instances tell each other about crashes. All times are ages, as their clocks differ.

/// A crash of an upstream, with the segments that may have caused it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashReport {
    /// Identifies the process that crashed.
    pub id: u64,
    /// Time since the crash, in ms.
    pub age_ms: u64,
    /// Ids of the segments.
    pub segments: Vec<u64>,
}

/// A segment under suspicion that an upstream has answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SoundSegment {
    /// Id of the segment.
    pub segment: u64,
    /// Time since the last success, in ms.
    pub age_ms: u64,
}

/// A segment that is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlamedSegment {
    /// Id of the segment.
    pub segment: u64,
    /// Time since it was blamed, in ms.
    pub age_ms: u64,
    /// Time since it was asked for last, in ms.
    pub asked_ms: u64,
}

/// What an instance knows that others may not know yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes of which something has become known recently.
    pub crashes: Vec<CrashReport>,
    /// Recent successes with segments under suspicion.
    pub sound: Vec<SoundSegment>,
    /// All segments that are refused.
    pub blamed: Vec<BlamedSegment>,
}
