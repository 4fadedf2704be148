//! Ranks of requests: by the tier of the workspace first, then by the order of the routes.
//!
//! Guards against preempted short questions in a burst of long drafts by workspaces of the same
//! tier; upstreams preempt the newest of the least urgent requests.

use rstest::rstest;
use vanillakeel::routes::{
    Route,
    Table,
    TableSpec,
    Workspace, //
};

/// Routes of a question, a review and a draft, with the priorities 0, 1 and 2.
fn routes() -> Vec<Route> {
    let priorities = [0, 1, 2];
    let route = |priority| Route {
        host: "a.example".into(),
        prefix: format!("/{priority}/"),
        priority,
        ..Route::default()
    };
    priorities.into_iter().map(route).collect()
}

fn workspace_with(priority: Option<u8>) -> Workspace {
    Workspace {
        keys: vec![format!("key-{priority:?}")],
        priority,
        ..Workspace::default()
    }
}

fn table(priorities: &[Option<u8>]) -> Table {
    Table::new(TableSpec {
        version: 1,
        routes: routes(),
        workspaces: Some(priorities.iter().copied().map(workspace_with).collect()),
        ..TableSpec::default()
    })
}

fn rank(table: &Table, workspace: Option<u8>, route: u8) -> u8 {
    let path = format!("/{route}/x");
    let route = table.find("a.example", &path).expect("route");
    table.rank(Some(&workspace_with(workspace)), route)
}

/// Guards against routes that share a rank or swap theirs within a tier although there is room.
#[test]
fn route_order() {
    let table = table(&[Some(0), Some(1)]);
    for tier in [Some(0), Some(1)] {
        let ranks = [0, 1, 2].map(|route| rank(&table, tier, route));
        assert!(ranks.is_sorted_by(|a, b| a < b), "tier {tier:?}: {ranks:?}");
    }
}

/// Guards against a request that ranks before one of a more urgent tier because of its route.
#[rstest]
#[case::two(&[Some(0), Some(1)])]
#[case::mixed(&[Some(1), None])]
#[case::many(&[Some(0), Some(1), Some(2), Some(5), Some(9)])]
fn tier_first(#[case] tiers: &[Option<u8>]) {
    let table = table(tiers);
    let mut given: Vec<_> = tiers.iter().flatten().copied().collect();
    given.sort_unstable();
    for pair in given.windows(2) {
        let last = rank(&table, Some(pair[0]), 2);
        let first = rank(&table, Some(pair[1]), 0);
        assert!(last < first, "tiers {pair:?}: {last}, {first}");
        assert!(first <= 9, "tiers {pair:?}: {first}");
    }
}

/// Without a priority of the workspace, the rank is the priority of the route.
#[test]
fn route_alone() {
    let table = table(&[None]);
    let ranks = [0, 1, 2].map(|route| rank(&table, None, route));
    assert_eq!(ranks, [0, 1, 2]);
}

/// While there is room, a rank equals the priority that the operator has set.
#[test]
fn given_number() {
    let table = Table::new(TableSpec {
        version: 1,
        routes: vec![routes().remove(1)],
        workspaces: Some([Some(3), Some(7)].into_iter().map(workspace_with).collect()),
        ..TableSpec::default()
    });
    let ranks = [Some(3), Some(7)].map(|tier| rank(&table, tier, 1));
    assert_eq!(ranks, [3, 7]);
}

/// With more tiers than ranks the order holds, and the last tiers share a rank.
#[test]
fn many_tiers() {
    let all: Vec<_> = (0..30).map(|n| Some(n * 8)).collect();
    let table = table(&all);
    let ranks: Vec<_> = all.iter().map(|p| rank(&table, *p, 2)).collect();
    assert!(ranks.is_sorted(), "{ranks:?}");
    assert_eq!((ranks[0], ranks[29]), (0, 9));
}

/// With as many tiers as ranks, each tier has one rank, which all of its routes share.
#[test]
fn shared_rank() {
    let all: Vec<_> = (0..10).map(Some).collect();
    let table = table(&all);
    let ranks: Vec<_> = (0..10).map(|p| rank(&table, Some(p), 2)).collect();
    assert_eq!(ranks, (0..10).collect::<Vec<u8>>());
}
