//! Division of limits over the instances that may be alive.

use rstest::rstest;
use vanillakeel::{
    Millis,
    division::{
        Roster,
        Scope,
        Settings,
        equal_part,
        instance_id,
        whole_part, //
    },
    rate_limits::Rate,
};

const START: Millis = Millis::new(100_000);

fn name(n: usize) -> String {
    format!("entry-{n}")
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

/// Returns the rosters of instances that know each other.
fn rosters(count: usize) -> Vec<Roster> {
    let ids: Vec<_> = (0..count).map(|n| instance_id(&name(n))).collect();
    let roster = |n| {
        let mut roster = Roster::new(&name(n), Settings::default());
        roster.on_heard(START, &ids);
        roster.on_list_read();
        roster
    };
    (0..count).map(roster).collect()
}

/// Returns the parts of all instances that have one.
fn parts(rosters: &[Roster], key: u32, rate: Rate) -> Vec<f64> {
    let parts = rosters.iter().map(|r| r.rate_part(key, rate).per_second);
    parts.filter(|p| *p > 0.0).collect()
}

/// Guards against parts whose sum is more than the whole, and against a limit that nobody uses: a rate goes to as
/// many instances as it has requests a second.
#[rstest]
#[case::few_of_many(8, 1.9, 2)]
#[case::one(8, 0.5, 1)]
#[case::whole_number(60, 3.0, 3)]
#[case::all(8, 20.0, 8)]
#[case::alone(1, 20.0, 1)]
fn rate_parts(#[case] instances: usize, #[case] per_second: f64, #[case] holders: usize) {
    let rosters = rosters(instances);
    for key in 0..50 {
        let parts = parts(&rosters, key, rate(per_second));
        assert_eq!(parts.len(), holders);
        assert!((parts.iter().sum::<f64>() - per_second).abs() < 1e-9);
    }
}

/// Guards against one instance that gets the parts of all upstreams.
#[test]
fn spread_holders() {
    let rosters = rosters(8);
    let held = rosters.iter().map(|r| {
        let parts = (0..400).map(|key| r.rate_part(key, rate(1.0)));
        parts.filter(|p| p.per_second > 0.0).count()
    });
    let held: Vec<_> = held.collect();
    assert!(held.iter().all(|n| (25..=80).contains(n)), "{held:?}");
}

/// Guards against an instance that takes the whole for itself before it has read who the others are.
#[test]
fn list_first() {
    let mut roster = Roster::new("a", Settings::default());
    assert_eq!(roster.rate_part(1, rate(2.0)).per_second, 0.0);
    roster.on_list_read();
    assert_eq!(roster.rate_part(1, rate(2.0)).per_second, 2.0);
}

/// Guards against an instance that wakes from a long pause, takes the silence of the others for their end and uses
/// all parts.
#[test]
fn long_pause() {
    let mut roster = Roster::new("a", Settings::default());
    roster.on_heard(START, &[instance_id("b")]);
    roster.tick(START.plus(100));
    let woken = START.plus(600_000);
    roster.tick(woken);
    assert_eq!(roster.instances(), 2);
    for step in 1..700 {
        roster.tick(woken.plus(step * 100));
    }
    assert_eq!(roster.instances(), 1);
}

/// Guards against parts that both sides of a cut use, and against an instance that has ended for good and keeps
/// its part for ever.
#[test]
fn silent_instance() {
    let mut roster = Roster::new("a", Settings::default());
    roster.on_heard(START, &[instance_id("b")]);
    roster.on_list_read();
    for step in 0..600 {
        roster.tick(START.plus(step * 100));
        assert_eq!(roster.instances(), 2);
    }
    roster.tick(START.plus(60_000));
    assert_eq!(roster.instances(), 1);
}

/// Guards against an instance whose hub sends no lists, which takes those that it does not know for none.
#[test]
fn incomplete_roster() {
    let mut roster = Roster::new("a", Settings::default());
    roster.on_list_read();
    roster.set_reported(8);
    let part = roster.rate_part(1, rate(2.0));
    assert_eq!((part.per_second, part.holders), (0.25, 8));
    let ids: Vec<_> = (1..8).map(|n| instance_id(&name(n))).collect();
    roster.on_heard(START, &ids);
    assert_eq!(roster.rate_part(1, rate(2.0)).holders, 2);
}

/// Guards against lists that keep each other alive: what is passed on to other data centres was heard directly.
#[test]
fn passed_on_lists() {
    let [a, b, c] = ["a", "b", "c"].map(instance_id);
    let mut hub = Roster::new("a", Settings::default());
    hub.on_report(START, b);
    hub.on_heard(START, &[c]);
    let listed = |hub: &mut Roster, now, to, scope| {
        let mut ids = hub.list_for(now, to, scope);
        ids.sort_unstable();
        ids
    };
    let sorted = |mut ids: Vec<u32>| {
        ids.sort_unstable();
        ids
    };
    let now = START.plus(100);
    assert_eq!(
        listed(&mut hub, now, c, Scope::OwnDataCentre),
        sorted(vec![a, b])
    );
    assert_eq!(listed(&mut hub, now, b, Scope::All), sorted(vec![a, b, c]));
    // Each is told once in a while, and silent ones are left out.
    assert!(listed(&mut hub, now.plus(100), b, Scope::All).is_empty());
    let later = START.plus(5_000);
    assert_eq!(listed(&mut hub, later, b, Scope::All), vec![a]);
    // One that was never heard does not count because it is told.
    let _ = listed(&mut hub, later, 77, Scope::All);
    assert_eq!(hub.instances(), 3);
}

/// Guards against a part of a limit while the number of instances is not known.
#[rstest]
#[case::known(Some(4), 14.0, 16)]
#[case::alone(Some(1), 56.0, 64)]
#[case::unknown(None, 0.0, 4)]
#[case::many(Some(500), 0.112, 1)]
fn equal_parts(#[case] instances: Option<u32>, #[case] slack: f64, #[case] connections: u32) {
    assert_eq!(equal_part(56.0, instances), slack);
    assert_eq!(whole_part(64, instances, 16), connections);
}
