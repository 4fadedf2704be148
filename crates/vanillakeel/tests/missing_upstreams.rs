//! Upstreams whose entries have disappeared are removed at once, unless their entries may only have been
//! lost.

use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    fleet::{
        Fleet,
        ListedUpstream,
        MissingUpstreams,
        Settings, //
    },
};

/// Time by which live upstreams are listed again.
const UNTIL: Millis = Millis::new(2_000);

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(Settings::default(), 1);
    for name in NAMES {
        fleet.on_listed(&ListedUpstream {
            name: Arc::from(name),
            ..ListedUpstream::default()
        });
    }
    fleet
}

fn take_due(missing: &mut MissingUpstreams, at_ms: u64) -> Vec<String> {
    let due = missing.take_due(Millis::new(at_ms), &fleet());
    due.iter().map(ToString::to_string).collect()
}

/// Guards against a removed upstream that is kept, and against live ones that are removed since their
/// entries expired in an outage.
#[rstest]
#[case::no_outage(false, &NAMES[..1], &NAMES[1..])]
#[case::few_after_outage(true, &NAMES[2..], &NAMES[..2])]
#[case::many_after_outage(true, &NAMES[..1], &[])]
fn complete_list(#[case] is_after_outage: bool, #[case] listed: &[&str], #[case] removed: &[&str]) {
    let mut missing = MissingUpstreams::default();
    if is_after_outage {
        missing.on_outage_over(UNTIL);
    }
    missing.on_list(&fleet(), listed);
    assert_eq!(take_due(&mut missing, 100), removed);
}

/// Guards against live upstreams that are removed since an outage has ended, or kept for ever.
#[test]
fn kept_until_listed_again() {
    let mut missing = MissingUpstreams::default();
    missing.on_outage_over(UNTIL);
    missing.on_list(&fleet(), &[]);
    assert!(take_due(&mut missing, 1_000).is_empty());
    for name in &NAMES[1..] {
        missing.on_listed(name);
    }
    assert_eq!(take_due(&mut missing, UNTIL.get()), ["a"]);
}

/// Guards against upstreams that are removed since an earlier copy of the list lacks their entries.
#[test]
fn missing_in_copy() {
    let mut missing = MissingUpstreams::default();
    missing.on_copy(&fleet(), &NAMES[2..], UNTIL);
    assert!(take_due(&mut missing, 1_999).is_empty());
    missing.on_listed("a");
    assert_eq!(take_due(&mut missing, UNTIL.get()), ["b"]);
}

/// Guards against an upstream that leaves after the log came back and is kept like those that the copy
/// lacks.
#[test]
fn deleted_after_copy() {
    let mut missing = MissingUpstreams::default();
    missing.on_copy(&fleet(), &NAMES[1..], UNTIL);
    missing.on_deleted("c");
    assert_eq!(take_due(&mut missing, 100), ["c"]);
}
