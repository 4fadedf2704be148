//! The streams whose origin is known here.

use super::{
    Origin,
    PassedStream,
    StreamId, //
};
use crate::Millis;
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Time by which a stream that is told of again has to begin later to be recorded again, in ms; the ages
/// that travel with streams are less exact.
const NEWER_MS: u64 = 1_000;

/// Settings of [`BegunStreams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a stream is known after it has begun or was taken up, in ms.
    pub remembered_ms: u64,
    /// Most streams that are known at once; the ones that were recorded first make room for others.
    pub max_streams: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            remembered_ms: 30_000,
            max_streams: 65_536,
        }
    }
}

/// A record that a stream has begun or gone on.
#[derive(Clone, Debug)]
pub(super) struct Begun {
    pub(super) stream: StreamId,
    /// Position in the table of origins.
    pub(super) origin: u16,
    /// Whether it has come down the tree, so that other hubs know it from elsewhere.
    pub(super) is_relayed: bool,
    /// Time at which the stream is forgotten.
    pub(super) known_until: Millis,
}

/// The streams whose origin is known here: those that began here, and those that peers have told of.
///
/// Records are numbered in the order in which they were made, so that [`Spread`](super::Spread) can say
/// up to which one a peer knows them.
#[derive(Clone, Debug)]
pub struct BegunStreams {
    settings: Settings,
    /// In the order in which they were recorded.
    records: VecDeque<Begun>,
    /// Number of the first record.
    first: u64,
    /// Low bits of the numbers of the records that count, sorted by stream.
    index: Vec<u32>,
    /// Services with versions that have occurred.
    origins: Vec<Origin>,
    /// Time from which the next record first drops what has expired.
    sweep_at: Millis,
}

impl BegunStreams {
    /// Creates an empty list.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: VecDeque::new(),
            first: 0,
            index: Vec::new(),
            origins: Vec::new(),
            sweep_at: Millis::ZERO,
        }
    }

    /// Replaces the time for which streams that are recorded from now on are known.
    pub const fn set_remembered(&mut self, remembered_ms: u64) {
        self.settings.remembered_ms = remembered_ms;
    }

    /// Returns the time for which a stream is known after it has begun or was taken up, in ms.
    #[must_use]
    pub const fn remembered_ms(&self) -> u64 {
        self.settings.remembered_ms
    }

    /// Records that a stream has begun or gone on at a version of a service.
    pub fn record(&mut self, now: Millis, stream: StreamId, origin: &Origin) {
        let known_until = now.plus(self.settings.remembered_ms);
        self.insert(now, stream, origin, known_until, false);
    }

    /// Records a stream of which an instance tells that has relayed its first event.
    pub fn record_told(&mut self, now: Millis, stream: StreamId, origin: &Origin) {
        let is_known = self.find_record(stream).is_some_and(|known| {
            let known_until = now.plus(self.settings.remembered_ms);
            self.origins[usize::from(known.origin)] == *origin
                && known_until.since(known.known_until) <= NEWER_MS
        });
        if !is_known {
            self.record(now, stream, origin);
        }
    }

    /// Records a stream that has begun or gone on `age_ms` ago, by what a peer has passed on, unless this
    /// instance knows as much.
    ///
    /// `is_relayed` tells whether it has come down the tree of instances.
    pub(super) fn record_passed(
        &mut self,
        now: Millis,
        stream: StreamId,
        origin: &Origin,
        age_ms: u64,
        is_relayed: bool,
    ) {
        let known_until = now.plus(self.settings.remembered_ms).minus(age_ms);
        let known = self.find_record(stream);
        let is_newer = known.is_none_or(|k| known_until.since(k.known_until) > NEWER_MS);
        if now < known_until && is_newer {
            self.insert(now, stream, origin, known_until, is_relayed);
        }
    }

    fn insert(
        &mut self,
        now: Millis,
        stream: StreamId,
        origin: &Origin,
        known_until: Millis,
        is_relayed: bool,
    ) {
        if now >= self.sweep_at || self.records.len() >= self.settings.max_streams {
            self.sweep(now);
        }
        let Some(origin) = self.origin_number(origin) else {
            return;
        };
        let number = self.end() as u32;
        match self.find(stream) {
            Ok(at) => self.index[at] = number,
            Err(at) => self.index.insert(at, number),
        }
        self.records.push_back(Begun {
            stream,
            origin,
            is_relayed,
            known_until,
        });
    }

    /// Returns where a stream began, if that is known.
    #[must_use]
    pub fn origin(&self, now: Millis, stream: StreamId) -> Option<&Origin> {
        let begun = self.find_record(stream)?;
        (now < begun.known_until).then(|| &self.origins[usize::from(begun.origin)])
    }

    /// Returns the version that began a stream, if it is known.
    #[must_use]
    pub fn software(&self, now: Millis, stream: StreamId) -> Option<Arc<str>> {
        let origin = self.origin(now, stream)?;
        Some(Arc::clone(&origin.software))
    }

    /// Returns the streams that were recorded from the record `number` on, with their origins.
    pub fn iter_from(&self, now: Millis, number: u64) -> impl Iterator<Item = (StreamId, &Origin)> {
        let skipped = usize::try_from(number.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.records
            .iter()
            .skip(skipped)
            .filter(move |b| now < b.known_until)
            .map(|b| (b.stream, &self.origins[usize::from(b.origin)]))
    }

    /// Returns at most `max` streams that were recorded from the record `number` on, with their ages, and the number
    /// of the record after them.
    #[must_use]
    pub fn passed_from(&self, now: Millis, number: u64, max: usize) -> (Vec<PassedStream>, u64) {
        let mut next = number.max(self.first);
        let mut passed = Vec::new();
        while let Some(record) = self.get(next).filter(|_| passed.len() < max) {
            next += 1;
            passed.extend(self.passed(now, record));
        }
        (passed, next)
    }

    /// Records streams that an earlier process has saved; returns how many were not known.
    pub fn restore(&mut self, now: Millis, saved: &[PassedStream]) -> usize {
        let mut added = 0;
        for stream in saved {
            added += usize::from(self.find_record(stream.stream).is_none());
            self.record_passed(now, stream.stream, &stream.origin, stream.age_ms, false);
        }
        added
    }

    /// Returns what a peer is told of a record, or `None` if it has expired.
    pub(super) fn passed(&self, now: Millis, record: &Begun) -> Option<PassedStream> {
        (now < record.known_until).then(|| PassedStream {
            stream: record.stream,
            origin: self.origins[usize::from(record.origin)].clone(),
            age_ms: self
                .settings
                .remembered_ms
                .saturating_sub(record.known_until.since(now)),
        })
    }

    /// Returns the number of records in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no stream is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of the first record in memory.
    pub(super) const fn first(&self) -> u64 {
        self.first
    }

    /// Returns the number that the next record gets.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Returns the record with a number that is in memory.
    pub(super) fn get(&self, number: u64) -> Option<&Begun> {
        let at = number.checked_sub(self.first)?;
        self.records.get(usize::try_from(at).ok()?)
    }

    /// Returns the number of the first record of a stream that has begun or gone on since a time.
    pub(super) fn first_since(&self, since: Millis) -> u64 {
        let known_until = since.plus(self.settings.remembered_ms);
        let older = self.records.iter().rev();
        let later = older.take_while(|b| b.known_until >= known_until).count();
        self.end() - later as u64
    }

    fn find_record(&self, stream: StreamId) -> Option<&Begun> {
        let at = self.find(stream).ok()?;
        Some(&self.records[self.offset(self.index[at])])
    }

    /// Returns the position of a record whose number has these low bits.
    const fn offset(&self, number: u32) -> usize {
        number.wrapping_sub(self.first as u32) as usize
    }

    fn find(&self, stream: StreamId) -> Result<usize, usize> {
        let stream_of = |number: &u32| self.records[self.offset(*number)].stream;
        self.index.binary_search_by_key(&stream, stream_of)
    }

    /// Returns the number of an origin, or `None` if there are too many.
    fn origin_number(&mut self, origin: &Origin) -> Option<u16> {
        let known = self.origins.iter().position(|o| o == origin);
        let number = known.unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        u16::try_from(number).ok()
    }

    /// Drops the first records that have expired and, at the limit, a tenth more.
    fn sweep(&mut self, now: Millis) {
        self.sweep_at = now.plus(self.settings.remembered_ms / 8 + 1);
        let expired = self.records.iter().take_while(|b| now >= b.known_until);
        let max = self.settings.max_streams;
        let surplus = match self.records.len() {
            len if len >= max => len - max + max.div_ceil(10),
            _ => 0,
        };
        let dropped = expired.count().max(surplus).min(self.records.len());
        if dropped == 0 {
            return;
        }
        let first = self.first as u32;
        self.index
            .retain(|number| number.wrapping_sub(first) as usize >= dropped);
        self.records.drain(..dropped);
        self.first += dropped as u64;
        if self.records.is_empty() {
            self.origins.clear();
        }
    }
}
