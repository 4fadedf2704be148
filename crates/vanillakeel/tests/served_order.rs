//! Order of service, load shedding and expiry of the admission queue.

use rstest::rstest;
use vanillakeel::{
    Millis, Request,
    admission::{
        Admission,
        Queue,
        Settings, //
    },
};

fn request(id: u64, tier: u8, due: u64) -> Request {
    Request {
        id,
        tier,
        due: Millis::new(due),
        protected: tier == 0,
        ..Request::default()
    }
}

fn queue(limit: usize) -> Queue {
    Queue::new(Settings {
        limit,
        ..Settings::default()
    })
}

fn drain_ids(queue: &mut Queue, now: u64) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(Millis::new(now), 1))
        .map(|req| req.id)
        .collect()
}

/// Guards the order of service: tiers first, then latest start times, and requests that can't meet
/// their target behind those that can.
#[rstest]
#[case::tiers(&[(1, 2, 900), (2, 0, 900), (3, 1, 900)], 0, &[2, 3, 1])]
#[case::due_first(&[(1, 1, 900), (2, 1, 500), (3, 1, 700)], 0, &[2, 3, 1])]
#[case::late_behind(&[(1, 1, 100), (2, 1, 500), (3, 1, 700), (4, 1, 800), (5, 1, 900)], 200, &[2, 3, 5, 4, 1])]
#[case::all_late(&[(1, 1, 100), (2, 1, 50)], 200, &[2, 1])]
fn order_of_service(
    #[case] waiting: &[(u64, u8, u64)],
    #[case] now: u64,
    #[case] expected: &[u64],
) {
    let mut queue = queue(10);
    for (id, tier, due) in waiting {
        queue.push(Millis::ZERO, request(*id, *tier, *due));
    }
    assert_eq!(drain_ids(&mut queue, now), expected);
}

/// Guards against shedding the wrong request of a full queue of three: only lower tiers lose
/// requests, and the first request of each lower tier has a guaranteed place.
#[rstest]
#[case::lowest_loses(&[0, 3, 3], 1, Some(3), false)]
#[case::lower_only(&[1, 1, 1], 1, None, true)]
#[case::nothing_lower_to_shed(&[0, 0, 0], 0, None, true)]
#[case::first_of_a_tier_guaranteed(&[0, 0, 0], 3, None, false)]
fn full_queue(
    #[case] waiting: &[u8],
    #[case] tier: u8,
    #[case] shed: Option<u64>,
    #[case] is_refused: bool,
) {
    let mut queue = queue(3);
    for (id, tier) in (1..).zip(waiting) {
        queue.push(Millis::ZERO, request(id, *tier, 1_000));
    }
    match queue.push(Millis::ZERO, request(9, tier, 1_000)) {
        Admission::Refused(_) => assert!(is_refused),
        Admission::Queued { shed: lost } => {
            assert!(!is_refused);
            assert_eq!(lost.map(|r| r.id), shed);
        }
    }
}

/// Guards against starvation: under a constant load of the highest tier, the lowest one still gets
/// its reserved turns.
#[test]
fn lowest_tier_gets_turns() {
    let mut queue = queue(1_000);
    queue.push(Millis::ZERO, request(1_000, 4, 90_000));
    for id in 0..100 {
        queue.push(Millis::ZERO, request(id, 0, 90_000));
    }
    let turns = drain_ids(&mut queue, 10_000);
    let place = turns.iter().position(|id| *id == 1_000);
    assert!(place.is_some_and(|p| p < 20), "{place:?}");
}

/// Guards against a workspace with many requests delaying those of a workspace with few.
#[test]
fn workspaces_share_fairly() {
    let mut queue = queue(1_000);
    for id in 0..60 {
        let workspace = if id < 50 { "large" } else { "small" };
        let req = Request {
            workspace: workspace.into(),
            ..request(id, 1, 1_000 + id)
        };
        queue.push(Millis::ZERO, req);
    }
    let first: Vec<u64> = (0..20)
        .filter_map(|_| queue.pop(Millis::ZERO, 1_000))
        .map(|r| r.id)
        .collect();
    let small = first.iter().filter(|id| **id >= 50).count();
    assert!(small >= 8, "{first:?}");
}

/// Guards against requests that stay in the queue after their deadline.
#[test]
fn deadlines_expire() {
    let mut queue = queue(10);
    for id in 0..3 {
        let deadline = Millis::new(100 * (id + 1));
        queue.push(
            Millis::ZERO,
            Request {
                deadline,
                ..request(id, 1, 50)
            },
        );
    }
    assert_eq!(queue.next_deadline(), Some(Millis::new(100)));
    assert_eq!(queue.expire(Millis::new(200)).len(), 2);
    assert_eq!(queue.len(), 1);
}
