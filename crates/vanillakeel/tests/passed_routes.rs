//! Lookup of routes by host and prefix, keys, and the age of the last confirmation.

use rstest::rstest;
use vanillakeel::{
    Millis,
    routes::{
        Freshness,
        InForce,
        Route,
        RouteKind,
        Table,
        TableSpec,
        WeightedService,
        Workspace, //
    },
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.to_owned(),
        ..Route::default()
    }
}

fn table(version: u64) -> Table {
    Table::new(TableSpec {
        version,
        routes: vec![
            route("b.example", "/"),
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
        ],
        workspaces: Some(vec![
            Workspace {
                name: "clerks".into(),
                keys: vec!["k1".to_owned(), "k2".to_owned()],
                priority: Some(1),
            },
            Workspace {
                name: "members".into(),
                keys: vec!["k3".to_owned()],
                priority: None,
            },
        ]),
        ..TableSpec::default()
    })
}

/// Guards against the route of another host, and against a shorter prefix than the longest match.
#[rstest]
#[case::short("a.example", "/x/1", Some("a.example/x/"))]
#[case::longest("a.example", "/x/y/1", Some("a.example/x/y/"))]
#[case::other_host("b.example", "/x/1", Some("b.example/"))]
#[case::no_slash("a.example", "/x", None)]
#[case::no_host("c.example", "/x/1", None)]
fn found_route(#[case] host: &str, #[case] path: &str, #[case] name: Option<&str>) {
    let table = table(1);
    assert_eq!(table.find(host, path).map(|r| &*r.name), name);
}

/// Guards against a key that is attributed to another workspace, or accepted although unknown.
#[rstest]
#[case("k1", Some("clerks"))]
#[case("k2", Some("clerks"))]
#[case("k3", Some("members"))]
#[case("k4", None)]
#[case("", None)]
fn key_holder(#[case] key: &str, #[case] workspace: Option<&str>) {
    let table = table(1);
    assert_eq!(table.workspace_of_key(key).map(|w| &*w.name), workspace);
}

/// Guards against a split of a route's requests that ignores the weights of its services.
#[test]
fn split_weights() {
    let weighted = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let route = Route {
        services: vec![weighted("new", 10), weighted("old", 90)],
        ..Route::default()
    };
    let count = (0..1_000)
        .filter(|sample| route.service_for(*sample).is_some_and(|s| **s == *"new"))
        .count();
    assert_eq!(count, 100);
}

/// Guards against a return to an older version, which a delayed read can bring.
#[test]
fn never_older() {
    let mut in_force = InForce::default();
    assert!(in_force.install(table(7)));
    assert!(!in_force.install(table(7)));
    assert!(!in_force.install(table(3)));
    assert!(in_force.install(table(12)));
    assert_eq!(in_force.table().map(|t| t.version()), Some(12));
}

/// Guards against accepting a revoked key: the confirmation counts from the time at which the
/// read was sent, not from the answer.
#[rstest]
#[case::fresh(999, true, true)]
#[case::no_denial(1_000, true, false)]
#[case::last_moment(3_999, true, false)]
#[case::stale(4_000, false, false)]
fn proof_age(#[case] age_ms: u64, #[case] keys: bool, #[case] denial: bool) {
    let mut in_force = InForce::new(Freshness {
        keys_ms: 4_000,
        version_ms: 1_000,
    });
    let sent_at = Millis::new(5_000);
    assert!(!in_force.may_use_keys(sent_at));
    in_force.confirm_newest(sent_at);
    // A confirmation of an earlier read that arrives later changes nothing.
    in_force.confirm_newest(sent_at.minus(1_000));
    let now = sent_at.plus(age_ms);
    assert_eq!(in_force.may_use_keys(now), keys);
    assert_eq!(in_force.may_deny(now), denial);
}

/// The life of streams follows from the resumable routes alone.
///
/// Guards against streams that are forgotten before their callers take them up.
#[test]
fn stream_life() {
    let of = |kind, timeout_ms| Route {
        kind,
        timeout_ms,
        ..route("a.example", "/x/")
    };
    let table = Table::new(TableSpec {
        routes: vec![
            of(RouteKind::Stream { resumable: true }, 3_000),
            of(RouteKind::Stream { resumable: true }, 8_000),
            of(RouteKind::Stream { resumable: false }, 15_000),
            of(RouteKind::Safe, 20_000),
        ],
        ..TableSpec::default()
    });
    assert_eq!(table.stream_life_ms(), 16_000);
}
