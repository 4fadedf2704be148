//! What instances tell each other of their counts.
//!
//! The changes of an instance's counts are numbered. A message covers the changes after one number up to another, and the
//! receiver acknowledges the number up to which it has got all. Changes that are not acknowledged in time are told again.

use super::{
    Settings,
    counts::{
        Cell,
        Counts,
        ProcessId,
        Row, //
    },
};
use crate::Millis;
use std::sync::Arc;

/// Most messages to a peer at a time.
const MAX_MESSAGES: usize = 4;

/// Size of the counts in the first message, which travels in another one, in bytes.
const FIRST_MESSAGE_BYTES: usize = 300;

/// Size of the counts in a further message, in bytes.
const MESSAGE_BYTES: usize = 900;

/// Encoded size of a process with its window, and of a count, in bytes at most, apart from the name of the workspace.
const ROW_BYTES: usize = 9;
const COUNT_BYTES: usize = 5;

/// Time without a message after which a peer is forgotten, in ms.
const LINK_TTL_MS: u64 = 60_000;

/// The instances that a message goes to, which decides what they are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Towards {
    /// The hub of the own data centre gets all counts that it has not told.
    Hub,
    /// The hub of another data centre gets the counts of the own data centre, those that did not come from the hub of
    /// theirs, and at first all that are known.
    OtherHub,
    /// A member that would follow the hub gets all counts.
    Successor,
    /// Another member gets none, only what is known of its own ones.
    Member,
}

/// A count in a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ToldCount {
    /// Number of the window.
    pub window: u64,
    /// The process that counted.
    pub process: ProcessId,
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Requests of the workspace that began in the window, as far as the process is known.
    pub count: u64,
}

/// A message between two instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// The sender, which numbers its changes.
    pub process: ProcessId,
    /// The message covers the changes after this one.
    pub first: u64,
    /// Last change that it covers.
    pub last: u64,
    /// Whether the sender has no later change.
    pub is_end: bool,
    /// First window of which the sender knows all counts, if there is one.
    pub whole_from: Option<u64>,
    /// Sorted by window, process and workspace.
    pub counts: Vec<ToldCount>,
    /// The receiver as the sender knows it, and its last change up to which the sender has got all.
    pub known: Option<(ProcessId, u64)>,
}

/// What is known of the exchange with a peer.
#[derive(Clone, Debug)]
pub(super) struct Link {
    peer: Arc<str>,
    /// The peer's process, and its last change up to which all have been got.
    heard: Option<(ProcessId, u64)>,
    /// Time of its last message, and the same by the wall clock, in ms.
    heard_at: Option<Millis>,
    heard_wall_ms: u64,
    /// Whether it has said that it stops.
    has_left: bool,
    /// Whether something has been heard that was not acknowledged.
    owes_answer: bool,
    /// What the peer was last told as, which decides what it gets.
    towards: Option<Towards>,
    /// Last own change that the peer has acknowledged, and the last one that it was told.
    acknowledged: u64,
    sent: u64,
    /// Last own change that its last message acknowledged.
    last_known: u64,
    /// Time since which changes are not acknowledged.
    unacknowledged_since: Option<Millis>,
    /// Changes up to this one are told wherever they come from.
    all_up_to: u64,
    first_sent_at: Option<Millis>,
    sent_at: Option<Millis>,
}

/// The exchange of counts with peers, sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Links(Vec<Link>);

impl Links {
    /// Returns the link to a peer, a new one if there is none.
    fn link(&mut self, now: Millis, peer: &str, last_change: u64) -> &mut Link {
        let find = |links: &[Link]| links.binary_search_by(|l| (*l.peer).cmp(peer));
        let at = match find(&self.0) {
            Ok(at) => at,
            Err(_) => {
                let is_recent = |at: Option<Millis>| at.is_some_and(|t| now.since(t) < LINK_TTL_MS);
                self.0
                    .retain(|l| is_recent(l.heard_at) || is_recent(l.sent_at));
                let at = find(&self.0).unwrap_or_else(|at| at);
                self.0.insert(at, Link::new(peer, last_change));
                at
            }
        };
        &mut self.0[at]
    }

    /// Returns whether a peer that was heard shortly before the end of a window has been silent since then.
    pub(super) fn has_silent(&self, settings: &Settings, window: u64) -> bool {
        let end_ms = settings.end_ms(window);
        let heard_ms = end_ms.saturating_sub(settings.window_ms + settings.due_ms)..end_ms;
        let is_silent =
            |l: &Link| l.heard_at.is_some() && !l.has_left && heard_ms.contains(&l.heard_wall_ms);
        self.0.iter().any(is_silent)
    }

    /// Records that a peer is stopping, so that nothing is missing once it is silent.
    pub(super) fn on_left(&mut self, peer: &str) {
        if let Some(link) = self.0.iter_mut().find(|l| *l.peer == *peer) {
            link.has_left = true;
        }
    }

    /// Returns the time of the last message of a peer.
    pub(super) fn heard_at(&self) -> Option<Millis> {
        self.0.iter().filter_map(|l| l.heard_at).max()
    }

    /// Returns the messages to a peer; none if there is nothing new for it.
    pub(super) fn tell(
        &mut self,
        now: Millis,
        peer: &str,
        towards: Towards,
        me: ProcessId,
        counts: &Counts,
        settings: &Settings,
    ) -> Vec<Told> {
        let end = counts.last_change();
        let link = self.link(now, peer, end);
        let is_due = link.prepare(now, towards, end, settings);
        if link.is_silent(now, settings) && !is_due {
            return Vec::new();
        }
        if towards == Towards::Member {
            return link.tell_known(now, me, is_due);
        }
        let messages = link.messages(towards, me, counts);
        let has_news = messages.iter().any(|m| !m.counts.is_empty());
        if !(has_news || is_due || link.owes_answer) {
            return Vec::new();
        }
        link.sent = messages.last().map_or(link.sent, |m| m.last);
        if link.sent > link.acknowledged {
            link.unacknowledged_since.get_or_insert(now);
        }
        link.on_sent(now);
        messages
    }

    /// Records a message of a peer; returns whether all that the peer knows has been got.
    pub(super) fn on_told(
        &mut self,
        now: Millis,
        wall_ms: u64,
        peer: &str,
        me: ProcessId,
        told: &Told,
        last_change: u64,
    ) -> bool {
        let link = self.link(now, peer, last_change);
        let is_other_process = link
            .heard
            .is_some_and(|(process, _)| process != told.process);
        if is_other_process {
            *link = Link::new(peer, last_change);
        }
        link.heard_at = Some(now);
        link.heard_wall_ms = wall_ms;
        link.owes_answer |= !told.counts.is_empty();
        let known = link.heard.map_or(0, |(_, known)| known);
        let is_next = told.first <= known;
        let known = if is_next { known.max(told.last) } else { known };
        link.heard = Some((told.process, known));
        let acknowledged = match told.known {
            Some((process, known)) if process == me => known,
            _ => 0,
        };
        link.on_acknowledged(now, acknowledged);
        told.is_end && is_next
    }
}

impl Link {
    fn new(peer: &str, last_change: u64) -> Self {
        Self {
            peer: Arc::from(peer),
            heard: None,
            heard_at: None,
            heard_wall_ms: 0,
            has_left: false,
            owes_answer: false,
            towards: None,
            acknowledged: 0,
            sent: 0,
            last_known: 0,
            unacknowledged_since: None,
            all_up_to: last_change,
            first_sent_at: None,
            sent_at: None,
        }
    }

    /// Prepares for messages to the peer; returns whether it has to be told at least that there is nothing new.
    fn prepare(&mut self, now: Millis, towards: Towards, end: u64, settings: &Settings) -> bool {
        let is_lost = |since: Millis| now.since(since) >= settings.resend_ms;
        if self.unacknowledged_since.is_some_and(is_lost) {
            self.acknowledged = self.acknowledged.min(self.last_known);
            self.sent = self.acknowledged;
            self.unacknowledged_since = None;
        }
        let silent_ms = self.sent_at.map_or(u64::MAX, |at| now.since(at));
        // Its part, or that of this instance, has changed: what others told meanwhile may be missing there.
        if self.towards != Some(towards) || silent_ms > 2 * settings.heartbeat_ms {
            self.towards = Some(towards);
            self.all_up_to = end;
        }
        silent_ms >= settings.heartbeat_ms
    }

    /// Returns whether the peer has not answered for so long that it is told less often.
    fn is_silent(&self, now: Millis, settings: &Settings) -> bool {
        let since = self.heard_at.or(self.first_sent_at);
        since.is_some_and(|at| now.since(at) > 2 * settings.heartbeat_ms)
    }

    /// Returns the message to a member that gets no counts: what is known of its own ones.
    fn tell_known(&mut self, now: Millis, me: ProcessId, is_due: bool) -> Vec<Told> {
        if !(is_due || self.owes_answer) {
            return Vec::new();
        }
        self.sent = self.acknowledged;
        self.unacknowledged_since = None;
        self.on_sent(now);
        vec![Told {
            process: me,
            first: self.acknowledged,
            last: self.acknowledged,
            known: self.heard,
            ..Told::default()
        }]
    }

    /// Returns the messages with what the peer has not been told; there is one at least.
    fn messages(&self, towards: Towards, me: ProcessId, counts: &Counts) -> Vec<Told> {
        let end = counts.last_change();
        let peer = self.heard.map(|(process, _)| process);
        let is_wanted = |row: &Row, cell: &Cell| {
            let is_of_sender = match towards {
                Towards::Hub | Towards::Successor => true,
                Towards::Member => false,
                Towards::OtherHub => {
                    let own = row.process.data_centre();
                    // Otherwise the hub of that data centre tells it.
                    own == me.data_centre() || own != cell.source.data_centre()
                }
            };
            peer != Some(cell.source) && (is_of_sender || cell.changed <= self.all_up_to)
        };
        let mut wanted = counts
            .changed_after(self.sent, is_wanted)
            .into_iter()
            .peekable();
        let mut messages: Vec<Told> = Vec::new();
        let mut first = self.sent;
        let mut max_bytes = FIRST_MESSAGE_BYTES;
        while messages.len() < MAX_MESSAGES {
            let taken = take_counts(&mut wanted, max_bytes);
            let is_end = wanted.peek().is_none();
            let last_taken = taken.last().map_or(first, |(_, cell)| cell.changed);
            let mut counts: Vec<ToldCount> = taken.iter().map(|(r, c)| told_count(r, c)).collect();
            counts.sort_unstable();
            let told = Told {
                process: me,
                first,
                last: if is_end { end } else { last_taken },
                is_end,
                whole_from: None,
                counts,
                known: self.heard,
            };
            first = told.last;
            max_bytes = MESSAGE_BYTES;
            messages.push(told);
            if is_end {
                break;
            }
        }
        messages
    }

    fn on_sent(&mut self, now: Millis) {
        self.first_sent_at.get_or_insert(now);
        self.sent_at = Some(now);
        self.owes_answer = false;
    }

    /// Records that the peer has got all changes up to one.
    fn on_acknowledged(&mut self, now: Millis, known: u64) {
        self.last_known = known;
        if known > self.acknowledged {
            self.acknowledged = known;
            self.sent = self.sent.max(known);
            self.unacknowledged_since = Some(now);
        }
        if self.acknowledged >= self.sent {
            self.unacknowledged_since = None;
        }
    }
}

/// Takes counts that fit into a message of a size.
fn take_counts<'a>(
    wanted: &mut std::iter::Peekable<impl Iterator<Item = (&'a Row, &'a Cell)>>,
    max_bytes: usize,
) -> Vec<(&'a Row, &'a Cell)> {
    let mut taken: Vec<(&Row, &Cell)> = Vec::new();
    let mut bytes = 0;
    let has_row = |taken: &[(&Row, &Cell)], row: &Row| {
        let is_same = |(r, _): &(&Row, &Cell)| (r.window, r.process) == (row.window, row.process);
        taken.iter().any(is_same)
    };
    while let Some((row, cell)) = wanted.peek() {
        bytes += COUNT_BYTES;
        if !taken.iter().any(|(_, c)| c.workspace == cell.workspace) {
            bytes += cell.workspace.len() + 2;
        }
        if !has_row(&taken, row) {
            bytes += ROW_BYTES;
        }
        // A single count goes even if its name is long.
        if bytes > max_bytes && !taken.is_empty() {
            break;
        }
        taken.extend(wanted.next());
    }
    taken
}

fn told_count(row: &Row, cell: &Cell) -> ToldCount {
    ToldCount {
        window: row.window,
        process: row.process,
        workspace: Arc::clone(&cell.workspace),
        count: cell.count,
    }
}
