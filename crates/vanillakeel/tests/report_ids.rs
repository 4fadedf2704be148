//! Recognition of the answers to an instance's own reports.

use rstest::rstest;
use vanillakeel::{
    Millis,
    mesh::ReportIds, //
};

/// Guards against the answer to a report of an earlier process, whose time means another moment here.
#[rstest]
#[case::own(7, 4_000, Some(Millis::new(4_000)))]
#[case::earlier_process(6, 4_000, None)]
#[case::future(7, 5_001, None)]
fn answered(#[case] seed: u64, #[case] sent_ms: u64, #[case] expected: Option<Millis>) {
    let id = ReportIds::new(seed).id(Millis::new(sent_ms));
    assert_eq!(ReportIds::new(7).sent_at(id, Millis::new(5_000)), expected);
}

/// Only the low bits of a seed make the tag, so that any seed is valid.
#[test]
fn large_seed() {
    let ids = ReportIds::new(u64::MAX);
    let sent_at = Millis::new(12);
    assert_eq!(ids.sent_at(ids.id(sent_at), sent_at), Some(sent_at));
}
