//! A log that loses answers, delays copies, trims and cannot be reached at times.

use vanillakeel::{
    Millis,
    order::Random, //
};

/// How an append has ended for its writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// It is on the log, and the writer knows it.
    Written,
    /// It may be on the log.
    Lost,
}

/// Odds of what happens to an append.
const LOST_BEFORE: f64 = 0.15;
const LOST_AFTER: f64 = 0.15;
const DELAYED: f64 = 0.1;

/// A log of records of one type.
#[derive(Clone, Debug)]
pub(super) struct Log<T> {
    first: u64,
    records: Vec<(Millis, T)>,
    delayed: Vec<T>,
}

impl<T: Clone> Log<T> {
    pub(super) const fn new() -> Self {
        Self {
            first: 0,
            records: Vec::new(),
            delayed: Vec::new(),
        }
    }

    pub(super) const fn first(&self) -> u64 {
        self.first
    }

    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends a record, or loses it or its answer.
    pub(super) fn append(&mut self, random: &mut Random, now: Millis, record: T) -> Answer {
        if random.chance(LOST_BEFORE) {
            return Answer::Lost;
        }
        if random.chance(DELAYED) {
            self.delayed.push(record);
            return Answer::Lost;
        }
        self.records.push((now, record));
        if random.chance(LOST_AFTER) {
            Answer::Lost
        } else {
            Answer::Written
        }
    }

    /// Lets a delayed copy arrive.
    pub(super) fn land(&mut self, random: &mut Random, now: Millis) {
        if !self.delayed.is_empty() {
            let at = random.below(self.delayed.len() as u64) as usize;
            let record = self.delayed.swap_remove(at);
            self.records.push((now, record));
        }
    }

    /// Trims all records before `offset`.
    pub(super) fn trim(&mut self, offset: u64) {
        let gone = offset
            .saturating_sub(self.first)
            .min(self.records.len() as u64);
        self.records.drain(..gone as usize);
        self.first += gone;
    }

    /// Trims all records written before a time.
    pub(super) fn trim_before(&mut self, time: Millis) {
        let old = self.records.partition_point(|r| r.0 < time);
        self.trim(self.first + old as u64);
    }

    /// Up to `most` records from `from` on, each with its offset.
    pub(super) fn read(&self, from: u64, most: usize) -> Vec<(u64, T)> {
        let start = from.max(self.first);
        let skip = (start - self.first) as usize;
        let records = self.records.iter().skip(skip).take(most);
        (start..).zip(records.map(|r| r.1.clone())).collect()
    }
}

/// Records read from a log.
#[derive(Clone, Debug)]
pub(super) struct Page<T> {
    pub(super) records: Vec<(u64, T)>,
    /// The offset after the last one.
    pub(super) next: u64,
    pub(super) is_end: bool,
}

/// How far an instance has read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cursor {
    pub(super) next: u64,
}

impl Cursor {
    /// Reads up to `most` records.
    pub(super) fn read<T: Clone>(&mut self, log: &Log<T>, most: usize) -> Page<T> {
        let records = log.read(self.next, most);
        let last = records.last().map(|r| r.0 + 1);
        self.next = last.unwrap_or(self.next.max(log.first()));
        Page {
            records,
            next: self.next,
            is_end: self.next >= log.end(),
        }
    }
}
