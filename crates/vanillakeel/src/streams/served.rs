//! The software versions that have served lately.
//!
//! While only one version has served for as long as a stream may go on, it has begun every stream, also
//! one that no instance knows. An instance that has just started has not seen for long enough which versions have served;
//! it learns of those before its start from [records](VersionRecord) on the log.

use crate::Millis;
use std::sync::Arc;

/// Longest time between two complete views of the upstreams in which no version can come and go unseen,
/// in ms: each upstream is listed for longer.
const MAX_GAP_MS: u64 = 2_500;

/// Longest time for which an upstream may still begin streams after it was removed from the list, in ms,
/// sent by an instance that has lost contact with the log.
const MAX_UNLISTED_MS: u64 = 10_000;

/// A record on the log that a version has served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionRecord {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the software; `None` for upstreams whose version is not known.
    pub software: Option<Arc<str>>,
    /// Era of the log in which the record was written.
    pub era: u64,
    /// Wall clock since which each version was recorded before it served, in ms; 0 if that holds for all time.
    pub complete_since: u64,
}

#[derive(Clone, Debug)]
struct Served {
    service: Arc<str>,
    /// `None` for upstreams whose version is not known.
    software: Option<Arc<str>>,
    last_seen: Millis,
    /// Era of the log that has a record of it.
    recorded_in: Option<u64>,
}

impl Served {
    /// Returns whether this version can have begun a stream in the last `history_ms`.
    const fn is_recent(&self, now: Millis, history_ms: u64) -> bool {
        now.since(self.last_seen) <= history_ms + MAX_GAP_MS
    }
}

/// What a read of the records has shown.
#[derive(Clone, Copy, Debug)]
struct Records {
    read_at: Millis,
    /// Time before the read in which each version was recorded before it served, in ms.
    known_ms: u64,
    /// Wall clock since which that holds, or begins to hold.
    recorded_since: u64,
}

impl Records {
    /// Returns whether the records, and what was seen since, cover the last `history_ms`.
    const fn cover(&self, now: Millis, history_ms: u64) -> bool {
        self.known_ms.saturating_add(now.since(self.read_at)) >= history_ms
    }
}

/// A complete read of the [records](VersionRecord).
#[derive(Clone, Copy, Debug)]
pub struct RecordsRead {
    /// Time at which it was sent.
    pub at: Millis,
    /// The same time by the wall clock, in ms.
    pub wall_ms: u64,
    /// Era of the log.
    pub era: u64,
    /// Whether the whole system has started for the first time with this process.
    pub is_first_start: bool,
}

/// The software versions of each service, with the last time at which they were listed.
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    /// Sorted by service and version.
    served: Vec<Served>,
    /// Time since which all versions have been seen.
    complete_since: Option<Millis>,
    last_view: Millis,
    /// The last read of the records.
    records: Option<Records>,
    /// Versions that had records when this instance started.
    earlier: Vec<VersionRecord>,
    /// The read that showed them.
    earlier_read: Option<Records>,
}

impl ServedVersions {
    /// Records a complete view of the upstreams that was true at `seen_at`.
    pub fn on_view<'a>(
        &mut self,
        seen_at: Millis,
        upstreams: impl Iterator<Item = (&'a Arc<str>, Option<&'a Arc<str>>)>,
    ) {
        if self.complete_since.is_none() || seen_at.since(self.last_view) > MAX_GAP_MS {
            self.complete_since = Some(seen_at);
        }
        self.last_view = self.last_view.max(seen_at);
        for (service, software) in upstreams {
            let served = self.entry(service, software);
            // A record may have been deleted while the version was not listed.
            if seen_at.since(served.last_seen) > MAX_GAP_MS {
                served.recorded_in = None;
            }
            served.last_seen = served.last_seen.max(seen_at);
        }
    }

    /// Returns the entry of a version, a new one if there is none.
    fn entry(&mut self, service: &Arc<str>, software: Option<&Arc<str>>) -> &mut Served {
        let key = (&**service, software.map(|s| &**s));
        let found = self
            .served
            .binary_search_by(|s| (&*s.service, s.software.as_deref()).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            let served = Served {
                service: Arc::clone(service),
                software: software.cloned(),
                last_seen: Millis::ZERO,
                recorded_in: None,
            };
            self.served.insert(at, served);
            at
        });
        &mut self.served[at]
    }

    /// Adds what the log tells of the versions that have served, by a complete read.
    ///
    /// The versions of the first read are remembered, see [`sole_earlier`](Self::sole_earlier).
    pub fn on_records(&mut self, read: RecordsRead, records: &[VersionRecord]) {
        for record in records {
            let served = self.entry(&record.service, record.software.as_ref());
            served.last_seen = served.last_seen.max(read.at);
            served.recorded_in = Some(record.era);
        }
        let of_era = records.iter().filter(|r| r.era == read.era);
        let is_first_start = read.is_first_start && records.is_empty();
        let found = of_era.map(|r| r.complete_since).max();
        let recorded_since = found.or(is_first_start.then_some(0));
        let read_before = self.records.take();
        self.records = Some(Records {
            read_at: read.at,
            known_ms: recorded_since.map_or(0, |since| match since {
                0 => u64::MAX,
                since => read.wall_ms.saturating_sub(since),
            }),
            recorded_since: recorded_since
                .or(read_before.map(|r| r.recorded_since))
                .unwrap_or(read.wall_ms),
        });
        if read_before.is_none() {
            self.earlier = records.to_vec();
            self.earlier_read = self.records;
        }
    }

    /// Returns the records that the log lacks in an era, those of versions that were listed last at the end.
    #[must_use]
    pub fn missing_records(&self, era: u64) -> Vec<VersionRecord> {
        let Some(complete_since) = self.recorded_since() else {
            return Vec::new();
        };
        let mut missing: Vec<&Served> = self
            .served
            .iter()
            .filter(|s| s.recorded_in != Some(era))
            .collect();
        missing.sort_by_key(|s| s.last_seen);
        let record = |served: &Served| VersionRecord {
            service: Arc::clone(&served.service),
            software: served.software.clone(),
            era,
            complete_since,
        };
        missing.into_iter().map(record).collect()
    }

    /// Returns whether the log lacks the record of a version in an era, as far as is known.
    #[must_use]
    pub fn lacks_record(&self, service: &str, software: Option<&str>, era: u64) -> bool {
        let key = (service, software);
        let known = self
            .served
            .binary_search_by(|s| (&*s.service, s.software.as_deref()).cmp(&key));
        known.map_or(true, |at| self.served[at].recorded_in != Some(era))
    }

    /// Returns the wall clock since which each version is recorded before it serves, in ms, once the records have been
    /// read.
    #[must_use]
    pub fn recorded_since(&self) -> Option<u64> {
        self.records.map(|r| r.recorded_since)
    }

    /// Notes that the log holds the record of a version, which may serve from now on.
    pub fn on_recorded(&mut self, now: Millis, record: &VersionRecord) {
        let served = self.entry(&record.service, record.software.as_ref());
        served.last_seen = served.last_seen.max(now);
        served.recorded_in = Some(record.era);
    }

    /// Notes that the log holds the record of a version, if it was seen.
    pub fn on_record_written(&mut self, record: &VersionRecord) {
        let key = (&*record.service, record.software.as_deref());
        let is_same = |s: &&mut Served| (&*s.service, s.software.as_deref()) == key;
        if let Some(served) = self.served.iter_mut().find(is_same) {
            served.recorded_in = Some(record.era);
        }
    }

    /// Returns whether records have to be read to know what served before this instance saw the list.
    #[must_use]
    pub fn needs_records(&self) -> bool {
        let is_older = |since| self.records.is_none_or(|r| r.read_at < since);
        self.complete_since.is_some_and(is_older)
    }

    /// Returns the only version of a service that can have begun a stream in the last `life_ms`, or
    /// `None` if there were several or this instance does not know all of them.
    #[must_use]
    pub fn sole(&self, now: Millis, service: &str, life_ms: u64) -> Option<&Arc<str>> {
        let since = self.complete_since?;
        let history_ms = life_ms + MAX_UNLISTED_MS;
        let is_recorded = |r: Records| r.read_at >= since && r.cover(now, history_ms);
        let has_history = now.since(since) >= history_ms || self.records.is_some_and(is_recorded);
        let is_seen = has_history && now.since(self.last_view) <= MAX_GAP_MS;
        let of_service = self.served.iter().filter(|s| *s.service == *service);
        let mut lately = of_service.filter(|s| s.is_recent(now, history_ms));
        let first = lately.next()?;
        let is_sole = is_seen && lately.next().is_none();
        first.software.as_ref().filter(|_| is_sole)
    }

    /// Returns the only version of a service that had served before this instance started, while streams of then may
    /// live.
    ///
    /// It has begun each stream of which no instance knows, if the instances that have started since know of all that
    /// have begun since.
    #[must_use]
    pub fn sole_earlier(&self, now: Millis, service: &str, life_ms: u64) -> Option<&Arc<str>> {
        let read = self.earlier_read?;
        let history_ms = life_ms + MAX_UNLISTED_MS;
        let is_complete = read.cover(now, history_ms) && now.since(read.read_at) < history_ms;
        let of_service = |r: &&VersionRecord| *r.service == *service;
        let mut versions = self.earlier.iter().filter(of_service);
        let software = &versions.next()?.software;
        let is_sole = is_complete && versions.next().is_none();
        software.as_ref().filter(|_| is_sole)
    }

    /// Returns whether several versions of a service can have begun a stream in the last `life_ms`.
    #[must_use]
    pub fn has_several(&self, now: Millis, life_ms: u64) -> bool {
        let history_ms = life_ms + MAX_UNLISTED_MS;
        let recent = self.served.iter().filter(|s| s.is_recent(now, history_ms));
        let services: Vec<&str> = recent.map(|s| &*s.service).collect();
        services.windows(2).any(|pair| pair[0] == pair[1])
    }

    /// Drops the versions that can't have begun a stream in the last `life_ms`, and returns their records.
    pub fn take_expired(&mut self, now: Millis, life_ms: u64) -> Vec<VersionRecord> {
        let history_ms = life_ms + MAX_UNLISTED_MS;
        let is_seen = now.since(self.last_view) <= MAX_GAP_MS;
        let is_expired = |s: &mut Served| is_seen && !s.is_recent(now, history_ms);
        let expired = self.served.extract_if(.., is_expired);
        let record = |served: Served| VersionRecord {
            service: served.service,
            software: served.software,
            era: 0,
            complete_since: 0,
        };
        expired.map(record).collect()
    }

    /// Drops the versions that were last seen before `seen_before`.
    pub fn forget(&mut self, seen_before: Millis) {
        self.served.retain(|s| s.last_seen >= seen_before);
    }
}
