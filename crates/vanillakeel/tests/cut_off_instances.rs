//! When callers may retry whom an instance refuses because it is cut off from the log.
//!
//! The load behind this test: one instance of eight, or a whole data centre, loses the log for some
//! seconds, and its callers keep coming although it has to refuse their keys.

use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    mesh::{
        Loads,
        Mesh,
        Peer,
        Settings,
        Summary, //
    },
};

const NOW: Millis = Millis::new(60_000);

fn peer(name: &str) -> Peer {
    Peer {
        name: Arc::from(name),
        data_centre: Arc::from("1"),
        ..Peer::default()
    }
}

/// Guards against callers who wait although another instance could serve them at once, and against
/// callers who come back at once to a data centre that is cut off as a whole.
#[rstest]
#[case::isolated(&[], None, true)]
#[case::member_with_contact(&[("b1", false), ("c1", true)], None, true)]
#[case::members_without(&[("b1", false), ("c1", false)], None, false)]
#[case::hub_with_contact(&[], Some(true), true)]
#[case::hub_without(&[], Some(false), false)]
fn lost_contact(
    #[case] reports: &[(&str, bool)],
    #[case] hub_is_fresh: Option<bool>,
    #[case] expected: bool,
) {
    let mut mesh = Mesh::new(peer("a1"), Settings::default());
    for name in ["b1", "c1"] {
        mesh.on_peer(&peer(name));
    }
    for (name, is_confirmed) in reports {
        mesh.on_report(NOW, name, Loads::default(), *is_confirmed);
    }
    if let Some(is_fresh) = hub_is_fresh {
        let summary = Summary {
            is_fresh,
            instances: 8,
        };
        mesh.on_summary(NOW, "b1", summary);
    }
    assert_eq!(mesh.are_others_confirmed(NOW), expected);
    // What was heard long ago says nothing.
    assert!(mesh.are_others_confirmed(NOW.plus(1_500)));
}
