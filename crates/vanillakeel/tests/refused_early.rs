//! Load shedding of pass-through requests, and the time after which callers may retry.

mod fleets;

use fleets::{
    fleet,
    ranked_request, //
};
use vanillakeel::{
    Millis,
    fleet::{
        Fleet,
        PromptSegment,
        RequestInfo, //
    },
};

const NOW: Millis = Millis::new(50_000);

fn segments(tokens: u32, own: u64) -> [PromptSegment; 2] {
    let shared = PromptSegment { id: 1, tokens: 1 };
    [shared, PromptSegment { id: own, tokens }]
}

/// Sends a request if it is admitted.
fn offer(fleet: &mut Fleet, request: &RequestInfo<'_>) -> Result<(), u64> {
    let pick = fleet.choose(NOW, request).expect("an upstream");
    let admitted = fleet.admit(NOW, request, pick);
    let pick = admitted.map_err(|overload| overload.retry_after_ms)?;
    fleet.on_send(NOW, &pick, request);
    Ok(())
}

/// Guards against starving urgent reviews in a burst of long drafts.
///
/// Drafts are refused first; reviews are still admitted when no draft is.
#[test]
fn drafts_before_reviews() {
    let mut fleet = fleet(4, 1);
    assert_eq!(
        offer(&mut fleet, &ranked_request(&segments(9_000, 2), 1, 600)),
        Ok(())
    );
    let refused = (0..200)
        .filter(|n| {
            offer(
                &mut fleet,
                &ranked_request(&segments(17_000, 100 + n), 2, 2_000),
            )
            .is_err()
        })
        .count();
    assert!(refused > 100, "{refused} of 200 drafts refused");
    for n in 0..4 {
        let review = segments(9_000, 1_000 + n);
        assert_eq!(offer(&mut fleet, &ranked_request(&review, 1, 600)), Ok(()));
    }
}

/// Guards against refusing urgent reviews because of drafts.
///
/// Reviews are admitted while the only upstream still has the prefill of many drafts in its queue.
#[test]
fn reviews_after_drafts() {
    let mut fleet = fleet(1, 1);
    let admitted = (0..100)
        .filter(|n| {
            offer(
                &mut fleet,
                &ranked_request(&segments(17_000, 100 + n), 2, 2_000),
            )
            .is_ok()
        })
        .count();
    assert!(admitted >= 8, "{admitted} drafts admitted");
    for n in 0..5 {
        let review = segments(5_000, 1_000 + n);
        assert_eq!(offer(&mut fleet, &ranked_request(&review, 1, 600)), Ok(()));
    }
}

/// Guards against refusing drafts too early or too late: without more urgent requests, the queue may
/// grow as long as their own target allows.
#[test]
fn drafts_alone() {
    let mut fleet = fleet(1, 1);
    let admitted = (0..100)
        .take_while(|n| {
            offer(
                &mut fleet,
                &ranked_request(&segments(17_000, 100 + n), 2, 2_000),
            )
            .is_ok()
        })
        .count();
    assert!((8..=14).contains(&admitted), "{admitted} drafts admitted");
}

/// Guards against refusing short questions during a heavy load of long prompts.
#[test]
fn questions_still_admitted() {
    let mut fleet = fleet(6, 1);
    let question = |n: u64| segments(800, 5_000 + n);
    assert_eq!(
        offer(&mut fleet, &ranked_request(&question(0), 0, 400)),
        Ok(())
    );
    for n in 0..200 {
        // Whether a draft is admitted does not matter here.
        let _ = offer(
            &mut fleet,
            &ranked_request(&segments(17_000, 100 + n), 2, 2_000),
        );
    }
    for n in 1..20 {
        assert_eq!(
            offer(&mut fleet, &ranked_request(&question(n), 0, 400)),
            Ok(())
        );
    }
}

/// Requests to plain services have no prompt and are always admitted.
#[test]
fn plain_requests() {
    let mut fleet = fleet(1, 1);
    for _ in 0..20 {
        assert_eq!(offer(&mut fleet, &ranked_request(&[], 2, 100)), Ok(()));
    }
}

/// Guards against early retries: the time until a retry grows with the excess of the wait over the
/// limit, and is never shorter than a second.
#[test]
fn retry_time() {
    let mut fleet = fleet(1, 1);
    let long = segments(200_000, 7);
    assert_eq!(offer(&mut fleet, &ranked_request(&long, 2, 2_000)), Ok(()));
    let small_excess = offer(&mut fleet, &ranked_request(&segments(17_000, 8), 2, 1_900));
    let large_excess = offer(&mut fleet, &ranked_request(&segments(17_000, 9), 2, 500));
    assert_eq!(small_excess, Err(1_000));
    assert!(
        large_excess.is_err_and(|ms| ms >= 2_500),
        "{large_excess:?}"
    );
}
