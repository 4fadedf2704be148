//! Which segments are blamed, and why.

use super::{
    evidence::{
        BlamedSegment,
        CrashReport,
        Evidence,
        SoundSegment, //
    },
    sound::LastSuccesses,
};
use crate::Millis;

/// Settings of a [`Quarantine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Crashes without a success in between for which a segment is blamed that no upstream is known to
    /// have answered.
    pub crashes: u32,
    /// The same number for a segment that was answered before. So many suffice for any segment if they are
    /// not all at the same time.
    pub crashes_of_answered: u32,
    /// Time within which crashes count as one, in ms: the processes of a machine or a rack end together.
    pub crash_spacing_ms: u64,
    /// Time for which a crash is remembered, in ms.
    pub crash_ttl_ms: u64,
    /// Time after the last request for it for which a segment stays blamed, in ms.
    pub hold_ms: u64,
    /// Time for which news are repeated to other instances, in ms; repetition covers lost datagrams.
    pub repeat_ms: u64,
    /// Most segments whose last success is known.
    pub max_answered: usize,
    /// Segments that are never blamed, in ascending order.
    pub exempt: Vec<u64>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            crashes: 3,
            crashes_of_answered: 5,
            crash_spacing_ms: 250,
            crash_ttl_ms: 60_000,
            hold_ms: 600_000,
            repeat_ms: 600,
            max_answered: 4_096,
            exempt: Vec::new(),
        }
    }
}

/// Fewest times at which upstreams have crashed before a segment is blamed.
const MIN_MOMENTS: u32 = 2;

/// Most crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Most segments that are remembered of a crash.
const MAX_SUSPECTS: usize = 64;

/// Most segments that are refused at once.
const MAX_BLAMED: usize = 64;

/// A crash that is remembered.
#[derive(Clone, Debug)]
struct Crash {
    id: u64,
    at: Millis,
    /// Sorted.
    segments: Vec<u64>,
    /// Time at which a suspect was added last.
    changed: Millis,
}

impl Crash {
    fn has(&self, segment: u64) -> bool {
        self.segments.binary_search(&segment).is_ok()
    }
}

/// Crashes with a segment under suspicion and without a success in between.
#[derive(Clone, Copy, Debug)]
struct CrashSeries {
    crashes: u32,
    /// Number of crashes if those at almost the same time count as one.
    moments: u32,
    first: Millis,
}

impl CrashSeries {
    const fn length(&self) -> (u32, u32) {
        (self.moments, self.crashes)
    }
}

/// A segment that is refused.
#[derive(Clone, Copy, Debug)]
struct Blamed {
    segment: u64,
    since: Millis,
    last_asked: Millis,
}

/// A change of what is refused, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A segment is refused from now on.
    Blamed {
        /// Id of the segment.
        segment: u64,
        /// Crashes that it explains.
        crashes: u32,
        /// Time since the first of them, in ms.
        first_ms: u64,
        /// Time since the last known success with it before, in ms.
        answered_ms: Option<u64>,
    },
    /// Another instance has blamed a segment.
    Adopted {
        /// Id of the segment.
        segment: u64,
    },
    /// A segment is no longer refused.
    Lifted {
        /// Id of the segment.
        segment: u64,
        /// Whether an upstream has answered it; otherwise nobody has asked for it for long.
        is_answered: bool,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Id of the blamed segment.
    pub segment: u64,
    /// Time for which the segment is refused if nobody asks for it, in ms.
    pub retry_after_ms: u64,
}

/// The segments that crash upstreams, as far as an instance knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: Settings,
    crashes: Vec<Crash>,
    /// Segments with so many crashes that a further one may blame them, sorted.
    watched: Vec<u64>,
    answered: LastSuccesses,
    blamed: Vec<Blamed>,
    /// Segments that another instance refuses although they have been answered since, with the times at
    /// which it said so last.
    disputed: Vec<(u64, Millis)>,
}

impl Quarantine {
    /// Creates a quarantine that blames nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the settings; segments that are now exempt are no longer refused.
    pub fn set_settings(&mut self, settings: Settings) -> Vec<Change> {
        self.settings = settings;
        let is_exempt = |b: &Blamed| self.settings.exempt.binary_search(&b.segment).is_ok();
        let lifted: Vec<_> = self.blamed.iter().copied().filter(is_exempt).collect();
        self.lift(&lifted, false)
    }

    /// Returns whether an upstream is known to have answered each of these segments.
    #[must_use]
    pub fn are_answered(&self, segments: &[u64]) -> bool {
        segments.iter().all(|s| self.answered.of(*s).is_some())
    }

    /// Returns the number of segments that are refused.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.blamed.len()
    }

    /// Returns whether no segment is refused.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.blamed.is_empty()
    }

    /// Returns why a request with these shared segments has to be refused, if it has to be.
    ///
    /// The request counts as one that asks for the segment.
    pub fn refuse(&mut self, now: Millis, segments: &[u64]) -> Option<Refused> {
        let hold_ms = self.settings.hold_ms;
        let blamed = self
            .blamed
            .iter_mut()
            .find(|b| segments.contains(&b.segment) && now.since(b.last_asked) < hold_ms)?;
        blamed.last_asked = blamed.last_asked.max(now);
        Some(Refused {
            segment: blamed.segment,
            retry_after_ms: hold_ms,
        })
    }

    /// Records that an upstream has answered a request with these shared segments.
    pub fn on_answered(&mut self, now: Millis, segments: &[u64]) -> Vec<Change> {
        let mut changes = Vec::new();
        for segment in segments {
            changes.extend(self.on_success(now, *segment));
        }
        changes
    }

    fn on_success(&mut self, at: Millis, segment: u64) -> Vec<Change> {
        let max_segments = self.settings.max_answered;
        self.answered.record(at, segment, max_segments);
        let is_disproved = |b: &Blamed| b.segment == segment && at > b.since;
        if !self.blamed.iter().any(is_disproved) {
            return Vec::new();
        }
        let lifted: Vec<_> = self.blamed.iter().copied().filter(is_disproved).collect();
        self.lift(&lifted, true)
    }

    /// Records the crash of the process `id`, under which requests with these shared segments ran that had
    /// not been answered for a while.
    ///
    /// The same crash may be recorded several times, with further segments.
    pub fn on_crash(&mut self, now: Millis, id: u64, segments: &[u64]) -> Vec<Change> {
        self.add_crash(now, id, now, segments);
        self.judge(now, true)
    }

    /// Returns what other instances may not know yet.
    #[must_use]
    pub fn evidence(&self, now: Millis) -> Evidence {
        let repeat_ms = self.settings.repeat_ms;
        let is_news = |at: Millis| now.since(at) <= repeat_ms;
        let news = self.crashes.iter().filter(|c| is_news(c.changed));
        let crashes = news.map(|c| CrashReport {
            id: c.id,
            age_ms: now.since(c.at),
            segments: c.segments.clone(),
        });
        let blamed = self.blamed.iter().map(|b| b.segment);
        let suspects = self.watched.iter().copied().chain(blamed);
        let has_recent_crash = |s: u64| self.crashes.iter().any(|c| is_news(c.changed) && c.has(s));
        let is_recent = |s: &u64| self.answered.of(*s).is_some_and(is_news);
        let disputed = self.disputed.iter().filter(|(_, at)| is_news(*at));
        let told = suspects
            .filter(|s| is_recent(s) || has_recent_crash(*s))
            .chain(disputed.map(|(segment, _)| *segment));
        let sound = told.filter_map(|segment| {
            let age_ms = now.since(self.answered.of(segment)?);
            Some(SoundSegment { segment, age_ms })
        });
        let blamed = self.blamed.iter().map(|b| BlamedSegment {
            segment: b.segment,
            age_ms: now.since(b.since),
            asked_ms: now.since(b.last_asked),
        });
        Evidence {
            crashes: crashes.collect(),
            sound: sound.collect(),
            blamed: blamed.collect(),
        }
    }

    /// Adds what another instance knows.
    pub fn on_evidence(&mut self, now: Millis, evidence: &Evidence) -> Vec<Change> {
        let mut changes = Vec::new();
        for sound in &evidence.sound {
            changes.extend(self.on_success(now.minus(sound.age_ms), sound.segment));
        }
        let mut is_new = false;
        for crash in &evidence.crashes {
            let at = now.minus(crash.age_ms);
            is_new |= self.add_crash(now, crash.id, at, &crash.segments);
        }
        for blamed in &evidence.blamed {
            changes.extend(self.adopt(now, blamed));
        }
        changes.extend(self.judge(now, is_new));
        changes
    }

    /// Refuses a segment that another instance has blamed, unless it has been answered since.
    fn adopt(&mut self, now: Millis, told: &BlamedSegment) -> Option<Change> {
        let since = now.minus(told.age_ms);
        let last_asked = now.minus(told.asked_ms);
        let segment = told.segment;
        if let Some(known) = self.blamed.iter_mut().find(|b| b.segment == segment) {
            known.last_asked = known.last_asked.max(last_asked);
            return None;
        }
        if self.answered.of(segment) > Some(since) {
            self.dispute(now, segment);
            return None;
        }
        let is_over = told.asked_ms >= self.settings.hold_ms;
        if is_over || !self.may_blame(segment) {
            return None;
        }
        self.blamed.push(Blamed {
            segment,
            since,
            last_asked,
        });
        Some(Change::Adopted { segment })
    }

    /// Notes that other instances have to learn of the last success with a segment.
    fn dispute(&mut self, now: Millis, segment: u64) {
        let repeat_ms = self.settings.repeat_ms;
        self.disputed
            .retain(|(s, at)| *s != segment && now.since(*at) <= repeat_ms);
        if self.disputed.len() < MAX_BLAMED {
            self.disputed.push((segment, now));
        }
    }

    fn may_blame(&self, segment: u64) -> bool {
        let is_exempt = self.settings.exempt.binary_search(&segment).is_ok();
        !is_exempt && self.blamed.len() < MAX_BLAMED
    }

    /// Adds a crash or further suspects of it; returns whether any of this is new.
    fn add_crash(&mut self, now: Millis, id: u64, at: Millis, segments: &[u64]) -> bool {
        let found = self.crashes.iter().position(|c| c.id == id);
        let found = found.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash {
                id,
                at,
                segments: Vec::new(),
                changed: now,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[found];
        let known = crash.segments.len();
        for segment in segments {
            if let Err(place) = crash.segments.binary_search(segment)
                && crash.segments.len() < MAX_SUSPECTS
            {
                crash.segments.insert(place, *segment);
                crash.changed = now;
            }
        }
        crash.segments.len() > known
    }

    /// Finds the segments that a further crash may blame.
    fn watch(&mut self) {
        let needed = self.settings.crashes.min(MIN_MOMENTS) as usize;
        let mut suspects: Vec<u64> = self
            .crashes
            .iter()
            .flat_map(|c| &c.segments)
            .copied()
            .collect();
        suspects.sort_unstable();
        let runs = suspects.chunk_by(|a, b| a == b);
        self.watched = runs
            .filter(|run| run.len() >= needed)
            .map(|run| run[0])
            .collect();
    }

    /// Ends verdicts that are over; if a crash is new, blames segments until the crashes that are left are
    /// not evidence enough.
    fn judge(&mut self, now: Millis, is_new: bool) -> Vec<Change> {
        let (ttl_ms, hold_ms) = (self.settings.crash_ttl_ms, self.settings.hold_ms);
        let is_over = |b: &Blamed| now.since(b.last_asked) >= hold_ms;
        let over: Vec<_> = self.blamed.iter().copied().filter(is_over).collect();
        let mut changes = self.lift(&over, false);
        if !is_new {
            return changes;
        }
        self.crashes.retain(|c| now.since(c.at) < ttl_ms);
        self.watch();
        while let Some((segment, series)) = self.next_to_blame() {
            self.blamed.push(Blamed {
                segment,
                since: now,
                last_asked: now,
            });
            changes.push(Change::Blamed {
                segment,
                crashes: series.crashes,
                first_ms: now.since(series.first),
                answered_ms: self.answered.of(segment).map(|at| now.since(at)),
            });
        }
        changes
    }

    /// Returns the segment with the longest series of crashes, if it is long enough to blame it.
    ///
    /// While several have the same series, further crashes have to decide between them, but not for ever.
    fn next_to_blame(&self) -> Option<(u64, CrashSeries)> {
        let is_explained = |c: &&Crash| self.blamed.iter().any(|b| c.has(b.segment));
        let unexplained: Vec<&Crash> = self.crashes.iter().filter(|c| !is_explained(c)).collect();
        let candidates: Vec<_> = self
            .watched
            .iter()
            .copied()
            .filter(|segment| self.may_blame(*segment))
            .filter_map(|segment| {
                let series = self.series(&unexplained, segment)?;
                self.suffices(segment, series).then_some((segment, series))
            })
            .collect();
        let (segment, longest) = *candidates.iter().max_by_key(|(_, s)| s.length())?;
        let is_longest = |s: &CrashSeries| s.length() == longest.length();
        let ties = candidates.iter().filter(|(_, s)| is_longest(s)).count();
        let is_decided = ties == 1 || longest.moments >= self.settings.crashes_of_answered;
        is_decided.then_some((segment, longest))
    }

    /// Returns whether a series of crashes is long enough to blame a segment.
    fn suffices(&self, segment: u64, series: CrashSeries) -> bool {
        let cfg = &self.settings;
        let needed = match self.answered.of(segment) {
            None => cfg.crashes,
            Some(_) => cfg.crashes_of_answered,
        };
        // Several requests with the segment may crash as many upstreams at the same time.
        let has_many = series.moments >= MIN_MOMENTS && series.crashes >= cfg.crashes_of_answered;
        series.moments >= needed || has_many
    }

    /// Returns the crashes since the last success with a segment.
    fn series(&self, crashes: &[&Crash], segment: u64) -> Option<CrashSeries> {
        let answered = self.answered.of(segment);
        let is_since = |at: Millis| answered.is_none_or(|answered| at > answered);
        let mut times: Vec<Millis> = crashes
            .iter()
            .filter(|c| c.has(segment) && is_since(c.at))
            .map(|c| c.at)
            .collect();
        times.sort_unstable();
        let first = *times.first()?;
        let (mut moments, mut last) = (1, first);
        for at in &times {
            if at.since(last) >= self.settings.crash_spacing_ms {
                moments += 1;
                last = *at;
            }
        }
        Some(CrashSeries {
            crashes: u32::try_from(times.len()).unwrap_or(u32::MAX),
            moments,
            first,
        })
    }

    fn lift(&mut self, lifted: &[Blamed], is_answered: bool) -> Vec<Change> {
        if lifted.is_empty() {
            return Vec::new();
        }
        let changes = lifted.iter().map(|b| Change::Lifted {
            segment: b.segment,
            is_answered,
        });
        let changes = changes.collect();
        self.blamed
            .retain(|b| lifted.iter().all(|l| l.segment != b.segment));
        // What they had explained is no evidence any more.
        for blamed in lifted {
            self.crashes.retain(|c| !c.has(blamed.segment));
        }
        self.watch();
        changes
    }
}
