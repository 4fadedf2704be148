//! Streams that callers take up with another request.
//!
//! [`on_first_event`] tells the keepers of a stream by which software version it began, before the first
//! event is relayed. [`software_of`] finds the version for a request that continues a stream: in the
//! memory of this instance, or by asking the keepers.

use super::{
    answer::Refusal,
    lines::Kind,
    peers,
    request::RoutedRequest,
    shared::Shared, //
};
use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::Notify,
    time::timeout, //
};
use vanillakeel::streams::{
    Lookup,
    StreamId, //
};
use vanillakeel_wire::generated::{
    MeshStreamAnswer,
    MeshStreamQuery,
    MeshStreams,
    mesh_message::Kind as Message, //
};

/// Time after which the keepers of a stream are asked again, in ms: a few round trips between data
/// centres.
const ANSWER_DUE_MS: u64 = 50;

/// How often the keepers of a stream are asked.
const MAX_QUERIES: u32 = 3;

/// A stream that a request continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Continued {
    /// The stream that another request began.
    Stream(StreamId),
    /// A stream whose first request the caller has not named.
    Unnamed,
}

/// A question to the keepers of a stream that is under way.
#[derive(Debug)]
pub(super) struct PendingLookup {
    stream: StreamId,
    lookup: RefCell<Lookup>,
    answered: Notify,
}

/// How the version of a stream was found, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KnownBy {
    Memory,
    Keeper,
}

impl KnownBy {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Keeper => "keeper",
        }
    }
}

/// Records the version at which a stream has begun or gone on, and tells its keepers.
///
/// This is called before the event is relayed, so that the keepers know the stream even if this
/// instance ends right after.
pub(super) fn on_first_event(shared: &Shared, stream: StreamId, software: &str) {
    let now = shared.clock.now();
    let mut begun = shared.begun_streams.borrow_mut();
    begun.record(now, stream, software);
    drop(begun);
    let message = Message::Streams(MeshStreams {
        streams: vec![stream.get()],
        software: vec![software.to_owned()],
    });
    let keepers = shared.mesh.borrow().keepers(stream);
    for keeper in keepers {
        peers::try_send(shared, &keeper, message.clone());
    }
}

/// Records streams of which a peer tells.
pub(super) fn on_told(shared: &Shared, streams: &MeshStreams) {
    let now = shared.clock.now();
    let mut begun = shared.begun_streams.borrow_mut();
    for (stream, software) in streams.streams.iter().zip(&streams.software) {
        begun.record(now, StreamId::new(*stream), software);
    }
}

/// Returns the answer to a question for a stream.
pub(super) fn answer(shared: &Shared, query: &MeshStreamQuery) -> MeshStreamAnswer {
    let now = shared.clock.now();
    let begun = shared.begun_streams.borrow();
    let software = begun.software(now, StreamId::new(query.stream));
    MeshStreamAnswer {
        stream: query.stream,
        software: software.as_deref().map(str::to_owned),
    }
}

/// Applies the answer of a keeper.
pub(super) fn on_answer(shared: &Shared, keeper: &str, answer: &MeshStreamAnswer) {
    let stream = StreamId::new(answer.stream);
    let pending = shared.stream_lookups.borrow();
    let pending: Vec<_> = pending.iter().filter(|p| p.stream == stream).collect();
    if pending.is_empty() {
        return;
    }
    if let Some(software) = &answer.software {
        let mut begun = shared.begun_streams.borrow_mut();
        begun.record(shared.clock.now(), stream, software);
    }
    for lookup in pending {
        if answer.software.is_none() {
            lookup.lookup.borrow_mut().on_unknown(keeper);
        }
        lookup.answered.notify_one();
    }
}

/// Returns the software version at which the stream of a request has to go on, or `None` if the
/// request begins a stream or has none.
///
/// # Errors
///
/// Returns a refusal as not run if the version is not known, or if no upstream of it is left.
pub(super) async fn software_of(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
) -> Result<Option<Arc<str>>, Refusal> {
    let Some(continued) = request.continues else {
        return Ok(None);
    };
    let Continued::Stream(stream) = continued else {
        return Err(Refusal::UnknownStream(None));
    };
    let asked_at = shared.clock.now();
    let in_memory = shared.begun_streams.borrow().software(asked_at, stream);
    let known_by = match in_memory {
        Some(_) => KnownBy::Memory,
        None => KnownBy::Keeper,
    };
    let software = match in_memory {
        Some(software) => software,
        None => ask_keepers(shared, stream).await?,
    };
    shared.metrics.on_taken_up(known_by.as_str());
    if shared.may_log(Kind::Usual) {
        tracing::info!(
            request = %request.id,
            resumes = request.resumes.as_deref(),
            software = &*software,
            known_by = known_by.as_str(),
            asked_ms = shared.clock.now().since(asked_at),
            "stream taken up"
        );
    }
    let serves = |software: &str| {
        let fleet = shared.fleet.borrow();
        fleet.serves_software(&request.service, software)
    };
    if !serves(&software) {
        return Err(Refusal::VersionGone);
    }
    Ok(Some(software))
}

/// Asks the keepers of a stream for the version that began it.
async fn ask_keepers(shared: &Rc<Shared>, stream: StreamId) -> Result<Arc<str>, Refusal> {
    let keepers = shared.mesh.borrow().keepers_to_ask(stream);
    let names = keepers.iter().map(|k| Arc::clone(&k.name)).collect();
    let pending = RegisteredLookup::new(shared, stream, Lookup::new(names));
    let question = Message::StreamQuery(MeshStreamQuery {
        stream: stream.get(),
    });
    for _ in 0..MAX_QUERIES {
        for keeper in &keepers {
            peers::try_send(shared, keeper, question.clone());
        }
        let known = timeout(
            Duration::from_millis(ANSWER_DUE_MS),
            pending.known_or_over(shared),
        );
        match known.await {
            Ok(Some(software)) => return Ok(software),
            Ok(None) => break,
            Err(_) => {}
        }
    }
    // If no keeper can be reached from here, another instance may still know the stream.
    let is_answered = pending.pending.lookup.borrow().is_answered();
    Err(Refusal::UnknownStream((!is_answered).then_some(0)))
}

/// A lookup that is registered for answers until it is dropped.
struct RegisteredLookup<'a> {
    shared: &'a Shared,
    pending: Rc<PendingLookup>,
}

impl<'a> RegisteredLookup<'a> {
    fn new(shared: &'a Shared, stream: StreamId, lookup: Lookup) -> Self {
        let pending = Rc::new(PendingLookup {
            stream,
            lookup: RefCell::new(lookup),
            answered: Notify::new(),
        });
        shared.stream_lookups.borrow_mut().push(Rc::clone(&pending));
        Self { shared, pending }
    }

    /// Waits until the version is known, or until all keepers have said that they don't know it.
    async fn known_or_over(&self, shared: &Shared) -> Option<Arc<str>> {
        loop {
            let now = shared.clock.now();
            let known = shared
                .begun_streams
                .borrow()
                .software(now, self.pending.stream);
            if known.is_some() || self.pending.lookup.borrow().is_over() {
                return known;
            }
            self.pending.answered.notified().await;
        }
    }
}

impl Drop for RegisteredLookup<'_> {
    fn drop(&mut self) {
        let mut lookups = self.shared.stream_lookups.borrow_mut();
        lookups.retain(|p| !Rc::ptr_eq(p, &self.pending));
    }
}
