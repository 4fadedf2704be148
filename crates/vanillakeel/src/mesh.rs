//! What pass-through instances tell each other about load and what they have read from the log.
//!
//! In each data centre one instance is the hub, by rendezvous hashing over the known peers. The
//! others report their load to it; it answers with the load of all, with what it has read, and with
//! how fresh that is, so that only hubs have to read the log. Hubs of different data centres
//! exchange their totals. Two hubs at once, or none, cost efficiency only: an instance that is not
//! answered asks the next one and reads the log itself meanwhile.
//!
//! ```
//! use vanillakeel::{Millis, mesh::{Mesh, Peer, Settings}};
//!
//! let me = Peer { name: "a".into(), data_centre: "dc-1".into(), ..Peer::default() };
//! let mut mesh = Mesh::new(me, Settings::default());
//! assert!(mesh.is_hub(Millis::ZERO));
//! assert!(mesh.hub(Millis::ZERO).is_none());
//! ```

mod loads;
mod state;

pub use self::{
    loads::{
        Load,
        Loads, //
    },
    state::{
        Mesh,
        Peer,
        Settings,
        Summary, //
    },
};
