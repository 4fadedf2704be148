//! Acquisition, renewal, takeover and expiry of leases.

use rstest::rstest;
use vanillakeel::{
    Millis,
    lease::{
        Action,
        Lease,
        Record,
        Settings, //
    },
};

fn record(holder: &str, previous_offset: Option<u64>) -> Record {
    Record {
        name: "placement".into(),
        holder: holder.into(),
        append_id: 1,
        previous_offset,
    }
}

/// Guards against a record that counts although its writer had not read the last one, which would
/// give the lease to two holders.
#[rstest]
#[case::first(0, &[(0, record("a", None))], Some("a"))]
#[case::takeover(0, &[(0, record("a", None)), (1, record("b", Some(0)))], Some("b"))]
#[case::renewed_meanwhile(0, &[(0, record("a", None)), (1, record("a", Some(0))), (2, record("b", Some(0)))], Some("a"))]
#[case::race(0, &[(0, record("a", None)), (1, record("b", None))], Some("a"))]
#[case::begun_in_the_middle(5, &[(5, record("b", Some(3)))], None)]
#[case::known_by_the_next(5, &[(5, record("b", Some(3))), (6, record("a", Some(5)))], Some("a"))]
fn holder(#[case] first: u64, #[case] records: &[(u64, Record)], #[case] expected: Option<&str>) {
    let mut lease = Lease::new("placement", "me", Settings::default());
    lease.begin(first);
    lease.on_records(Millis::ZERO, records, true);
    assert_eq!(lease.holder(), expected);
}

/// Returns the record that the lease asks to append at `now`, if any.
fn append_after_tick(lease: &mut Lease, now: u64) -> Option<Record> {
    lease.tick(Millis::new(now), true);
    lease.drain().next().map(|Action::Append(record)| record)
}

/// Guards against a holder that counts its lease from when it read its append back; others may
/// have read it earlier and take over before the holder stops.
#[test]
fn holder_stops_in_time() {
    let mut lease = Lease::new("placement", "me", Settings::default());
    lease.begin(0);
    lease.on_records(Millis::ZERO, &[], true);
    let record = append_after_tick(&mut lease, 100).expect("an append");
    lease.on_records(Millis::new(4_000), &[(0, record)], true);
    assert_eq!(lease.fencing_token(Millis::new(10_099)), Some(0));
    assert_eq!(lease.fencing_token(Millis::new(10_100)), None);
}

/// Guards against a takeover before the duration and the margin have passed.
#[test]
fn takeover_after_margin() {
    let mut lease = Lease::new("placement", "me", Settings::default());
    lease.begin(0);
    lease.on_records(Millis::new(1_000), &[(0, record("a", None))], true);
    lease.on_records(Millis::new(12_999), &[], true);
    assert_eq!(append_after_tick(&mut lease, 12_999), None);
    lease.on_records(Millis::new(13_000), &[], true);
    let taken = append_after_tick(&mut lease, 13_000).expect("an append");
    assert_eq!(taken.previous_offset, Some(0));
}

/// Guards against a takeover by an instance that can't read the log and so may have missed
/// renewals.
#[test]
fn no_takeover_while_log_is_down() {
    let mut lease = Lease::new("placement", "me", Settings::default());
    lease.begin(0);
    lease.on_records(Millis::new(1_000), &[(0, record("a", None))], true);
    assert_eq!(append_after_tick(&mut lease, 60_000), None);
}
