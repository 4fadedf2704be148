//! Schedules that check how soon crashing requests, and those with a crashing prompt segment, are refused.
//!
//! Instances send requests to upstreams that crash when they answer a segment, or one request that comes again and
//! again, beside crashes by chance and of many upstreams at once. Some sound requests come again as well.
//! Datagrams are lost, instances restart and are cut off from each other. A count over all of them, from outside,
//! checks how many requests reach upstreams later than allowed, and how many sound ones are refused.

use super::Guards;
use vanillakeel::{
    Millis,
    order::Random,
    quarantine::{
        Evidence,
        Quarantine,
        Settings,
        Subject, //
    },
};

const INSTANCES: usize = 6;

const UPSTREAMS: u64 = 12;

/// Time between two steps, and between two messages of an instance, in ms.
const STEP_MS: u64 = 100;

/// Time after which an answer that has begun counts as a success, in ms.
const ANSWER_MS: u64 = 500;

/// Time for which an upstream is away after a crash, in ms.
const DOWN_MS: u64 = 1_500;

/// Datagrams that are lost, of 100.
const LOST_PERCENT: u64 = 20;

/// Crashes, seen by instances that reach each other, after which a segment or a request has to be known, and the
/// time until it is, in ms.
const KNOWN_AFTER_CRASHES: u64 = 5;
const REQUEST_KNOWN_AFTER_CRASHES: u64 = 3;
const KNOWN_WITHIN_MS: u64 = 3_000;

/// Requests with the cause that may reach upstreams later.
const ALLOWED_LATE: u64 = 3;

/// Attempts that a request gets.
const ATTEMPTS: u32 = 2;

/// Different sound requests that come again, and the part of all sound ones that they are, as a divisor.
const POPULAR_REQUESTS: u64 = 3;
const POPULAR_EVERY: u64 = 4;

/// First segments, and second ones, of sound requests.
const FIRST_SEGMENTS: u64 = 4;
const SECOND_SEGMENTS: u64 = 200;

/// Time after which there is another cause of crashes, in ms.
const EPISODE_MS: u64 = 30_000;

/// Time for which an instance that has started, or was cut off, is not judged, in ms.
const SETTLED_MS: u64 = 3_000;

/// A request that an upstream is answering.
struct Call {
    instance: usize,
    subjects: Subjects,
    sent: Millis,
}

/// Two segments of a request, and the request as a whole.
type Subjects = [Subject; 3];

struct Upstream {
    /// Number of the present process.
    process: u64,
    down_until: Millis,
    calls: Vec<Call>,
}

struct Instance {
    quarantine: Quarantine,
    is_isolated: bool,
    /// Time of its start, or of the end of the last cut.
    settled_since: Millis,
}

/// Faults found in a schedule, and the number of crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Requests with a cause of crashes that were sent later than allowed, beyond the allowed number.
    pub(super) late_sends: u64,
    /// Sound requests that were refused.
    pub(super) wrongly_refused: u64,
    /// Crashes that were caused.
    pub(super) crashes: u64,
    /// Sound requests that were sent.
    pub(super) sound_sends: u64,
}

struct Simulation {
    random: Random,
    now: Millis,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
    next_process: u64,
    next_request: u64,
    /// What crashes upstreams in the present episode, its crashes, and its sends later than allowed.
    cause: Subject,
    caused: Vec<Millis>,
    late: u64,
    sound_refused: u64,
    counts: ScheduleCounts,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let instance = |_| Instance {
        quarantine: Quarantine::default(),
        is_isolated: false,
        settled_since: Millis::ZERO,
    };
    let upstream = |n| Upstream {
        process: n,
        down_until: Millis::ZERO,
        calls: Vec::new(),
    };
    let mut simulation = Simulation {
        random: Random::new(seed),
        now: Millis::ZERO,
        instances: (0..INSTANCES).map(instance).collect(),
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
        next_process: UPSTREAMS,
        next_request: POPULAR_REQUESTS,
        cause: Subject::Segment(0),
        caused: Vec::new(),
        late: 0,
        sound_refused: 0,
        counts: ScheduleCounts::default(),
    };
    for n in 0..INSTANCES {
        simulation.boot(n);
    }
    for step in 0..steps {
        if step % (EPISODE_MS / STEP_MS) == 0 {
            simulation.end_episode();
            let id = 1_000_000_000 + step;
            simulation.cause = match step / (EPISODE_MS / STEP_MS) % 2 {
                0 => Subject::Segment(id),
                _ => Subject::Request(id),
            };
        }
        simulation.step(guards);
    }
    simulation.end_episode();
    simulation.counts
}

impl Simulation {
    fn boot(&mut self, instance: usize) {
        self.instances[instance].quarantine = Quarantine::new(Settings::default());
        self.instances[instance].settled_since = self.now;
    }

    fn end_episode(&mut self) {
        self.counts.late_sends += self.late.saturating_sub(ALLOWED_LATE);
        self.counts.wrongly_refused += self.sound_refused;
        self.late = 0;
        self.sound_refused = 0;
        self.caused.clear();
    }

    fn step(&mut self, guards: Guards) {
        self.now = self.now.plus(STEP_MS);
        self.inject_fault();
        self.finish_answers();
        if guards.shares_crashes {
            self.exchange_evidence();
        }
        for _ in 0..4 {
            let instance = self.random.below(INSTANCES as u64) as usize;
            let subjects = self.draw_request();
            self.send(instance, subjects, 1);
        }
    }

    fn draw_request(&mut self) -> Subjects {
        let first = self.random.below(FIRST_SEGMENTS);
        // Few segments are asked for often.
        let range = 1 + self.random.below(SECOND_SEGMENTS);
        let second = 100 + self.random.below(range);
        let is_popular = self.random.below(POPULAR_EVERY) == 0;
        let request = if is_popular {
            self.random.below(POPULAR_REQUESTS)
        } else {
            self.next_request += 1;
            self.next_request
        };
        let mut subjects = [
            Subject::Segment(first),
            Subject::Segment(second),
            Subject::Request(request),
        ];
        let has_cause = self.random.below(8) == 0;
        match self.cause {
            Subject::Segment(_) if has_cause => subjects[1] = self.cause,
            Subject::Request(_) if has_cause => subjects[2] = self.cause,
            _ => {}
        }
        subjects
    }

    fn inject_fault(&mut self) {
        match self.random.below(300) {
            0..4 => {
                let upstream = self.random.below(UPSTREAMS) as usize;
                self.crash(upstream);
            }
            4 => {
                // A rack.
                for upstream in 0..UPSTREAMS as usize / 3 {
                    self.crash(upstream);
                }
            }
            5..8 => {
                let instance = self.random.below(INSTANCES as u64) as usize;
                self.boot(instance);
            }
            8..11 => {
                let at = self.random.below(INSTANCES as u64) as usize;
                let instance = &mut self.instances[at];
                instance.is_isolated ^= true;
                instance.settled_since = self.now;
            }
            _ => {}
        }
    }

    fn finish_answers(&mut self) {
        let now = self.now;
        for upstream in &mut self.upstreams {
            let is_done = |c: &mut Call| now.since(c.sent) >= ANSWER_MS;
            for call in upstream.calls.extract_if(.., is_done) {
                let quarantine = &mut self.instances[call.instance].quarantine;
                quarantine.on_answered(now, &call.subjects);
            }
        }
    }

    fn exchange_evidence(&mut self) {
        let told: Vec<Evidence> = self
            .instances
            .iter()
            .map(|i| i.quarantine.evidence(self.now))
            .collect();
        for (from, evidence) in told.iter().enumerate() {
            for to in (0..INSTANCES).filter(|to| *to != from) {
                let is_cut = self.instances[from].is_isolated || self.instances[to].is_isolated;
                if !is_cut && self.random.below(100) >= LOST_PERCENT {
                    self.instances[to]
                        .quarantine
                        .on_evidence(self.now, evidence);
                }
            }
        }
    }

    /// Sends a request, and again to another upstream if it crashes the first one and was not under suspicion.
    fn send(&mut self, instance: usize, subjects: Subjects, attempt: u32) {
        let is_bad = subjects.contains(&self.cause);
        let now = self.now;
        let quarantine = &mut self.instances[instance].quarantine;
        if let Some(refused) = quarantine.refuse(now, &subjects) {
            let is_tried =
                refused.is_on_trial && quarantine.try_out(now, refused.subject, instance);
            if !is_tried {
                self.sound_refused += u64::from(!is_bad);
                return;
            }
        }
        let was_suspect = quarantine.is_suspect(now, subjects[2]);
        let start = self.random.below(UPSTREAMS) as usize;
        let order = (0..self.upstreams.len()).map(|n| (start + n) % self.upstreams.len());
        let Some(upstream) = order
            .into_iter()
            .find(|u| self.upstreams[*u].down_until <= now)
        else {
            return;
        };
        self.upstreams[upstream].calls.push(Call {
            instance,
            subjects,
            sent: now,
        });
        if !is_bad {
            self.counts.sound_sends += 1;
            return;
        }
        self.counts.crashes += 1;
        self.crash(upstream);
        self.count_crash(instance);
        let may_repeat = self.instances[instance]
            .quarantine
            .are_answered(&subjects[..2]);
        if may_repeat && !was_suspect && attempt < ATTEMPTS {
            self.send(instance, subjects, attempt + 1);
        }
    }

    /// Counts a crash that a request of an instance has caused, and whether it was sent too late.
    fn count_crash(&mut self, instance: usize) {
        let now = self.now;
        let sender = &self.instances[instance];
        if sender.is_isolated {
            // The others can't know of this crash.
            return;
        }
        let known_after = match self.cause {
            Subject::Segment(_) => KNOWN_AFTER_CRASHES,
            Subject::Request(_) => REQUEST_KNOWN_AFTER_CRASHES,
        };
        let is_judged = now.since(sender.settled_since) >= SETTLED_MS;
        let counted = self.caused.get(known_after as usize - 1);
        let is_late = counted.is_some_and(|at| now.since(*at) > KNOWN_WITHIN_MS);
        self.late += u64::from(is_judged && is_late);
        self.caused.push(now);
    }

    /// Ends the process of an upstream; all requests that it has not answered for a while are suspects.
    fn crash(&mut self, upstream: usize) {
        let now = self.now;
        let ended = &mut self.upstreams[upstream];
        if ended.down_until > now {
            return;
        }
        ended.down_until = now.plus(DOWN_MS);
        let id = std::mem::replace(&mut ended.process, self.next_process);
        self.next_process += 1;
        for call in std::mem::take(&mut ended.calls) {
            let quarantine = &mut self.instances[call.instance].quarantine;
            quarantine.on_crash(now, id, &call.subjects);
        }
    }
}
