//! Upstreams that discovery shows, and what members are told of their changes.

use super::{
    Shared,
    UpstreamChange, //
};
use vanillakeel::fleet::ListedUpstream;

/// Time for which a hub repeats the change of an upstream to its members, in ms.
///
/// The repetition makes up for lost datagrams.
const CHANGE_ANNOUNCED_MS: u64 = 3_000;

impl Shared {
    /// Adds an upstream of the first list that this process has read, which is no change to tell of.
    pub(in super::super) fn on_first_listed(&self, listed: &ListedUpstream) -> bool {
        self.fleet.borrow_mut().on_listed(listed)
    }

    /// Adds or updates an upstream that discovery shows; returns whether anything has changed.
    ///
    /// `shown_by` is the instance that has told of it, or [`OWN_READ`].
    pub(in super::super) fn on_listed(&self, listed: &ListedUpstream, shown_by: &str) -> bool {
        let has_changed = self.fleet.borrow_mut().on_listed(listed);
        if has_changed {
            tracing::info!(
                upstream = %listed.name,
                service = %listed.service,
                incarnation = listed.incarnation,
                state = ?listed.state,
                software = listed.software.as_deref(),
                shown_by,
                "upstream listed"
            );
            self.record_change(listed.clone(), false);
        }
        has_changed
    }

    /// Removes an upstream that discovery no longer shows, by the word of the same instances.
    pub(in super::super) fn on_removed(&self, name: &str, shown_by: &str) {
        let listed = self
            .fleet
            .borrow()
            .iter()
            .find(|u| *u.name == *name)
            .cloned();
        if let Some(listed) = listed {
            let now = self.clock.now();
            self.fleet.borrow_mut().on_removed(now, name);
            tracing::info!(upstream = name, shown_by, "upstream gone");
            self.removed_upstreams.borrow_mut().on_removed(now, &listed);
            self.record_change(listed, true);
        }
    }

    /// Stores a change that members have to learn, and drops those that are old.
    fn record_change(&self, listed: ListedUpstream, is_removed: bool) {
        let now = self.clock.now();
        let mut recent_changes = self.recent_changes.borrow_mut();
        // Only the last change of an upstream is sent, so that applying it twice does no harm.
        recent_changes
            .retain(|(at, c)| now.since(*at) < CHANGE_ANNOUNCED_MS && c.listed.name != listed.name);
        recent_changes.push((now, UpstreamChange { listed, is_removed }));
    }
}
