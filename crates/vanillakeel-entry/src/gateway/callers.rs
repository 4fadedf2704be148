//! Connections of callers and what they make this instance hold.
//!
//! [`Callers`] applies the decisions of [`CallerBudget`]: a connection that has to give way is woken, drops what it
//! has received at once, and is answered or closed by the task that serves it. A [`Caller`] stands for one connection;
//! a [`HeldBytes`] for a part of what it holds, which is released when it is dropped.
//!
//! ```ignore
//! let caller = Callers::connect(&callers)?;
//! caller.set_phase(Phase::Body, rank);
//! let held = caller.hold(4_096, 4_096)?;
//! ```

use crate::Clock;
use bytes::Bytes;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::{
        Rc,
        Weak, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};
use tokio::sync::Notify;
use vanillakeel::{
    Millis,
    caller_budget::{
        CallerBudget,
        Full,
        Phase,
        Settings, //
    },
};

/// Smallest part of an answer that is counted while it is held, in bytes.
const MIN_COUNTED_BYTES: usize = 1_024;

/// What is told of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// A connection was closed for a new one.
    Replaced,
    /// A new connection was closed, as all others are in use.
    NotAccepted,
    /// What a connection held was dropped to make room.
    GaveWay,
    /// A head did not fit.
    HeadRefused,
    /// A connection was closed, as its caller has taken no byte of an answer for too long.
    Unread,
}

impl Decision {
    /// Returns a short stable name for logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::NotAccepted => "not_accepted",
            Self::GaveWay => "gave_way",
            Self::HeadRefused => "head_refused",
            Self::Unread => "unread",
        }
    }
}

/// Records a decision, with the phase of the connection.
type Record = Box<dyn Fn(Decision, Phase)>;

/// Connections of all callers.
pub(super) struct Callers {
    clock: Clock,
    budget: RefCell<CallerBudget>,
    /// Open connections, sorted by number.
    sorted: RefCell<Vec<(u64, Weak<Caller>)>>,
    record: RefCell<Option<Record>>,
}

impl std::fmt::Debug for Callers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Callers")
            .field("budget", &self.budget)
            .finish_non_exhaustive()
    }
}

impl Callers {
    /// Creates the state without connections.
    pub(super) fn new(clock: Clock, settings: Settings) -> Rc<Self> {
        Rc::new(Self {
            clock,
            budget: RefCell::new(CallerBudget::new(settings)),
            sorted: RefCell::default(),
            record: RefCell::default(),
        })
    }

    /// Sets what records each decision.
    pub(super) fn on_decision(&self, record: Record) {
        self.record.replace(Some(record));
    }

    /// Replaces the bounds.
    pub(super) fn set_settings(&self, settings: Settings) {
        self.budget.borrow_mut().set_settings(settings);
    }

    /// Sets the largest body that is allowed, in bytes, which always fits.
    pub(super) fn set_largest_body(&self, bytes: usize) {
        self.budget.borrow_mut().set_largest_body(bytes as u64);
    }

    /// Returns the bytes that are held and the number of connections.
    pub(super) fn totals(&self) -> (u64, usize) {
        let budget = self.budget.borrow();
        (budget.held(), budget.connections())
    }

    /// Returns whether a new connection takes the place of another one.
    pub(super) fn is_crowded(&self) -> bool {
        self.budget.borrow().is_crowded()
    }

    /// Returns the time after which incomplete bodies give way, in ms.
    pub(super) fn standstill_ms(&self) -> u64 {
        self.budget.borrow().settings().standstill_ms
    }

    /// Adds a connection, if necessary in the place of another one.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if all others are in use.
    pub(super) fn connect(self: &Rc<Self>) -> Result<Rc<Caller>, Full> {
        let connected = self.budget.borrow_mut().connect(self.clock.now());
        let connected = connected.inspect_err(|_| self.tell(Decision::NotAccepted, Phase::Idle))?;
        if let Some(id) = connected.closed {
            self.wake(id, Decision::Replaced);
        }
        let caller = Rc::new(Caller {
            id: connected.id,
            callers: Rc::clone(self),
            body: RefCell::default(),
            gives_way: Cell::new(false),
            woken: Notify::new(),
            phase: Cell::new(Phase::Idle),
            is_blocked: Cell::new(false),
            answer_bytes: Arc::default(),
            counted_answer: Cell::new(0),
        });
        let entry = (caller.id, Rc::downgrade(&caller));
        self.sorted.borrow_mut().push(entry);
        Ok(caller)
    }

    /// Records a decision.
    pub(super) fn tell(&self, decision: Decision, phase: Phase) {
        if let Some(record) = &*self.record.borrow() {
            record(decision, phase);
        }
    }

    /// Tells a connection to give way and frees what it has received of a body.
    fn wake(&self, id: u64, decision: Decision) {
        let sorted = self.sorted.borrow();
        let Ok(at) = sorted.binary_search_by_key(&id, |(id, _)| *id) else {
            return;
        };
        if let Some(caller) = sorted[at].1.upgrade() {
            let phase = caller.phase.get();
            caller.gives_way.set(true);
            caller.body.take();
            caller.woken.notify_waiters();
            self.tell(decision, phase);
        }
    }
}

/// One connection of a caller.
#[derive(Debug)]
pub(super) struct Caller {
    id: u64,
    callers: Rc<Callers>,
    /// What has arrived of the body that is being read.
    pub(super) body: RefCell<Vec<u8>>,
    gives_way: Cell<bool>,
    woken: Notify,
    phase: Cell<Phase>,
    /// Whether a write of an answer waits for the caller.
    is_blocked: Cell<bool>,
    /// Bytes of answers that have not been written.
    answer_bytes: Arc<AtomicU64>,
    /// The same as the budget knows it.
    counted_answer: Cell<u64>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.budget.borrow_mut().close(self.id);
        let mut sorted = self.callers.sorted.borrow_mut();
        if let Ok(at) = sorted.binary_search_by_key(&self.id, |(id, _)| *id) {
            sorted.remove(at);
        }
    }
}

impl Caller {
    /// Records what the connection does from now on.
    pub(super) fn set_phase(&self, phase: Phase, rank: u8) {
        self.phase.set(phase);
        let now = self.callers.clock.now();
        let mut budget = self.callers.budget.borrow_mut();
        budget.set_phase(now, self.id, phase, rank);
    }

    /// Returns what the connection does.
    pub(super) const fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns all connections.
    pub(super) const fn callers(&self) -> &Rc<Callers> {
        &self.callers
    }

    /// Returns whether the connection has to give way.
    pub(super) const fn gives_way(&self) -> bool {
        self.gives_way.get()
    }

    /// Waits until the connection has to give way.
    pub(super) async fn until_gives_way(&self) {
        let woken = self.woken.notified();
        if !self.gives_way.get() {
            woken.await;
        }
    }

    /// Records bytes of a head or a body that have arrived.
    pub(super) fn on_received(&self, bytes: usize) {
        let now = self.callers.clock.now();
        let mut budget = self.callers.budget.borrow_mut();
        budget.on_received(now, self.id, bytes as u64);
    }

    /// Lets the connection hold `bytes` more of a request that needs `expected` bytes, as far as that is known.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if there is no room, or if the connection itself has to give way.
    pub(super) fn hold(self: &Rc<Self>, bytes: usize, expected: usize) -> Result<HeldBytes, Full> {
        let mut held = self.hold_nothing();
        held.grow(bytes, expected)?;
        Ok(held)
    }

    /// Returns a part that can grow.
    pub(super) fn hold_nothing(self: &Rc<Self>) -> HeldBytes {
        HeldBytes {
            caller: Rc::clone(self),
            bytes: 0,
        }
    }

    /// Returns whether a request of this length could be held, if necessary in the place of others.
    pub(super) fn could_hold(&self, bytes: u64) -> bool {
        let now = self.callers.clock.now();
        self.callers.budget.borrow().could_grow(now, self.id, bytes)
    }

    /// Returns the bytes of an answer, which count as held until they are dropped.
    pub(super) fn count_answer(&self, bytes: Bytes) -> Bytes {
        if bytes.len() < MIN_COUNTED_BYTES {
            return bytes;
        }
        let length = bytes.len() as u64;
        self.answer_bytes.fetch_add(length, Ordering::Relaxed);
        let counted = Bytes::from_owner(CountedBytes {
            bytes,
            counter: Arc::clone(&self.answer_bytes),
        });
        self.sync_answer();
        counted
    }

    /// Brings what is held of answers up to date.
    pub(super) fn sync_answer(&self) {
        let bytes = self.answer_bytes.load(Ordering::Relaxed);
        let before = self.counted_answer.replace(bytes);
        if before == bytes {
            return;
        }
        let victims = {
            let mut budget = self.callers.budget.borrow_mut();
            budget.set_answer_bytes(self.id, bytes);
            if bytes < before {
                return;
            }
            budget.relieve(self.callers.clock.now())
        };
        for id in victims {
            self.callers.wake(id, Decision::GaveWay);
        }
    }

    /// Records whether the caller takes no more bytes of an answer for now.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        // A write that was not held up changes nothing.
        if is_blocked || self.is_blocked.get() {
            self.is_blocked.set(is_blocked);
            let now = self.callers.clock.now();
            let mut budget = self.callers.budget.borrow_mut();
            budget.set_blocked(now, self.id, is_blocked);
        }
    }

    /// Returns the time since which the caller has taken no byte of an answer.
    pub(super) fn blocked_since(&self) -> Option<Millis> {
        if !self.is_blocked.get() {
            return None;
        }
        self.callers.budget.borrow().blocked_since(self.id)
    }
}

/// Bytes of an answer that count as held.
struct CountedBytes {
    bytes: Bytes,
    counter: Arc<AtomicU64>,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        let length = self.bytes.len() as u64;
        self.counter.fetch_sub(length, Ordering::Relaxed);
    }
}

/// Bytes of a request that a connection holds.
#[derive(Debug)]
pub(super) struct HeldBytes {
    caller: Rc<Caller>,
    bytes: usize,
}

impl HeldBytes {
    /// Returns the connection.
    pub(super) const fn caller(&self) -> &Rc<Caller> {
        &self.caller
    }

    /// Holds `bytes` more of a request that needs `expected` bytes, as far as that is known.
    ///
    /// # Errors
    ///
    /// Fails as [`Caller::hold`] does.
    pub(super) fn grow(&mut self, bytes: usize, expected: usize) -> Result<(), Full> {
        let callers = &self.caller.callers;
        let now = callers.clock.now();
        let (bytes_u64, expected) = (bytes as u64, expected as u64);
        let victims = callers
            .budget
            .borrow_mut()
            .grow(now, self.caller.id, bytes_u64, expected)?;
        self.bytes += bytes;
        for id in victims {
            callers.wake(id, Decision::GaveWay);
        }
        Ok(())
    }

    /// Holds at least `bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails as [`Caller::hold`] does.
    pub(super) fn grow_to(&mut self, bytes: usize) -> Result<(), Full> {
        if bytes <= self.bytes {
            return Ok(());
        }
        self.grow(bytes - self.bytes, bytes)
    }

    /// Holds at least `bytes` in all if nobody has to give way; returns whether it does.
    pub(super) fn grows_freely_to(&mut self, bytes: usize) -> bool {
        self.caller.sync_answer();
        let more = bytes.saturating_sub(self.bytes);
        let has_room = self.caller.callers.budget.borrow().has_room(more as u64);
        has_room && self.grow_to(bytes).is_ok()
    }

    /// Releases all bytes.
    pub(super) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes) as u64;
        let mut budget = self.caller.callers.budget.borrow_mut();
        budget.release(self.caller.id, bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release();
    }
}
