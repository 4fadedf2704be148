//! Load balancing of the pass-through daemon: the known upstreams and the choice among them.
//!
//! This daemon is `vanillakeel_entry::gateway`; the daemon `vanillakeel-entry` uses
//! [`routing`](crate::routing) instead.
//!
//! A [`Fleet`] holds the discovered upstreams of all services by name and incarnation.
//! [`Fleet::choose`] picks the one with the lowest cost among those that it [visits](choose). The
//! cost adds up the expected wait there, the prefill or transfer of shared prompt tokens that it does
//! not have cached, and a surcharge for another data centre.
//! An upstream that names a [rate limit](crate::rate_limits) is chosen only while it has room, and one that leaves
//! or asks for a [pause](crate::availability) is not. Each upstream gets work by its own [speed](Speed).
//! [`Fleet::admit`] sheds load before a send. [`Fleet::on_send`], [`Fleet::on_first_event`] and
//! [`Fleet::on_end`] report the progress of a call. [`MissingUpstreams`] decides when an upstream whose
//! entry has disappeared from the list is removed, and [`RemovedUpstreams`] whether an entry is out of
//! date.
//!
//! ```
//! use vanillakeel::{Millis, fleet::{Fleet, ListedUpstream, RequestInfo, Settings}};
//!
//! let mut fleet = Fleet::new(Settings::default(), 1);
//! fleet.on_listed(&ListedUpstream { name: "u-1".into(), service: "deeds".into(), ..ListedUpstream::default() });
//! let request = RequestInfo { service: "deeds", ..RequestInfo::default() };
//! let pick = fleet.choose(Millis::ZERO, &request);
//! assert_eq!(pick.map(|p| p.name.to_string()), Some("u-1".to_owned()));
//! ```

mod absent;
mod admit;
pub mod cache_source;
mod cached;
mod calls;
pub mod choose;
mod condition;
pub mod groups;
mod limited;
mod missing;
mod notices;
mod refused;
mod removed;
mod request;
mod service_speeds;
pub mod shares;
mod speed;
mod state;
mod targets;
mod total_load;
mod upstream;
mod withdrawn;

pub(crate) use self::upstream::RANK_COUNT;
pub use self::{
    admit::Overload,
    calls::InFlightCall,
    condition::{
        Condition,
        ConditionCounts, //
    },
    limited::NoRoom,
    missing::MissingUpstreams,
    notices::CacheNotice,
    removed::RemovedUpstreams,
    request::{
        CacheSource,
        Pick,
        PromptSegment,
        RequestInfo, //
    },
    service_speeds::ToldSpeed,
    speed::Speed,
    state::{
        Fleet,
        Settings, //
    },
    total_load::UpstreamLoad,
    upstream::{
        CallOutcome,
        ListedUpstream, //
    },
    withdrawn::WithdrawnCounts,
};
