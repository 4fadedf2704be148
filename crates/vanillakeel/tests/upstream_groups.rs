//! Groups of upstreams, and requests that spill out of a full one.

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

fn names() -> Vec<String> {
    (0..INSTANCES).map(|n| format!("entry-{n}")).collect()
}

fn router(me: &str) -> Router {
    let mut router = Router::new(me, 1, Settings::default());
    for n in 0..UPSTREAMS {
        router.set_upstream("pool", &format!("runner-{n:02}"), 4, "dc");
    }
    router.set_peers(names().iter().map(String::as_str));
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

fn sent(router: &mut Router) -> Vec<(u64, String)> {
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
fn groups_cover_all() {
    let mut seen = BTreeSet::new();
    for name in names() {
        let mut router = router(&name);
        router.arrive(Millis::ZERO, req(1));
        let own: Vec<String> = (0..UPSTREAMS)
            .map(|n| format!("runner-{n:02}"))
            .filter(|u| router.is_own(u))
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
        router.arrive(Millis::ZERO, req(id));
    }
    for (_, upstream) in sent(&mut router) {
        assert!(router.is_own(&upstream), "{upstream}");
    }
}

/// Requests that go to other groups when their first tokens come after `ms`.
fn spilled(ms: u64) -> usize {
    let mut router = router("entry-0");
    let mut spilled = 0;
    for id in 1..=400 {
        router.arrive(Millis::ZERO, req(id));
        for (attempt, upstream) in sent(&mut router) {
            if !router.is_own(&upstream) {
                spilled += 1;
                router.on_first_token(Millis::new(ms), attempt);
            }
        }
    }
    spilled
}

#[test]
fn full_group_spills() {
    let spilled = spilled(20);
    assert!(spilled > 100, "{spilled}");
}

#[test]
fn late_first_tokens_stop_it() {
    let spilled = spilled(900);
    assert!(spilled <= 4, "{spilled}");
}

#[test]
fn group_that_leaves() {
    let mut router = router("entry-0");
    router.arrive(Millis::ZERO, req(1));
    sent(&mut router);
    for n in 0..UPSTREAMS {
        let name = format!("runner-{n:02}");
        if router.is_own(&name) && n % 4 == 0 {
            router.set_leaving(Millis::ZERO, &name, true);
        }
    }
    router.arrive(Millis::ZERO, req(2));
    assert_eq!(sent(&mut router).len(), 1);
}
