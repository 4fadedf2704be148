//! Rate limits that upstreams name in their answers.
//!
//! An upstream in need names the requests a second that it takes from all instances together, for as long as
//! its answers say so. A [`RateLimit`] is what one instance knows of one upstream:
//!
//! - The head of each answer names a rate or none. Answers overtake each other, so what an answer says counts
//!   as later only if its request was sent after the other answer had arrived. Of two whose order is unclear
//!   the lower rate holds.
//! - Instances tell each other what they have seen, by ages ([`ToldRate`]), so that an instance knows a limit
//!   before an answer has told it, and learns its end without asking.
//! - The rate is [divided](crate::division) over the instances, and a token bucket holds each of them to its
//!   part. It starts empty, and holds one and a half requests.
//!
//! ```
//! use vanillakeel::{Millis, division::RatePart, rate_limits::{Rate, RateLimit}};
//!
//! let mut limit = RateLimit::new(7);
//! let now = Millis::new(1_000);
//! limit.on_answer(now, Millis::new(900), Rate::parse("2").ok());
//! limit.set_part(now, RatePart { per_second: 2.0, holders: 1, instances: 1 });
//! assert!(!limit.has_room(now));
//! assert!(limit.has_room(now.plus(500)));
//! ```

mod bucket;
mod observation;
mod rate;
mod state;

pub use self::{
    rate::{
        BadRate,
        Rate, //
    },
    state::{
        RateChange,
        RateLimit,
        RateTotals,
        ToldRate,
        told_rates, //
    },
};
