//! Prompt segments that crash upstreams, and the requests that are refused for them.
//!
//! An upstream may crash whenever it answers a prompt that holds some segment, whatever else the prompt
//! holds. Retries and further requests then take one upstream after the other down. A [`Quarantine`] finds
//! the segment from crashes and successes and says which requests have to be refused:
//!
//! - Each crash names its suspects: the shared segments of the requests that ran there and had not been
//!   answered for a while. Requests that ran there by chance are among them.
//! - A success with a segment speaks for it: crashes before it no longer count.
//! - A segment is blamed for several crashes without a success in between, the one with the most crashes
//!   first; crashes that a blamed segment explains do not count against others. Crashes at almost the same
//!   time, as of a rack, count as one.
//!
//! Instances exchange [`Evidence`], so that they blame the same segment although each of them sees only some
//! of the requests. A blamed segment is refused for as long as it is asked for, and some time beyond; a
//! request that was already running and succeeds lifts the quarantine.
//!
//! ```
//! use vanillakeel::{Millis, quarantine::{Quarantine, Settings}};
//!
//! let mut quarantine = Quarantine::new(Settings::default());
//! for (crash, second) in [(7, 1), (8, 2), (9, 3)] {
//!     quarantine.on_crash(Millis::new(second * 1_000), crash, &[0xbad, crash]);
//! }
//! let refused = quarantine.refuse(Millis::new(3_500), &[0xbad, 1]);
//! assert_eq!(refused.map(|r| r.segment), Some(0xbad));
//! assert!(quarantine.refuse(Millis::new(3_500), &[7, 1]).is_none());
//! ```

mod evidence;
mod sound;
mod state;

pub use self::{
    evidence::{
        BlamedSegment,
        CrashReport,
        Evidence,
        SoundSegment, //
    },
    state::{
        Change,
        Quarantine,
        Refused,
        Settings, //
    },
};
