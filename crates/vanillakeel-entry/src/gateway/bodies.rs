//! Reads the bodies of requests within what callers may make this instance hold.
//!
//! A body is collected in one buffer that grows with what has arrived, however it is cut, and its capacity counts as
//! held until the request is dropped. What is left of a refused body is discarded for a short time, since closing the
//! connection under a caller that still writes could take the refusal from it.
//!
//! ```ignore
//! let body = bodies::read(&caller, &mut incoming, &BodyLimits { max_bytes, timeout_ms }).await?;
//! ```

use super::callers::{
    Caller,
    HeldBytes, //
};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{
    Body as _,
    Incoming, //
};
use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};
use tokio::{
    task::spawn_local,
    time::timeout, //
};
use vanillakeel::caller_budget::Phase;

/// First capacity of the buffer of a body whose length is not known, in bytes.
const MIN_CAPACITY: usize = 512;

/// Longest time for which the rest of a refused body is discarded, in ms.
pub(super) const DISCARD_MS: u64 = 1_000;

/// Most bytes of a refused body that are discarded.
const DISCARDED_BYTES: usize = 1 << 20;

/// Most refused bodies whose rest is discarded at once.
const MAX_DISCARDING: u32 = 8;

/// Limits on the rest of refused bodies.
pub(super) const REFUSED: BodyLimits = BodyLimits {
    max_bytes: DISCARDED_BYTES,
    timeout_ms: DISCARD_MS,
};

/// Limits of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BodyLimits {
    /// Largest body, in bytes.
    pub(super) max_bytes: usize,
    /// Longest time until the body has arrived, in ms.
    pub(super) timeout_ms: u64,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    Slow,
    /// Its framing can't be read, or its connection has ended.
    Broken,
    /// There is no room for it.
    NoRoom,
    /// It had to give way to others.
    GaveWay,
}

/// A complete body.
#[derive(Debug)]
pub(super) struct HeldBody {
    pub(super) bytes: Bytes,
    /// What counts for the body.
    pub(super) held: HeldBytes,
}

/// Reads a body.
///
/// # Errors
///
/// Returns why the body was not read; nothing of it is held then.
pub(super) async fn read(
    caller: &Rc<Caller>,
    body: &mut Incoming,
    limits: BodyLimits,
) -> Result<HeldBody, BodyFailure> {
    // A read that was dropped leaves its bytes there.
    caller.body.take();
    let announced = body.size_hint().exact();
    let max_bytes = limits.max_bytes as u64;
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(BodyFailure::TooLarge);
    }
    caller.callers().set_largest_body(limits.max_bytes);
    if !caller.could_hold(announced.unwrap_or(0)) {
        return Err(BodyFailure::NoRoom);
    }
    let collected = collect(caller, body, limits.max_bytes);
    let collected = timeout(Duration::from_millis(limits.timeout_ms), collected);
    let result = tokio::select! {
        biased;
        () = caller.until_gives_way() => Err(BodyFailure::GaveWay),
        result = collected => result.unwrap_or(Err(BodyFailure::Slow)),
    };
    caller.body.take();
    result
}

/// Collects a body in the buffer of its connection, which is emptied there if the connection has to give way.
async fn collect(
    caller: &Rc<Caller>,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<HeldBody, BodyFailure> {
    let announced = body.size_hint().exact().map(|length| length as usize);
    let no_room = |_| {
        if caller.gives_way() {
            BodyFailure::GaveWay
        } else {
            BodyFailure::NoRoom
        }
    };
    let mut held = caller.hold(0, 0).map_err(no_room)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        caller.on_received(data.len());
        let (length, capacity) = {
            let buffer = caller.body.borrow();
            (buffer.len() + data.len(), buffer.capacity())
        };
        if length > max_bytes {
            return Err(BodyFailure::TooLarge);
        }
        let most = announced.unwrap_or(max_bytes).max(length);
        let wanted = grown_capacity(capacity, length, most);
        if wanted > capacity {
            let expected = announced.unwrap_or(wanted);
            held.grow(wanted - capacity, expected).map_err(no_room)?;
            let mut buffer = caller.body.borrow_mut();
            let additional = wanted - buffer.len();
            buffer.reserve_exact(additional);
        }
        caller.body.borrow_mut().extend_from_slice(&data);
    }
    let bytes = Bytes::from(caller.body.take());
    Ok(HeldBody { bytes, held })
}

/// Returns the capacity of a buffer that has to hold `length` bytes and at most `most`.
fn grown_capacity(capacity: usize, length: usize, most: usize) -> usize {
    if length <= capacity {
        return capacity;
    }
    (2 * capacity).max(MIN_CAPACITY).max(length).min(most)
}

/// Discards the rest of refused bodies, a few at a time.
#[derive(Debug, Default)]
pub(super) struct Discards(Cell<u32>);

/// Counts one of them until it is dropped.
struct Discard(Rc<Discards>);

impl Drop for Discard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

impl Discards {
    /// Reads the rest of a refused body for a short time, unless many others are being read.
    pub(super) fn begin(self: &Rc<Self>, caller: &Rc<Caller>, body: Incoming) {
        caller.set_phase(Phase::Discarding, u8::MAX);
        if self.0.get() >= MAX_DISCARDING {
            return;
        }
        self.0.set(self.0.get() + 1);
        let discard = Discard(Rc::clone(self));
        spawn_local(async move {
            discard_rest(body, REFUSED).await;
            drop(discard);
        });
    }
}

/// Reads the rest of a body within limits and discards it.
pub(super) async fn discard_rest(mut body: Incoming, limits: BodyLimits) {
    let discarded = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > limits.max_bytes {
                return;
            }
        }
    };
    let _ = timeout(Duration::from_millis(limits.timeout_ms), discarded).await;
}
