//! At most one run for each key, and only true verdicts.

use super::fake::{
    Answer,
    Cursor,
    Log, //
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
        KeyState, //
        Settings,
    },
    order::Random,
};

/// Instances of a schedule.
const INSTANCES: usize = 4;

/// Part of the requests that come with a new key.
const NEW_KEYS: f64 = 0.3;

/// Keys back to which callers repeat a request.
const RECENT_KEYS: u64 = 8;

/// Age up to which a key is taken, in ms.
const WINDOW_MS: u64 = 30_000;

/// Time for which the log keeps records, in ms.
const RETENTION_MS: u64 = 60_000;

/// Time to a request's deadline in ms.
const DEADLINE_MS: u64 = 3_000;

/// Longest pause of an instance in ms, far longer than any timeout.
const LONGEST_PAUSE_MS: u64 = 20_000;

/// Guards that can be turned off, to see that the checks find the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A keyed request waits for its claim before it is sent.
    pub claim_before_send: bool,
    /// An instance never moves to a lower version.
    pub version_never_falls: bool,
    /// A lease's holder stops when its duration has passed.
    pub lease_expires: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            claim_before_send: true,
            version_never_falls: true,
            lease_expires: true,
        }
    }
}

/// A request that an instance works on.
#[derive(Clone, Copy, Debug)]
struct Running {
    request: u64,
    key: u64,
    claim: u64,
    deadline: Millis,
}

struct Instance {
    claims: Claims,
    clock: Millis,
    cursor: Cursor,
    is_cut: bool,
    is_paused: bool,
    won: Vec<Running>,
    sent: Vec<Running>,
    open: BTreeMap<u64, (u64, Millis)>,
    appends: Vec<Batch>,
}

/// Faults found in a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Found {
    pub(super) doubled: u64,
    pub(super) false_not_run: u64,
    pub(super) runs: u64,
}

struct World {
    random: Random,
    log: Log<Batch>,
    instances: Vec<Instance>,
    guards: Guards,
    boots: u64,
    last_request: u64,
    keys_made: Vec<Millis>,
    now: Millis,
    runs_of_key: BTreeMap<u64, u64>,
    runs_of_request: BTreeMap<u64, u64>,
    not_run: Vec<u64>,
}

/// Runs a schedule of `steps` and returns what was found.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> Found {
    let mut world = World {
        random: Random::new(seed),
        log: Log::new(),
        instances: Vec::new(),
        guards,
        boots: 0,
        last_request: 0,
        keys_made: Vec::new(),
        now: Millis::ZERO,
        runs_of_key: BTreeMap::new(),
        runs_of_request: BTreeMap::new(),
        not_run: Vec::new(),
    };
    for _ in 0..INSTANCES {
        let instance = world.boot();
        world.instances.push(instance);
    }
    for _ in 0..steps {
        world.step();
    }
    world.found()
}

impl World {
    fn boot(&mut self) -> Instance {
        self.boots += 1;
        let settings = Settings {
            window_ms: WINDOW_MS,
            claim_before_send: self.guards.claim_before_send,
            ..Settings::default()
        };
        let mut claims = Claims::new(&format!("boot-{}", self.boots), settings);
        claims.tick(self.now);
        Instance {
            claims,
            clock: self.now,
            cursor: Cursor::default(),
            is_cut: false,
            is_paused: false,
            won: Vec::new(),
            sent: Vec::new(),
            open: BTreeMap::new(),
            appends: Vec::new(),
        }
    }

    fn step(&mut self) {
        let ms = if self.random.chance(0.004) {
            self.random.below(LONGEST_PAUSE_MS)
        } else {
            self.random.below(30)
        };
        self.now = self.now.plus(ms);
        let at = self.random.below(INSTANCES as u64) as usize;
        match self.random.below(100) {
            0..20 => self.arrive(at),
            20..75 => self.work(at),
            75..83 => self.send(at),
            83..90 => self.end_run(at),
            90..92 => self.log.land(&mut self.random, self.now),
            92..94 => self.toggle_cut(at),
            94..97 => self.toggle_pause(at),
            97..98 => self.crash(at),
            _ => self.trim(),
        }
    }

    /// A caller sends a request, often with a key that was used before.
    fn arrive(&mut self, at: usize) {
        if self.instances[at].is_paused {
            return;
        }
        self.last_request += 1;
        let (request, now) = (self.last_request, self.now);
        let key = self.key();
        let made = self.keys_made[key as usize];
        if now.since(made) > WINDOW_MS {
            self.not_run.push(request);
            return;
        }
        let deadline = now.plus(DEADLINE_MS);
        let instance = &mut self.instances[at];
        instance.clock = now;
        instance.open.insert(request, (key, deadline));
        let key = Key::new("workspace", u128::from(key), made.get());
        instance.claims.begin(now, request, key, deadline);
        self.carry_out(at);
    }

    /// A new key, or one that was used of late.
    fn key(&mut self) -> u64 {
        let count = self.keys_made.len() as u64;
        if count == 0 || self.random.chance(NEW_KEYS) {
            self.keys_made.push(self.now);
            return count;
        }
        let back = 1 + self.random.below(count.min(RECENT_KEYS));
        count - back
    }

    /// An instance does its periodic work and reads the log.
    fn work(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        if instance.is_paused {
            return;
        }
        instance.clock = now;
        instance.claims.tick(now);
        self.append(at);
        self.read(at);
        self.carry_out(at);
        self.append(at);
    }

    fn append(&mut self, at: usize) {
        self.carry_out(at);
        for batch in std::mem::take(&mut self.instances[at].appends) {
            let number = batch.number;
            let answer = if self.instances[at].is_cut {
                Answer::Lost
            } else {
                self.log.append(&mut self.random, self.now, batch)
            };
            let end = match answer {
                Answer::Written => Appended::Written,
                Answer::Lost => Appended::Unknown,
            };
            self.instances[at].claims.on_appended(number, end);
        }
    }

    fn read(&mut self, at: usize) {
        let most = self.random.below(6) as usize;
        let instance = &mut self.instances[at];
        if instance.is_cut {
            return;
        }
        let page = instance.cursor.read(&self.log, most);
        instance
            .claims
            .on_records(self.now, &page.records, page.next, page.is_end);
        let first = self.log.first();
        instance.claims.forget(self.now.get(), first);
    }

    fn carry_out(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let actions: Vec<Action> = instance.claims.drain().collect();
        for action in actions {
            match action {
                Action::Append(batch) => instance.appends.push(batch),
                Action::Won { request, claim } => {
                    if let Some((key, deadline)) = instance.open.remove(&request) {
                        instance.won.push(Running {
                            request,
                            key,
                            claim,
                            deadline,
                        });
                    }
                }
                Action::Lost { request, state } => {
                    instance.open.remove(&request);
                    // What the caller hears is never "not run".
                    let verdict = match state {
                        KeyState::Ran => Verdict::Ran,
                        KeyState::Claimed | KeyState::Released => Verdict::MayHaveRun,
                    };
                    assert_ne!(verdict, Verdict::NotRun);
                }
                Action::GaveUp { request } => {
                    instance.open.remove(&request);
                    self.not_run.push(request);
                }
            }
        }
    }

    /// An instance sends a request that has won, if its deadline has not passed.
    fn send(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        if instance.is_paused || instance.won.is_empty() {
            return;
        }
        let running = instance.won.remove(0);
        if now >= running.deadline {
            instance.claims.release(now, running.claim);
            self.not_run.push(running.request);
            return;
        }
        instance.sent.push(running);
        *self.runs_of_key.entry(running.key).or_insert(0) += 1;
        *self.runs_of_request.entry(running.request).or_insert(0) += 1;
    }

    /// An upstream's answer arrives, or is lost.
    fn end_run(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        if instance.is_paused || instance.sent.is_empty() {
            return;
        }
        let running = instance.sent.remove(0);
        if self.random.chance(0.3) {
            instance.claims.abandon(running.claim);
        } else {
            instance.claims.record_outcome(now, running.claim);
        }
    }

    /// Cuts an instance off from the log, or lets it back, which is more likely.
    fn toggle_cut(&mut self, at: usize) {
        let stays = self.random.chance(0.3);
        let instance = &mut self.instances[at];
        instance.is_cut = !instance.is_cut && stays;
    }

    /// Pauses an instance, or lets it go on, which is more likely.
    fn toggle_pause(&mut self, at: usize) {
        let stays = self.random.chance(0.3);
        let instance = &mut self.instances[at];
        instance.is_paused = !instance.is_paused && stays;
    }

    fn crash(&mut self, at: usize) {
        let fresh = self.boot();
        self.instances[at] = fresh;
    }

    /// Retention takes old records.
    fn trim(&mut self) {
        let oldest = self.now.minus(RETENTION_MS);
        self.log.trim_before(oldest);
    }

    fn found(&self) -> Found {
        let doubled = self.runs_of_key.values().filter(|n| **n > 1).count() as u64;
        let is_false = |r: &&u64| self.runs_of_request.contains_key(r);
        Found {
            doubled,
            false_not_run: self.not_run.iter().filter(is_false).count() as u64,
            runs: self.runs_of_key.values().sum(),
        }
    }
}
