//! Schedules that check claims of idempotency keys.
//!
//! The requests of a key run at most once, and no request that ran is refused as not run.

use super::faulty_log::{
    AppendOutcome,
    Cursor,
    FaultyLog, //
};
use std::collections::BTreeMap;
use vanillakeel::{
    Millis, Verdict,
    claim::{
        Action,
        Appended,
        Batch,
        Claims,
        Key,
        KeyState,
        Settings, //
    },
    order::Random,
};

/// Number of instances in a schedule.
const INSTANCES: usize = 4;

/// Probability that a request comes with a new key.
const NEW_KEY_PROBABILITY: f64 = 0.3;

/// Number of most recent keys that callers use again.
const RECENT_KEYS: u64 = 8;

/// Age up to which a key is accepted, in ms.
const WINDOW_MS: u64 = 30_000;

/// Time for which the log keeps records, in ms.
const RETENTION_MS: u64 = 60_000;

/// Time from a request's arrival to its deadline, in ms.
const DEADLINE_MS: u64 = 3_000;

/// Upper bound of a rare long time step in ms, in which all instances pause for far longer than any
/// timeout.
const LONGEST_TIME_STEP_MS: u64 = 20_000;

/// Safeguards of the library.
///
/// Each can be turned off, to show that the checks find the fault that it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A request with a key is not sent before its claim is confirmed on the log.
    pub claim_before_send: bool,
    /// An instance never goes back to a lower configuration version.
    pub version_never_falls: bool,
    /// The holder of a lease stops when the lease's duration has passed.
    pub lease_expires: bool,
    /// A stream that is taken up goes on at the version that began it.
    pub binds_streams: bool,
    /// Streams are passed on to all instances.
    pub passes_streams: bool,
    /// The list is read again before a stream goes on at the only version that has served.
    pub reads_list_first: bool,
    /// The newest version is read again when the log has come back from a copy.
    pub follows_era: bool,
    /// An answer counts from the time at which its read was sent.
    pub dates_reads: bool,
    /// Instances that are not heard share the retry budget.
    pub counts_unheard: bool,
    /// A process takes nothing of the slack in its first window.
    pub starts_without_slack: bool,
    /// Requests count in full for the retry budget only as far as the window before had them too.
    pub counts_earlier_window: bool,
    /// A retry counts for as long as it may be under way.
    pub counts_until_arrival: bool,
    /// A connection is reset if its request is given up.
    pub resets_given_up: bool,
    /// Instances tell each other of crashes.
    pub shares_crashes: bool,
    /// The rate of an upstream is divided over instances.
    pub divides_rates: bool,
    /// Instances that are not heard keep their parts of rates for a while.
    pub counts_silent: bool,
    /// An answer counts as later than another one only if its request was sent after that one had arrived.
    pub orders_answers: bool,
    /// A lease that was given up stays free until it has lasted for its time.
    pub keeps_released: bool,
    /// The lease of the platform's tasks is written only if its topic ends where the writer knows it to end.
    pub writes_at_end: bool,
    /// After an order without an answer, the next one has a higher fencing token.
    pub raises_tokens: bool,
    /// A report of usage is on the log before it is sent.
    pub records_reports: bool,
    /// Counts of requests are merged by the largest one.
    pub merges_largest: bool,
    /// Counts of requests are known to more instances than the one that reports them.
    pub spreads_usage: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            claim_before_send: true,
            version_never_falls: true,
            lease_expires: true,
            binds_streams: true,
            passes_streams: true,
            reads_list_first: true,
            follows_era: true,
            dates_reads: true,
            counts_unheard: true,
            starts_without_slack: true,
            counts_earlier_window: true,
            counts_until_arrival: true,
            resets_given_up: true,
            shares_crashes: true,
            divides_rates: true,
            counts_silent: true,
            orders_answers: true,
            keeps_released: true,
            writes_at_end: true,
            raises_tokens: true,
            records_reports: true,
            merges_largest: true,
            spreads_usage: true,
        }
    }
}

/// A request whose claim has won, so that its instance may send it.
#[derive(Clone, Copy, Debug)]
struct ClaimedRequest {
    request: u64,
    key: u64,
    claim: u64,
    deadline: Millis,
}

/// A simulated instance.
struct Instance {
    claims: Claims,
    /// Time at which the instance last did something.
    clock: Millis,
    cursor: Cursor,
    /// Whether the instance cannot reach the log.
    is_disconnected: bool,
    is_paused: bool,
    /// Requests that have won their claims and are still to be sent.
    won: Vec<ClaimedRequest>,
    /// Requests that were sent to an upstream and are not answered.
    sent: Vec<ClaimedRequest>,
    /// Requests that wait for their claims, each with its key and its deadline.
    pending: BTreeMap<u64, (u64, Millis)>,
    /// Batches of claims that are still to be appended to the log.
    queued_batches: Vec<Batch>,
}

/// Faults found in a schedule, and the number of runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    pub(super) doubled: u64,
    pub(super) false_not_run: u64,
    pub(super) runs: u64,
}

/// State of a schedule.
struct Simulation {
    random: Random,
    log: FaultyLog<Batch>,
    instances: Vec<Instance>,
    guards: Guards,
    boot_count: u64,
    last_request: u64,
    /// Time at which each key was made; a key is the index of its entry.
    key_created: Vec<Millis>,
    now: Millis,
    runs_of_key: BTreeMap<u64, u64>,
    runs_of_request: BTreeMap<u64, u64>,
    /// Requests that were refused as not run.
    refused_as_not_run: Vec<u64>,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let mut simulation = Simulation {
        random: Random::new(seed),
        log: FaultyLog::new(),
        instances: Vec::new(),
        guards,
        boot_count: 0,
        last_request: 0,
        key_created: Vec::new(),
        now: Millis::ZERO,
        runs_of_key: BTreeMap::new(),
        runs_of_request: BTreeMap::new(),
        refused_as_not_run: Vec::new(),
    };
    for _ in 0..INSTANCES {
        let instance = simulation.boot();
        simulation.instances.push(instance);
    }
    for _ in 0..steps {
        simulation.step();
    }
    simulation.counts()
}

impl Simulation {
    /// Returns a newly started instance under a name that was not used before.
    fn boot(&mut self) -> Instance {
        self.boot_count += 1;
        let settings = Settings {
            window_ms: WINDOW_MS,
            claim_before_send: self.guards.claim_before_send,
            ..Settings::default()
        };
        let mut claims = Claims::new(&format!("boot-{}", self.boot_count), settings);
        claims.tick(self.now);
        Instance {
            claims,
            clock: self.now,
            cursor: Cursor::default(),
            is_disconnected: false,
            is_paused: false,
            won: Vec::new(),
            sent: Vec::new(),
            pending: BTreeMap::new(),
            queued_batches: Vec::new(),
        }
    }

    /// Advances the time and performs one random step.
    fn step(&mut self) {
        let ms = if self.random.chance(0.004) {
            self.random.below(LONGEST_TIME_STEP_MS)
        } else {
            self.random.below(30)
        };
        self.now = self.now.plus(ms);
        let index = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..20 => self.on_request(index),
            20..75 => self.do_periodic_work(index),
            75..83 => self.send_won(index),
            83..90 => self.finish_run(index),
            90..92 => self.log.deliver_delayed(&mut self.random, self.now),
            92..94 => self.toggle_connection(index),
            94..97 => self.toggle_pause(index),
            97..98 => self.restart(index),
            _ => self.trim(),
        }
    }

    /// Handles a caller's request, which often carries a key that was used before.
    fn on_request(&mut self, index: usize) {
        if self.instances[index].is_paused {
            return;
        }
        self.last_request += 1;
        let (request, now) = (self.last_request, self.now);
        let key = self.choose_key();
        let created = self.key_created[key as usize];
        if now.since(created) > WINDOW_MS {
            self.refused_as_not_run.push(request);
            return;
        }
        let deadline = now.plus(DEADLINE_MS);
        let instance = &mut self.instances[index];
        instance.clock = now;
        instance.pending.insert(request, (key, deadline));
        let key = Key::new("workspace", u128::from(key), created.get());
        instance.claims.begin(now, request, key, deadline);
        self.perform_actions(index);
    }

    /// Returns a new key, or one of the recent ones.
    fn choose_key(&mut self) -> u64 {
        let count = self.key_created.len() as u64;
        if count == 0 || self.random.chance(NEW_KEY_PROBABILITY) {
            self.key_created.push(self.now);
            return count;
        }
        let back = 1 + self.random.below(count.min(RECENT_KEYS));
        count - back
    }

    /// Does an instance's periodic work and reads the log.
    fn do_periodic_work(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.is_paused {
            return;
        }
        instance.clock = now;
        instance.claims.tick(now);
        self.append_batches(index);
        self.read_log(index);
        self.perform_actions(index);
        self.append_batches(index);
    }

    /// Appends all queued batches and passes on how each append ended.
    fn append_batches(&mut self, index: usize) {
        self.perform_actions(index);
        for batch in std::mem::take(&mut self.instances[index].queued_batches) {
            let number = batch.number;
            let outcome = if self.instances[index].is_disconnected {
                AppendOutcome::Unknown
            } else {
                self.log.append(&mut self.random, self.now, batch)
            };
            let end = match outcome {
                AppendOutcome::Written => Appended::Written,
                AppendOutcome::Unknown => Appended::Unknown,
            };
            self.instances[index].claims.on_appended(number, end);
        }
    }

    /// Reads a random number of records from the log.
    fn read_log(&mut self, index: usize) {
        let limit = self.random.below(6) as usize;
        let instance = &mut self.instances[index];
        if instance.is_disconnected {
            return;
        }
        let page = instance.cursor.read(&self.log, limit);
        instance
            .claims
            .on_records(self.now, &page.records, page.next_offset, page.is_end);
        let first = self.log.first_offset();
        instance.claims.forget(self.now.get(), first);
    }

    /// Carries out all actions that an instance's claims have decided on.
    fn perform_actions(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let actions: Vec<Action> = instance.claims.drain().collect();
        for action in actions {
            match action {
                Action::Append(batch) => instance.queued_batches.push(batch),
                Action::Won { request, claim } => {
                    if let Some((key, deadline)) = instance.pending.remove(&request) {
                        instance.won.push(ClaimedRequest {
                            request,
                            key,
                            claim,
                            deadline,
                        });
                    }
                }
                Action::Lost { request, state } => {
                    instance.pending.remove(&request);
                    // A caller whose key was claimed before must not get the verdict "not run".
                    let verdict = match state {
                        KeyState::Ran => Verdict::Ran,
                        KeyState::Claimed | KeyState::Released => Verdict::MayHaveRun,
                    };
                    assert_ne!(verdict, Verdict::NotRun);
                }
                Action::GaveUp { request } => {
                    instance.pending.remove(&request);
                    self.refused_as_not_run.push(request);
                }
            }
        }
    }

    /// Sends the oldest request that has won its claim, unless its deadline has passed.
    fn send_won(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.is_paused || instance.won.is_empty() {
            return;
        }
        let claimed = instance.won.remove(0);
        if now >= claimed.deadline {
            instance.claims.release(now, claimed.claim);
            self.refused_as_not_run.push(claimed.request);
            return;
        }
        instance.sent.push(claimed);
        *self.runs_of_key.entry(claimed.key).or_insert(0) += 1;
        *self.runs_of_request.entry(claimed.request).or_insert(0) += 1;
    }

    /// Ends the oldest run with an answer or, at random, with the loss of the answer.
    fn finish_run(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.is_paused || instance.sent.is_empty() {
            return;
        }
        let claimed = instance.sent.remove(0);
        if self.random.chance(0.3) {
            instance.claims.abandon(claimed.claim);
        } else {
            instance.claims.record_outcome(now, claimed.claim);
        }
    }

    /// Reconnects an instance that is cut off from the log, or sometimes cuts it off.
    fn toggle_connection(&mut self, index: usize) {
        let may_disconnect = self.random.chance(0.3);
        let instance = &mut self.instances[index];
        instance.is_disconnected = !instance.is_disconnected && may_disconnect;
    }

    /// Resumes an instance that is paused, or sometimes pauses it.
    fn toggle_pause(&mut self, index: usize) {
        let may_pause = self.random.chance(0.3);
        let instance = &mut self.instances[index];
        instance.is_paused = !instance.is_paused && may_pause;
    }

    /// Replaces an instance by a new one, as after a crash.
    fn restart(&mut self, index: usize) {
        let fresh = self.boot();
        self.instances[index] = fresh;
    }

    /// Trims all records that are older than the retention time.
    fn trim(&mut self) {
        let oldest = self.now.minus(RETENTION_MS);
        self.log.trim_before(oldest);
    }

    /// Counts the faults from the recorded runs and refusals.
    fn counts(&self) -> ScheduleCounts {
        let doubled = self.runs_of_key.values().filter(|n| **n > 1).count() as u64;
        let has_run = |r: &&u64| self.runs_of_request.contains_key(r);
        ScheduleCounts {
            doubled,
            false_not_run: self.refused_as_not_run.iter().filter(has_run).count() as u64,
            runs: self.runs_of_key.values().sum(),
        }
    }
}
