//! Which software version began a stream, and which instances know it.

use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    mesh::{
        Mesh,
        Peer,
        Settings as MeshSettings, //
    },
    streams::{
        BegunStreams,
        Lookup,
        Origin,
        Settings,
        StreamId, //
    },
};

const NOW: Millis = Millis::new(50_000);

fn stream(number: u64) -> StreamId {
    StreamId::of(&format!("request-{number}"))
}

fn origin(software: &str) -> Origin {
    Origin::new("service-a", software)
}

/// A stream is known for a limited time after it has begun or was taken up.
///
/// Guards against memory that grows, and against streams that are forgotten while they go on.
#[test]
fn remembered_time() {
    let mut begun = BegunStreams::new(Settings {
        remembered_ms: 1_000,
        ..Settings::default()
    });
    begun.record(NOW, stream(1), &origin("v1"));
    begun.record(NOW, stream(2), &origin("v2"));
    begun.record(NOW.plus(800), stream(2), &origin("v2"));
    let at = |ms| [1, 2].map(|n| begun.software(NOW.plus(ms), stream(n)));
    assert_eq!(at(999), [Some(Arc::from("v1")), Some(Arc::from("v2"))]);
    assert_eq!(at(1_000), [None, Some(Arc::from("v2"))]);
    assert_eq!(at(1_800), [None, None]);
    assert_eq!(begun.software(NOW, stream(3)), None);
    begun.record(NOW.plus(5_000), stream(4), &origin("v2"));
    assert_eq!(begun.len(), 1);
}

/// At the limit, the streams that end first make room.
#[test]
fn limited_number() {
    let mut begun = BegunStreams::new(Settings {
        max_streams: 100,
        ..Settings::default()
    });
    for n in 0..500 {
        begun.record(NOW.plus(n), stream(n), &origin("v1"));
    }
    assert!(begun.len() <= 100, "{}", begun.len());
    let now = NOW.plus(500);
    assert!((480..500).all(|n| begun.software(now, stream(n)).is_some()));
    assert_eq!(begun.software(now, stream(0)), None);
}

/// Streams that one process saves are known to the next one for as long as they would have been to the first, and
/// those that have expired are not saved.
///
/// Guards against streams that are known again and again because each process that stops saves them anew.
#[test]
fn saved_and_restored() {
    let life_ms = Settings::default().remembered_ms;
    let mut begun = BegunStreams::new(Settings::default());
    begun.record(Millis::ZERO, stream(1), &origin("v1"));
    for n in 2..=4 {
        begun.record(NOW, stream(n), &origin("v2"));
    }
    let now = NOW.plus(5_000);
    let (first, next) = begun.passed_from(now, 0, 2);
    let (second, end) = begun.passed_from(now, next, 2);
    assert_eq!((first.len(), second.len(), end), (2, 1, begun.end()));
    let mut restored = BegunStreams::new(Settings::default());
    restored.restore(now, &[first, second].concat());
    for n in 2..=4 {
        let known_until = NOW.plus(life_ms);
        let last = restored.software(known_until.minus(1), stream(n));
        assert_eq!(last.as_deref(), Some("v2"));
        assert_eq!(restored.software(known_until, stream(n)), None);
    }
    assert_eq!(restored.software(now, stream(1)), None);
}

/// Three data centres with these numbers of instances.
const SIZES: [usize; 3] = [1, 3, 6];

fn peer(data_centre: usize, number: usize) -> Peer {
    Peer {
        name: Arc::from(format!("entry-{data_centre}-{number}")),
        data_centre: Arc::from(format!("dc-{data_centre}")),
        ..Peer::default()
    }
}

fn all_peers() -> Vec<Peer> {
    let of = |(dc, size): (usize, &usize)| (0..*size).map(move |n| peer(dc, n)).collect::<Vec<_>>();
    SIZES.iter().enumerate().flat_map(of).collect()
}

/// Returns the view of `me`, which does not know the instances `unknown`.
fn mesh(me: &Peer, unknown: &[&Peer]) -> Mesh {
    let mut mesh = Mesh::new(me.clone(), MeshSettings::default());
    for other in all_peers().iter().filter(|p| !unknown.contains(p)) {
        mesh.on_peer(other);
    }
    mesh
}

/// Any instance finds a keeper of a stream without the instance that began it, whichever that was.
///
/// Guards against a stream that can't go on because the instance that began it has ended.
#[rstest]
#[case::first_known(true)]
#[case::first_forgotten(false)]
fn keepers_found(#[case] knows_first: bool) {
    let all = all_peers();
    for first in &all {
        for other in all.iter().filter(|p| *p != first) {
            let unknown = if knows_first { vec![] } else { vec![first] };
            let asking = mesh(other, &unknown);
            for number in 0..50 {
                let told = mesh(first, &[]).keepers(stream(number));
                let asked = asking.keepers_to_ask(NOW, stream(number));
                let found = told.iter().filter(|k| asked.contains(k) || *k == other);
                assert!(found.count() > 0, "{first:?} {other:?}: {told:?} {asked:?}");
                assert!(!told.contains(first) && !asked.contains(other));
            }
        }
    }
}

/// Within a data centre that is cut off from the others, a keeper is found as long as it has a third
/// instance.
#[test]
fn keepers_in_data_centre() {
    let all = all_peers();
    let members: Vec<_> = all.iter().filter(|p| *p.data_centre == *"dc-1").collect();
    for first in &members {
        for other in members.iter().filter(|p| *p != first) {
            for number in 0..50 {
                let told = mesh(first, &[]).keepers(stream(number));
                let asked = mesh(other, &[]).keepers_to_ask(NOW, stream(number));
                let is_found = |k: &&Peer| *k == *other || asked.contains(k);
                let mut own = told.iter().filter(|k| members.contains(k));
                assert!(own.any(|k| is_found(&k)), "{told:?} {asked:?}");
            }
        }
    }
}

/// Few instances are told of a stream, however many there are.
#[test]
fn few_keepers() {
    for me in all_peers() {
        let mesh = mesh(&me, &[]);
        assert!(mesh.keepers(stream(1)).len() <= 4);
        assert!(mesh.keepers_to_ask(NOW, stream(1)).len() <= 6);
    }
    let alone = Mesh::new(peer(0, 0), MeshSettings::default());
    assert!(alone.keepers(stream(1)).is_empty());
}

/// A question is over once all keepers have said that they don't know the stream.
#[test]
fn lookup_over() {
    let mut lookup = Lookup::new(vec![Arc::from("a"), Arc::from("b")]);
    lookup.on_unknown("c", None);
    assert!(!lookup.is_answered());
    lookup.on_unknown("a", None);
    lookup.on_unknown("a", None);
    assert!(lookup.is_answered() && !lookup.is_over());
    lookup.on_unknown("b", None);
    assert!(lookup.is_over());
    assert!(Lookup::default().is_over());
}

/// Keepers vouch for the only version that has served, unless they differ.
#[rstest]
#[case::none(&[None, None], None)]
#[case::one(&[None, Some("v1")], Some("v1"))]
#[case::same(&[Some("v1"), Some("v1")], Some("v1"))]
#[case::different(&[Some("v1"), Some("v2"), Some("v1")], None)]
fn vouched(#[case] answers: &[Option<&str>], #[case] expected: Option<&str>) {
    let mut lookup = Lookup::new(Vec::new());
    for sole in answers {
        lookup.on_unknown("a", *sole);
    }
    assert_eq!(lookup.sole().as_deref(), expected);
}
