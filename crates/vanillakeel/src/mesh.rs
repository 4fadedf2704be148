//! Exchange of load and of log contents between instances of the pass-through daemon.
//!
//! This daemon is `vanillakeel_entry::gateway`, which reads the routing configuration and the
//! upstreams from a log. The daemon `vanillakeel-entry` uses [`membership`](crate::membership) and
//! [`share`](crate::share) instead.
//!
//! Each data centre has one hub, chosen by link bandwidth and rendezvous hashing among the known
//! instances. The other instances, its members, report their load to it. The hub answers with the
//! total load, with what it has read from the log and with how fresh that is, so that only hubs
//! have to read the log. While the log turns a hub away, the hub asks a member that the log serves instead. Hubs of different data centres exchange their totals. Two hubs at once, or
//! none, only cost efficiency: an instance that gets no answer tries the next candidate and
//! reads the log itself in the meantime.
//!
//! ```
//! use vanillakeel::{Millis, mesh::{Mesh, Peer, Settings}};
//!
//! let me = Peer { name: "a".into(), data_centre: "dc-1".into(), ..Peer::default() };
//! let mut mesh = Mesh::new(me, Settings::default());
//! assert!(mesh.is_hub(Millis::ZERO));
//! assert!(mesh.hub(Millis::ZERO).is_none());
//! ```

mod keepers;
mod loads;
mod probes;
mod relay;
mod report_ids;
mod state;
mod successors;
mod text;

pub use self::{
    loads::{
        Load,
        Loads,
        ServedWorkspace, //
    },
    relay::VIEW_TIMEOUT_MS,
    report_ids::ReportIds,
    state::{
        Mesh,
        Peer,
        Settings,
        Summary, //
    },
    text::{
        PartedText,
        TextAssembly,
        TextPart, //
    },
};
