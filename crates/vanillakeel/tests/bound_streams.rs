//! Choice of an upstream for a request that continues a stream, by the version of the software.

mod fleets;

use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    fleet::{
        CallOutcome,
        Fleet,
        ListedUpstream,
        RequestInfo, //
    },
};

const NOW: Millis = Millis::new(1_000);

/// Returns a fleet with an upstream of each version, in this order.
fn fleet_of(versions: &[Option<&str>]) -> Fleet {
    let mut fleet = fleets::fleet(0, 1);
    for (at, version) in versions.iter().enumerate() {
        fleet.on_listed(&ListedUpstream {
            software: version.map(Arc::from),
            ..fleets::listed(at)
        });
    }
    fleet
}

/// Returns the names of all upstreams that are chosen, one after the other.
fn chosen(fleet: &mut Fleet, software: Option<&str>) -> Vec<String> {
    let mut tried: Vec<Arc<str>> = Vec::new();
    while let Some(pick) = fleet.choose(
        NOW,
        &RequestInfo {
            tried: &tried,
            software,
            ..fleets::ranked_request(&[], 0, 0)
        },
    ) {
        tried.push(pick.name);
    }
    let mut names: Vec<_> = tried.iter().map(|n| n.to_string()).collect();
    names.sort_unstable();
    names
}

/// Guards against a stream that goes on at another version than the one that began it.
#[rstest]
#[case::any(None, &["runner-0", "runner-1", "runner-2", "runner-3"])]
#[case::first(Some("v1"), &["runner-0", "runner-2"])]
#[case::second(Some("v2"), &["runner-1"])]
#[case::left(Some("v3"), &[])]
fn chosen_by_software(#[case] software: Option<&str>, #[case] expected: &[&str]) {
    let mut fleet = fleet_of(&[Some("v1"), Some("v2"), Some("v1"), None]);
    assert_eq!(chosen(&mut fleet, software), expected);
}

/// A stream goes on at an ejected upstream if no other one of its version is left.
///
/// Guards against streams that are refused although an upstream of their version may serve them.
#[test]
fn ejected_version() {
    let mut fleet = fleet_of(&[Some("v1"), Some("v2")]);
    let request = fleets::ranked_request(&[], 0, 0);
    let continued = RequestInfo {
        software: Some("v1"),
        ..request
    };
    let pick = fleet.choose(NOW, &continued).expect("an upstream");
    let call = fleet.on_send(NOW, &pick, &continued);
    fleet.on_end(NOW, call, CallOutcome::ConnectFailed);
    assert_eq!(chosen(&mut fleet, None), ["runner-1"]);
    assert_eq!(chosen(&mut fleet, Some("v1")), ["runner-0"]);
}

/// A record without the version, of a peer that does not know it, leaves the known one as it is.
///
/// Guards against a version that is forgotten beside instances of an older build.
#[test]
fn version_kept() {
    let mut fleet = fleet_of(&[Some("v1")]);
    fleet.on_listed(&ListedUpstream {
        slots: 7,
        ..fleets::listed(0)
    });
    let software: Vec<_> = fleet.iter().map(|u| u.software.as_deref()).collect();
    assert_eq!(software, [Some("v1")]);
}
