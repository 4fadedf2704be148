//! Ranks of requests at an upstream, from the priorities of workspaces and routes.

use crate::fleet::RANKS;

/// Ranks of one version of the routing configuration.
///
/// The priority of a workspace goes before the one of a route. Requests of workspaces with the same
/// priority keep the order of their routes, so that a short question doesn't make way for a long
/// draft only because both belong to workspaces of one tier. The most urgent route of a tier has the
/// tier's priority as its rank while there is room; where there are more combinations than ranks, the
/// least urgent routes of a tier share one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Ranks {
    /// Sorted by priority.
    tiers: Vec<Tier>,
}

/// What has the same priority, by its workspace or else by its route.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Tier {
    priority: u8,
    /// Sorted priorities of the routes.
    routes: Vec<u8>,
    /// Rank of the most urgent route.
    first: usize,
    /// Ranks that the tier takes.
    len: usize,
}

impl Ranks {
    /// Builds the ranks for the priorities of workspaces, `None` where the route decides, and those
    /// of routes.
    pub(super) fn new(workspaces: &[Option<u8>], routes: &[u8]) -> Self {
        let mut tiers: Vec<_> = pairs(workspaces, routes)
            .chunk_by(|a, b| a.0 == b.0)
            .map(|tier| Tier {
                priority: tier[0].0,
                routes: tier.iter().map(|pair| pair.1).collect(),
                first: 0,
                len: 1,
            })
            .collect();
        place(&mut tiers);
        Self { tiers }
    }

    /// Rank of a request by the priorities of its workspace and its route.
    pub(super) fn rank(&self, workspace: Option<u8>, route: u8) -> u8 {
        let priority = workspace.unwrap_or(route);
        let at = self.tiers.partition_point(|t| t.priority < priority);
        let rank = self.tiers.get(at).map_or(RANKS, |tier| {
            let place = tier.routes.partition_point(|r| *r < route);
            tier.first + place.min(tier.len - 1)
        });
        rank.min(RANKS - 1) as u8
    }
}

/// All pairs of a tier's and a route's priority that requests may have, sorted.
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

/// Gives each tier its ranks, so that all of them have room.
fn place(tiers: &mut [Tier]) {
    let taken = |most: usize| -> usize { tiers.iter().map(|t| t.routes.len().min(most)).sum() };
    let most = (1..=RANKS).rev().find(|most| taken(*most) <= RANKS);
    let most = most.unwrap_or(1);
    let mut left = taken(most);
    let mut end = 0;
    for tier in tiers {
        let room = RANKS.saturating_sub(left);
        tier.first = usize::from(tier.priority).min(room).max(end);
        tier.len = tier.routes.len().min(most);
        end = tier.first + tier.len;
        left -= tier.len;
    }
}
