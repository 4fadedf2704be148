//! Which passed requests are refused under overload, and when their callers may come back.

use std::sync::Arc;
use vanillakeel::{
    Millis,
    fleet::{
        Ask,
        Fleet,
        Listed,
        Part,
        Settings, //
    },
};

const NOW: Millis = Millis::new(50_000);

fn fleet(upstreams: usize) -> Fleet {
    let mut fleet = Fleet::new(Settings::default(), 1);
    for at in 0..upstreams {
        fleet.on_listed(&Listed {
            name: Arc::from(format!("runner-{at}")),
            service: Arc::from("deeds"),
            slots: 48,
            ..Listed::default()
        });
    }
    fleet
}

fn parts(tokens: u32, own: u64) -> [Part; 2] {
    let shared = Part { id: 1, tokens: 1 };
    [shared, Part { id: own, tokens }]
}

fn ask(parts: &[Part], priority: u8, target_ms: u64) -> Ask<'_> {
    Ask {
        service: "deeds",
        parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        priority,
        target_ms,
        tried: &[],
    }
}

/// Sends a request if it is admitted.
fn offer(fleet: &mut Fleet, ask: &Ask<'_>) -> Result<(), u64> {
    let pick = fleet.choose(NOW, ask).expect("an upstream");
    let pick = fleet.admit(NOW, ask, pick)?;
    fleet.on_send(NOW, &pick, ask);
    Ok(())
}

/// Pattern: a burst of long drafts beside more urgent reviews with long prompts.
///
/// Drafts are refused first; reviews are still taken when no draft is.
#[test]
fn drafts_before_reviews() {
    let mut fleet = fleet(4);
    assert_eq!(offer(&mut fleet, &ask(&parts(9_000, 2), 1, 600)), Ok(()));
    let refused = (0..200)
        .filter(|n| offer(&mut fleet, &ask(&parts(17_000, 100 + n), 2, 2_000)).is_err())
        .count();
    assert!(refused > 100, "{refused} of 200 drafts refused");
    for n in 0..4 {
        let review = parts(9_000, 1_000 + n);
        assert_eq!(offer(&mut fleet, &ask(&review, 1, 600)), Ok(()));
    }
}

/// Pattern: reviews come while the only upstream still has a burst of drafts to read.
#[test]
fn reviews_after_drafts() {
    let mut fleet = fleet(1);
    let taken = (0..100)
        .filter(|n| offer(&mut fleet, &ask(&parts(17_000, 100 + n), 2, 2_000)).is_ok())
        .count();
    assert!(taken >= 8, "{taken} drafts taken");
    for n in 0..5 {
        let review = parts(5_000, 1_000 + n);
        assert_eq!(offer(&mut fleet, &ask(&review, 1, 600)), Ok(()));
    }
}

/// Without more urgent requests, a queue as long as the own target allows is used.
#[test]
fn drafts_alone() {
    let mut fleet = fleet(1);
    let taken = (0..100)
        .take_while(|n| offer(&mut fleet, &ask(&parts(17_000, 100 + n), 2, 2_000)).is_ok())
        .count();
    assert!((8..=14).contains(&taken), "{taken} drafts taken");
}

/// Pattern: heavy load of long prompts while short questions come in.
#[test]
fn short_ones_go_on() {
    let mut fleet = fleet(6);
    let question = |n: u64| parts(800, 5_000 + n);
    assert_eq!(offer(&mut fleet, &ask(&question(0), 0, 400)), Ok(()));
    for n in 0..200 {
        // Whether a draft is taken does not matter here.
        let _ = offer(&mut fleet, &ask(&parts(17_000, 100 + n), 2, 2_000));
    }
    for n in 1..20 {
        assert_eq!(offer(&mut fleet, &ask(&question(n), 0, 400)), Ok(()));
    }
}

/// Requests of plain services have no prompt to wait for.
#[test]
fn plain_requests() {
    let mut fleet = fleet(1);
    for _ in 0..20 {
        assert_eq!(offer(&mut fleet, &ask(&[], 2, 100)), Ok(()));
    }
}

/// The time to come back grows with the queue.
#[test]
fn time_to_return() {
    let mut fleet = fleet(1);
    let long = parts(200_000, 7);
    assert_eq!(offer(&mut fleet, &ask(&long, 2, 2_000)), Ok(()));
    let short = offer(&mut fleet, &ask(&parts(17_000, 8), 2, 1_900));
    let shorter = offer(&mut fleet, &ask(&parts(17_000, 9), 2, 500));
    assert_eq!(short, Err(1_000));
    assert!(shorter.is_err_and(|ms| ms >= 2_500), "{shorter:?}");
}
