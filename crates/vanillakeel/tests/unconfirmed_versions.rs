//! Use of the version in force when its last confirmation is old.

use rstest::rstest;
use vanillakeel::{
    Millis,
    routes::{
        Freshness,
        InForce,
        Standing,
        Table,
        TableSpec, //
    },
};

const CONFIRMED_AT: Millis = Millis::new(10_000);

/// Returns version 5, confirmed at [`CONFIRMED_AT`], with a limit of 2,000 ms.
fn in_force() -> InForce {
    let mut in_force = InForce::new(Freshness {
        keys_ms: 5_000,
        version_ms: 2_000,
    });
    in_force.install(table(5));
    in_force.confirm_newest(CONFIRMED_AT);
    in_force
}

fn table(version: u64) -> Table {
    Table::new(TableSpec {
        version,
        ..TableSpec::default()
    })
}

/// Guards against a version that is used after its time limit although the log may be reachable: only
/// a read that was sent after the confirmation and has failed a short time ago shows that it is not.
#[rstest]
#[case::recent(1_999, None, Standing::Confirmed)]
#[case::no_read(2_000, None, Standing::Unconfirmed)]
#[case::failed_read(2_000, Some((1_000, 1_400)), Standing::Disconnected)]
#[case::sent_with_confirmation(2_000, Some((0, 400)), Standing::Disconnected)]
#[case::late_failure(2_000, Some((1_000, 1_999)), Standing::Disconnected)]
#[case::old_failure(4_400, Some((1_000, 1_400)), Standing::Unconfirmed)]
fn age(#[case] now_ms: u64, #[case] failed_read: Option<(u64, u64)>, #[case] expected: Standing) {
    let mut in_force = in_force();
    if let Some((sent_ms, failed_ms)) = failed_read {
        in_force.on_read_failed(CONFIRMED_AT.plus(sent_ms), CONFIRMED_AT.plus(failed_ms));
    }
    assert_eq!(in_force.standing(CONFIRMED_AT.plus(now_ms)), expected);
}

/// Guards against a failure from before the last confirmation that counts as a lost log.
#[test]
fn failure_before_confirmation() {
    let mut in_force = in_force();
    in_force.on_read_failed(CONFIRMED_AT.minus(1), CONFIRMED_AT.plus(1_500));
    let now = CONFIRMED_AT.plus(2_000);
    assert_eq!(in_force.standing(now), Standing::Unconfirmed);
}

/// Guards against a version that is used without contact to the log although another instance has
/// announced a newer one.
#[test]
fn announced_version() {
    let mut in_force = in_force();
    in_force.on_read_failed(CONFIRMED_AT.plus(1_000), CONFIRMED_AT.plus(1_400));
    let now = CONFIRMED_AT.plus(2_000);
    assert!(!in_force.on_announced(now, 5));
    assert_eq!(in_force.standing(now), Standing::Disconnected);
    assert!(in_force.on_announced(now, 7));
    assert!(!in_force.on_announced(now, 7));
    assert_eq!(in_force.standing(now), Standing::Superseded);
    assert!(in_force.install(table(7)));
    assert_eq!(in_force.standing(now), Standing::Disconnected);
}

/// Guards against a wrong announcement that keeps an instance from confirming its version for good.
#[rstest]
#[case::before(0, None)]
#[case::heard(1_000, Some(7))]
#[case::last_moment(10_999, Some(7))]
#[case::never_shown_by_log(11_000, None)]
fn superseded(#[case] now_ms: u64, #[case] expected: Option<u64>) {
    let mut in_force = in_force();
    in_force.on_announced(CONFIRMED_AT.plus(1_000), 7);
    let now = CONFIRMED_AT.plus(now_ms);
    assert_eq!(in_force.superseded_by(now), expected);
}

/// Guards against a version that was never confirmed.
#[test]
fn never_confirmed() {
    let mut in_force = InForce::default();
    in_force.install(table(1));
    assert_eq!(in_force.standing(Millis::ZERO), Standing::Unconfirmed);
}

/// Guards against settings that are read again and change how long hubs and reads rely on a
/// confirmation, but not how long a version is used.
#[test]
fn changed_limits() {
    let mut in_force = in_force();
    let now = CONFIRMED_AT.plus(600);
    assert_eq!(in_force.standing(now), Standing::Confirmed);
    in_force.set_freshness(Freshness {
        keys_ms: 5_000,
        version_ms: 500,
    });
    assert_eq!(in_force.standing(now), Standing::Unconfirmed);
}
