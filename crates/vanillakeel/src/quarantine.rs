//! Requests and prompt segments that crash upstreams, and what is refused for them.
//!
//! An upstream may crash whenever it begins to run some request, or to answer a prompt that holds some segment,
//! whatever else the prompt holds. Retries and further requests then take one upstream after the other down. A
//! [`Quarantine`] finds such a [`Subject`] from crashes and successes and says which requests have to be refused:
//!
//! - Each crash names its suspects: the requests that ran there and had not been answered for a while, and their
//!   shared segments. Some of them ran there by chance.
//! - A success with a subject speaks for it: crashes before it no longer count.
//! - A subject is blamed for several crashes without a success in between, the one with the most crashes
//!   first; crashes that a blamed subject explains do not count against others. Crashes at almost the same
//!   time, as of a rack, count as one.
//!
//! Instances exchange [`Evidence`], so that they blame the same subject although each of them sees only some
//! of the requests. It is refused for as long as it is asked for, and some time beyond; a request that was
//! already running and succeeds lifts the quarantine.
//!
//! ```
//! use vanillakeel::{Millis, quarantine::{Quarantine, Settings, Subject}};
//!
//! let bad = Subject::Segment(0xbad);
//! let mut quarantine = Quarantine::new(Settings::default());
//! for (crash, second) in [(7, 1), (8, 2), (9, 3)] {
//!     let suspects = [bad, Subject::Segment(crash)];
//!     quarantine.on_crash(Millis::new(second * 1_000), crash, &suspects);
//! }
//! let refused = quarantine.refuse(Millis::new(3_500), &[bad, Subject::Segment(1)]);
//! assert_eq!(refused.map(|r| r.subject), Some(bad));
//! assert!(quarantine.refuse(Millis::new(3_500), &[Subject::Segment(7)]).is_none());
//! ```

mod crash;
mod evidence;
mod judgement;
mod settings;
mod sound;
mod state;
mod subject;

pub use self::{
    evidence::{
        BlamedSubject,
        CrashReport,
        Evidence,
        SoundSubject, //
    },
    settings::{
        SUSPECT_TTL_MS,
        Settings, //
    },
    state::{
        Change,
        Quarantine,
        Refused, //
    },
    subject::{
        Subject,
        UnknownSubject,
        request_digest, //
    },
};
