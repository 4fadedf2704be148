//! Membership view of the daemon `vanillakeel-entry`: which instances and upstreams are live.
//!
//! The pass-through daemon, `vanillakeel_entry::gateway`, uses [`mesh`](crate::mesh) for instances
//! and [`fleet`](crate::fleet) for upstreams instead, and shares only [`State`].
//!
//! A [`Membership`] merges the instance list, messages of peers and results of calls. Within one
//! generation, leaving is final whatever the source: a name that has left comes back only with a
//! greater generation. The last view is kept while the instance list is unavailable.
//!
//! ```
//! use vanillakeel::membership::{Kind, Member, Membership, State};
//!
//! let mut view = Membership::default();
//! let live = Member { name: "runner-1".into(), kind: Kind::Upstream, ..Member::default() };
//! view.merge(&live);
//! view.merge(&Member { state: State::Leaving, ..live.clone() });
//! assert!(!view.merge(&live));
//! assert!(view.is_leaving("runner-1"));
//! ```

use crate::Millis;
use std::sync::Arc;

/// Time after which a member is removed that the instance list no longer shows and that sends no
/// messages, in ms.
const DROP_AFTER_MS: u64 = 10_000;

/// The kind of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// An instance of this daemon.
    #[default]
    Entry,
    /// An upstream.
    Upstream,
}

/// Whether a member accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The member accepts new work.
    #[default]
    Live,
    /// The member accepts no new work and finishes what it has.
    Leaving,
}

/// An instance or upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique name.
    pub name: Arc<str>,
    /// Kind of the member.
    pub kind: Kind,
    /// Socket address, `IP:port`.
    pub address: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Increases with each start under the same name.
    pub generation: u64,
    /// Whether it accepts new work.
    pub state: State,
}

impl Default for Member {
    fn default() -> Self {
        Self {
            name: Arc::from(""),
            kind: Kind::Entry,
            address: Arc::from(""),
            data_centre: Arc::from(""),
            generation: 0,
            state: State::Live,
        }
    }
}

#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    last_listed: Option<Millis>,
    last_message: Option<Millis>,
}

/// The view that an instance has of all members.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Sorted by name.
    members: Vec<KnownMember>,
    list_received: Option<Millis>,
}

impl Membership {
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|k| (*k.member.name).cmp(name))
    }

    /// Merges a statement about a member from any source; returns whether the view has changed.
    pub fn merge(&mut self, member: &Member) -> bool {
        match self.find(&member.name) {
            Err(at) => {
                self.members.insert(
                    at,
                    KnownMember {
                        member: member.clone(),
                        last_listed: None,
                        last_message: None,
                    },
                );
                true
            }
            Ok(at) => {
                let known = &mut self.members[at].member;
                let is_newer = member.generation > known.generation;
                let leaves = member.generation == known.generation && member.state > known.state;
                if is_newer {
                    *known = member.clone();
                } else if leaves {
                    known.state = member.state;
                }
                is_newer || leaves
            }
        }
    }

    /// Applies a complete instance list; returns whether the view has changed.
    ///
    /// Members that the list no longer shows and that have sent no message are removed after a
    /// delay.
    pub fn on_list(&mut self, now: Millis, list: &[Member]) -> bool {
        self.list_received = Some(now);
        let mut has_changed = false;
        for member in list {
            has_changed |= self.merge(member);
            if let Ok(at) = self.find(&member.name) {
                self.members[at].last_listed = Some(now);
            }
        }
        let before = self.members.len();
        self.members.retain(|k| {
            let last = k.last_listed.max(k.last_message);
            last.is_some_and(|t| now.since(t) < DROP_AFTER_MS)
        });
        has_changed || self.members.len() != before
    }

    /// Records a message that came directly from a member.
    pub fn on_message(&mut self, now: Millis, name: &str) {
        if let Ok(at) = self.find(name) {
            self.members[at].last_message = Some(now);
        }
    }

    /// Marks a member as leaving; returns whether the view has changed.
    pub fn set_leaving(&mut self, name: &str) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let state = &mut self.members[at].member.state;
        std::mem::replace(state, State::Leaving) != State::Leaving
    }

    /// Returns whether a member is known and leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.find(name)
            .is_ok_and(|at| self.members[at].member.state == State::Leaving)
    }

    /// Returns all members in ascending order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|k| &k.member)
    }

    /// Returns the live members of a kind.
    pub fn live(&self, kind: Kind) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(move |m| m.kind == kind && m.state == State::Live)
    }

    /// Returns the leaving members, which peers have to learn of.
    pub fn leaving(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|m| m.state == State::Leaving)
    }

    /// Returns the time since the last instance list, in ms, or `None` without one.
    #[must_use]
    pub fn list_age_ms(&self, now: Millis) -> Option<u64> {
        self.list_received.map(|t| now.since(t))
    }
}
