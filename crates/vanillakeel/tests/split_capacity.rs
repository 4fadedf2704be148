//! Split of a pool's capacity between instances.

use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    share::{
        Message,
        Mode,
        Settings,
        Share, //
    },
};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn shares() -> Vec<Share> {
    let make = |name: &&str| {
        let mut share = Share::new(
            name,
            Settings {
                overcommit: 1.0,
                ..Settings::default()
            },
        );
        share.set_peers(NAMES.into_iter());
        share
    };
    NAMES.iter().map(make).collect()
}

/// Ticks all shares, delivers their messages and returns the number of messages.
fn exchange_messages(shares: &mut [Share], now: Millis, demands: &[u32]) -> usize {
    let mut sent: Vec<(usize, Arc<str>, Message)> = Vec::new();
    for (at, share) in shares.iter_mut().enumerate() {
        let out = share.tick(now, demands[at]);
        sent.extend(out.into_iter().map(|(to, m)| (at, to, m)));
    }
    for (from, to, message) in &sent {
        let at = NAMES.iter().position(|n| *n == &**to).expect("a name");
        shares[at].on_message(now, NAMES[*from], *message);
    }
    sent.len()
}

/// Guards against an even split under uneven demand, against instances left without any capacity
/// and against grants that add up to more than the pool.
#[test]
fn capacity_follows_demand() {
    let mut shares = shares();
    for t in 0..10 {
        exchange_messages(&mut shares, Millis::new(t * 1_000), &[90, 10, 0, 0]);
    }
    let now = Millis::new(9_500);
    let limits: Vec<u32> = shares.iter().map(|s| s.limit(now, 64)).collect();
    assert!(limits[0] > 40, "{limits:?}");
    assert!(limits.iter().all(|l| *l >= 1), "{limits:?}");
    assert!(limits.iter().sum::<u32>() <= 64 + 2, "{limits:?}");
}

/// Guards against grants that outlive their coordinator: once it stops sending, each instance goes
/// back to an even split.
#[test]
fn even_without_coordinator() {
    let mut shares = shares();
    exchange_messages(&mut shares, Millis::ZERO, &[90, 10, 0, 0]);
    exchange_messages(&mut shares, Millis::new(1_000), &[90, 10, 0, 0]);
    let later = Millis::new(20_000);
    assert!(shares.iter().all(|s| s.limit(later, 64) == 16));
}

/// Guards against a flood of messages when demand changes at every tick.
#[test]
fn messages_rate_limited() {
    let mut shares = shares();
    let mut sent = 0;
    for t in 0..500 {
        let fluctuating = [t as u32 % 97, t as u32 % 31, t as u32 % 13, 5];
        sent += exchange_messages(&mut shares, Millis::new(t * 20), &fluctuating);
    }
    // Three demands and three grants in each of ten seconds, and one round at the start.
    assert!(sent <= 66, "{sent}");
}

/// Guards against acting on messages of unknown instances, and grants of instances other than the
/// coordinator.
#[rstest]
#[case::stranger("x", Message::Demand(900))]
#[case::not_the_coordinator("x", Message::Grant(900))]
fn strangers_ignored(#[case] from: &str, #[case] message: Message) {
    let mut shares = shares();
    for share in &mut shares {
        share.on_message(Millis::ZERO, from, message);
        share.tick(Millis::ZERO, 0);
        assert!(share.limit(Millis::ZERO, 64) <= 16);
    }
}

/// Guards against a learned limit that doesn't grow with fast first tokens, or doesn't shrink with
/// slow ones.
#[test]
fn learned_limit_moves() {
    let mut share = Share::new(
        "a",
        Settings {
            mode: Mode::Learned,
            ..Settings::default()
        },
    );
    let start = share.limit(Millis::ZERO, 64);
    (0..100).for_each(|_| share.on_first_token(true));
    let more = share.limit(Millis::ZERO, 64);
    (0..10).for_each(|_| share.on_first_token(false));
    assert!(start < more && share.limit(Millis::ZERO, 64) < more);
}

/// Guards against one instance coordinating all pools: pools of different ranks need different
/// coordinators.
#[test]
fn pools_have_distinct_coordinators() {
    let mut coordinators: Vec<usize> = Vec::new();
    for rank in 0..NAMES.len() {
        let mut shares = shares();
        shares.iter_mut().for_each(|s| s.set_rank(rank));
        let messages = |share: &mut Share| share.tick(Millis::ZERO, 5);
        let coordinator = shares.iter_mut().position(|s| messages(s).is_empty());
        coordinators.push(
            coordinator.expect("one instance is the coordinator, which sends itself no demand"),
        );
    }
    coordinators.dedup();
    assert_eq!(coordinators.len(), NAMES.len());
}
