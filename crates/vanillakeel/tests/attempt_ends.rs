//! What follows the end of an attempt, as a table of endings.

use rstest::rstest;
use vanillakeel::{
    Millis, Reason, Request, Router, Verdict,
    attempt::End,
    router::{
        Action,
        Settings, //
    },
};

const POOL: &str = "pool";

fn router(upstreams: usize) -> Router {
    let mut router = Router::new("a", 1, Settings::default());
    for n in 0..upstreams {
        router.set_upstream(POOL, &format!("runner-{n}"), 16, "dc");
    }
    router
}

fn req(id: u64, is_idempotent: bool) -> Request {
    Request {
        id,
        pool: POOL.into(),
        idempotent: is_idempotent,
        due: Millis::new(1_000),
        deadline: Millis::new(20_000),
        ..Request::default()
    }
}

/// The attempt and the upstream of the only send.
fn sent(actions: &[Action]) -> Option<(u64, String, u32)> {
    actions.iter().find_map(|a| match a {
        Action::Send {
            attempt,
            upstream,
            resume_from,
            ..
        } => Some((*attempt, upstream.to_string(), *resume_from)),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> Option<(Verdict, Reason)> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { refusal, .. } => Some((refusal.verdict, refusal.reason)),
        _ => None,
    })
}

const NOT_RUN: End = End::Failed {
    verdict: Verdict::NotRun,
    delivered: 0,
};
const BROKEN: End = End::Failed {
    verdict: Verdict::MayHaveRun,
    delivered: 0,
};
const BROKEN_LATER: End = End::Failed {
    verdict: Verdict::MayHaveRun,
    delivered: 7,
};

#[rstest]
#[case::refused_connection(true, NOT_RUN, Ok(0))]
#[case::refused_connection_once_only(false, NOT_RUN, Ok(0))]
#[case::busy(false, End::Busy, Ok(0))]
#[case::broken(true, BROKEN, Ok(0))]
#[case::broken_once_only(false, BROKEN, Err((Verdict::MayHaveRun, Reason::UpstreamFailed)))]
#[case::broken_stream(true, BROKEN_LATER, Ok(7))]
#[case::broken_stream_once_only(false, BROKEN_LATER, Err((Verdict::MayHaveRun, Reason::UpstreamFailed)))]
fn after_end(
    #[case] is_idempotent: bool,
    #[case] end: End,
    #[case] expected: Result<u32, (Verdict, Reason)>,
) {
    let mut router = router(2);
    router.arrive(Millis::ZERO, req(1, is_idempotent));
    let first = sent(&router.drain().collect::<Vec<_>>()).expect("sent");
    router.on_end(Millis::new(10), first.0, end);
    let actions: Vec<Action> = router.drain().collect();
    match expected {
        Ok(resume_from) => {
            let second = sent(&actions).expect("sent again");
            assert_ne!(second.1, first.1);
            assert_eq!(second.2, resume_from);
        }
        Err(refusal) => assert_eq!(refused(&actions), Some(refusal)),
    }
}

#[rstest]
#[case::waiting(0, Verdict::NotRun, Reason::NoUpstream)]
fn nothing_to_send_to(#[case] upstreams: usize, #[case] verdict: Verdict, #[case] reason: Reason) {
    let mut router = router(upstreams);
    router.arrive(Millis::ZERO, req(1, true));
    let actions: Vec<Action> = router.drain().collect();
    assert_eq!(refused(&actions), Some((verdict, reason)));
}

#[test]
fn never_sent_past_deadline() {
    let mut router = router(1);
    router.arrive(Millis::new(20_000), req(1, true));
    let actions: Vec<Action> = router.drain().collect();
    let expected = (Verdict::NotRun, Reason::DeadlineBeforeSend);
    assert_eq!(refused(&actions), Some(expected));
    assert_eq!(sent(&actions), None);
}

#[test]
fn late_events_dropped() {
    let mut router = router(2);
    router.arrive(Millis::ZERO, req(1, true));
    let (attempt, ..) = sent(&router.drain().collect::<Vec<_>>()).expect("sent");
    router.on_end(Millis::new(5), attempt, BROKEN);
    assert!(!router.on_first_token(Millis::new(6), attempt));
    assert!(!router.on_end(Millis::new(7), attempt, End::Answered { tokens: 3 }));
    assert_eq!(router.counts().late, 2);
    assert_eq!(router.counts().answered, 0);
}

#[test]
fn hedge_loser_cancelled() {
    let mut router = router(2);
    router.arrive(Millis::ZERO, req(1, true));
    let (first, ..) = sent(&router.drain().collect::<Vec<_>>()).expect("sent");
    router.tick(Millis::new(500));
    let (second, ..) = sent(&router.drain().collect::<Vec<_>>()).expect("hedged");
    assert!(router.on_first_token(Millis::new(510), second));
    let actions: Vec<Action> = router.drain().collect();
    assert!(matches!(actions[0], Action::Cancel { attempt, .. } if attempt == first));
    assert!(!router.on_first_token(Millis::new(511), first));
}

#[test]
fn once_only_never_hedged() {
    let mut router = router(2);
    router.arrive(Millis::ZERO, req(1, false));
    router.drain().for_each(drop);
    for ms in (0..15_000).step_by(50) {
        router.tick(Millis::new(ms));
    }
    assert_eq!(router.drain().count(), 0);
    router.tick(Millis::new(20_000));
    let actions: Vec<Action> = router.drain().collect();
    let expected = (Verdict::MayHaveRun, Reason::DeadlineAfterSend);
    assert_eq!(refused(&actions), Some(expected));
}

#[test]
fn repeats_within_budget() {
    let mut router = router(4);
    let mut repeats = 0;
    for id in 1..=400 {
        router.arrive(Millis::ZERO, req(id, true));
        let mut actions: Vec<Action> = router.drain().collect();
        while let Some((attempt, ..)) = sent(&actions) {
            repeats += 1;
            router.on_end(Millis::ZERO, attempt, End::Busy);
            actions = router.drain().collect();
        }
        repeats -= 1;
    }
    // Twenty at the start, and one for each five calls sent.
    assert!(repeats <= 20 + (400 + repeats) / 5, "{repeats}");
}

#[test]
fn protected_work_kept() {
    let mut router = router(1);
    for id in 1..=20 {
        let tier = if id > 10 { 3 } else { 0 };
        let protected = tier == 0;
        router.arrive(
            Millis::ZERO,
            Request {
                tier,
                protected,
                ..req(id, true)
            },
        );
    }
    router.drain().for_each(drop);
    for id in 21..=60 {
        router.arrive(
            Millis::ZERO,
            Request {
                protected: true,
                ..req(id, true)
            },
        );
    }
    let cancelled = |a: &Action| matches!(a, Action::Cancel { request, .. } if *request <= 10);
    assert!(!router.drain().any(|a| cancelled(&a)));
    assert!(router.counts().preempted > 0);
    assert_eq!(router.counts().protected_violations, 0);
}
