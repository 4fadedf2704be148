//! What callers may make an instance hold: bytes and connections.
//!
//! [`CallerBudget`] follows the connections of callers, what each one holds and since when it stands still. It bounds
//! the sum of the bytes and the number of connections. When there is no room, it names the connections that give way
//! to another one, or refuses that one:
//!
//! 1. those that stand still, the longest first;
//! 2. those whose body is still being received for a less urgent request, the least urgent first;
//! 3. those that have received at least twice as much as the other one needs, the largest first.
//!
//! A request whose body is complete does not give way, as it may have been sent on. A part of the bytes is kept for
//! small requests, so that they are served while large ones that are complete take all the rest.
//!
//! ```
//! use vanillakeel::{Millis, caller_budget::{CallerBudget, Phase, Settings}};
//!
//! let settings = Settings { max_bytes: 100, ..Settings::default() };
//! let mut budget = CallerBudget::new(settings);
//! let stopped = budget.connect(Millis::ZERO)?.id;
//! budget.set_phase(Millis::ZERO, stopped, Phase::Body, 5);
//! budget.grow(Millis::ZERO, stopped, 90, 100)?;
//!
//! let now = Millis::new(settings.standstill_ms);
//! let other = budget.connect(now)?.id;
//! budget.set_phase(now, other, Phase::Body, 5);
//! assert_eq!(budget.grow(now, other, 80, 80)?, [stopped]);
//! # Ok::<(), vanillakeel::caller_budget::Full>(())
//! ```

use crate::Millis;

/// Part of the bytes, as a divisor, that is kept for small requests.
const SMALL_DIVISOR: u64 = 4;

/// Bounds of what callers make an instance hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Most bytes that all connections hold together.
    pub max_bytes: u64,
    /// Length up to which a request is small, in bytes.
    pub small_bytes: u64,
    /// Most connections.
    pub max_connections: usize,
    /// Time without progress after which an incomplete head or body gives way, in ms.
    pub standstill_ms: u64,
    /// Bytes that have to arrive within that time to count as progress.
    pub progress_bytes: u64,
    /// Time for which no byte of an answer was taken after which its connection gives way, in ms.
    pub unread_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_bytes: 256 << 20,
            small_bytes: 64 << 10,
            max_connections: usize::MAX,
            standstill_ms: 1_000,
            progress_bytes: 16 << 10,
            unread_ms: 3_000,
        }
    }
}

/// There is no room, and nobody who has to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct Full;

impl std::error::Error for Full {}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It has no request.
    #[default]
    Idle,
    /// A head is incomplete.
    Head,
    /// A body is incomplete.
    Body,
    /// A request is complete and being answered.
    Running,
    /// A request was refused, and the rest of its body is being discarded.
    Discarding,
    /// It has to give way and is being closed.
    Leaving,
}

/// A connection that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connected {
    /// Number by which it is known.
    pub id: u64,
    /// Connection that has to be closed for it.
    pub closed: Option<u64>,
}

#[derive(Clone, Debug)]
struct Connection {
    id: u64,
    phase: Phase,
    /// Rank of the request; 0 is the most urgent.
    rank: u8,
    /// Bytes held of heads and bodies.
    request_bytes: u64,
    /// Bytes held of answers.
    answer_bytes: u64,
    /// Start of the phase, or last progress within it.
    since: Millis,
    /// Bytes that have arrived since then.
    received: u64,
    /// Time since which no byte of an answer was taken, while there are some.
    blocked_since: Option<Millis>,
}

impl Connection {
    const fn bytes(&self) -> u64 {
        self.request_bytes + self.answer_bytes
    }

    const fn is_receiving(&self) -> bool {
        matches!(self.phase, Phase::Head | Phase::Body)
    }

    /// Returns for how long the connection has stood still if that is long enough to give way, in ms.
    fn standing_ms(&self, now: Millis, cfg: &Settings) -> Option<u64> {
        if self.phase == Phase::Leaving {
            return None;
        }
        let unread_ms = self.blocked_since.map(|t| now.since(t));
        let unread_ms = unread_ms.filter(|ms| *ms >= cfg.unread_ms);
        let received_ms = self.is_receiving().then(|| now.since(self.since));
        unread_ms.or(received_ms.filter(|ms| *ms >= cfg.standstill_ms))
    }
}

/// Connections of callers with what they hold, sorted by number.
#[derive(Debug, Default)]
pub struct CallerBudget {
    settings: Settings,
    sorted: Vec<Connection>,
    last_id: u64,
    held: u64,
    /// Largest body that is allowed, which always fits.
    largest_body: u64,
}

impl CallerBudget {
    /// Creates a budget without connections.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the bounds.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the bounds; what is held beyond them stays.
    pub const fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Sets the largest body that is allowed, in bytes; one of this size fits whatever the bounds are.
    pub const fn set_largest_body(&mut self, bytes: u64) {
        self.largest_body = bytes;
    }

    /// Returns the bytes that may be held once a request of `size` bytes is.
    fn max_bytes(&self, size: u64) -> u64 {
        let max_bytes = self.settings.max_bytes;
        let is_small = size <= self.settings.small_bytes;
        let kept = if is_small {
            0
        } else {
            max_bytes / SMALL_DIVISOR
        };
        (max_bytes - kept).max(self.largest_body)
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of connections.
    #[must_use]
    pub const fn connections(&self) -> usize {
        self.sorted.len()
    }

    /// Returns whether a new connection takes the place of another one.
    #[must_use]
    pub const fn is_crowded(&self) -> bool {
        self.sorted.len() >= self.settings.max_connections
    }

    /// Returns the time since which no byte of an answer was taken.
    #[must_use]
    pub fn blocked_since(&self, id: u64) -> Option<Millis> {
        self.find(id)?.blocked_since
    }

    fn find(&self, id: u64) -> Option<&Connection> {
        let at = self.sorted.binary_search_by_key(&id, |c| c.id).ok()?;
        Some(&self.sorted[at])
    }

    fn find_mut(&mut self, id: u64) -> Option<&mut Connection> {
        let at = self.sorted.binary_search_by_key(&id, |c| c.id).ok()?;
        Some(&mut self.sorted[at])
    }

    /// Adds a connection, if necessary in the place of another one.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if all others are in use.
    pub fn connect(&mut self, now: Millis) -> Result<Connected, Full> {
        let leaving = self.sorted.iter().filter(|c| c.phase == Phase::Leaving);
        let is_full = self.sorted.len() - leaving.count() >= self.settings.max_connections;
        let closed = if is_full {
            Some(self.replaceable(now).ok_or(Full)?)
        } else {
            None
        };
        if let Some(id) = closed {
            self.leave(id);
        }
        self.last_id += 1;
        self.sorted.push(Connection {
            id: self.last_id,
            phase: Phase::Idle,
            rank: u8::MAX,
            request_bytes: 0,
            answer_bytes: 0,
            since: now,
            received: 0,
            blocked_since: None,
        });
        Ok(Connected {
            id: self.last_id,
            closed,
        })
    }

    /// Returns the connection that gives way to a new one.
    fn replaceable(&self, now: Millis) -> Option<u64> {
        // The end of an answer may still be on its way to the caller.
        let is_read = |c: &&Connection| c.answer_bytes == 0 && c.blocked_since.is_none();
        let oldest = |phase: Phase| {
            let of_phase = self.sorted.iter().filter(|c| c.phase == phase);
            let done = of_phase.filter(|c| phase != Phase::Idle || is_read(c));
            done.min_by_key(|c| c.since).map(|c| c.id)
        };
        oldest(Phase::Discarding)
            .or_else(|| oldest(Phase::Idle))
            .or_else(|| self.standing(now).first().map(|(_, id)| *id))
    }

    /// Returns the connections that stand still, the longest first, each with the time in ms.
    fn standing(&self, now: Millis) -> Vec<(u64, u64)> {
        let standing = |c: &Connection| Some((c.standing_ms(now, &self.settings)?, c.id));
        let mut standing: Vec<_> = self.sorted.iter().filter_map(standing).collect();
        standing.sort_unstable_by_key(|(ms, id)| (std::cmp::Reverse(*ms), *id));
        standing
    }

    /// Gives up all that a connection holds; its owner has to drop it now.
    fn leave(&mut self, id: u64) {
        if let Some(c) = self.find_mut(id) {
            let bytes = c.bytes();
            c.phase = Phase::Leaving;
            c.request_bytes = 0;
            c.answer_bytes = 0;
            self.held -= bytes;
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        self.leave(id);
        if let Ok(at) = self.sorted.binary_search_by_key(&id, |c| c.id) {
            self.sorted.remove(at);
        }
    }

    /// Records what a connection does from now on; one that has to give way does nothing else.
    pub fn set_phase(&mut self, now: Millis, id: u64, phase: Phase, rank: u8) {
        if let Some(c) = self.find_mut(id)
            && c.phase != Phase::Leaving
        {
            c.phase = phase;
            c.rank = rank;
            c.since = now;
            c.received = 0;
        }
    }

    /// Records bytes of a head or a body that have arrived.
    pub fn on_received(&mut self, now: Millis, id: u64, bytes: u64) {
        let progress_bytes = self.settings.progress_bytes;
        if let Some(c) = self.find_mut(id) {
            c.received += bytes;
            if c.received >= progress_bytes {
                c.received = 0;
                c.since = now;
            }
        }
    }

    /// Records whether the caller takes no more bytes of an answer for now.
    pub fn set_blocked(&mut self, now: Millis, id: u64, is_blocked: bool) {
        if let Some(c) = self.find_mut(id) {
            let since = c.blocked_since.unwrap_or(now);
            c.blocked_since = is_blocked.then_some(since);
        }
    }

    /// Sets the bytes that a connection holds of its answers.
    pub fn set_answer_bytes(&mut self, id: u64, bytes: u64) {
        if let Some(c) = self.find_mut(id)
            && c.phase != Phase::Leaving
        {
            let before = std::mem::replace(&mut c.answer_bytes, bytes);
            self.held = self.held - before + bytes;
        }
    }

    /// Returns whether `bytes` more of an answer can be held without anybody giving way.
    #[must_use]
    pub fn has_room(&self, bytes: u64) -> bool {
        self.held.saturating_add(bytes) <= self.max_bytes(u64::MAX)
    }

    /// Returns the connections that stand still and have to give way since more is held than may be.
    pub fn relieve(&mut self, now: Millis) -> Vec<u64> {
        let mut victims = Vec::new();
        if self.held <= self.max_bytes(0) {
            return victims;
        }
        for (_, id) in self.standing(now) {
            if self.held <= self.max_bytes(0) {
                break;
            }
            self.leave(id);
            victims.push(id);
        }
        victims
    }

    /// Lets a connection hold `bytes` more of a request that needs `expected` bytes as a whole, as far as that is known.
    /// Returns the connections that have to give way.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if there is no room, or if the connection itself has to give way.
    pub fn grow(
        &mut self,
        now: Millis,
        id: u64,
        bytes: u64,
        expected: u64,
    ) -> Result<Vec<u64>, Full> {
        let victims = self.victims(now, id, bytes, expected)?;
        for victim in &victims {
            self.leave(*victim);
        }
        if let Some(c) = self.find_mut(id) {
            c.request_bytes += bytes;
            self.held += bytes;
        }
        Ok(victims)
    }

    /// Returns whether `bytes` more of a request that needs as many could be held, if necessary in the place of others.
    #[must_use]
    pub fn could_grow(&self, now: Millis, id: u64, bytes: u64) -> bool {
        self.victims(now, id, bytes, bytes).is_ok()
    }

    /// Releases bytes of a request.
    pub fn release(&mut self, id: u64, bytes: u64) {
        if let Some(c) = self.find_mut(id) {
            let released = bytes.min(c.request_bytes);
            c.request_bytes -= released;
            self.held -= released;
        }
    }

    /// Returns who gives way so that a connection can hold `bytes` more.
    fn victims(&self, now: Millis, id: u64, bytes: u64, expected: u64) -> Result<Vec<u64>, Full> {
        let this = self.find(id).filter(|c| c.phase != Phase::Leaving);
        let this = this.ok_or(Full)?;
        let size = expected.max(this.request_bytes + bytes);
        let needed = self.held.saturating_add(bytes);
        let mut excess = needed.saturating_sub(self.max_bytes(size));
        let mut victims = Vec::new();
        if excess == 0 || bytes == 0 {
            return Ok(victims);
        }
        for candidate in self.candidates(now, this, size) {
            if !victims.contains(&candidate.id) {
                victims.push(candidate.id);
                excess = excess.saturating_sub(candidate.bytes());
            }
            if excess == 0 {
                return Ok(victims);
            }
        }
        Err(Full)
    }

    /// Returns who may have to give way to a request that needs `size` bytes, in this order.
    fn candidates(&self, now: Millis, this: &Connection, size: u64) -> Vec<&Connection> {
        let standing = self.standing(now).into_iter();
        let standing = standing.filter_map(|(_, id)| self.find(id));
        let receiving = || self.sorted.iter().filter(|c| c.is_receiving());
        let mut less_urgent: Vec<_> = receiving().filter(|c| c.rank > this.rank).collect();
        less_urgent.sort_unstable_by_key(|c| std::cmp::Reverse((c.rank, c.bytes())));
        let is_larger = |c: &&Connection| c.rank == this.rank && c.bytes() / 2 >= size;
        let mut larger: Vec<_> = receiving().filter(is_larger).collect();
        larger.sort_unstable_by_key(|c| std::cmp::Reverse(c.bytes()));
        let all = standing.chain(less_urgent).chain(larger);
        all.filter(|c| c.id != this.id && c.bytes() > 0).collect()
    }
}
