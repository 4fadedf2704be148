//! What the router does after an attempt has ended: retry, resume or refuse.
//!
//! Guards against running a request twice that is not idempotent, against requests sent past their
//! deadline, against retries that multiply the load of a failing pool, and against protected
//! requests that lose their place to lower tiers.

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

/// The attempt, the upstream and the resume position of the first send.
fn first_send(actions: &[Action]) -> Option<(u64, String, u32)> {
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

fn first_refusal(actions: &[Action]) -> Option<(Verdict, Reason)> {
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
const BROKEN_STREAM: End = End::Failed {
    verdict: Verdict::MayHaveRun,
    delivered: 7,
};

#[rstest]
#[case::refused_connection(true, NOT_RUN, Ok(0))]
#[case::refused_connection_non_idempotent(false, NOT_RUN, Ok(0))]
#[case::busy(false, End::Busy, Ok(0))]
#[case::broken(true, BROKEN, Ok(0))]
#[case::broken_non_idempotent(false, BROKEN, Err((Verdict::MayHaveRun, Reason::UpstreamFailed)))]
#[case::broken_stream(true, BROKEN_STREAM, Ok(7))]
#[case::broken_stream_non_idempotent(false, BROKEN_STREAM, Err((Verdict::MayHaveRun, Reason::UpstreamFailed)))]
fn retry_or_refusal(
    #[case] is_idempotent: bool,
    #[case] end: End,
    #[case] expected: Result<u32, (Verdict, Reason)>,
) {
    let mut router = router(2);
    router.on_request(Millis::ZERO, req(1, is_idempotent));
    let first = first_send(&router.drain().collect::<Vec<_>>()).expect("sent");
    router.on_end(Millis::new(10), first.0, end);
    let actions: Vec<Action> = router.drain().collect();
    match expected {
        Ok(resume_from) => {
            let second = first_send(&actions).expect("sent again");
            assert_ne!(second.1, first.1);
            assert_eq!(second.2, resume_from);
        }
        Err(refusal) => assert_eq!(first_refusal(&actions), Some(refusal)),
    }
}

#[rstest]
#[case::no_upstream(0, Verdict::NotRun, Reason::NoUpstream)]
fn no_upstream_refused(#[case] upstreams: usize, #[case] verdict: Verdict, #[case] reason: Reason) {
    let mut router = router(upstreams);
    router.on_request(Millis::ZERO, req(1, true));
    let actions: Vec<Action> = router.drain().collect();
    assert_eq!(first_refusal(&actions), Some((verdict, reason)));
}

#[test]
fn not_sent_past_deadline() {
    let mut router = router(1);
    router.on_request(Millis::new(20_000), req(1, true));
    let actions: Vec<Action> = router.drain().collect();
    let expected = (Verdict::NotRun, Reason::DeadlineBeforeSend);
    assert_eq!(first_refusal(&actions), Some(expected));
    assert_eq!(first_send(&actions), None);
}

/// An attempt that has failed may still report tokens or an answer, which must not reach the caller.
#[test]
fn late_events_dropped() {
    let mut router = router(2);
    router.on_request(Millis::ZERO, req(1, true));
    let (attempt, ..) = first_send(&router.drain().collect::<Vec<_>>()).expect("sent");
    router.on_end(Millis::new(5), attempt, BROKEN);
    assert!(!router.on_first_token(Millis::new(6), attempt));
    assert!(!router.on_end(Millis::new(7), attempt, End::Answered { tokens: 3 }));
    assert_eq!(router.counts().late, 2);
    assert_eq!(router.counts().answered, 0);
}

/// Once either the first attempt or its hedge has a first token, the other is cancelled and its
/// tokens are dropped.
#[test]
fn hedge_loser_cancelled() {
    let mut router = router(2);
    router.on_request(Millis::ZERO, req(1, true));
    let (first, ..) = first_send(&router.drain().collect::<Vec<_>>()).expect("sent");
    router.tick(Millis::new(500));
    let (second, ..) = first_send(&router.drain().collect::<Vec<_>>()).expect("hedged");
    assert!(router.on_first_token(Millis::new(510), second));
    let actions: Vec<Action> = router.drain().collect();
    assert!(matches!(actions[0], Action::Cancel { attempt, .. } if attempt == first));
    assert!(!router.on_first_token(Millis::new(511), first));
}

/// A request that is not idempotent is sent once, however long it takes, and its refusal says that it
/// may have run.
#[test]
fn non_idempotent_never_hedged() {
    let mut router = router(2);
    router.on_request(Millis::ZERO, req(1, false));
    router.drain().for_each(drop);
    for ms in (0..15_000).step_by(50) {
        router.tick(Millis::new(ms));
    }
    assert_eq!(router.drain().count(), 0);
    router.tick(Millis::new(20_000));
    let actions: Vec<Action> = router.drain().collect();
    let expected = (Verdict::MayHaveRun, Reason::DeadlineAfterSend);
    assert_eq!(first_refusal(&actions), Some(expected));
}

#[test]
fn retries_within_budget() {
    let mut router = router(4);
    let mut retries = 0;
    for id in 1..=400 {
        router.on_request(Millis::ZERO, req(id, true));
        let mut actions: Vec<Action> = router.drain().collect();
        while let Some((attempt, ..)) = first_send(&actions) {
            retries += 1;
            router.on_end(Millis::ZERO, attempt, End::Busy);
            actions = router.drain().collect();
        }
        retries -= 1;
    }
    // The budget starts with 20 retries and earns one for every five attempts sent.
    assert!(retries <= 20 + (400 + retries) / 5, "{retries}");
}

/// Protected requests preempt lower tiers only, never each other, even if the pool is overloaded.
#[test]
fn protected_work_kept() {
    let mut router = router(1);
    for id in 1..=20 {
        let tier = if id > 10 { 3 } else { 0 };
        let protected = tier == 0;
        router.on_request(
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
        router.on_request(
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
