//! A simulated log that comes back from earlier copies, and how instances follow it.

use vanillakeel::{
    Millis,
    order::Random, //
};

/// Largest age of a copy from which the log comes back, in ms.
const MAX_COPY_AGE_MS: u64 = 8_000;

/// Longest time for which the log is away before it comes back from a copy, in ms.
const MAX_AWAY_MS: u64 = 1_500;

/// Longest time that a question or an answer is on its way, in ms.
const MAX_DELAY_MS: u64 = 300;

/// Time after which a read without an answer has failed, in ms.
const READ_LIMIT_MS: u64 = 700;

/// Answers that are lost, of 100.
const LOST_PERCENT: u64 = 10;

/// A place on the log, from which an instance reads on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Position {
    era: u64,
    offset: usize,
}

/// Records from a position on, or all of them, and the position after them.
#[derive(Clone, Debug)]
struct Page<R> {
    records: Vec<R>,
    next: Position,
}

/// A log whose contents go back to those of an earlier copy now and then; the offset of a record is its
/// index.
#[derive(Debug)]
pub(super) struct CopiedLog<R> {
    era: u64,
    /// Records with the times at which they were written.
    records: Vec<(Millis, R)>,
    away_until: Millis,
}

impl<R: Clone> CopiedLog<R> {
    pub(super) const fn new() -> Self {
        Self {
            era: 0,
            records: Vec::new(),
            away_until: Millis::ZERO,
        }
    }

    pub(super) fn is_away(&self, now: Millis) -> bool {
        now < self.away_until
    }

    /// Returns the time at which the log is there again.
    pub(super) const fn away_until(&self) -> Millis {
        self.away_until
    }

    /// Adds a record; the log must not be away.
    pub(super) fn write(&mut self, now: Millis, record: R) {
        self.records.push((now, record));
    }

    /// Returns all records with the times at which they were written.
    pub(super) fn records(&self) -> &[(Millis, R)] {
        &self.records
    }

    /// Lets the log be away for a moment and come back from a copy; returns the records that are lost.
    pub(super) fn restore(&mut self, now: Millis, random: &mut Random) -> Vec<R> {
        let copied_at = now.minus(random.below(MAX_COPY_AGE_MS));
        let kept = self.records.partition_point(|(at, _)| *at <= copied_at);
        self.era += 1;
        self.away_until = now.plus(random.below(MAX_AWAY_MS));
        let lost = self.records.drain(kept..);
        lost.map(|(_, record)| record).collect()
    }

    /// Reads on from a position, or reads all records without one; returns `None` if the log does not
    /// have the position.
    fn read(&self, from: Option<Position>) -> Option<Page<R>> {
        let records = self.records.get(from.map_or(0, |p| p.offset)..)?;
        Some(Page {
            records: records.iter().map(|(_, r)| r.clone()).collect(),
            next: Position {
                era: self.era,
                offset: self.records.len(),
            },
        })
    }
}

/// The outcome of a read that was sent at `asked_at`.
#[derive(Debug)]
pub(super) enum Outcome<R> {
    Page {
        asked_at: Millis,
        records: Vec<R>,
        /// Whether these are all records.
        is_list: bool,
        /// Era of the log, or 0 for an instance that ignores eras.
        era: u64,
    },
    Failed {
        asked_at: Millis,
    },
}

/// What an instance's connection to the log does.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) is_cut: bool,
    pub(super) loses_answers: bool,
}

/// A read that is under way.
#[derive(Debug)]
struct Read<R> {
    asked_at: Millis,
    from: Option<Position>,
    /// Time at which the question reaches the log.
    served_at: Millis,
    /// Time at which the answer arrives, and the answer, once the log has given it.
    answer: Option<(Millis, Option<Page<R>>)>,
    is_lost: bool,
}

/// Follows a log from an instance, one read after the other.
#[derive(Debug)]
pub(super) struct Follower<R> {
    read: Option<Read<R>>,
    /// Position from which the next read goes on; without it, all records are read.
    position: Option<Position>,
    /// Latest era that the log has shown.
    era: Option<u64>,
}

impl<R> Default for Follower<R> {
    fn default() -> Self {
        Self {
            read: None,
            position: None,
            era: None,
        }
    }
}

impl<R: Clone> Follower<R> {
    /// Returns the latest era that the log has shown, or 0 before the first answer.
    pub(super) fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Lets the log answer a question that has reached it.
    ///
    /// This also has to be called while the instance is paused, whose answer then waits for it.
    pub(super) fn serve(&mut self, now: Millis, log: &CopiedLog<R>, random: &mut Random) {
        if let Some(read) = &mut self.read
            && read.answer.is_none()
            && read.served_at <= now
        {
            let arrives_at = now.plus(random.below(MAX_DELAY_MS));
            read.answer = Some((arrives_at, log.read(read.from)));
            read.is_lost |= log.is_away(now);
        }
    }

    /// Goes on with the read that is under way, or sends one; returns its outcome.
    ///
    /// A page of an earlier era, or read from a position of one, has no outcome; all records are read
    /// next. `follows_era` is false for an instance that ignores eras.
    pub(super) fn poll(
        &mut self,
        now: Millis,
        link: Link,
        random: &mut Random,
        follows_era: bool,
    ) -> Option<Outcome<R>> {
        let Some(mut read) = self.read.take() else {
            self.read = Some(Read {
                asked_at: now,
                from: self.position,
                served_at: now.plus(random.below(MAX_DELAY_MS)),
                answer: None,
                is_lost: link.loses_answers && random.below(100) < LOST_PERCENT,
            });
            return None;
        };
        let asked_at = read.asked_at;
        let is_received = !read.is_lost && !link.is_cut;
        if let Some((_, page)) = read.answer.take_if(|(at, _)| is_received && *at <= now) {
            let page = page.filter(|page| !follows_era || self.is_of_present_era(page));
            let is_list = self.position.is_none();
            self.position = page.as_ref().map(|page| page.next);
            return page.map(|page| Outcome::Page {
                asked_at,
                records: page.records,
                is_list,
                era: if follows_era { page.next.era } else { 0 },
            });
        }
        if now.since(asked_at) >= READ_LIMIT_MS {
            return Some(Outcome::Failed { asked_at });
        }
        self.read = Some(read);
        None
    }

    /// Records the era of a page; returns whether the page, and the position that it was read from, are of
    /// the present one.
    fn is_of_present_era(&mut self, page: &Page<R>) -> bool {
        let era = page.next.era;
        let is_present = self.era <= Some(era);
        self.era = self.era.max(Some(era));
        is_present && self.position.is_none_or(|p| p.era == era)
    }
}
