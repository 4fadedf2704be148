//! The streams whose version is known here.

use super::StreamId;
use crate::Millis;
use std::sync::Arc;

/// Settings of [`BegunStreams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a stream is known after it has begun or was taken up, in ms.
    pub remembered_ms: u64,
    /// Most streams that are known at once; the ones that end first make room for others.
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

#[derive(Clone, Debug)]
struct Begun {
    stream: StreamId,
    software: Arc<str>,
    known_until: Millis,
}

/// The streams whose version is known here: those that began here, and those that peers have told of.
#[derive(Clone, Debug)]
pub struct BegunStreams {
    settings: Settings,
    /// Sorted by id.
    streams: Vec<Begun>,
    /// Versions that occur, so that streams share them.
    versions: Vec<Arc<str>>,
    /// Time from which the next record first drops what has expired.
    sweep_at: Millis,
}

impl BegunStreams {
    /// Creates an empty list.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            streams: Vec::new(),
            versions: Vec::new(),
            sweep_at: Millis::ZERO,
        }
    }

    /// Replaces the time for which streams that are recorded from now on are known.
    pub const fn set_remembered(&mut self, remembered_ms: u64) {
        self.settings.remembered_ms = remembered_ms;
    }

    /// Records that a stream has begun or gone on at a version.
    pub fn record(&mut self, now: Millis, stream: StreamId, software: &str) {
        if now >= self.sweep_at || self.streams.len() >= self.settings.max_streams {
            self.sweep(now);
        }
        let software = self.shared_version(software);
        let known_until = now.plus(self.settings.remembered_ms);
        let begun = Begun {
            stream,
            software,
            known_until,
        };
        match self.find(stream) {
            Ok(at) => self.streams[at] = begun,
            Err(at) => self.streams.insert(at, begun),
        }
    }

    /// Returns the version that began a stream, if it is known.
    #[must_use]
    pub fn software(&self, now: Millis, stream: StreamId) -> Option<Arc<str>> {
        let begun = &self.streams[self.find(stream).ok()?];
        (now < begun.known_until).then(|| Arc::clone(&begun.software))
    }

    /// Returns all streams that are known, with their versions.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = (StreamId, &str)> {
        self.streams
            .iter()
            .filter(move |b| now < b.known_until)
            .map(|b| (b.stream, &*b.software))
    }

    /// Returns the number of streams in memory.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is in memory.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn find(&self, stream: StreamId) -> Result<usize, usize> {
        self.streams.binary_search_by_key(&stream, |b| b.stream)
    }

    fn shared_version(&mut self, software: &str) -> Arc<str> {
        let known = self.versions.iter().find(|v| ***v == *software);
        if let Some(known) = known {
            return Arc::clone(known);
        }
        let version: Arc<str> = Arc::from(software);
        self.versions.push(Arc::clone(&version));
        version
    }

    /// Drops what has expired and, at the limit, the tenth that expires first.
    fn sweep(&mut self, now: Millis) {
        self.sweep_at = now.plus(self.settings.remembered_ms / 8 + 1);
        self.streams.retain(|b| now < b.known_until);
        let max = self.settings.max_streams;
        if self.streams.len() >= max {
            let mut ends: Vec<Millis> = self.streams.iter().map(|b| b.known_until).collect();
            ends.sort_unstable();
            let first_kept = ends[(self.streams.len() - max + max / 10).min(ends.len() - 1)];
            self.streams.retain(|b| b.known_until >= first_kept);
        }
        let streams = &self.streams;
        self.versions
            .retain(|v| streams.iter().any(|b| Arc::ptr_eq(&b.software, v)));
    }
}
