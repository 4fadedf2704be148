//! Division of a quantity over the instances that may be alive, without a coordinator.
//!
//! Three limits hold for all instances together: the retry budget, the connections to an upstream and the
//! rate that an upstream [names](crate::rate_limits). Each instance works out its own part:
//!
//! - [`equal_part`] and [`whole_part`] give each of them the same. They suit quantities that are large
//!   compared with the number of instances.
//! - [`Roster::rate_part`] gives a rate to a few of them only, so that the part of each is about one request a
//!   second or more. All instances with the same roster work out the same ones by rendezvous hashing.
//!
//! An instance that is not heard may be cut off and use its part all the same. It therefore keeps it for some
//! time. One that starts knows the others from their list.
//!
//! ```
//! use vanillakeel::{division::{self, Roster, Settings}, rate_limits::Rate};
//!
//! assert_eq!(division::equal_part(50.0, Some(4)), 12.5);
//! assert_eq!(division::whole_part(64, Some(5), 16), 12);
//!
//! let mut roster = Roster::new("a", Settings::default());
//! roster.on_list_read();
//! let rate = Rate::parse("1.9").expect("a rate");
//! let part = roster.rate_part(7, rate);
//! assert_eq!(part.per_second, 1.9);
//! ```

mod roster;

pub use self::roster::{
    RatePart,
    Roster,
    Scope,
    Settings,
    instance_id, //
};

/// Returns the part of each of `instances`; nothing while their number is not known.
#[must_use]
pub fn equal_part(quantity: f64, instances: Option<u32>) -> f64 {
    instances.map_or(0.0, |n| quantity / f64::from(n.max(1)))
}

/// Returns the part of each of `instances`, or of `assumed` ones while their number is not known; one at
/// least.
#[must_use]
pub fn whole_part(count: u32, instances: Option<u32>, assumed: u32) -> u32 {
    let instances = instances.unwrap_or(assumed).max(1);
    (count / instances).max(1)
}
