//! Members that read the log for a hub that the log does not serve.

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

const START: Millis = Millis::new(50_000);

/// Time between two queries, in ms.
const QUERY_EVERY_MS: u64 = 100;

fn peer(name: &str) -> Peer {
    Peer {
        name: Arc::from(name),
        data_centre: Arc::from("dc-1"),
        ..Peer::default()
    }
}

/// Returns a hub to which four members have reported, the first two of which have a confirmed configuration.
fn hub() -> Mesh {
    let me = Peer {
        link_mbps: 1_000,
        ..peer("hub")
    };
    let mut mesh = Mesh::new(me, Settings::default());
    for name in ["m0", "m1", "m2", "m3"] {
        mesh.on_peer(&peer(name));
    }
    report_all(&mut mesh, START);
    mesh
}

fn report_all(mesh: &mut Mesh, now: Millis) {
    for (name, is_confirmed) in [("m0", true), ("m1", true), ("m2", false), ("m3", false)] {
        mesh.on_report(now, name, Loads::default(), is_confirmed);
    }
}

fn reader(mesh: &mut Mesh, now: Millis) -> Option<String> {
    mesh.log_reader(now).map(|p| p.name.to_string())
}

/// Guards against a hub that asks one member after the other while the first one answers.
#[test]
fn same_reader() {
    let mut mesh = hub();
    let first = reader(&mut mesh, START).expect("two are confirmed");
    assert!(["m0", "m1"].contains(&&*first));
    for n in 1..50 {
        let now = START.plus(n * QUERY_EVERY_MS);
        report_all(&mut mesh, now);
        mesh.on_log_view(now, &first, true);
        assert_eq!(reader(&mut mesh, now).as_ref(), Some(&first));
        assert!(mesh.has_log_view(now));
    }
}

/// The member that is asked dies, or the log turns it away as well.
///
/// Guards against a hub that goes on asking it: another one takes over in less than a second, and none is asked for a
/// while if no one can help.
#[test]
fn next_reader() {
    let mut mesh = hub();
    let first = reader(&mut mesh, START).expect("two are confirmed");
    mesh.on_log_view(START, &first, true);
    let mut now = START;
    let second = loop {
        now = now.plus(QUERY_EVERY_MS);
        let asked = reader(&mut mesh, now).expect("two are confirmed");
        if asked != first {
            break asked;
        }
    };
    assert!(now.since(START) < 1_000);
    mesh.on_log_view(now, &second, false);
    assert_eq!(reader(&mut mesh, now), None);
    assert!(!mesh.has_log_view(now));
    let later = now.plus(3_000);
    report_all(&mut mesh, later);
    assert!(reader(&mut mesh, later).is_some());
}

/// Guards against a view of a member that is too old, or that is none.
#[test]
fn only_fresh_views() {
    let mut mesh = hub();
    let asked = reader(&mut mesh, START).expect("two are confirmed");
    mesh.on_log_view(START, &asked, false);
    assert!(!mesh.has_log_view(START));
    mesh.on_log_view(START, &asked, true);
    assert!(mesh.has_log_view(START.plus(399)));
    assert!(!mesh.has_log_view(START.plus(400)));
}

/// Guards against a circle: a member that reads for its hub and stops since the hub supplies it with its own reads.
#[test]
fn reader_not_covered() {
    let mut mesh = Mesh::new(peer("m0"), Settings::default());
    mesh.on_peer(&Peer {
        link_mbps: 1_000,
        ..peer("hub")
    });
    let fresh = Summary {
        is_fresh: true,
        instances: 2,
    };
    mesh.on_summary(START, "hub", fresh);
    assert!(mesh.is_covered(START));
    mesh.on_log_query(START);
    assert!(!mesh.is_covered(START));
    let later = START.plus(1_000);
    mesh.on_summary(later, "hub", fresh);
    assert!(mesh.is_covered(later));
}
