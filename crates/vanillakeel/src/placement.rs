//! Which upstream should hold which model, and the orders that lead there.
//!
//! [`needs`] works out from the text and the time how many upstreams have to hold each service's
//! model and by when; a service inherits the earliest due time of what depends on it.
//! [`Placement::reconcile`] compares that with what upstreams report and returns orders. It is
//! level-triggered: the same inputs give the same orders, however often it is called.
//!
//! ```
//! use vanillakeel::{placement, Config};
//!
//! let text = Config::default();
//! assert!(placement::needs(&text, 0, placement::LEAD_MS).is_empty());
//! ```

mod need;
mod reconcile;

pub use self::{
    need::{
        LEAD_MS,
        Need,
        needs, //
    },
    reconcile::{
        Change,
        Observed,
        Order,
        Placement,
        Risk,
        Settings, //
    },
};
