//! Records of the topic of the platform's tasks, and what instances tell each other of it.
//!
//! The topic has these keys:
//!
//! - `holder`: the lease.
//! - `usage/WINDOW/ERA`: the report of a window, written in an era of the log. Only those of the present era count:
//!   a write of an earlier era may be carried out late, after the log has lost another report of its window.
//! - `first_window/ERA`: the first window that may be reported in an era, as earlier ones may have been reported
//!   by records that the log has lost.

use super::log_adapter::Entry;
use bytes::Bytes;
use std::sync::Arc;
use vanillakeel::{
    duty::{
        News,
        Record, //
    },
    usage::Report,
};
use vanillakeel_wire::{
    Message as _,
    generated::{
        DutyRecord,
        MeshDuty,
        UsageRecord, //
    },
};

/// Key of the lease.
const HOLDER_KEY: &str = "holder";

/// First part of the key of a report.
const USAGE_PREFIX: &str = "usage/";

/// First part of the key of the first window of an era.
const FIRST_WINDOW_PREFIX: &str = "first_window/";

/// Key of a report: its window, and the era in which it was written.
pub(super) type ReportKey = (u64, u64);

/// What the topic holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Contents {
    pub(super) record: Option<Record>,
    /// Reports in ascending order of their keys.
    pub(super) reports: Vec<(ReportKey, Report)>,
    /// First window that may be reported, by era.
    pub(super) first_windows: Vec<(u64, u64)>,
}

impl Contents {
    /// Adds an entry; one that can't be read is left out.
    pub(super) fn add(&mut self, entry: &Entry) {
        let Some(value) = entry.value.as_deref() else {
            return;
        };
        if entry.key == HOLDER_KEY {
            self.record = DutyRecord::decode(value).ok().map(record_from_wire);
        } else if let Some(key) = entry.key.strip_prefix(USAGE_PREFIX) {
            let report = UsageRecord::decode(value).ok().map(report_from_wire);
            if let (Some(key), Some(report)) = (parse_key(key), report) {
                self.reports.push((key, report));
                self.reports.sort_unstable_by_key(|(key, _)| *key);
            }
        } else if let Some(era) = entry.key.strip_prefix(FIRST_WINDOW_PREFIX) {
            let window = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            if let (Ok(era), Some(window)) = (era.parse(), window) {
                self.first_windows.push((era, window));
            }
        }
    }

    /// Returns the first window that may be reported in an era.
    pub(super) fn first_window(&self, era: u64) -> Option<u64> {
        let of_era = self.first_windows.iter().find(|(e, _)| *e == era);
        of_era.map(|(_, window)| *window)
    }

    /// Returns the reports that were written in an era, in ascending order of their windows.
    pub(super) fn reports_of(&self, era: u64) -> impl Iterator<Item = &Report> {
        let of_era = self.reports.iter().filter(move |((_, of), _)| *of == era);
        of_era.map(|(_, report)| report)
    }
}

fn parse_key(key: &str) -> Option<ReportKey> {
    let (window, era) = key.split_once('/')?;
    Some((window.parse().ok()?, era.parse().ok()?))
}

fn record_from_wire(wire: DutyRecord) -> Record {
    Record {
        holder: Arc::from(wire.holder),
        writer: wire.writer,
        write_id: wire.write_id,
        era: wire.era,
        token: wire.token,
        free_after_ms: wire.free_after,
    }
}

fn report_from_wire(wire: UsageRecord) -> Report {
    let workspaces = wire.workspaces.into_iter().map(Arc::from);
    Report {
        window: wire.window,
        counts: workspaces.zip(wire.counts).collect(),
    }
}

/// Encodes the record of the lease.
pub(super) fn holder_entry(record: &Record) -> Entry {
    let wire = DutyRecord {
        holder: record.holder.to_string(),
        writer: record.writer,
        write_id: record.write_id,
        era: record.era,
        token: record.token,
        free_after: record.free_after_ms,
    };
    Entry {
        key: HOLDER_KEY.to_owned(),
        value: Some(Bytes::from(wire.encode_to_vec())),
    }
}

/// Encodes a report that is written in an era.
pub(super) fn report_entry(report: &Report, era: u64) -> Entry {
    let wire = UsageRecord {
        window: report.window,
        workspaces: report.counts.iter().map(|(w, _)| w.to_string()).collect(),
        counts: report.counts.iter().map(|(_, count)| *count).collect(),
    };
    Entry {
        key: report_key((report.window, era)),
        value: Some(Bytes::from(wire.encode_to_vec())),
    }
}

/// Encodes the deletion of a report.
pub(super) fn tombstone(key: ReportKey) -> Entry {
    Entry {
        key: report_key(key),
        value: None,
    }
}

/// Encodes the first window that may be reported in an era.
pub(super) fn first_window_entry(era: u64, window: u64) -> Entry {
    Entry {
        key: format!("{FIRST_WINDOW_PREFIX}{era}"),
        value: Some(Bytes::from(window.to_string())),
    }
}

fn report_key((window, era): ReportKey) -> String {
    format!("{USAGE_PREFIX}{window}/{era}")
}

/// Encodes what other instances are told.
pub(super) const fn news_to_wire(news: &News) -> MeshDuty {
    MeshDuty {
        era: news.era,
        end_offset: news.end_offset,
        free_after: news.free_after_ms,
    }
}

/// Decodes what another instance has told.
pub(super) const fn news_from_wire(wire: &MeshDuty) -> News {
    News {
        era: wire.era,
        end_offset: wire.end_offset,
        free_after_ms: wire.free_after,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/duty_contents.rs"]
mod duty_contents;
