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
#[case::long_enough(vec![steady(0, 20, V1)], 20, Some("v1"))]
#[case::too_short(vec![steady(10, 20, V1)], 20, None)]
#[case::two_versions(vec![steady(0, 20, V1), steady(21, 22, BOTH)], 22, None)]
#[case::left_lately(vec![steady(0, 20, BOTH), steady(21, 30, V2)], 30, None)]
#[case::left_long_ago(vec![steady(0, 20, BOTH), steady(21, 45, V2)], 45, Some("v2"))]
#[case::unseen_gap(vec![steady(0, 20, V1), steady(25, 30, V1)], 30, None)]
#[case::seen_again_for_long(vec![steady(0, 20, V1), steady(25, 45, V1)], 45, Some("v1"))]
#[case::old_view(vec![steady(0, 20, V1)], 24, None)]
#[case::unknown_version(vec![steady(0, 20, UNKNOWN)], 20, None)]
#[case::unknown_beside(vec![steady(0, 19, V1), steady(20, 20, UNKNOWN)], 20, None)]
#[case::nothing_seen(vec![], 20, None)]
fn sole_version(#[case] views: Vec<Vec<View>>, #[case] now: u64, #[case] expected: Option<&str>) {
    let served = served(&views.concat());
    let sole = served.sole(Millis::new(now * 1_000), SERVICE, LIFE_MS);
    assert_eq!(sole.map(|s| &**s), expected);
}

/// Versions that left long ago are dropped.
#[test]
fn forgotten() {
    let mut served = served(&[steady(0, 5, V1), steady(6, 20, V2)].concat());
    served.forget(Millis::new(10_000));
    let sole = served.sole(Millis::new(20_000), SERVICE, LIFE_MS);
    assert_eq!(sole.map(|s| &**s), Some("v2"));
}
