//! Ranks of requests at an upstream, derived from the priorities of workspaces and routes.

use crate::fleet::RANK_COUNT;

/// The ranks of one version of the routing configuration.
///
/// The priority of a workspace takes precedence over that of a route. Requests of workspaces with
/// the same priority keep the order of their routes, so that a short question is not preempted in
/// favour of a long draft only because both workspaces are in the same tier. The most urgent route
/// of a tier has the tier's priority as its rank while there is room. If there are more
/// combinations than ranks, the least urgent routes of a tier share one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RankTable {
    /// Sorted by priority.
    tiers: Vec<Tier>,
}

/// The requests with the same priority, taken from the workspace or else from the route.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Tier {
    priority: u8,
    /// Priorities of the routes, sorted.
    routes: Vec<u8>,
    /// Rank of the most urgent route.
    first_rank: usize,
    /// Number of ranks of the tier.
    rank_count: usize,
}

impl RankTable {
    /// Assigns ranks for the priorities of workspaces and routes.
    ///
    /// `None` stands for a workspace whose requests take the priority of the route.
    pub(super) fn new(workspaces: &[Option<u8>], routes: &[u8]) -> Self {
        let mut tiers: Vec<_> = pairs(workspaces, routes)
            .chunk_by(|a, b| a.0 == b.0)
            .map(|tier| Tier {
                priority: tier[0].0,
                routes: tier.iter().map(|pair| pair.1).collect(),
                first_rank: 0,
                rank_count: 1,
            })
            .collect();
        assign_ranks(&mut tiers);
        Self { tiers }
    }

    /// Returns the rank of a request from the priorities of its workspace and its route.
    pub(super) fn rank(&self, workspace: Option<u8>, route: u8) -> u8 {
        let priority = workspace.unwrap_or(route);
        let at = self.tiers.partition_point(|t| t.priority < priority);
        let rank = self.tiers.get(at).map_or(RANK_COUNT, |tier| {
            let index = tier.routes.partition_point(|r| *r < route);
            tier.first_rank + index.min(tier.rank_count - 1)
        });
        rank.min(RANK_COUNT - 1) as u8
    }
}

/// Returns all pairs of a tier's and a route's priority that requests can have, sorted.
fn pairs(workspaces: &[Option<u8>], routes: &[u8]) -> Vec<(u8, u8)> {
    let routes = distinct(routes.iter().copied());
    let own = distinct(workspaces.iter().flatten().copied());
    let mut pairs: Vec<_> = routes.iter().map(|route| (*route, *route)).collect();
    for priority in own {
        pairs.extend(routes.iter().map(|route| (priority, *route)));
    }
    distinct(pairs.into_iter())
}

fn distinct<T: Ord>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut sorted: Vec<T> = values.collect();
    sorted.sort_unstable();
    sorted.dedup();
    sorted
}

/// Assigns ranks to all tiers in order, and leaves enough for those that follow.
fn assign_ranks(tiers: &mut [Tier]) {
    let taken = |max_per_tier: usize| -> usize {
        tiers.iter().map(|t| t.routes.len().min(max_per_tier)).sum()
    };
    let max_per_tier = (1..=RANK_COUNT)
        .rev()
        .find(|max_per_tier| taken(*max_per_tier) <= RANK_COUNT);
    let max_per_tier = max_per_tier.unwrap_or(1);
    let mut left = taken(max_per_tier);
    let mut end = 0;
    for tier in tiers {
        let room = RANK_COUNT.saturating_sub(left);
        tier.first_rank = usize::from(tier.priority).min(room).max(end);
        tier.rank_count = tier.routes.len().min(max_per_tier);
        end = tier.first_rank + tier.rank_count;
        left -= tier.rank_count;
    }
}
