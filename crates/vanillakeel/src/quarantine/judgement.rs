//! Which subjects the crashes that are remembered speak against.

use super::{
    crash::{
        Crash,
        CrashSeries, //
    },
    state::{
        Blamed,
        Change,
        Quarantine, //
    },
    subject::Subject,
};
use crate::Millis;
use std::cmp::Reverse;

/// Fewest times at which upstreams have crashed before a subject is blamed for good.
const MIN_MOMENTS: u32 = 2;

/// Time until all instances have told what ran at an upstream that has crashed, in ms.
const TOLD_MS: u64 = 300;

impl Quarantine {
    /// Ends verdicts that are over; if a crash is new, blames subjects until the crashes that are left are
    /// not evidence enough.
    pub(super) fn judge(&mut self, now: Millis, is_new: bool) -> Vec<Change> {
        let hold_ms = self.settings.hold_ms;
        let is_over = |b: &Blamed| now.since(b.last_asked) >= hold_ms;
        let over: Vec<_> = self.blamed.iter().copied().filter(is_over).collect();
        let mut changes = self.lift(&over, false);
        if !is_new {
            return changes;
        }
        self.forget_crashes(now);
        self.watch();
        self.confirm(now);
        while let Some((subject, series)) = self.next_to_blame(now) {
            let is_provisional = series.moments < MIN_MOMENTS || self.is_contested(now, subject);
            self.blamed.push(Blamed {
                subject,
                since: now,
                last_asked: now,
                is_provisional,
                tried: None,
                tried_anywhere: None,
                trials: 0,
                renewals: 0,
            });
            changes.push(Change::Blamed {
                subject,
                crashes: series.crashes,
                first_ms: now.since(series.first),
                answered_ms: self.answered.of(subject).map(|at| now.since(at)),
                is_provisional,
            });
        }
        changes
    }

    /// Makes provisional verdicts final whose subjects have crashed upstreams at another time as well and alone explain
    /// it, and renews final ones whose subjects have crashed an upstream again.
    pub(super) fn confirm(&mut self, now: Millis) {
        let crashes: Vec<&Crash> = self.crashes.iter().collect();
        let spacing_ms = self.settings.crash_spacing_ms;
        let last_later = |b: &Blamed| {
            let is_later = |c: &&&Crash| c.has(b.subject) && c.at.since(b.since) >= spacing_ms;
            crashes.iter().filter(is_later).map(|c| c.at).max()
        };
        let has_moments = |b: &Blamed| {
            let series = self.series(&crashes, b.subject);
            series.is_some_and(|s| s.moments >= MIN_MOMENTS)
        };
        let confirmed: Vec<_> = self
            .blamed
            .iter()
            .map(|b| {
                let is_contested = b.is_provisional && self.is_contested(now, b.subject);
                (has_moments(b), last_later(b), is_contested)
            })
            .collect();
        for (blamed, (has_moments, last_later, is_contested)) in
            self.blamed.iter_mut().zip(confirmed)
        {
            if let Some(at) = last_later {
                blamed.renewals += u32::from(!blamed.is_provisional);
                blamed.since = at;
            }
            blamed.is_provisional &= is_contested || !has_moments && last_later.is_none();
        }
    }

    /// Returns the subject with the longest series of crashes, if it is long enough to blame it.
    ///
    /// While several have the same series, one that no upstream has ever answered goes before others; otherwise further
    /// crashes have to decide between them, but not for ever, and the one whose last success is oldest is blamed. If
    /// one of them is a request as a whole, and the others are segments that it holds, it explains as much.
    fn next_to_blame(&self, now: Millis) -> Option<(Subject, CrashSeries)> {
        let is_request = |s: &Subject| matches!(s, Subject::Request(_));
        let for_segments = self.unexplained(now, true);
        let for_requests = self.unexplained(now, false);
        let candidates: Vec<_> = self
            .watched
            .iter()
            .copied()
            .filter(|subject| self.may_blame(*subject) && self.has_own_crash(now, *subject))
            .filter_map(|subject| {
                let crashes = if is_request(&subject) {
                    &for_requests
                } else {
                    &for_segments
                };
                let series = self.series(crashes, subject)?;
                self.suffices(subject, series).then_some((subject, series))
            })
            .collect();
        let told: Vec<&Crash> = for_segments
            .iter()
            .copied()
            .filter(|c| now.since(c.at) >= TOLD_MS)
            .collect();
        // What has just been told of a crash does not decide between segments.
        let length = |(subject, series): &(Subject, CrashSeries)| {
            if is_request(subject) {
                return series.length();
            }
            let told = self.series(&told, *subject);
            told.map_or((0, 0), |s| s.length())
        };
        let longest = candidates.iter().map(length).max()?;
        let longest: Vec<_> = candidates
            .into_iter()
            .filter(|c| length(c) == longest)
            .collect();
        let requests = longest.iter().filter(|(s, _)| is_request(s)).count();
        if requests == 0 {
            return self.choose_segment(now, &longest);
        }
        // Requests are last in the order of subjects.
        let (subject, series) = *longest.last()?;
        let is_decided = longest.len() == 1 || requests == 1 || self.is_many(series);
        is_decided.then_some((subject, series))
    }

    /// Returns the segment to blame among those with the longest series of crashes and their rivals, if that is decided.
    ///
    /// A rival may have a shorter series for the moment, as not all of its crashes have been told yet.
    fn choose_segment(
        &self,
        now: Millis,
        longest: &[(Subject, CrashSeries)],
    ) -> Option<(Subject, CrashSeries)> {
        let series = longest.first()?.1;
        let mut tied: Vec<Subject> = longest.iter().map(|(s, _)| *s).collect();
        tied.extend(longest.iter().flat_map(|(s, _)| self.rivals(now, *s)));
        tied.sort_unstable();
        tied.dedup();
        tied.retain(|s| self.may_blame(*s) && !self.blamed.iter().any(|b| b.subject == *s));
        let crashes = |subject: Subject| self.own_crashes(subject).count();
        let subject = *tied
            .iter()
            .min_by_key(|s| (self.answered.of(**s), Reverse(crashes(**s))))?;
        let is_never_answered = |s: &&Subject| self.answered.of(**s).is_none();
        let unanswered = tied.iter().filter(is_never_answered).count();
        let is_decided = tied.len() == 1 || unanswered == 1 || self.is_many(series);
        is_decided.then_some((subject, series))
    }

    /// Returns whether a subject was under suspicion of a crash that nothing blamed so far explains.
    ///
    /// While a verdict is contested, the crashes that it explains still count for others, but are not enough.
    fn has_own_crash(&self, now: Millis, subject: Subject) -> bool {
        let is_blamed = |c: &Crash| self.blamed.iter().any(|b| c.has(b.subject));
        let is_contested = |b: &Blamed| b.is_provisional && self.is_contested(now, b.subject);
        matches!(subject, Subject::Request(_))
            || !self.blamed.iter().any(is_contested)
            || self.own_crashes(subject).any(|c| !is_blamed(c))
    }

    /// Returns the crashes since the last success with a subject.
    fn own_crashes(&self, subject: Subject) -> impl Iterator<Item = &Crash> {
        let answered = self.answered.of(subject);
        let is_since = move |c: &&Crash| answered.is_none_or(|answered| c.at > answered);
        self.crashes
            .iter()
            .filter(move |c| c.has(subject))
            .filter(is_since)
    }

    /// Returns the segments that were under suspicion of each crash for which a segment is blamed, and that no upstream
    /// has answered since the first of them: they explain as much as it does.
    pub(super) fn rivals(&self, now: Millis, subject: Subject) -> Vec<Subject> {
        let Subject::Segment(_) = subject else {
            return Vec::new();
        };
        let crashes: Vec<&Crash> = self.own_crashes(subject).collect();
        let Some(first) = crashes.iter().map(|c| c.at).min() else {
            return Vec::new();
        };
        // Of a crash that has just been told, suspects may be missing.
        let is_recent = |c: &Crash| now.since(c.at) < TOLD_MS;
        let explains = |rival: &Subject| {
            let is_exempt = self.settings.exempt.binary_search(rival).is_ok();
            // The age of a success that several instances have passed on is too small.
            let is_cleared = self.answered.of(*rival) >= Some(first.plus(TOLD_MS));
            matches!(rival, Subject::Segment(_))
                && *rival != subject
                && !is_exempt
                && !is_cleared
                && crashes.iter().all(|c| c.has(*rival) || is_recent(c))
        };
        let suspects = crashes.iter().flat_map(|c| &c.suspects).copied();
        let mut rivals: Vec<Subject> = suspects.filter(explains).collect();
        rivals.sort_unstable();
        rivals.dedup();
        rivals
    }

    /// Returns whether another segment explains the crashes for which a segment is blamed as well: it was under suspicion
    /// of all of them, or another verdict explains so many that the others are not evidence enough.
    pub(super) fn is_contested(&self, now: Millis, subject: Subject) -> bool {
        let is_other = |c: &Crash| {
            let mut others = self.blamed.iter().filter(|b| b.subject != subject);
            others.any(|b| matches!(b.subject, Subject::Segment(_)) && c.has(b.subject))
        };
        let is_segment = matches!(subject, Subject::Segment(_));
        let mut own = self.own_crashes(subject).peekable();
        let has_crashes = own.peek().is_some();
        let alone = own.filter(|c| !is_other(c)).count();
        is_segment
            && has_crashes
            && (alone < self.settings.crashes as usize && self.own_crashes(subject).any(is_other)
                || !self.rivals(now, subject).is_empty())
    }

    /// Returns the crashes that nothing blamed so far explains for sure, for the judgement of segments or of requests.
    ///
    /// A request that is blamed may have crashed upstreams for a segment that it holds, so one of its crashes
    /// still counts for segments.
    fn unexplained(&self, now: Millis, is_for_segments: bool) -> Vec<&Crash> {
        let mut counted: Vec<Subject> = Vec::new();
        let is_settled = |b: &&Blamed| !(b.is_provisional && self.is_contested(now, b.subject));
        let settled: Vec<Subject> = self
            .blamed
            .iter()
            .filter(is_settled)
            .map(|b| b.subject)
            .collect();
        let is_unexplained = |crash: &&Crash| {
            let mut blamed = settled.iter().copied();
            let Some(cause) = blamed.find(|cause| crash.has(*cause)) else {
                return true;
            };
            let may_count = is_for_segments && matches!(cause, Subject::Request(_));
            if !may_count || counted.contains(&cause) {
                return false;
            }
            counted.push(cause);
            true
        };
        self.crashes.iter().filter(is_unexplained).collect()
    }

    /// Returns whether a series of crashes is long enough to blame a subject.
    fn suffices(&self, subject: Subject, series: CrashSeries) -> bool {
        let cfg = &self.settings;
        match subject {
            // Several requests with the segment may crash as many upstreams at the same time.
            Subject::Segment(_) => {
                let needed = match self.answered.of(subject) {
                    None => cfg.crashes,
                    Some(_) => cfg.crashes_of_answered,
                };
                series.moments >= needed || self.is_many(series)
            }
            // The same request seldom runs by chance wherever upstreams crash, and only its callers miss it.
            Subject::Request(_) => series.crashes >= cfg.crashes,
        }
    }

    /// Returns whether a series of crashes is long enough to blame any segment.
    const fn is_many(&self, series: CrashSeries) -> bool {
        series.moments >= MIN_MOMENTS && series.crashes >= self.settings.crashes_of_answered
    }

    /// Returns the crashes since the last success with a subject.
    fn series(&self, crashes: &[&Crash], subject: Subject) -> Option<CrashSeries> {
        let answered = self.answered.of(subject);
        CrashSeries::of(crashes, subject, answered, self.settings.crash_spacing_ms)
    }

    pub(super) fn lift(&mut self, lifted: &[Blamed], is_answered: bool) -> Vec<Change> {
        if lifted.is_empty() {
            return Vec::new();
        }
        let has_moments = |b: &Blamed| {
            let crashes: Vec<&Crash> = self.crashes.iter().filter(|c| c.at <= b.since).collect();
            let spacing_ms = self.settings.crash_spacing_ms;
            let series = CrashSeries::of(&crashes, b.subject, None, spacing_ms);
            series.is_some_and(|s| s.moments >= MIN_MOMENTS)
        };
        let was_contested: Vec<bool> = lifted
            .iter()
            .map(|b| b.is_provisional && has_moments(b))
            .collect();
        let changes = lifted.iter().map(|b| Change::Lifted {
            subject: b.subject,
            is_answered,
        });
        let changes = changes.collect();
        self.blamed
            .retain(|b| lifted.iter().all(|l| l.subject != b.subject));
        // What they had explained is no evidence any more, unless it was evidence against others as much.
        let settled = lifted.iter().zip(was_contested);
        for (blamed, _) in settled.filter(|(_, was_contested)| !(is_answered && *was_contested)) {
            self.crashes.retain(|c| !c.has(blamed.subject));
        }
        self.watch();
        changes
    }

    /// Finds the subjects that a further crash may blame.
    fn watch(&mut self) {
        let needed = self.settings.crashes.min(MIN_MOMENTS) as usize;
        let mut suspects: Vec<Subject> = self
            .crashes
            .iter()
            .flat_map(|c| &c.suspects)
            .copied()
            .collect();
        suspects.sort_unstable();
        let runs = suspects.chunk_by(|a, b| a == b);
        self.watched = runs
            .filter(|run| run.len() >= needed)
            .map(|run| run[0])
            .collect();
    }
}
