//! Subsetting: division of the upstreams and instances of a pool into groups, for the
//! `vanillakeel-entry` daemon.
//!
//! A large pool is divided into groups of about [`Settings::size`] upstreams, and the live
//! instances are spread evenly over the groups by their rank. An instance sends to its own group
//! and overflows to the others only when its own is full. State, load reports and share messages
//! therefore grow with the group and not with the pool. Instances that disagree on which of them are
//! live may compute different groups, which costs efficiency but not correctness.
//!
//! ```
//! use vanillakeel::subset;
//!
//! let settings = subset::Settings::default();
//! assert_eq!(subset::group_count(settings, 9, 7), 1);
//! assert_eq!(subset::group_count(settings, 120, 48), 10);
//! ```

/// Fewest instances per group, so that a group survives the loss of one.
const MIN_INSTANCES_PER_GROUP: usize = 2;

/// Settings of the division into groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Upstreams per group; zero puts all upstreams into one group.
    pub size: usize,
    /// Whether requests overflow to other groups when the own group is full.
    pub overflow: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            size: 12,
            overflow: true,
        }
    }
}

/// Returns the number of groups for a pool with `upstreams` upstreams and `instances` instances.
#[must_use]
pub fn group_count(settings: Settings, upstreams: usize, instances: usize) -> usize {
    let by_size = upstreams.checked_div(settings.size).unwrap_or(1);
    by_size.min(instances / MIN_INSTANCES_PER_GROUP).max(1)
}

/// Returns the group, of `group_count`, of the upstream or instance with rank `rank`.
#[must_use]
pub const fn group_of(rank: usize, group_count: usize) -> usize {
    rank % group_count
}
