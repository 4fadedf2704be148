//! Schedules that check the lease of the platform's tasks.
//!
//! Instances with clocks of different speeds share a topic that answers late, loses answers, carries
//! appends out late and comes back from copies. They report windows of usage and order upstreams at a
//! platform that carries some calls out late.

use super::Guards;
use std::ops::Range;
use vanillakeel::{
    Millis,
    duty::{
        Candidate,
        Change,
        Outcome,
        Purpose,
        Record,
        Settings,
        Step,
        View,
        Write, //
    },
    order::Random,
};

/// Number of instances in a schedule.
const INSTANCES: usize = 4;

/// Longest time between two steps, in ms.
const MAX_STEP_MS: u64 = 120;

/// Time that the lease lasts, in ms.
const LEASE_MS: u64 = 3_000;

/// Longest pause of an instance, and longest time for which it is cut off, in ms.
const MAX_PAUSE_MS: u64 = 7_000;

/// Longest time until instances give the lease up, and longest time for which they do, in ms.
const MAX_RELEASE_MS: u64 = 1_500;

/// Longest time for which the log is in trouble, in ms.
const MAX_TROUBLE_MS: u64 = 6_000;

/// Longest time on the way to the log and back, each, in ms.
const MAX_WAY_MS: u64 = 40;

/// Longest time after which a call is carried out in trouble, in ms.
const MAX_LATE_MS: u64 = 6_000;

/// Time limit of a call to the log, in ms.
const ANSWER_MS: u64 = 1_000;

/// Age of the copy from which the log comes back at most, in ms.
const MAX_COPY_AGE_MS: u64 = 6_000;

/// Length of a window of usage, in ms.
const WINDOW_MS: u64 = 4_000;

/// Largest difference of the speed of a clock, in thousandths.
const MAX_DRIFT: u64 = 20;

/// Faults found in a schedule, and what shows that it did something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ScheduleCounts {
    /// Calls of an instance after another one had made one with a higher token.
    pub(super) stale_calls: u64,
    /// Calls with a token that another instance had used.
    pub(super) shared_tokens: u64,
    /// Calls of an instance after those of another one, less than a lease after an earlier one of its own.
    pub(super) returns: u64,
    /// Reports of a window that differ from an earlier one.
    pub(super) different_reports: u64,
    /// Orders that were carried out after a newer one.
    pub(super) old_orders: u64,
    pub(super) calls: u64,
    pub(super) terms: u64,
    /// Windows that were reported.
    pub(super) reported: u64,
    /// Kills of a holder while the log was in order, and the time without one after them: sum and longest, in ms.
    pub(super) kills: u64,
    pub(super) without_holder_ms: u64,
    pub(super) longest_without_ms: u64,
}

/// A report of a window: what an instance has counted.
type Report = (u64, u64);

/// Records that were appended together, at one offset.
#[derive(Clone, Debug)]
struct Append {
    written_at: Millis,
    record: Record,
    report: Option<Report>,
    /// First window that may be reported in the era of the record.
    first_window: Option<u64>,
}

#[derive(Debug, Default)]
struct Topic {
    era: u64,
    appends: Vec<Append>,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.appends.len() as u64
    }

    /// Returns the reports that were written in an era.
    fn reports(&self, era: u64) -> Vec<Report> {
        let of_era = self.appends.iter().filter(|a| a.record.era == era);
        of_era.filter_map(|a| a.report).collect()
    }
}

/// What the log answers to a call.
#[derive(Clone, Debug)]
enum Answer {
    Read(View, Vec<Report>, Option<u64>),
    Written(Outcome),
}

/// A call to the log.
#[derive(Clone, Debug)]
struct LogCall {
    step: Step,
    report: Option<Report>,
    first_window: Option<u64>,
    sent_at: Millis,
    arrives_at: Millis,
    /// When the answer arrives, and what it is.
    answer: Option<(Millis, Answer)>,
    is_lost: bool,
}

/// What an instance has of the reports.
#[derive(Debug, Default)]
struct Ledger {
    recorded: Vec<Report>,
    sent: Vec<u64>,
}

impl Ledger {
    fn add(&mut self, report: Report) {
        if !self.recorded.iter().any(|(window, _)| *window == report.0) {
            self.recorded.push(report);
        }
    }
}

struct Instance {
    candidate: Candidate,
    ledger: Ledger,
    /// Thousandths by which its clock is faster than [`MAX_DRIFT`] below the true one.
    drift: u64,
    log_call: Option<LogCall>,
    /// Time until which it reaches neither the log nor other instances.
    cut_until: Millis,
    paused_until: Millis,
    unanswered_token: Option<u64>,
    first_window: Option<(u64, u64)>,
    /// Time in which the instance gives the lease up and does not take it.
    releases: Range<Millis>,
}

impl Instance {
    /// Returns the time by the clock of the instance.
    fn local(&self, now: Millis) -> Millis {
        Millis::new(now.get() * (1_000 - MAX_DRIFT + self.drift) / 1_000)
    }
}

/// A call that the platform carries out late.
struct LateCall {
    at: Millis,
    token: u64,
    order: u64,
}

struct Simulation {
    random: Random,
    guards: Guards,
    now: Millis,
    topic: Topic,
    /// Appends whose answers are given up and that may still be carried out.
    late_appends: Vec<LogCall>,
    trouble_until: Millis,
    instances: Vec<Instance>,
    boots: u64,
    /// Calls that were sent, with their instances and tokens.
    sent: Vec<(Millis, usize, u64)>,
    reported: Vec<Report>,
    late_calls: Vec<LateCall>,
    last_order: u64,
    carried_out: (u64, u64),
    /// When a holder was killed, unless the log has been in trouble since.
    killed_at: Option<Millis>,
    counts: ScheduleCounts,
}

/// Runs a schedule of `steps` steps and returns its counts.
pub(super) fn run(seed: u64, steps: u64, guards: Guards) -> ScheduleCounts {
    let mut simulation = Simulation {
        random: Random::new(seed),
        guards,
        now: Millis::new(1_000),
        topic: Topic::default(),
        late_appends: Vec::new(),
        trouble_until: Millis::ZERO,
        instances: Vec::new(),
        boots: 0,
        sent: Vec::new(),
        reported: Vec::new(),
        late_calls: Vec::new(),
        last_order: 0,
        carried_out: (0, 0),
        killed_at: None,
        counts: ScheduleCounts::default(),
    };
    for _ in 0..INSTANCES {
        let instance = simulation.boot();
        simulation.instances.push(instance);
    }
    for _ in 0..steps {
        simulation.step();
    }
    simulation.counts.reported = simulation.reported.len() as u64;
    simulation.counts
}

impl Simulation {
    fn boot(&mut self) -> Instance {
        self.boots += 1;
        let settings = Settings {
            expires: self.guards.lease_expires,
            keeps_released: self.guards.keeps_released,
            ..Settings::for_lease(LEASE_MS)
        };
        let name = format!("boot-{}", self.boots);
        Instance {
            candidate: Candidate::new(&name, self.boots, settings),
            ledger: Ledger::default(),
            drift: self.random.below(2 * MAX_DRIFT + 1),
            log_call: None,
            cut_until: Millis::ZERO,
            paused_until: Millis::ZERO,
            unanswered_token: None,
            first_window: None,
            releases: Millis::ZERO..Millis::ZERO,
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus(self.random.below(MAX_STEP_MS));
        self.disturb();
        self.carry_out_late();
        for index in 0..self.instances.len() {
            self.serve(index);
            if self.now >= self.instances[index].paused_until {
                self.turn(index);
            }
        }
        self.tell();
    }

    /// Lets something happen now and then.
    fn disturb(&mut self) {
        let index = self.random.below(INSTANCES as u64) as usize;
        let now = self.now;
        match self.random.below(400) {
            0..2 => {
                let local = self.instances[index].local(now);
                let was_holding = self.instances[index].candidate.token(local).is_some();
                self.abandon(index);
                self.instances[index] = self.boot();
                let is_in_order = now >= self.trouble_until;
                self.killed_at = (was_holding && is_in_order).then_some(now);
            }
            2..6 => {
                let ms = self.random.below(MAX_PAUSE_MS);
                self.instances[index].paused_until = now.plus(ms);
            }
            6..10 => {
                let ms = self.random.below(MAX_PAUSE_MS);
                self.instances[index].cut_until = now.plus(ms);
            }
            10..14 => {
                for instance in &mut self.instances {
                    let start = now.plus(self.random.below(MAX_RELEASE_MS));
                    instance.releases = start..start.plus(self.random.below(MAX_RELEASE_MS));
                }
            }
            14..17 => {
                self.trouble_until = now.plus(self.random.below(MAX_TROUBLE_MS));
                self.killed_at = None;
            }
            17..18 => {
                let copied_at = now.minus(self.random.below(MAX_COPY_AGE_MS));
                self.topic.appends.retain(|a| a.written_at <= copied_at);
                self.topic.era += 1;
                self.killed_at = None;
            }
            _ => {}
        }
    }

    /// Gives up the call of an instance; an append may still be carried out.
    fn abandon(&mut self, index: usize) {
        let call = self.instances[index].log_call.take();
        let is_pending = |c: &LogCall| c.answer.is_none() && matches!(c.step, Step::Write(_));
        self.late_appends.extend(call.filter(is_pending));
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let due: Vec<LogCall> = self
            .late_appends
            .extract_if(.., |call| call.arrives_at <= now)
            .collect();
        for call in due {
            self.answer(&call);
        }
        let calls: Vec<LateCall> = self
            .late_calls
            .extract_if(.., |call| call.at <= now)
            .collect();
        for call in calls {
            self.carry_out(call.token, call.order);
        }
    }

    /// Carries out an order, unless a higher token was seen.
    fn carry_out(&mut self, token: u64, order: u64) {
        let (highest, last) = self.carried_out;
        if token < highest {
            return;
        }
        self.counts.old_orders += u64::from(order < last);
        self.carried_out = (token, order.max(last));
    }

    /// Carries out a call that has reached the log.
    fn answer(&mut self, call: &LogCall) -> Answer {
        let era = if self.guards.follows_era {
            self.topic.era
        } else {
            0
        };
        let end_offset = self.topic.end_offset();
        match &call.step {
            Step::Read => {
                let record = self.topic.appends.last().map(|a| a.record.clone());
                let first = |a: &Append| a.first_window.filter(|_| a.record.era == era);
                let first_window = self.topic.appends.iter().rev().find_map(first);
                let view = View {
                    era,
                    end_offset,
                    record,
                };
                Answer::Read(view, self.topic.reports(era), first_window)
            }
            Step::Write(write) if self.guards.writes_at_end && write.at != end_offset => {
                Answer::Written(Outcome::Moved { era, end_offset })
            }
            Step::Write(write) => {
                self.topic.appends.push(Append {
                    written_at: self.now,
                    record: write.record.clone(),
                    report: call.report,
                    first_window: call.first_window,
                });
                Answer::Written(Outcome::Appended {
                    era,
                    end_offset: end_offset + 1,
                })
            }
        }
    }

    /// Lets the log answer the call of an instance once it has reached it.
    fn serve(&mut self, index: usize) {
        let now = self.now;
        let Some(mut call) = self.instances[index].log_call.take() else {
            return;
        };
        if call.answer.is_none() && call.arrives_at <= now {
            let answer = self.answer(&call);
            let way_ms = self.random.below(MAX_WAY_MS);
            call.answer = Some((now.plus(way_ms), answer));
        }
        self.instances[index].log_call = Some(call);
    }

    fn turn(&mut self, index: usize) {
        self.finish_log_call(index);
        let instance = &mut self.instances[index];
        let is_releasing = instance.releases.contains(&self.now);
        instance.candidate.set_releasing(is_releasing);
        self.use_log(index);
        self.call_platform(index);
        let changes = self.instances[index].candidate.drain();
        let acquired = changes.filter(|c| matches!(c, Change::Acquired(_)));
        self.counts.terms += acquired.count() as u64;
    }

    fn finish_log_call(&mut self, index: usize) {
        let now = self.now;
        let local = self.instances[index].local(now);
        let Some(call) = self.instances[index].log_call.clone() else {
            return;
        };
        let is_heard = !call.is_lost && self.instances[index].cut_until <= now;
        let answer = call.answer.clone().filter(|(at, _)| is_heard && *at <= now);
        if answer.is_none() && now.since(call.sent_at) < ANSWER_MS {
            return;
        }
        self.abandon(index);
        let instance = &mut self.instances[index];
        match (call.step, answer.map(|(_, answer)| answer)) {
            (Step::Read, Some(Answer::Read(view, reports, first_window))) => {
                reports.into_iter().for_each(|r| instance.ledger.add(r));
                instance.first_window = first_window.map(|window| (view.era, window));
                instance.candidate.on_read(local, Some(&view));
            }
            (Step::Read, _) => instance.candidate.on_read(local, None),
            (Step::Write(write), Some(Answer::Written(outcome))) => {
                if instance.candidate.on_written(local, outcome) {
                    call.report.into_iter().for_each(|r| instance.ledger.add(r));
                    let first = call.first_window.map(|window| (write.record.era, window));
                    instance.first_window = first.or(instance.first_window);
                }
            }
            (Step::Write(_), _) => _ = instance.candidate.on_written(local, Outcome::Unknown),
        }
    }

    /// Returns the number of the window at present.
    fn window(&self) -> u64 {
        self.now.get() / WINDOW_MS
    }

    /// Returns the report of the last window that has ended, if it is to be recorded.
    fn due_report(&mut self, index: usize) -> Option<Report> {
        let window = self.window().checked_sub(1)?;
        let count = self.random.below(1_000_000);
        let ledger = &self.instances[index].ledger;
        let is_known = ledger.recorded.iter().any(|(of, _)| *of == window);
        (!is_known).then_some((window, count))
    }

    fn use_log(&mut self, index: usize) {
        let local = self.instances[index].local(self.now);
        let present = self.window();
        let report = self.due_report(index);
        let instance = &mut self.instances[index];
        if instance.log_call.is_some() {
            return;
        }
        let candidate = &mut instance.candidate;
        let era = candidate.era();
        let first = instance.first_window.filter(|(of, _)| *of == era);
        let needs_first = candidate.is_informed() && era > 0 && first.is_none();
        let may_report = candidate.is_informed() && !needs_first;
        let report = report.filter(|r| may_report && first.is_none_or(|(_, w)| r.0 >= w));
        if needs_first || report.is_some() {
            candidate.request_write();
        }
        let Some(step) = candidate.step(local, true) else {
            return;
        };
        let adds = |w: &Write| w.purpose != Purpose::Release;
        let adds = matches!(&step, Step::Write(write) if adds(write)) && candidate.is_informed();
        let in_trouble = self.now < self.trouble_until;
        let way_ms = if in_trouble && self.random.below(2) == 0 {
            self.random.below(MAX_LATE_MS)
        } else {
            self.random.below(MAX_WAY_MS)
        };
        let is_lost = in_trouble && self.random.below(3) == 0;
        let never_sent = instance.cut_until > self.now;
        let arrives_at = if never_sent {
            Millis::MAX
        } else {
            self.now.plus(way_ms)
        };
        instance.log_call = Some(LogCall {
            step,
            report: report.filter(|_| adds),
            first_window: (adds && needs_first).then_some(present),
            sent_at: self.now,
            arrives_at,
            answer: None,
            is_lost,
        });
    }

    fn call_platform(&mut self, index: usize) {
        let local = self.instances[index].local(self.now);
        let Some(token) = self.instances[index].candidate.token(local) else {
            return;
        };
        if let Some(report) = self.next_report(index) {
            self.on_call(index, token);
            let earlier = self.reported.iter().find(|(window, _)| *window == report.0);
            match earlier {
                Some(earlier) => self.counts.different_reports += u64::from(*earlier != report),
                None => self.reported.push(report),
            }
            // The answer may be lost; the report is then sent again.
            if self.random.below(4) > 0 {
                self.instances[index].ledger.sent.push(report.0);
            }
            return;
        }
        let instance = &mut self.instances[index];
        let is_unsure = instance.unanswered_token.is_some_and(|t| t >= token);
        if is_unsure && self.guards.raises_tokens {
            instance.candidate.request_token();
            return;
        }
        self.on_call(index, token);
        self.last_order += 1;
        let order = self.last_order;
        if self.random.below(20) > 0 {
            self.carry_out(token, order);
            return;
        }
        self.instances[index].unanswered_token = Some(token);
        let at = self.now.plus(self.random.below(MAX_LATE_MS));
        self.late_calls.push(LateCall { at, token, order });
    }

    /// Returns the next report to send, which without the guard is not recorded before.
    fn next_report(&mut self, index: usize) -> Option<Report> {
        let due = self.due_report(index);
        let instance = &mut self.instances[index];
        let era = instance.candidate.era();
        let first = instance.first_window.filter(|(of, _)| *of == era);
        let first = first.map(|(_, window)| window);
        let first = if era == 0 { 0 } else { first? };
        let ledger = &mut instance.ledger;
        if !self.guards.records_reports {
            due.into_iter().for_each(|report| ledger.add(report));
        }
        let is_unsent = |r: &&Report| r.0 >= first && !ledger.sent.contains(&r.0);
        ledger.recorded.iter().find(is_unsent).copied()
    }

    /// Checks a call that is sent now against those before it.
    fn on_call(&mut self, index: usize, token: u64) {
        let now = self.now;
        self.counts.calls += 1;
        let is_stale = |(_, _, t): &(Millis, usize, u64)| *t > token;
        let is_shared = |(_, i, t): &(Millis, usize, u64)| *t == token && *i != index;
        self.counts.stale_calls += u64::from(self.sent.iter().any(is_stale));
        self.counts.shared_tokens += u64::from(self.sent.iter().any(is_shared));
        let others = self.sent.iter().rposition(|(_, i, _)| *i != index);
        let before = &self.sent[..others.unwrap_or(0)];
        let own = before.iter().rev().find(|(_, i, _)| *i == index);
        let is_return = own.is_some_and(|(at, ..)| now.since(*at) < LEASE_MS);
        self.counts.returns += u64::from(is_return);
        self.sent.push((now, index, token));
        if let Some(killed_at) = self.killed_at.take() {
            let ms = now.since(killed_at);
            self.counts.kills += 1;
            self.counts.without_holder_ms += ms;
            self.counts.longest_without_ms = self.counts.longest_without_ms.max(ms);
        }
    }

    /// Lets instances tell each other where the topic ends; some messages are lost.
    fn tell(&mut self) {
        for from in 0..INSTANCES {
            let sender = &self.instances[from];
            let is_away = |i: &Instance| self.now < i.cut_until || self.now < i.paused_until;
            if is_away(sender) {
                continue;
            }
            let Some(news) = sender.candidate.news(sender.local(self.now)) else {
                continue;
            };
            for to in (0..INSTANCES).filter(|to| *to != from) {
                let is_lost = self.random.below(10) == 0;
                if !is_lost && !is_away(&self.instances[to]) {
                    let local = self.instances[to].local(self.now);
                    self.instances[to].candidate.on_heard(local, &news);
                }
            }
        }
    }
}
