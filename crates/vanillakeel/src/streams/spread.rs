//! Passes on to all instances which version of which service began which stream.
//!
//! The keepers of a stream are few, and a disruption may end all of them. The others learn of it within a few
//! exchanges, many streams in a message, along the tree on which load travels: a member tells the hub of its data
//! centre, hubs tell each other and their members. An instance numbers its [records](BegunStreams); each message says
//! up to which number the sender knows those of the receiver, so that what was lost is told again. An instance that
//! does not know the numbers of a peer, since one of them has started or become hub, says for how long it may have
//! missed streams.
//!
//! ```
//! use vanillakeel::{Millis, streams::{BegunStreams, Origin, Settings, Spread, StreamId, Towards}};
//!
//! let now = Millis::new(60_000);
//! let (mut member, mut hub) = (Spread::new(1), Spread::new(2));
//! let mut begun = BegunStreams::new(Settings::default());
//! let mut begun_at_hub = BegunStreams::new(Settings::default());
//! begun.record(now, StreamId::of("request-1"), &Origin::new("drafts", "v2"));
//! // The first message of the hub asks for the streams of the member.
//! for told in hub.tell(now, "member", Towards::Member, &begun_at_hub) {
//!     member.on_told(now, "hub", &told, &mut begun);
//! }
//! for told in member.tell(now, "hub", Towards::Hub, &begun) {
//!     hub.on_told(now, "member", &told, &mut begun_at_hub);
//! }
//! assert_eq!(begun_at_hub.software(now, StreamId::of("request-1")).as_deref(), Some("v2"));
//! ```

use super::{
    BegunStreams,
    Origin,
    StreamId, //
};
use crate::Millis;
use std::sync::Arc;

/// Most streams in a message, so that it fits a packet of the network beside a report.
pub const MAX_STREAMS_PER_MESSAGE: usize = 48;

/// Most messages to a peer at a time.
const MAX_MESSAGES: usize = 32;

/// Time that is added to the one for which streams may have been missed, in ms: that in which a hub that has
/// ended is found out and replaced.
const OVERLAP_MS: u64 = 5_000;

/// Time without a message after which a peer no longer counts as the one that tells all it knows, in ms.
const SOURCE_TTL_MS: u64 = 1_000;

/// Time without a message after which a peer is forgotten, in ms.
const LINK_TTL_MS: u64 = 60_000;

/// The instances that a message goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Towards {
    /// The hub of the own data centre, or of another one.
    Hub,
    /// A member of the own data centre.
    Member,
}

/// A stream in a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassedStream {
    /// Its id.
    pub stream: StreamId,
    /// Where it began.
    pub origin: Origin,
    /// Time since it has begun or gone on, in ms.
    pub age_ms: u64,
}

/// What the sender of a message knows of the receiver's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// The records of the numbering `log` before the number `next`.
    UpTo {
        /// Identifies the numbering of the receiver.
        log: u64,
        /// Number of the first record that is missing.
        next: u64,
    },
    /// It does not know them and wants the streams of the last `age_ms`.
    Since {
        /// Time in which the sender may have missed streams, in ms.
        age_ms: u64,
        /// Whether the receiver is asked for streams that it knows from others, too.
        wants_all: bool,
    },
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Identifies the numbering of the sender.
    pub log: u64,
    /// Number of the first record that the message covers.
    pub first: u64,
    /// Number after the last record that it covers.
    pub next: u64,
    /// Whether it begins where the receiver has asked for.
    pub is_start: bool,
    /// Whether other hubs know the streams from elsewhere.
    pub is_relayed: bool,
    /// Streams that the receiver may not know.
    pub streams: Vec<PassedStream>,
    /// What the sender knows of the receiver's records.
    pub known: Known,
}

/// What is known of the exchange with a peer.
#[derive(Clone, Debug)]
struct Link {
    peer: Arc<str>,
    /// The peer's numbering and the number of its first record that is missing here.
    heard: Option<(u64, u64)>,
    /// Time of its last message.
    heard_at: Millis,
    /// The own records that it is told.
    sent: Option<Sending>,
}

/// Which of the own records a peer is told.
#[derive(Clone, Copy, Debug)]
struct Sending {
    /// First one that was asked for.
    start: u64,
    /// First one that the peer has not got.
    next: u64,
    /// Records before this one are told even if other hubs know them from elsewhere.
    all_before: u64,
}

/// The exchange of streams with peers.
#[derive(Clone, Debug)]
pub struct Spread {
    /// Identifies the numbering of the own records.
    log: u64,
    /// Sorted by peer.
    links: Vec<Link>,
    /// The peer that is asked for all that it knows.
    source: Option<Arc<str>>,
    /// Time at which this instance has known what its peers knew, if it has.
    complete_at: Option<Millis>,
}

impl Spread {
    /// Creates the exchange of an instance; `log` has to be another one after each start.
    #[must_use]
    pub const fn new(log: u64) -> Self {
        Self {
            log,
            links: Vec::new(),
            source: None,
            complete_at: None,
        }
    }

    /// Returns what identifies the numbering of the own records, which is another one after each start.
    #[must_use]
    pub const fn log(&self) -> u64 {
        self.log
    }

    /// Returns the messages to a peer; there is one at least, which says what is known of the peer's records.
    #[must_use]
    pub fn tell(
        &mut self,
        now: Millis,
        peer: &str,
        towards: Towards,
        begun: &BegunStreams,
    ) -> Vec<Told> {
        let known = self.known(now, peer, begun.remembered_ms());
        let sent = self.link(now, peer).sent;
        let mut messages = Vec::new();
        let mut next = sent.map_or(0, |s| s.next.max(begun.first()));
        for _ in 0..MAX_MESSAGES {
            let told = Told {
                log: self.log,
                known,
                ..message(now, sent, next, towards, begun)
            };
            let is_empty = told.next == next;
            next = told.next;
            if is_empty && !messages.is_empty() {
                break;
            }
            messages.push(told);
            if is_empty {
                break;
            }
        }
        messages
    }

    /// Returns the number of the first own record that a peer which has been heard lately may not have got; zero if
    /// none has been heard.
    #[must_use]
    pub fn missing_from(&self, now: Millis) -> u64 {
        let heard = self.links.iter();
        let heard = heard.filter(|l| now.since(l.heard_at) < SOURCE_TTL_MS);
        let next = heard.filter_map(|l| l.sent).map(|sent| sent.next).min();
        next.unwrap_or(0)
    }

    /// Forgets a peer that has left.
    pub fn on_left(&mut self, peer: &str) {
        self.links.retain(|l| *l.peer != *peer);
        if self.source.as_deref() == Some(peer) {
            self.source = None;
        }
    }

    /// Records the streams of a message, and what its sender knows.
    pub fn on_told(&mut self, now: Millis, peer: &str, told: &Told, begun: &mut BegunStreams) {
        for passed in &told.streams {
            let PassedStream {
                stream,
                origin,
                age_ms,
            } = passed;
            begun.record_passed(now, *stream, origin, *age_ms, told.is_relayed);
        }
        let own_log = self.log;
        let link = self.link(now, peer);
        link.heard_at = now;
        link.heard = match link.heard {
            Some((log, next)) if log == told.log => {
                let is_next = told.first <= next || told.is_start;
                Some((log, if is_next { next.max(told.next) } else { next }))
            }
            _ => told.is_start.then_some((told.log, told.next)),
        };
        let is_complete = link.heard.is_some() && told.streams.len() < MAX_STREAMS_PER_MESSAGE;
        link.sent = match told.known {
            Known::UpTo { log, next } if log == own_log => {
                let sent = link.sent.unwrap_or(Sending {
                    start: next,
                    next,
                    all_before: next,
                });
                Some(Sending { next, ..sent })
            }
            Known::UpTo { .. } => None,
            Known::Since { age_ms, wants_all } => {
                let start = begun.first_since(now.minus(age_ms));
                Some(Sending {
                    start,
                    next: start,
                    all_before: if wants_all { begun.end() } else { start },
                })
            }
        };
        let is_source = self.source.as_deref() == Some(peer);
        if is_complete && (is_source || self.complete_at.is_some() && self.source.is_none()) {
            self.source = None;
            self.complete_at = Some(now);
        }
    }

    /// Returns what is known of a peer's records.
    fn known(&mut self, now: Millis, peer: &str, remembered_ms: u64) -> Known {
        if let Some((log, next)) = self.link(now, peer).heard {
            return Known::UpTo { log, next };
        }
        let missed_ms = self.complete_at.map_or(remembered_ms, |at| {
            (now.since(at) + OVERLAP_MS).min(remembered_ms)
        });
        let source = self.source.as_deref().and_then(|s| self.find(s).ok());
        let is_heard = source.is_some_and(|at| {
            let link = &self.links[at];
            now.since(link.heard_at) < SOURCE_TTL_MS
        });
        if !is_heard && self.complete_at.is_none_or(|at| now.since(at) > OVERLAP_MS) {
            self.source = Some(Arc::from(peer));
            self.link(now, peer).heard_at = now;
        }
        let is_source = self.source.as_deref() == Some(peer);
        Known::Since {
            age_ms: if is_source {
                missed_ms
            } else {
                missed_ms.min(OVERLAP_MS)
            },
            wants_all: is_source,
        }
    }

    fn find(&self, peer: &str) -> Result<usize, usize> {
        self.links.binary_search_by(|l| (*l.peer).cmp(peer))
    }

    /// Returns the link to a peer, a new one if there is none.
    fn link(&mut self, now: Millis, peer: &str) -> &mut Link {
        let at = match self.find(peer) {
            Ok(at) => at,
            Err(_) => {
                self.links.retain(|l| now.since(l.heard_at) < LINK_TTL_MS);
                let at = self.find(peer).unwrap_or_else(|at| at);
                let link = Link {
                    peer: Arc::from(peer),
                    heard: None,
                    heard_at: now,
                    sent: None,
                };
                self.links.insert(at, link);
                at
            }
        };
        &mut self.links[at]
    }
}

/// Returns the message that begins with the record `first`; it covers none if the peer has asked for none.
fn message(
    now: Millis,
    sent: Option<Sending>,
    first: u64,
    towards: Towards,
    begun: &BegunStreams,
) -> Told {
    let mut told = Told {
        log: 0,
        first,
        next: first,
        is_start: sent.is_some_and(|s| first <= s.start.max(begun.first())),
        is_relayed: towards == Towards::Member,
        streams: Vec::new(),
        known: Known::UpTo { log: 0, next: 0 },
    };
    let Some(sent) = sent else {
        return told;
    };
    let tells_all = first < sent.all_before;
    told.is_relayed |= tells_all;
    while let Some(record) = begun.get(told.next) {
        let is_full = told.streams.len() == MAX_STREAMS_PER_MESSAGE;
        if is_full || tells_all && told.next == sent.all_before {
            break;
        }
        told.next += 1;
        let is_wanted = towards == Towards::Member || tells_all || !record.is_relayed;
        if is_wanted {
            told.streams.extend(begun.passed(now, record));
        }
    }
    told
}
