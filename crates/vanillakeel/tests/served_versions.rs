//! Whether only one software version can have begun a stream.

use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    streams::ServedVersions, //
};

/// A view of the upstreams: its time and the versions.
type View = (u64, &'static [Option<&'static str>]);

/// Longest time for which a stream goes on, in ms.
const LIFE_MS: u64 = 16_000;

const SERVICE: &str = "deeds";

/// Records views of the service's versions, each with its time in ms.
fn served(views: &[View]) -> ServedVersions {
    let mut served = ServedVersions::default();
    let (service, other) = (Arc::from(SERVICE), Arc::<str>::from("other"));
    for (at, versions) in views {
        let versions: Vec<Option<Arc<str>>> = versions.iter().map(|v| v.map(Arc::from)).collect();
        let of_service = versions.iter().map(|v| (&service, v.as_ref()));
        let of_other = versions.first().map(|_| (&other, None));
        served.on_view(Millis::new(*at), of_service.chain(of_other));
    }
    served
}

/// Returns views of a version from `start` to `end`, one in a second.
fn steady(start: u64, end: u64, versions: &'static [Option<&'static str>]) -> Vec<View> {
    (start..=end).map(|s| (s * 1_000, versions)).collect()
}

const V1: &[Option<&str>] = &[Some("v1")];
const V2: &[Option<&str>] = &[Some("v2")];
const BOTH: &[Option<&str>] = &[Some("v1"), Some("v2")];
const UNKNOWN: &[Option<&str>] = &[None];

/// Guards against a stream that goes on at the only version that is left, although another one may have
/// begun it.
#[rstest]
#[case::long_enough(vec![steady(0, 26, V1)], 26, Some("v1"))]
#[case::too_short(vec![steady(1, 26, V1)], 26, None)]
#[case::two_versions(vec![steady(0, 28, V1), steady(29, 30, BOTH)], 30, None)]
#[case::left_lately(vec![steady(0, 20, BOTH), steady(21, 45, V2)], 45, None)]
#[case::left_long_ago(vec![steady(0, 20, BOTH), steady(21, 50, V2)], 50, Some("v2"))]
#[case::unseen_gap(vec![steady(0, 20, V1), steady(23, 45, V1)], 45, None)]
#[case::seen_again_for_long(vec![steady(0, 20, V1), steady(23, 50, V1)], 50, Some("v1"))]
#[case::old_view(vec![steady(0, 40, V1)], 43, None)]
#[case::unknown_version(vec![steady(0, 40, UNKNOWN)], 40, None)]
#[case::unknown_beside(vec![steady(0, 39, V1), steady(40, 40, UNKNOWN)], 40, None)]
#[case::nothing_seen(vec![], 40, None)]
fn sole_version(#[case] views: Vec<Vec<View>>, #[case] now: u64, #[case] expected: Option<&str>) {
    let served = served(&views.concat());
    let sole = served.sole(Millis::new(now * 1_000), SERVICE, LIFE_MS);
    assert_eq!(sole.map(|s| &**s), expected);
}

/// Versions that left long ago are dropped.
#[test]
fn forgotten() {
    let mut served = served(&[steady(0, 15, V1), steady(16, 30, V2)].concat());
    served.forget(Millis::new(20_000));
    let sole = served.sole(Millis::new(30_000), SERVICE, LIFE_MS);
    assert_eq!(sole.map(|s| &**s), Some("v2"));
}
