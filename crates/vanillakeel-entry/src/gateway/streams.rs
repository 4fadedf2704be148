//! Streams that callers take up with another request.
//!
//! [`on_first_event`] tells the keepers of a stream by which service and software version it began, before the first
//! event is relayed; what all others are told stands in [`passed_streams`](super::passed_streams). [`origin_of`] finds
//! both for a request that continues a stream: in the memory of this instance, by asking the keepers, or since only one
//! version can have begun the stream.

use super::{
    answer::Refusal,
    datagrams,
    lines::Kind,
    request::RoutedRequest,
    shared::Shared,
    version_records, //
};
use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout, //
    },
};
use vanillakeel::{
    Millis,
    mesh::Peer,
    streams::{
        Lookup,
        Origin,
        StreamId, //
    },
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

/// Time limit for a read of the upstreams that a request waits for, in ms.
const READ_DUE_MS: u64 = 300;

/// Most streams of which one datagram tells, so that it fits a packet of the network.
const MAX_STREAMS_PER_DATAGRAM: usize = 64;

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
    /// Only one version has served for as long as streams live.
    SoleVersion,
    /// Only one version had served before the instances started, and they know all streams that have begun since.
    EarlierVersion,
}

impl KnownBy {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Keeper => "keeper",
            Self::SoleVersion => "sole_version",
            Self::EarlierVersion => "earlier_version",
        }
    }
}

/// Records the service and version at which a stream has begun or gone on, and tells its keepers.
///
/// This is called before the event is relayed, so that the keepers know the stream even if this
/// instance ends right after.
pub(super) fn on_first_event(shared: &Shared, stream: StreamId, origin: &Origin) {
    let now = shared.clock.now();
    let mut begun = shared.begun_streams.borrow_mut();
    begun.record(now, stream, origin);
    drop(begun);
    let message = Message::Streams(MeshStreams {
        streams: vec![stream.get()],
        software: vec![origin.software.to_string()],
        services: vec![origin.service.to_string()],
    });
    let keepers = shared.mesh.borrow().keepers(stream);
    for keeper in keepers {
        datagrams::try_send(shared, &keeper, message.clone());
    }
}

/// Tells the keepers of the streams that not all peers with which this instance exchanges streams have got yet, since it is
/// stopping; of all streams if no successor has got them.
pub(super) fn hand_over(shared: &Shared, has_successor: bool) {
    let now = shared.clock.now();
    let missing_from = if has_successor {
        shared.spread.borrow().missing_from(now)
    } else {
        0
    };
    let mut messages: Vec<(Peer, MeshStreams)> = Vec::new();
    let begun = shared.begun_streams.borrow();
    for (stream, origin) in begun.iter_from(now, missing_from) {
        for keeper in shared.mesh.borrow().keepers(stream) {
            let at = match messages.binary_search_by(|(peer, _)| peer.name.cmp(&keeper.name)) {
                Ok(at) => at,
                Err(at) => {
                    messages.insert(at, (keeper, MeshStreams::default()));
                    at
                }
            };
            let (keeper, told) = &mut messages[at];
            told.streams.push(stream.get());
            told.software.push(origin.software.to_string());
            told.services.push(origin.service.to_string());
            if told.streams.len() == MAX_STREAMS_PER_DATAGRAM {
                let told = std::mem::take(told);
                datagrams::try_send(shared, keeper, Message::Streams(told));
            }
        }
    }
    for (keeper, told) in messages {
        datagrams::try_send(shared, &keeper, Message::Streams(told));
    }
}

/// Records streams of which a peer tells.
pub(super) fn on_told(shared: &Shared, streams: &MeshStreams) {
    let now = shared.clock.now();
    let mut begun = shared.begun_streams.borrow_mut();
    let told = streams.streams.iter().zip(&streams.software);
    for (at, (stream, software)) in told.enumerate() {
        let service = streams.services.get(at).map_or("", |s| s);
        let origin = Origin::new(service, software);
        begun.record_told(now, StreamId::new(*stream), &origin);
    }
}

/// Returns the answer to a question for a stream.
pub(super) fn answer(shared: &Shared, query: &MeshStreamQuery) -> MeshStreamAnswer {
    let now = shared.clock.now();
    let begun = shared.begun_streams.borrow();
    let origin = begun.origin(now, StreamId::new(query.stream));
    let vouched = |software: fn(&Shared, &str) -> Option<Arc<str>>| match origin {
        Some(_) => None,
        None => software(shared, &query.service)
            .as_deref()
            .map(str::to_owned),
    };
    MeshStreamAnswer {
        stream: query.stream,
        software: origin.map(|o| o.software.to_string()),
        service: origin.map_or_else(String::new, |o| o.service.to_string()),
        sole_software: vouched(Shared::sole_software),
        earlier_software: vouched(Shared::sole_earlier_software),
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
        let origin = Origin::new(&answer.service, software);
        begun.record_told(shared.clock.now(), stream, &origin);
    }
    for lookup in pending {
        if answer.software.is_none() {
            let sole = answer.sole_software.as_deref();
            let earlier = answer.earlier_software.as_deref();
            let mut lookup = lookup.lookup.borrow_mut();
            lookup.on_earlier(earlier);
            lookup.on_unknown(keeper, sole);
        }
        lookup.answered.notify_one();
    }
}

/// Returns the service and the version at which the stream of a request has to go on, or `None` if the
/// request begins a stream or has none.
///
/// That is the service that began it, as long as the route leads there, and otherwise one to which it leads now.
///
/// # Errors
///
/// Returns a refusal as not run if the version is not known, or if no upstream of it is left.
pub(super) async fn origin_of(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
) -> Result<Option<Origin>, Refusal> {
    let Some(continued) = request.continues else {
        return Ok(None);
    };
    let asked_at = shared.clock.now();
    let in_memory = match continued {
        Continued::Stream(stream) => shared
            .begun_streams
            .borrow()
            .origin(asked_at, stream)
            .cloned(),
        // Any of several services may have begun it.
        Continued::Unnamed if request.route.allowed_services().nth(1).is_some() => {
            return Err(Refusal::UnknownStream(None));
        }
        Continued::Unnamed => None,
    };
    let (origin, known_by) = match in_memory {
        Some(origin) => (origin, KnownBy::Memory),
        None => ask_keepers(shared, request).await?,
    };
    let service = present_service(shared, request, &origin);
    shared.metrics.on_taken_up(known_by.as_str());
    if shared.may_log(Kind::Usual) {
        tracing::info!(
            request = %request.id,
            resumes = request.resumes.as_deref(),
            software = &*origin.software,
            begun_by = &*origin.service,
            service = service.as_deref(),
            known_by = known_by.as_str(),
            asked_ms = shared.clock.now().since(asked_at),
            "stream taken up"
        );
    }
    let service = service.ok_or(Refusal::VersionGone)?;
    Ok(Some(Origin { service, ..origin }))
}

/// Returns the service at which a stream goes on, or `None` if no upstream is left that may run it.
fn present_service(shared: &Shared, request: &RoutedRequest, origin: &Origin) -> Option<Arc<str>> {
    let fleet = shared.fleet.borrow();
    let serves = |service: &Arc<str>| fleet.serves_software(service, &origin.software);
    let mut allowed = request.route.allowed_services();
    if let Some(service) = allowed.find(|s| **s == origin.service) {
        return Some(service).filter(|s| serves(s)).cloned();
    }
    let chosen = std::iter::once(&request.service);
    let mut others = chosen.chain(request.route.allowed_services());
    others.find(|s| serves(s)).cloned()
}

/// Asks the keepers of a stream for the service and the version that began it.
///
/// If no keeper knows the stream, it can still go on where only one version has served for as long as
/// streams live, or had served when the instances started.
async fn ask_keepers(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
) -> Result<(Origin, KnownBy), Refusal> {
    let stream = request.stream();
    let now = shared.clock.now();
    let keepers = shared.mesh.borrow().keepers_to_ask(now, stream);
    let names = keepers.iter().map(|k| Arc::clone(&k.name)).collect();
    let lookup = RegisteredLookup::new(shared, stream, Lookup::new(names));
    let question = Message::StreamQuery(MeshStreamQuery {
        stream: stream.get(),
        service: request.service.to_string(),
    });
    for _ in 0..MAX_QUERIES {
        for keeper in &keepers {
            datagrams::try_send(shared, keeper, question.clone());
        }
        let due = Duration::from_millis(ANSWER_DUE_MS);
        match timeout(due, lookup.known_or_over()).await {
            Ok(Some(origin)) => return Ok((origin, KnownBy::Keeper)),
            Ok(None) => break,
            Err(_) => {}
        }
    }
    let lookup = lookup.pending.lookup.borrow().clone();
    let of_service = |software| Origin {
        service: Arc::clone(&request.service),
        software,
    };
    if let Some(software) = sole_software(shared, request, lookup.sole()).await {
        return Ok((of_service(software), KnownBy::SoleVersion));
    }
    let earlier = shared.sole_earlier_software(&request.service);
    if let Some(software) = earlier
        .or(lookup.sole_earlier())
        .filter(|_| lookup.is_over())
    {
        return Ok((of_service(software), KnownBy::EarlierVersion));
    }
    // If no keeper can be reached from here, another instance may still know the stream.
    Err(Refusal::UnknownStream((!lookup.is_answered()).then_some(0)))
}

/// Returns the only version that can have begun the stream of a request: this instance or its peers have
/// seen no other one, and the list shows no other one after the arrival of the request.
async fn sole_software(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
    vouched: Option<Arc<str>>,
) -> Option<Arc<str>> {
    let candidate = match shared.sole_software(&request.service).or(vouched) {
        Some(candidate) => candidate,
        None => {
            version_records::read(shared).await;
            shared.sole_software(&request.service)?
        }
    };
    if !read_upstreams(shared, request.arrived).await {
        return None;
    }
    let is_sole = shared
        .fleet
        .borrow()
        .iter()
        .filter(|u| u.service == request.service)
        .all(|u| u.software.as_deref() == Some(&*candidate));
    is_sole.then_some(candidate)
}

/// Waits for a read of the upstreams that is sent after `since`; returns whether there was one.
///
/// A read of the same millisecond may have been sent before.
async fn read_upstreams(shared: &Shared, since: Millis) -> bool {
    let start = shared.clock.now();
    if start <= since {
        sleep(Duration::from_millis(1)).await;
    }
    loop {
        if shared.upstreams_read_at.get() > Some(since) {
            return true;
        }
        let left_ms = READ_DUE_MS.saturating_sub(shared.clock.now().since(start));
        let read = shared.upstreams_read.notified();
        shared.read_upstreams.notify_one();
        if timeout(Duration::from_millis(left_ms), read).await.is_err() {
            return false;
        }
    }
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

    /// Waits until the origin is known, or until all keepers have said that they don't know it.
    async fn known_or_over(&self) -> Option<Origin> {
        loop {
            let now = self.shared.clock.now();
            let known = self
                .shared
                .begun_streams
                .borrow()
                .origin(now, self.pending.stream)
                .cloned();
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
