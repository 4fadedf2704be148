//! Upstreams found by discovery, and the choice among them for requests that are passed through.
//!
//! A [`Fleet`] knows the upstreams of all services by name and incarnation. [`Fleet::choose`] picks
//! the one with the least [cost](choose): what is in flight there, what of the prompt it has not
//! read yet, and how far away it is. [`Fleet::on_send`], [`Fleet::on_first`] and [`Fleet::on_end`]
//! tell it how a call went.
//!
//! ```
//! use vanillakeel::{Millis, fleet::{Ask, Fleet, Listed, Settings}};
//!
//! let mut fleet = Fleet::new(Settings::default(), 1);
//! fleet.on_listed(&Listed { name: "u-1".into(), service: "deeds".into(), ..Listed::default() });
//! let ask = Ask { service: "deeds", ..Ask::default() };
//! let pick = fleet.choose(Millis::ZERO, &ask);
//! assert_eq!(pick.map(|p| p.name.to_string()), Some("u-1".to_owned()));
//! ```

mod admit;
mod cached;
pub mod choose;
mod state;
mod upstream;

pub(crate) use self::upstream::RANKS;
pub use self::{
    choose::{
        Ask,
        Part,
        Pick, //
    },
    state::{
        Fleet,
        Read,
        Settings,
        Ticket, //
    },
    upstream::{
        End,
        Listed, //
    },
};
