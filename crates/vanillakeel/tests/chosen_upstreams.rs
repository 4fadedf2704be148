//! Where passed requests go, under the loads that operators meet.

use rstest::rstest;
use std::sync::Arc;
use vanillakeel::{
    Millis,
    fleet::{
        Ask,
        End,
        Fleet,
        Listed,
        Part,
        Pick,
        Settings,
        Ticket, //
    },
    membership::State,
};

const NOW: Millis = Millis::new(100_000);

fn listed(at: usize) -> Listed {
    Listed {
        name: Arc::from(format!("runner-{at}")),
        service: Arc::from("deeds"),
        slots: 48,
        ..Listed::default()
    }
}

/// A fleet as one of several instances sees it; they differ in their seeds.
fn fleet(upstreams: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(Settings::default(), seed);
    for at in 0..upstreams {
        fleet.on_listed(&listed(at));
    }
    fleet
}

fn long_prompt(subject: u64, own: u64) -> [Part; 2] {
    let shared = Part {
        id: subject,
        tokens: 13_000,
    };
    [
        shared,
        Part {
            id: own,
            tokens: 2_000,
        },
    ]
}

fn ask(parts: &[Part]) -> Ask<'_> {
    Ask {
        service: "deeds",
        parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        priority: 2,
        target_ms: 2_000,
        tried: &[],
    }
}

fn send(fleet: &mut Fleet, now: Millis, ask: &Ask<'_>) -> (Pick, Ticket) {
    let pick = fleet.choose(now, ask).expect("an upstream");
    let ticket = fleet.on_send(now, &pick, ask);
    (pick, ticket)
}

/// Without a message, all instances send a subject to the same home, which reads it once.
#[test]
fn same_home() {
    for subject in 1..40 {
        let parts = long_prompt(subject, 1_000);
        let homes: Vec<_> = (0..8)
            .map(|seed| fleet(9, seed).choose(NOW, &ask(&parts)).expect("a home"))
            .collect();
        assert!(homes.iter().all(|p| p.name == homes[0].name));
        assert!(homes.iter().all(|p| p.tokens_to_read == 2_000));
    }
}

/// Pattern: one subject gets much of the traffic.
///
/// It spreads over several upstreams, far fewer than all, and no queue outgrows the others.
#[test]
fn hot_subject() {
    let mut fleet = fleet(30, 1);
    let mut used = Vec::new();
    for own in 0..60 {
        let parts = long_prompt(7, 1_000 + own);
        let (pick, _) = send(&mut fleet, NOW, &ask(&parts));
        used.push(pick.name);
    }
    used.sort();
    used.dedup();
    assert!((3..=15).contains(&used.len()), "{} upstreams", used.len());
}

/// Pattern: a burst of many subjects at once, seen late by all instances.
///
/// Instances that know the same old load don't all send to the same upstream.
#[test]
fn burst_of_subjects() {
    let mut busiest = [0; 30];
    for seed in 0..20 {
        let mut fleet = fleet(30, seed);
        for subject in 0..15 {
            let parts = long_prompt(seed * 100 + subject, 9_000 + subject);
            let (pick, _) = send(&mut fleet, NOW, &ask(&parts));
            let at: usize = pick.name["runner-".len()..].parse().expect("a number");
            busiest[at] += 1;
        }
    }
    let most = busiest.iter().max().copied().unwrap_or(0);
    assert!(most <= 25, "one upstream of 30 got {most} of 300");
}

/// Pattern: a burst of many subjects; a part that is read again at another upstream takes time from
/// all that wait there, so a subject stays at its home while the queue there is bearable.
#[test]
fn home_in_burst() {
    let parts = long_prompt(7, 70);
    let mut fleet = fleet(9, 1);
    let (home, _) = send(&mut fleet, NOW, &ask(&parts));
    for n in 0..25 {
        // 50,000 tokens of other subjects make callers wait for a second.
        let other = [Part {
            id: 1_000 + n,
            tokens: 2_000,
        }];
        fleet.on_send(
            NOW,
            &home,
            &Ask {
                parts: &other,
                ..ask(&other)
            },
        );
    }
    let pick = fleet.choose(NOW, &ask(&parts)).expect("an upstream");
    assert!(pick.wait_ms >= 900, "{pick:?}");
    assert_eq!(pick.name, home.name);
}

/// Pattern: long prompts beside many short requests whose tokens must not wait.
#[test]
fn light_prompts_apart() {
    let mut fleet = fleet(12, 1);
    let mut light = Vec::new();
    for own in 0..60 {
        let parts = [Part {
            id: 50_000 + own,
            tokens: 900,
        }];
        let (pick, _) = send(&mut fleet, NOW, &ask(&parts));
        light.push(pick.name);
    }
    let settled = light.split_off(20);
    let mut heavy = Vec::new();
    for subject in 1..40 {
        let parts = long_prompt(subject, 1_000 + subject);
        let (pick, _) = send(&mut fleet, NOW, &ask(&parts));
        heavy.push(pick.name);
    }
    assert!(heavy.iter().all(|name| !settled.contains(name)));
}

/// Pattern: half of the pool is gone.
#[test]
fn half_gone() {
    let mut fleet = fleet(10, 1);
    for at in 0..5 {
        fleet.on_removed(&format!("runner-{at}"));
    }
    for subject in 1..50 {
        let parts = long_prompt(subject, 1_000);
        let pick = fleet.choose(NOW, &ask(&parts)).expect("an upstream");
        assert!(*pick.name >= *"runner-5");
    }
}

/// Pattern: all of the pool fails a part of its requests.
///
/// A bounded part is ejected, the rest goes on serving.
#[test]
fn all_grey() {
    let mut fleet = fleet(6, 1);
    for n in 0..100 {
        let parts = long_prompt(n, 1_000);
        let (_, ticket) = send(&mut fleet, NOW, &ask(&parts));
        fleet.on_end(NOW, ticket, End::Failed);
    }
    assert!(fleet.choose(NOW, &ask(&long_prompt(1, 2))).is_some());
}

#[test]
fn unreached_ejected() {
    let mut fleet = fleet(6, 1);
    let parts = long_prompt(1, 2);
    let (first, ticket) = send(&mut fleet, NOW, &ask(&parts));
    fleet.on_end(NOW, ticket, End::Unreached);
    let second = fleet.choose(NOW, &ask(&parts)).expect("another");
    assert_ne!(first.name, second.name);
    let later = NOW.plus(5_000);
    let third = fleet.choose(later, &ask(&parts)).expect("a probe");
    assert_eq!(first.name, third.name);
}

#[rstest]
#[case::older_record(0, State::Live, false)]
#[case::new_incarnation(1, State::Live, true)]
fn leaving_for_good(#[case] incarnation: u64, #[case] state: State, #[case] is_used: bool) {
    let mut fleet = fleet(1, 1);
    fleet.on_listed(&Listed {
        state: State::Leaving,
        ..listed(0)
    });
    fleet.on_listed(&Listed {
        incarnation,
        state,
        ..listed(0)
    });
    assert_eq!(fleet.choose(NOW, &ask(&[])).is_some(), is_used);
}

/// A new incarnation has cached nothing and has nothing in flight; an end of a call to the old one
/// changes nothing.
#[test]
fn restarted_upstream() {
    let mut fleet = fleet(1, 1);
    let parts = long_prompt(1, 2);
    let (_, ticket) = send(&mut fleet, NOW, &ask(&parts));
    fleet.on_listed(&Listed {
        incarnation: 9,
        ..listed(0)
    });
    assert_eq!(fleet.loads().iter().count(), 0);
    fleet.on_end(NOW, ticket, End::Failed);
    let (_, ticket) = send(&mut fleet, NOW, &ask(&parts));
    fleet.on_end(NOW, ticket, End::Good);
    assert_eq!(fleet.loads().iter().count(), 0);
}

#[test]
fn told_reads() {
    let mut sender = fleet(4, 1);
    let mut other = fleet(4, 2);
    // The home is not tried again, so another upstream reads the subject.
    let parts = long_prompt(5, 6);
    let home = sender.choose(NOW, &ask(&parts)).expect("a home").name;
    let tried = [home];
    let again = Ask {
        tried: &tried,
        ..ask(&parts)
    };
    let before = other.choose(NOW, &again).expect("another");
    assert_eq!(before.tokens_to_read, 15_000);
    send(&mut sender, NOW, &again);
    for read in sender.reads(NOW) {
        other.on_read(NOW, read.part, read.upstream);
    }
    let after = other.choose(NOW, &again).expect("the same");
    assert_eq!((after.name, after.tokens_to_read), (before.name, 2_000));
}

/// Pattern: an instance that is cut off from the others sends short prompts of its own.
///
/// It uses as many upstreams for them as all instances together do, not the first one only.
#[test]
fn cut_off_instance() {
    let mut used = Vec::new();
    let mut fleet = fleet(30, 1);
    fleet.set_unheard_factor(40.0);
    for own in 0..30 {
        let parts = [Part {
            id: 50_000 + own,
            tokens: 900,
        }];
        let (pick, _) = send(&mut fleet, NOW, &ask(&parts));
        used.push(pick.name);
    }
    used.sort();
    used.dedup();
    assert!(used.len() >= 10, "{} upstreams", used.len());
}
