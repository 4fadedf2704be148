//! Which instances and upstreams are live, from the instance list, peers and calls.
//!
//! Leaving wins over live from any source and for good: a name that has left comes back only with
//! a greater generation. When the instance list is silent the last view is kept.
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

/// A member that a fresh list no longer shows is dropped after this long, in ms.
const DROP_AFTER_MS: u64 = 10_000;

/// What a member is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// An entry instance of the system.
    #[default]
    Entry,
    /// An upstream.
    Upstream,
}

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It takes new work.
    #[default]
    Live,
    /// It takes no new work and ends what it has.
    Leaving,
}

/// An instance or upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Unique name.
    pub name: Arc<str>,
    /// What it is.
    pub kind: Kind,
    /// Socket address, `IP:port`.
    pub address: Arc<str>,
    /// The data centre it stands in.
    pub data_centre: Arc<str>,
    /// Grows with each start under the same name.
    pub generation: u64,
    /// Whether it takes new work.
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
struct Known {
    member: Member,
    listed: Option<Millis>,
    heard: Option<Millis>,
}

/// What an instance knows of the others, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    sorted: Vec<Known>,
    last_list: Option<Millis>,
}

impl Membership {
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.sorted.binary_search_by(|k| (*k.member.name).cmp(name))
    }

    /// Merges what some source says of a member; returns whether the view has changed.
    pub fn merge(&mut self, member: &Member) -> bool {
        match self.find(&member.name) {
            Err(at) => {
                self.sorted.insert(
                    at,
                    Known {
                        member: member.clone(),
                        listed: None,
                        heard: None,
                    },
                );
                true
            }
            Ok(at) => {
                let known = &mut self.sorted[at].member;
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

    /// Takes a whole instance list; returns whether the view has changed.
    ///
    /// Members that the list no longer shows and that have not been heard of are dropped a while
    /// after.
    pub fn on_list(&mut self, now: Millis, list: &[Member]) -> bool {
        self.last_list = Some(now);
        let mut has_changed = false;
        for member in list {
            has_changed |= self.merge(member);
            if let Ok(at) = self.find(&member.name) {
                self.sorted[at].listed = Some(now);
            }
        }
        let before = self.sorted.len();
        self.sorted.retain(|k| {
            let last = k.listed.max(k.heard);
            last.is_some_and(|t| now.since(t) < DROP_AFTER_MS)
        });
        has_changed || self.sorted.len() != before
    }

    /// Takes a sign of life of a member, straight from it.
    pub fn on_heard(&mut self, now: Millis, name: &str) {
        if let Ok(at) = self.find(name) {
            self.sorted[at].heard = Some(now);
        }
    }

    /// Marks a member as leaving; returns whether the view has changed.
    pub fn set_leaving(&mut self, name: &str) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let state = &mut self.sorted[at].member.state;
        std::mem::replace(state, State::Leaving) != State::Leaving
    }

    /// Whether a member is known and leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.find(name)
            .is_ok_and(|at| self.sorted[at].member.state == State::Leaving)
    }

    /// All members in ascending order of name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.sorted.iter().map(|k| &k.member)
    }

    /// Live members of a kind.
    pub fn live(&self, kind: Kind) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(move |m| m.kind == kind && m.state == State::Live)
    }

    /// Members that are leaving, which peers should hear of.
    pub fn leaving(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|m| m.state == State::Leaving)
    }

    /// Time since the last instance list, in ms.
    #[must_use]
    pub fn list_age_ms(&self, now: Millis) -> Option<u64> {
        self.last_list.map(|t| now.since(t))
    }
}
