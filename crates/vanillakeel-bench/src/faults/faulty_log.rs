//! A log service with faults: it loses requests and answers and writes some records late.
//!
//! All records of a schedule go through one [`FaultyLog`]; each instance reads it with a [`Cursor`]
//! of its own.

use vanillakeel::{
    Millis,
    order::Random, //
};

/// The result of an append as its writer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendOutcome {
    /// The record is on the log.
    Written,
    /// The record may be on the log, or may be written later.
    Unknown,
}

/// Probability that an append is lost before the record is written.
const REQUEST_LOSS_PROBABILITY: f64 = 0.15;

/// Probability that the answer to an append that wrote its record is lost.
const ANSWER_LOSS_PROBABILITY: f64 = 0.15;

/// Probability that an append that is not lost is delayed, so that its record is written after the
/// writer has given up.
const DELAY_PROBABILITY: f64 = 0.1;

/// A log of records of one type, with faults.
#[derive(Clone, Debug)]
pub(super) struct FaultyLog<T> {
    first_offset: u64,
    /// Records with the times at which they were written.
    records: Vec<(Millis, T)>,
    /// Records that are still to be written.
    delayed: Vec<T>,
}

impl<T: Clone> FaultyLog<T> {
    pub(super) const fn new() -> Self {
        Self {
            first_offset: 0,
            records: Vec::new(),
            delayed: Vec::new(),
        }
    }

    /// Returns the offset of the oldest record that is not trimmed.
    pub(super) const fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// Returns the offset that the next record gets.
    pub(super) fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Appends a record, unless it is lost or delayed; the answer may be lost as well.
    pub(super) fn append(&mut self, random: &mut Random, now: Millis, record: T) -> AppendOutcome {
        if random.chance(REQUEST_LOSS_PROBABILITY) {
            return AppendOutcome::Unknown;
        }
        if random.chance(DELAY_PROBABILITY) {
            self.delayed.push(record);
            return AppendOutcome::Unknown;
        }
        self.records.push((now, record));
        if random.chance(ANSWER_LOSS_PROBABILITY) {
            AppendOutcome::Unknown
        } else {
            AppendOutcome::Written
        }
    }

    /// Writes a random one of the delayed records, if there are any.
    pub(super) fn deliver_delayed(&mut self, random: &mut Random, now: Millis) {
        if !self.delayed.is_empty() {
            let index = random.below(self.delayed.len() as u64) as usize;
            let record = self.delayed.swap_remove(index);
            self.records.push((now, record));
        }
    }

    /// Trims all records before the offset `end`.
    pub(super) fn trim(&mut self, end: u64) {
        let trimmed = end
            .saturating_sub(self.first_offset)
            .min(self.records.len() as u64);
        self.records.drain(..trimmed as usize);
        self.first_offset += trimmed;
    }

    /// Trims all records written before a time.
    pub(super) fn trim_before(&mut self, time: Millis) {
        let expired = self.records.partition_point(|r| r.0 < time);
        self.trim(self.first_offset + expired as u64);
    }

    /// Returns up to `limit` records from the offset `start` on, each with its offset.
    pub(super) fn read(&self, start: u64, limit: usize) -> Vec<(u64, T)> {
        let start = start.max(self.first_offset);
        let skip = (start - self.first_offset) as usize;
        let records = self.records.iter().skip(skip).take(limit);
        (start..).zip(records.map(|r| r.1.clone())).collect()
    }
}

/// Records read from a log.
#[derive(Clone, Debug)]
pub(super) struct Page<T> {
    pub(super) records: Vec<(u64, T)>,
    /// The offset after the last record.
    pub(super) next_offset: u64,
    /// Whether the log has no further records.
    pub(super) is_end: bool,
}

/// The position up to which an instance has read the log.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cursor {
    pub(super) next_offset: u64,
}

impl Cursor {
    /// Reads up to `limit` records and advances the cursor past them.
    pub(super) fn read<T: Clone>(&mut self, log: &FaultyLog<T>, limit: usize) -> Page<T> {
        let records = log.read(self.next_offset, limit);
        let next_offset = records.last().map(|r| r.0 + 1);
        self.next_offset = next_offset.unwrap_or(self.next_offset.max(log.first_offset()));
        Page {
            records,
            next_offset: self.next_offset,
            is_end: self.next_offset >= log.end_offset(),
        }
    }
}
