//! The service and the software version that began a stream, for callers that take it up with another request.
//!
//! A stream may only go on at the software version that began it, and at its service while the route leads there. The
//! caller names the request that brought the first event, and may do so at any instance, also after the first one has
//! ended. The instance that relays the first event therefore tells a few others, the *keepers* of the stream,
//! before the caller gets it ([`Mesh::keepers`](crate::mesh::Mesh::keepers)). All others are told within a
//! few exchanges of load ([`Spread`]), so that any instance which is left can go on with the streams of
//! all that have ended. An instance that does not know a stream asks the keepers. A stream that nobody knows can still
//! go on while only one version [has served](ServedVersions) for as long as streams live.
//!
//! ```
//! use vanillakeel::{Millis, streams::{BegunStreams, Origin, Settings, StreamId}};
//!
//! let mut begun = BegunStreams::new(Settings::default());
//! let stream = StreamId::of("request-1");
//! begun.record(Millis::ZERO, stream, &Origin::new("drafts", "v2"));
//! assert_eq!(begun.software(Millis::new(500), stream).as_deref(), Some("v2"));
//! ```

mod begun;
mod lookup;
mod served;
mod spread;

pub use self::{
    begun::{
        BegunStreams,
        Settings, //
    },
    lookup::Lookup,
    served::{
        RecordsRead,
        ServedVersions,
        VersionRecord, //
    },
    spread::{
        Known,
        MAX_STREAMS_PER_MESSAGE,
        PassedStream,
        Spread,
        Told,
        Towards, //
    },
};

use crate::order;
use std::sync::Arc;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Name of the service; empty if an instance told of the stream that does not say.
    pub service: Arc<str>,
    /// Version of the software.
    pub software: Arc<str>,
}

impl Origin {
    /// Creates the origin of streams that a version of a service began.
    #[must_use]
    pub fn new(service: &str, software: &str) -> Self {
        Self {
            service: Arc::from(service),
            software: Arc::from(software),
        }
    }
}

/// Identifies a stream by the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the id of the stream that a request began.
    #[must_use]
    pub fn of(request: &str) -> Self {
        Self(order::hash(request))
    }

    /// Creates an id from its number in a message.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that stands for the stream in messages.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}
