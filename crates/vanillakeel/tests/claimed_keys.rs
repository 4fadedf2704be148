//! Claims of idempotency keys: which requests may be sent, given the records on the log.

use rstest::rstest;
use vanillakeel::{
    Millis,
    claim::{
        Action,
        Appended,
        Batch,
        Claims,
        Entry,
        Key,
        KeyError,
        KeyState,
        Op,
        Settings, //
    },
};

const UUID_7: &str = "0192f0c1-2345-7abc-8def-0123456789ab";
const CREATED_MS: u64 = 0x0192_f0c1_2345;

fn key() -> Key {
    Key::new("clerks", 7, 0)
}

fn claims() -> Claims {
    let mut claims = Claims::new("me", Settings::default());
    claims.on_records(Millis::ZERO, &[], 0, true);
    claims
}

fn record(writer: &str, number: u64, claim: u64, op: Op) -> Batch {
    Batch {
        writer: writer.into(),
        number,
        entries: vec![Entry {
            key: key(),
            claim,
            op,
        }],
    }
}

/// A claim is lost at once if the records of another writer show that the key is held or has run.
#[rstest]
#[case::claimed(&[Op::Claim], Some(KeyState::Claimed))]
#[case::ran(&[Op::Claim, Op::Outcome], Some(KeyState::Ran))]
#[case::released(&[Op::Claim, Op::Release], None)]
#[case::free(&[], None)]
#[case::release_of_nothing(&[Op::Release], None)]
fn earlier_records(#[case] ops: &[Op], #[case] lost: Option<KeyState>) {
    let mut claims = claims();
    let records: Vec<(u64, Batch)> = (0..)
        .zip(ops)
        .map(|(at, op)| (at, record("other", at + 1, 1, *op)))
        .collect();
    let next = records.len() as u64;
    claims.on_records(Millis::ZERO, &records, next, true);
    claims.begin(Millis::ZERO, 1, key(), Millis::new(1_000));
    let state = claims.drain().find_map(|a| match a {
        Action::Lost { state, .. } => Some(state),
        _ => None,
    });
    assert_eq!(state, lost);
}

fn append(claims: &mut Claims, now: u64) -> Option<Batch> {
    claims.tick(Millis::new(now));
    claims.drain().find_map(|a| match a {
        Action::Append(batch) => Some(batch),
        _ => None,
    })
}

/// Guards against two runs when two instances claim a key at the same time: the first record wins.
#[test]
fn first_in_log_order_wins() {
    let mut claims = claims();
    claims.begin(Millis::ZERO, 1, key(), Millis::new(1_000));
    let mine = append(&mut claims, 5).expect("an append");
    let records = [(0, record("other", 1, 1, Op::Claim)), (1, mine)];
    claims.on_records(Millis::new(9), &records, 2, true);
    let end = claims.drain().next();
    assert!(
        matches!(end, Some(Action::Lost { request: 1, .. })),
        "{end:?}"
    );
}

/// Guards against a second win when the result of an append is unknown and both copies are on the
/// log.
#[test]
fn unknown_append_repeated_unchanged() {
    let mut claims = claims();
    claims.begin(Millis::ZERO, 1, key(), Millis::new(5_000));
    let first = append(&mut claims, 5).expect("an append");
    claims.on_appended(first.number, Appended::Unknown);
    let second = append(&mut claims, 300).expect("a repeated append");
    assert_eq!(first, second);
    let records = [(0, first), (1, second)];
    claims.on_records(Millis::new(400), &records, 2, true);
    let won = claims.drain().filter(|a| matches!(a, Action::Won { .. }));
    assert_eq!(won.count(), 1);
}

/// Guards against a late send when an instance pauses and reads its claim after the deadline.
#[test]
fn paused_past_deadline() {
    let mut claims = claims();
    claims.begin(Millis::ZERO, 1, key(), Millis::new(1_000));
    let mine = append(&mut claims, 5).expect("an append");
    claims.on_records(Millis::new(60_000), &[(0, mine)], 1, true);
    let end = claims.drain().next();
    assert!(
        matches!(end, Some(Action::GaveUp { request: 1 })),
        "{end:?}"
    );
    let release = append(&mut claims, 60_010).expect("a release");
    assert_eq!(release.entries[0].op, Op::Release);
}

/// Guards against an append per claim in a burst: claims of the same few milliseconds share one.
#[test]
fn many_claims_one_append() {
    let mut claims = claims();
    for request in 1..=50 {
        let key = Key::new("clerks", u128::from(request), 0);
        claims.begin(Millis::ZERO, request, key, Millis::new(1_000));
    }
    assert_eq!(append(&mut claims, 5).map(|b| b.entries.len()), Some(50));
}

/// Guards against keys whose records the log may have dropped already, keys from the future, and
/// keys without a time.
#[rstest]
#[case::good(UUID_7, CREATED_MS + 1_000, None)]
#[case::no_uuid("order-17", CREATED_MS, Some(KeyError::Malformed))]
#[case::other_version(
    "0192f0c1-2345-4abc-8def-0123456789ab",
    CREATED_MS,
    Some(KeyError::Malformed)
)]
#[case::old(UUID_7, CREATED_MS + 900_001, Some(KeyError::Expired { window_ms: 900_000 }))]
#[case::last_moment(UUID_7, CREATED_MS + 900_000, None)]
#[case::ahead(UUID_7, CREATED_MS - 60_001, Some(KeyError::InFuture))]
fn parsed_keys(#[case] text: &str, #[case] wall_ms: u64, #[case] error: Option<KeyError>) {
    let parsed = Key::parse("clerks", text, wall_ms, 900_000);
    assert_eq!(parsed.err(), error);
}
