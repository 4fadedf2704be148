//! Rate limits that upstreams name in their answers.
//!
//! An upstream in need names the requests a second that it takes from all instances together, for as long as
//! its answers say so.
//!
//! ```
//! use vanillakeel::rate_limits::Rate;
//!
//! let rate = Rate::parse("2.5").expect("a decimal number");
//! assert_eq!(rate.per_second(), 2.5);
//! ```

mod rate;

pub use self::rate::{
    BadRate,
    Rate, //
};
