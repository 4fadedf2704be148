//! How a pool's capacity is split between instances.

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
                fill: 1.0,
                ..Settings::default()
            },
        );
        share.set_peers(NAMES.into_iter());
        share
    };
    NAMES.iter().map(make).collect()
}

/// Lets all shares do their periodic work and hands on their messages; returns how many.
fn round(shares: &mut [Share], now: Millis, demands: &[u32]) -> usize {
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

#[test]
fn demand_gets_more() {
    let mut shares = shares();
    for t in 0..10 {
        round(&mut shares, Millis::new(t * 1_000), &[90, 10, 0, 0]);
    }
    let now = Millis::new(9_500);
    let limits: Vec<u32> = shares.iter().map(|s| s.limit(now, 64)).collect();
    assert!(limits[0] > 40, "{limits:?}");
    assert!(limits.iter().all(|l| *l >= 1), "{limits:?}");
    assert!(limits.iter().sum::<u32>() <= 64 + 2, "{limits:?}");
}

#[test]
fn silent_owner_means_even() {
    let mut shares = shares();
    round(&mut shares, Millis::ZERO, &[90, 10, 0, 0]);
    round(&mut shares, Millis::new(1_000), &[90, 10, 0, 0]);
    let later = Millis::new(20_000);
    assert!(shares.iter().all(|s| s.limit(later, 64) == 16));
}

#[test]
fn messages_paced() {
    let mut shares = shares();
    let mut sent = 0;
    for t in 0..500 {
        let wild = [t as u32 % 97, t as u32 % 31, t as u32 % 13, 5];
        sent += round(&mut shares, Millis::new(t * 20), &wild);
    }
    // Three demands and three grants in each of ten seconds, and one round at the start.
    assert!(sent <= 66, "{sent}");
}

#[rstest]
#[case::stranger("x", Message::Demand(900))]
#[case::not_the_owner("x", Message::Grant(900))]
fn strangers_ignored(#[case] from: &str, #[case] message: Message) {
    let mut shares = shares();
    for share in &mut shares {
        share.on_message(Millis::ZERO, from, message);
        share.tick(Millis::ZERO, 0);
        assert!(share.limit(Millis::ZERO, 64) <= 16);
    }
}

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

#[test]
fn pools_have_owners_of_their_own() {
    let mut owners: Vec<usize> = Vec::new();
    for rank in 0..NAMES.len() {
        let mut shares = shares();
        shares.iter_mut().for_each(|s| s.set_rank(rank));
        let grants = |share: &mut Share| share.tick(Millis::ZERO, 5);
        let silent = shares.iter_mut().position(|s| grants(s).is_empty());
        owners.push(silent.expect("an owner, which sends itself no demand"));
    }
    owners.dedup();
    assert_eq!(owners.len(), NAMES.len());
}
