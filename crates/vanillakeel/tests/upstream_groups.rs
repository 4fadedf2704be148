//! Division of a pool into groups, and overflow of requests out of a full group.
//!
//! Guards against upstreams that belong to no instance's group, against requests that leave their
//! group although it has room, against idle capacity next to a full group, and against overflow that
//! slows the other groups down.

use std::collections::BTreeSet;
use vanillakeel::{
    Millis, Request, Router,
    router::{
        Action,
        Settings, //
    },
};

const UPSTREAMS: usize = 48;
const INSTANCES: usize = 8;

fn instance_names() -> Vec<String> {
    (0..INSTANCES).map(|n| format!("entry-{n}")).collect()
}

fn router(me: &str) -> Router {
    let mut router = Router::new(me, 1, Settings::default());
    for n in 0..UPSTREAMS {
        router.set_upstream("pool", &format!("runner-{n:02}"), 4, "dc");
    }
    router.set_peers(instance_names().iter().map(String::as_str));
    router
}

fn req(id: u64) -> Request {
    Request {
        id,
        pool: "pool".into(),
        due: Millis::new(1_700),
        deadline: Millis::new(30_000),
        ..Request::default()
    }
}

fn drain_sends(router: &mut Router) -> Vec<(u64, String)> {
    router
        .drain()
        .filter_map(|a| match a {
            Action::Send {
                attempt, upstream, ..
            } => Some((attempt, upstream.to_string())),
            _ => None,
        })
        .collect()
}

#[test]
fn groups_cover_all_upstreams() {
    let mut seen = BTreeSet::new();
    for name in instance_names() {
        let mut router = router(&name);
        router.on_request(Millis::ZERO, req(1));
        let own: Vec<String> = (0..UPSTREAMS)
            .map(|n| format!("runner-{n:02}"))
            .filter(|u| router.is_in_own_group(u))
            .collect();
        assert_eq!(own.len(), 12);
        seen.extend(own);
    }
    assert_eq!(seen.len(), UPSTREAMS);
}

#[test]
fn own_group_first() {
    let mut router = router("entry-0");
    for id in 1..=10 {
        router.on_request(Millis::ZERO, req(id));
    }
    for (_, upstream) in drain_sends(&mut router) {
        assert!(router.is_in_own_group(&upstream), "{upstream}");
    }
}

/// Returns how many requests overflow to other groups when their first tokens take `ms`.
fn overflowed(ms: u64) -> usize {
    let mut router = router("entry-0");
    let mut overflowed = 0;
    for id in 1..=400 {
        router.on_request(Millis::ZERO, req(id));
        for (attempt, upstream) in drain_sends(&mut router) {
            if !router.is_in_own_group(&upstream) {
                overflowed += 1;
                router.on_first_token(Millis::new(ms), attempt);
            }
        }
    }
    overflowed
}

#[test]
fn full_group_overflows() {
    let overflowed = overflowed(20);
    assert!(overflowed > 100, "{overflowed}");
}

#[test]
fn late_first_tokens_stop_overflow() {
    let overflowed = overflowed(900);
    assert!(overflowed <= 4, "{overflowed}");
}

/// If all upstreams of the own group are leaving, requests go to the others and do not wait.
#[test]
fn leaving_group_replaced() {
    let mut router = router("entry-0");
    router.on_request(Millis::ZERO, req(1));
    drain_sends(&mut router);
    // Once the whole group is leaving, all upstreams count as the own group; `n % 4 == 0` keeps the
    // upstreams of the other groups from leaving too.
    for n in 0..UPSTREAMS {
        let name = format!("runner-{n:02}");
        if router.is_in_own_group(&name) && n % 4 == 0 {
            router.set_leaving(Millis::ZERO, &name, true);
        }
    }
    router.on_request(Millis::ZERO, req(2));
    assert_eq!(drain_sends(&mut router).len(), 1);
}
