//! Traffic decisions of one instance of the `vanillakeel-entry` daemon.
//!
//! [`Router`] combines [admission](crate::admission), [routing](crate::routing),
//! [retries and hedging](crate::attempt) and [capacity shares](crate::share). It takes typed
//! events with the current time and produces typed [`Action`]s, which the embedding program takes
//! with [`Router::drain`] and carries out. The same events and seed give the same actions.
//!
//! ```
//! use vanillakeel::{router::{Action, Router, Settings}, Millis, Request};
//!
//! let mut router = Router::new("instance-1", 7, Settings::default());
//! router.set_upstream("pool", "runner-1", 16, "dc-1");
//! let req = Request { id: 1, pool: "pool".into(), ..Request::default() };
//! router.on_request(Millis::ZERO, req);
//! let actions: Vec<Action> = router.drain().collect();
//! assert!(matches!(&actions[0], Action::Send { request: 1, .. }));
//! ```

mod dispatch;
mod limits;
mod pending;
mod pool;
mod state;

pub use self::state::{
    Action,
    Counts,
    Router,
    Settings, //
};
