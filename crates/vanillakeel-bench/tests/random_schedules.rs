//! Random schedules of faults find nothing, and find each fault whose guard is turned off.

use rstest::rstest;
use vanillakeel_bench::faults::{
    Guards,
    Totals,
    run_schedules, //
};

const SEED: u64 = 4_711;
const SCHEDULES: u64 = 200;
const STEPS: u64 = 1_000;

#[test]
fn no_fault_found() {
    let totals = run_schedules(SEED, SCHEDULES, STEPS, Guards::default());
    assert!(totals.is_sound(), "{totals:?}");
    assert!(totals.runs > SCHEDULES, "{totals:?}");
    assert!(totals.versions > SCHEDULES, "{totals:?}");
    assert!(totals.holders > SCHEDULES, "{totals:?}");
}

#[rstest]
#[case::claim(Guards { claim_before_send: false, ..Guards::default() }, |t: &Totals| t.doubled)]
#[case::version(Guards { version_never_falls: false, ..Guards::default() }, |t: &Totals| t.reverted)]
#[case::lease(Guards { lease_expires: false, ..Guards::default() }, |t: &Totals| t.stale_orders_accepted)]
fn missing_guard_found(#[case] guards: Guards, #[case] count: fn(&Totals) -> u64) {
    let totals = run_schedules(SEED, SCHEDULES, STEPS, guards);
    assert!(count(&totals) > 0, "{totals:?}");
    assert!(totals.failing_seed.is_some());
}
