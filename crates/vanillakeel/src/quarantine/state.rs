//! Which subjects are blamed, and why.

use super::{
    crash::Crash,
    evidence::{
        BlamedSubject,
        CrashReport,
        Evidence,
        SoundSubject, //
    },
    settings::{
        SUSPECT_TTL_MS,
        Settings, //
    },
    sound::LastSuccesses,
    subject::Subject,
};
use crate::Millis;

/// Time by which each further instance lets a request through later, in ms, if the one before it gets none.
const TRIAL_STEP_MS: u64 = 5_000;

/// Most doublings of the time after which a final verdict is tried out again.
const MAX_DOUBLINGS: u32 = 6;

/// Trials after which a final verdict is tried out no more; each has crashed an upstream.
const MAX_TRIALS: u32 = 3;

/// Trials after which a verdict is final also for instances that start after all others have ended.
const MAX_EARLY_TRIALS: u32 = 2;

/// Most crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Of these, most crashes that are old, which make no room for recent ones.
const MAX_OLD_CRASHES: usize = 32;

/// Most suspects that are remembered of a crash.
const MAX_SUSPECTS: usize = 128;

/// Most suspects of which one message tells, the newest crashes first, so that it fits a datagram with all else.
const MAX_TOLD_SUSPECTS: usize = 2_048;

/// Most subjects that are refused at once.
const MAX_BLAMED: usize = 64;

/// A subject that is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blamed {
    pub(super) subject: Subject,
    pub(super) since: Millis,
    pub(super) last_asked: Millis,
    /// Whether all its crashes were at the same time, as of a rack, or another subject explains them as well, so that a
    /// request has to show whether the verdict is right.
    pub(super) is_provisional: bool,
    /// Time at which this instance let a request through last.
    pub(super) tried: Option<Millis>,
    /// Time at which any instance did.
    pub(super) tried_anywhere: Option<Millis>,
    /// Requests that were let through; if one has crashed no upstream, the next one takes its place.
    pub(super) trials: u32,
    /// Crashes by requests that were let through after `since`, each of which began a longer hold.
    pub(super) renewals: u32,
}

impl Blamed {
    /// Returns the time after the verdict from which a request may show whether it is still right, in ms.
    fn trial_after_ms(&self, cfg: &Settings) -> u64 {
        if self.is_provisional {
            cfg.trial_ms
        } else {
            cfg.hold_ms << self.renewals.min(MAX_DOUBLINGS)
        }
    }

    /// Returns whether a further request may be let through at all.
    ///
    /// While other subjects explain the crashes as well, trials have to tell them apart.
    fn may_be_tried(&self) -> bool {
        self.is_provisional || self.next_trial() <= MAX_TRIALS
    }

    /// Returns the number of the next trial, which is that of the last one if it has crashed no upstream.
    fn next_trial(&self) -> u32 {
        let is_open = self.tried_anywhere.is_some_and(|at| at >= self.since);
        self.trials + u32::from(!is_open)
    }
}

/// A change of what is refused, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A subject is refused from now on.
    Blamed {
        /// Which one.
        subject: Subject,
        /// Crashes that it explains.
        crashes: u32,
        /// Time since the first of them, in ms.
        first_ms: u64,
        /// Time since the last known success with it before, in ms.
        answered_ms: Option<u64>,
        /// Whether a request has to show whether this is right.
        is_provisional: bool,
    },
    /// Another instance has blamed a subject.
    Adopted {
        /// Which one.
        subject: Subject,
    },
    /// A subject is no longer refused.
    Lifted {
        /// Which one.
        subject: Subject,
        /// Whether an upstream has answered it; otherwise nobody has asked for it for long.
        is_answered: bool,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// What is blamed.
    pub subject: Subject,
    /// Time for which it is refused if nobody asks for it, or until it is tried out, in ms.
    pub retry_after_ms: u64,
    /// Whether it may be [tried out](Quarantine::try_out): it is provisional, or has held for long.
    pub is_on_trial: bool,
}

/// The subjects that crash upstreams, as far as an instance knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    pub(super) settings: Settings,
    pub(super) crashes: Vec<Crash>,
    /// Subjects with so many crashes that a further one may blame them, sorted.
    pub(super) watched: Vec<Subject>,
    pub(super) answered: LastSuccesses,
    pub(super) blamed: Vec<Blamed>,
    /// Subjects that another instance refuses although they have been answered since, with the times at
    /// which it said so last.
    disputed: Vec<(Subject, Millis)>,
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

    /// Replaces the settings; subjects that are now exempt are no longer refused.
    pub fn set_settings(&mut self, settings: Settings) -> Vec<Change> {
        self.settings = settings;
        let is_exempt = |b: &Blamed| self.settings.exempt.binary_search(&b.subject).is_ok();
        let lifted: Vec<_> = self.blamed.iter().copied().filter(is_exempt).collect();
        self.lift(&lifted, false)
    }

    /// Returns whether an upstream is known to have answered each of these subjects.
    #[must_use]
    pub fn are_answered(&self, subjects: &[Subject]) -> bool {
        subjects.iter().all(|s| self.answered.of(*s).is_some())
    }

    /// Returns the number of subjects that are refused.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.blamed.len()
    }

    /// Returns whether nothing is refused.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.blamed.is_empty()
    }

    /// Returns why a request with these subjects has to be refused, if it has to be; a final verdict comes first.
    ///
    /// The request counts as one that asks for the subject.
    pub fn refuse(&mut self, now: Millis, subjects: &[Subject]) -> Option<Refused> {
        let hold_ms = self.settings.hold_ms;
        let is_asked =
            |b: &&mut Blamed| subjects.contains(&b.subject) && now.since(b.last_asked) < hold_ms;
        let asked = self.blamed.iter_mut().filter(is_asked);
        let blamed = asked.min_by_key(|b| b.is_provisional)?;
        blamed.last_asked = blamed.last_asked.max(now);
        let blamed = *blamed;
        let held_ms = now.since(blamed.since);
        // A request that also holds what may have caused the crashes as well would show nothing.
        let may_show = || {
            let rivals = self.rivals(now, blamed.subject);
            !subjects.iter().any(|s| rivals.contains(s))
        };
        let is_due = blamed.is_provisional || held_ms >= blamed.trial_after_ms(&self.settings);
        let is_on_trial = is_due && blamed.may_be_tried() && may_show();
        let retry_after_ms = if is_on_trial {
            self.settings.trial_ms
        } else {
            hold_ms
        };
        Some(Refused {
            subject: blamed.subject,
            retry_after_ms,
            is_on_trial,
        })
    }

    /// Returns whether a request with a subject that is refused is let through, to show by its success or a
    /// further crash whether the verdict is right.
    ///
    /// `position` is that of this instance among those that may do so; the first one goes first. A final verdict is
    /// tried out after the time that callers are told, and after twice the time when it has been confirmed, three times at
    /// most; trials of the provisional verdict before it count.
    pub fn try_out(&mut self, now: Millis, subject: Subject, position: usize) -> bool {
        let cfg = &self.settings;
        let turn_ms = position as u64 * TRIAL_STEP_MS;
        let is_due = |b: &&mut Blamed| {
            b.subject == subject
                && b.may_be_tried()
                && now.since(b.since) >= b.trial_after_ms(cfg) + turn_ms
                && b.tried.is_none_or(|at| now.since(at) >= TRIAL_STEP_MS)
        };
        let Some(due) = self.blamed.iter_mut().find(is_due) else {
            return false;
        };
        due.trials = due.next_trial();
        due.tried = Some(now);
        due.tried_anywhere = Some(now);
        true
    }

    /// Returns the number of requests that were let through under a verdict; the last one may be under way.
    #[must_use]
    pub fn trials(&self, subject: Subject) -> u32 {
        let blamed = self.blamed.iter().find(|b| b.subject == subject);
        blamed.map_or(0, |b| b.trials)
    }

    /// Returns whether a remembered crash has a request as a whole under suspicion, so that the successes of
    /// requests count.
    #[must_use]
    pub fn suspects_requests(&self) -> bool {
        let is_request = |s: &Subject| matches!(s, Subject::Request(_));
        self.crashes
            .iter()
            .any(|c| c.suspects.iter().any(is_request))
    }

    /// Returns whether a request as a whole is refused.
    #[must_use]
    pub fn refuses_requests(&self) -> bool {
        self.refused_requests() > 0
    }

    /// Returns the number of requests as a whole that are refused.
    #[must_use]
    pub fn refused_requests(&self) -> usize {
        let is_request = |b: &&Blamed| matches!(b.subject, Subject::Request(_));
        self.blamed.iter().filter(is_request).count()
    }

    /// Returns whether an upstream has crashed with this subject under suspicion and none has answered it since.
    #[must_use]
    pub fn is_suspect(&self, now: Millis, subject: Subject) -> bool {
        let answered = self.answered.of(subject);
        self.crashes.iter().any(|c| {
            let is_remembered = now.since(c.at) < SUSPECT_TTL_MS;
            is_remembered && c.has(subject) && answered.is_none_or(|answered| c.at > answered)
        })
    }

    /// Records that an upstream has answered a request with these subjects.
    ///
    /// Successes of requests as a whole are only kept while they are under suspicion.
    pub fn on_answered(&mut self, now: Millis, subjects: &[Subject]) -> Vec<Change> {
        self.forget_crashes(now);
        let mut changes = Vec::new();
        for subject in subjects {
            let is_kept = match subject {
                Subject::Segment(_) => true,
                Subject::Request(_) => self.is_involved(*subject),
            };
            if is_kept {
                changes.extend(self.on_success(now, *subject));
            }
        }
        changes
    }

    /// Returns whether a subject is refused or under suspicion of a remembered crash.
    fn is_involved(&self, subject: Subject) -> bool {
        let is_blamed = self.blamed.iter().any(|b| b.subject == subject);
        is_blamed || self.crashes.iter().any(|c| c.has(subject))
    }

    fn on_success(&mut self, at: Millis, subject: Subject) -> Vec<Change> {
        let max_subjects = self.settings.max_answered;
        self.answered.record(at, subject, max_subjects);
        // The time of the success may be forgotten before an old crash is.
        for crash in self.crashes.iter_mut().filter(|c| c.is_old && c.at < at) {
            crash.suspects.retain(|s| *s != subject);
        }
        let is_disproved = |b: &Blamed| b.subject == subject && at > b.since;
        if !self.blamed.iter().any(is_disproved) {
            // What a success has cleared makes other verdicts final.
            if self.blamed.iter().any(|b| b.is_provisional) {
                self.confirm(at);
            }
            return Vec::new();
        }
        let lifted: Vec<_> = self.blamed.iter().copied().filter(is_disproved).collect();
        self.dispute(at, subject);
        let mut changes = self.lift(&lifted, true);
        // Another subject explains what this one does not.
        changes.extend(self.judge(at, true));
        changes
    }

    /// Records the crash of the process `id`, under which requests with these subjects ran that had not been
    /// answered for a while.
    ///
    /// The same crash may be recorded several times, with further subjects.
    pub fn on_crash(&mut self, now: Millis, id: u64, subjects: &[Subject]) -> Vec<Change> {
        self.add_crash(now, id, now, subjects);
        self.judge(now, true)
    }

    /// Returns what other instances may not know yet.
    #[must_use]
    pub fn evidence(&self, now: Millis) -> Evidence {
        let repeat_ms = self.settings.repeat_ms;
        let is_news = |at: Millis| now.since(at) <= repeat_ms;
        let mut news: Vec<&Crash> = self.crashes.iter().filter(|c| is_news(c.changed)).collect();
        news.sort_by_key(|c| std::cmp::Reverse(c.changed));
        let mut told_suspects = 0;
        let crashes = news
            .into_iter()
            .take_while(|c| {
                told_suspects += c.suspects.len();
                told_suspects <= MAX_TOLD_SUSPECTS
            })
            .map(|c| CrashReport {
                id: c.id,
                age_ms: now.since(c.at),
                suspects: c.suspects.clone(),
            });
        let blamed = self.blamed.iter().map(|b| b.subject);
        let suspects = self.watched.iter().copied().chain(blamed);
        let has_recent_crash =
            |s: Subject| self.crashes.iter().any(|c| is_news(c.changed) && c.has(s));
        let is_recent = |s: &Subject| self.answered.of(*s).is_some_and(is_news);
        let disputed = self.disputed.iter().filter(|(_, at)| is_news(*at));
        let told = suspects
            .filter(|s| is_recent(s) || has_recent_crash(*s))
            .chain(disputed.map(|(subject, _)| *subject));
        let sound = told.filter_map(|subject| {
            let age_ms = now.since(self.answered.of(subject)?);
            Some(SoundSubject { subject, age_ms })
        });
        let blamed = self.blamed.iter().map(|b| BlamedSubject {
            subject: b.subject,
            age_ms: now.since(b.since),
            asked_ms: now.since(b.last_asked),
            is_provisional: b.is_provisional,
            trials: b.trials,
            tried_ms: b.tried_anywhere.map(|at| now.since(at)),
        });
        Evidence {
            crashes: crashes.collect(),
            sound: sound.collect(),
            blamed: blamed.collect(),
        }
    }

    /// Returns the crashes with those suspects that no upstream has answered since and that are not refused.
    #[must_use]
    pub fn unanswered_crashes(&self, now: Millis) -> Vec<CrashReport> {
        let is_open = |c: &Crash, s: &Subject| {
            self.answered.of(*s) <= Some(c.at) && self.blamed.iter().all(|b| b.subject != *s)
        };
        let report = |c: &Crash| CrashReport {
            id: c.id,
            age_ms: now.since(c.at),
            suspects: c
                .suspects
                .iter()
                .copied()
                .filter(|s| is_open(c, s))
                .collect(),
        };
        let crashes = self.crashes.iter().map(report);
        crashes.filter(|c| !c.suspects.is_empty()).collect()
    }

    /// Returns the subjects that are refused.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        self.blamed.iter().map(|b| b.subject)
    }

    /// Takes over a verdict of instances that have ended, under which they had let some requests through. Its cause may
    /// have been mended since, so it is provisional while it has been tried out seldom.
    pub fn restore(&mut self, now: Millis, subject: Subject, trials: u32) -> Option<Change> {
        let verdict = BlamedSubject {
            subject,
            age_ms: 0,
            asked_ms: 0,
            is_provisional: trials < MAX_EARLY_TRIALS,
            trials,
            tried_ms: None,
        };
        self.adopt(now, &verdict)
    }

    /// Adds what another instance knows.
    pub fn on_evidence(&mut self, now: Millis, evidence: &Evidence) -> Vec<Change> {
        self.forget_crashes(now);
        let mut changes = Vec::new();
        for sound in &evidence.sound {
            changes.extend(self.on_success(now.minus(sound.age_ms), sound.subject));
        }
        let mut is_new = false;
        for crash in &evidence.crashes {
            let at = now.minus(crash.age_ms);
            is_new |= self.add_crash(now, crash.id, at, &crash.suspects);
        }
        for blamed in &evidence.blamed {
            changes.extend(self.adopt(now, blamed));
        }
        changes.extend(self.judge(now, is_new));
        changes
    }

    /// Refuses a subject that another instance has blamed, unless it has been answered since.
    fn adopt(&mut self, now: Millis, told: &BlamedSubject) -> Option<Change> {
        let since = now.minus(told.age_ms);
        let last_asked = now.minus(told.asked_ms);
        let subject = told.subject;
        if let Some(known) = self.blamed.iter_mut().find(|b| b.subject == subject) {
            known.last_asked = known.last_asked.max(last_asked);
            known.is_provisional &= told.is_provisional;
            known.trials = known.trials.max(told.trials);
            let tried_at = told.tried_ms.map(|ms| now.minus(ms));
            known.tried_anywhere = known.tried_anywhere.max(tried_at);
            return None;
        }
        if self.answered.of(subject) > Some(since) {
            self.dispute(now, subject);
            return None;
        }
        let is_over = told.asked_ms >= self.settings.hold_ms;
        if is_over || !self.may_blame(subject) {
            return None;
        }
        self.blamed.push(Blamed {
            subject,
            since,
            last_asked,
            is_provisional: told.is_provisional,
            tried: None,
            tried_anywhere: told.tried_ms.map(|ms| now.minus(ms)),
            trials: told.trials,
            renewals: 0,
        });
        Some(Change::Adopted { subject })
    }

    /// Notes that other instances have to learn of the last success with a subject.
    fn dispute(&mut self, now: Millis, subject: Subject) {
        let repeat_ms = self.settings.repeat_ms;
        self.disputed
            .retain(|(s, at)| *s != subject && now.since(*at) <= repeat_ms);
        if self.disputed.len() < MAX_BLAMED {
            self.disputed.push((subject, now));
        }
    }

    pub(super) fn may_blame(&self, subject: Subject) -> bool {
        let is_exempt = self.settings.exempt.binary_search(&subject).is_ok();
        !is_exempt && self.blamed.len() < MAX_BLAMED
    }

    /// Forgets the suspects of old crashes that have been answered since, and crashes without suspects or that are too old.
    pub(super) fn forget_crashes(&mut self, now: Millis) {
        let ttl_ms = self.settings.crash_ttl_ms;
        let answered = &self.answered;
        for crash in &mut self.crashes {
            if !crash.is_old && now.since(crash.at) >= ttl_ms {
                crash.is_old = true;
                let at = crash.at;
                crash.suspects.retain(|s| answered.of(*s) <= Some(at));
            }
        }
        let is_remembered =
            |c: &Crash| now.since(c.at) < SUSPECT_TTL_MS && !(c.is_old && c.suspects.is_empty());
        self.crashes.retain(is_remembered);
    }

    /// Removes a crash to make room for another one.
    fn drop_crash(&mut self) {
        let old = self.crashes.iter().filter(|c| c.is_old).count();
        let is_dropped = |c: &Crash| c.is_old == (old > MAX_OLD_CRASHES);
        let at = self.crashes.iter().position(is_dropped).unwrap_or(0);
        self.crashes.remove(at);
    }

    /// Adds a crash or further suspects of it; returns whether any of this is new.
    fn add_crash(&mut self, now: Millis, id: u64, at: Millis, subjects: &[Subject]) -> bool {
        let found = self.crashes.iter().position(|c| c.id == id);
        let found = found.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.drop_crash();
            }
            self.crashes.push(Crash {
                id,
                at,
                suspects: Vec::new(),
                changed: now,
                is_old: false,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[found];
        let known = crash.suspects.len();
        for subject in subjects {
            if let Err(place) = crash.suspects.binary_search(subject)
                && crash.suspects.len() < MAX_SUSPECTS
            {
                crash.suspects.insert(place, *subject);
                crash.changed = now;
            }
        }
        crash.suspects.len() > known
    }
}
