//! The events of a stream that is relayed.
//!
//! [`RelayedEvents`] follows the events of any stream. Of a resumable one it also holds back each
//! event until it is complete, since another upstream may send it again from its start.

use bytes::{
    Bytes,
    BytesMut, //
};
use http::HeaderValue;
use vanillakeel_http::EventScanner;

/// Byte order mark, which may only stand at the beginning of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Largest event of a stream, in bytes; an upstream in trouble may send one without end.
const MAX_EVENT_BYTES: u64 = 1 << 20;

/// Where a run at another upstream continues a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ResumePoint {
    /// At the beginning, since no event has been relayed.
    Start,
    /// After the event with this id.
    After(HeaderValue),
}

/// The events of a relayed stream.
#[derive(Debug)]
pub(super) struct RelayedEvents {
    scanner: EventScanner,
    is_resumable: bool,
    /// Beginning of an event of a resumable stream that is not complete yet.
    held: BytesMut,
    /// Number of bytes after the last complete event.
    partial_bytes: u64,
    /// Whether the next bytes are the first ones of a run that continues the stream.
    is_restarted: bool,
    /// Whether the run continues a stream and has not brought an event yet.
    awaits_next_event: bool,
}

impl RelayedEvents {
    /// Creates the state at the beginning of a stream.
    pub(super) fn new(is_resumable: bool) -> Self {
        Self {
            scanner: EventScanner::default(),
            is_resumable,
            held: BytesMut::new(),
            partial_bytes: 0,
            is_restarted: false,
            awaits_next_event: false,
        }
    }

    /// Adds bytes of the stream; returns those that can be relayed now.
    pub(super) fn push(&mut self, data: Bytes) -> Option<Bytes> {
        let complete = self.scanner.scan(&data);
        let length = data.len() as u64;
        self.partial_bytes = match complete {
            Some(complete) => length - complete as u64,
            None => self.partial_bytes + length,
        };
        if !self.is_resumable {
            return Some(data);
        }
        if self.awaits_next_event {
            match self.scanner.is_continued() {
                Some(true) => self.awaits_next_event = false,
                Some(false) => return None,
                // Comments before the next event are held back with it.
                None => {
                    self.held.extend_from_slice(&data);
                    return None;
                }
            }
        }
        let Some(complete) = complete else {
            self.held.extend_from_slice(&data);
            return None;
        };
        let (complete, partial) = data.split_at(complete);
        self.held.extend_from_slice(complete);
        let mut relayed = self.held.split().freeze();
        self.held.extend_from_slice(partial);
        if std::mem::take(&mut self.is_restarted) && relayed.starts_with(BYTE_ORDER_MARK) {
            let _ = relayed.split_to(BYTE_ORDER_MARK.len());
        }
        Some(relayed)
    }

    /// Returns where another run may continue the stream without repeating an event or leaving one
    /// out, or `None` if the stream can't be resumed.
    pub(super) fn resume_point(&self) -> Option<ResumePoint> {
        if !self.is_resumable || !self.scanner.ends_with_id() {
            return None;
        }
        match self.scanner.last_event_id() {
            None => Some(ResumePoint::Start),
            // An empty id can't be sent.
            Some("") => None,
            Some(id) => HeaderValue::from_bytes(id.as_bytes())
                .ok()
                .map(ResumePoint::After),
        }
    }

    /// Returns whether the stream can be resumed and an event of it has been relayed.
    pub(super) const fn has_begun_resumable(&self) -> bool {
        self.is_resumable && self.scanner.has_events()
    }

    /// Returns whether a complete event has come.
    pub(super) const fn has_events(&self) -> bool {
        self.scanner.has_events()
    }

    /// Returns whether the stream is between two events.
    pub(super) const fn is_between_events(&self) -> bool {
        self.scanner.is_between_events()
    }

    /// Returns the memory that the event which has begun takes, in bytes.
    pub(super) fn held_bytes(&self) -> u64 {
        match self.held.len() {
            0 => 0,
            _ => self.held.capacity() as u64,
        }
    }

    /// Returns whether the event that has begun is too long to be one.
    pub(super) fn is_too_long(&self) -> bool {
        self.partial_bytes.max(self.held.len() as u64) > MAX_EVENT_BYTES
    }

    /// Returns whether the run continues the stream and has not brought the next event yet.
    pub(super) const fn awaits_next_event(&self) -> bool {
        self.awaits_next_event
    }

    /// Returns whether the run that was to continue the stream has brought another event than the next one.
    pub(super) fn is_out_of_order(&self) -> bool {
        self.awaits_next_event && self.scanner.is_continued() == Some(false)
    }

    /// Returns the number of bytes after the last complete event.
    pub(super) const fn partial_bytes(&self) -> u64 {
        self.partial_bytes
    }

    /// Prepares for a run that continues the stream after the last complete event.
    pub(super) fn restart(&mut self) {
        self.scanner.restart();
        self.held.clear();
        self.partial_bytes = 0;
        self.is_restarted = true;
        self.awaits_next_event = true;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/held_events.rs"]
mod held_events;
