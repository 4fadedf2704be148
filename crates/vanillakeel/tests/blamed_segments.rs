//! Which prompt segment is blamed for crashes of upstreams, and when its requests are refused.

use rstest::rstest;
use vanillakeel::{
    Millis,
    order::Random,
    quarantine::{
        Change,
        Quarantine,
        Settings,
        Subject, //
    },
};

const BAD: u64 = 0xbad;

/// First segment of all prompts.
const FIRST: u64 = 1;

const fn second(n: u64) -> Millis {
    Millis::new(100_000 + n * 1_000)
}

fn quarantine() -> Quarantine {
    Quarantine::new(Settings::default())
}

fn segments(ids: &[u64]) -> Vec<Subject> {
    ids.iter().map(|id| Subject::Segment(*id)).collect()
}

fn is_refused(quarantine: &mut Quarantine, now: Millis, segment: u64) -> bool {
    quarantine
        .refuse(now, &segments(&[FIRST, segment]))
        .is_some()
}

/// Guards against a segment that is blamed too early or too late: three crashes are enough for one that
/// nobody has answered, and the other segments of those requests are not refused.
#[test]
fn third_crash() {
    let mut quarantine = quarantine();
    for n in 1..=3 {
        quarantine.on_answered(second(n), &segments(&[FIRST, 100 + n]));
        assert!(!is_refused(&mut quarantine, second(n), BAD));
        let now = second(n).plus(500);
        quarantine.on_crash(now, n, &segments(&[FIRST, BAD]));
        quarantine.on_crash(now, n, &segments(&[FIRST, 100 + n]));
    }
    assert!(is_refused(&mut quarantine, second(4), BAD));
    for n in 1..=3 {
        assert!(!is_refused(&mut quarantine, second(4), 100 + n));
    }
}

/// Guards against a verdict on requests that ran beside others where a machine, a rack or all of them ended.
#[test]
fn many_at_once() {
    let mut quarantine = quarantine();
    for n in 0..40 {
        let ids: Vec<u64> = (1..50).collect();
        quarantine.on_crash(second(1).plus(n * 5), n, &segments(&ids));
    }
    assert!((1..50).all(|segment| !is_refused(&mut quarantine, second(2), segment)));
}

/// Guards against a verdict that comes late since several requests with the segment arrive together: they
/// crash as many upstreams at the same time.
#[test]
fn several_at_once() {
    let mut quarantine = quarantine();
    quarantine.on_answered(second(0), &segments(&[FIRST]));
    for n in 0..4 {
        quarantine.on_crash(second(1), n, &segments(&[FIRST, BAD]));
    }
    assert!(!is_refused(&mut quarantine, second(1), BAD));
    quarantine.on_answered(second(2), &segments(&[FIRST]));
    quarantine.on_crash(second(2).plus(500), 4, &segments(&[FIRST, BAD]));
    assert!(is_refused(&mut quarantine, second(3), BAD));
    assert!(quarantine.refuse(second(3), &segments(&[FIRST])).is_none());
}

/// Guards against a segment that is blamed although upstreams answer it between the crashes.
#[test]
fn answered_in_between() {
    let mut quarantine = quarantine();
    for n in 0..30 {
        quarantine.on_crash(second(n), n, &segments(&[FIRST, 2]));
        quarantine.on_answered(second(n).plus(500), &segments(&[FIRST, 2]));
    }
    assert!(quarantine.is_empty());
}

/// Guards against a segment that is never blamed because it was sound once, before a release for example.
#[test]
fn sound_before() {
    let mut quarantine = quarantine();
    quarantine.on_answered(second(0), &segments(&[BAD]));
    for n in 1..=4 {
        quarantine.on_crash(second(n), n, &segments(&[BAD]));
        assert!(!is_refused(&mut quarantine, second(n), BAD));
    }
    quarantine.on_crash(second(5), 5, &segments(&[BAD]));
    assert!(is_refused(&mut quarantine, second(5), BAD));
}

/// Guards against a wrong verdict that stays: a request that was under way and succeeds lifts it.
#[test]
fn lifted_by_answer() {
    let mut quarantine = quarantine();
    for n in 1..=3 {
        quarantine.on_crash(second(n), n, &segments(&[BAD]));
    }
    let changes = quarantine.on_answered(second(4), &segments(&[BAD]));
    let lifted = Change::Lifted {
        subject: Subject::Segment(BAD),
        is_answered: true,
    };
    assert_eq!(changes, [lifted]);
    assert!(!is_refused(&mut quarantine, second(4), BAD));
}

/// Guards against a quarantine that only the instance lifts that has seen the success, while the others refuse
/// the segment for as long as it is asked for.
#[test]
fn lifted_for_others() {
    let (mut seeing, mut other) = (quarantine(), quarantine());
    for n in 1..=3 {
        seeing.on_crash(second(n), n, &segments(&[BAD]));
    }
    other.on_evidence(second(4), &seeing.evidence(second(4)));
    assert!(is_refused(&mut other, second(4), BAD));
    seeing.on_answered(second(5), &segments(&[BAD]));
    // The news of the success itself are lost.
    let later = second(10);
    seeing.on_evidence(later, &other.evidence(later));
    other.on_evidence(later, &seeing.evidence(later));
    assert!(!is_refused(&mut other, later, BAD));
    assert!(!is_refused(&mut seeing, later, BAD));
}

/// Guards against requests that reach upstreams again while they go on coming, and against a segment that is
/// refused for ever after they have ended.
#[test]
fn held_while_asked() {
    let settings = Settings {
        hold_ms: 10_000,
        ..Settings::default()
    };
    let mut quarantine = Quarantine::new(settings);
    for n in 1..=3 {
        quarantine.on_crash(second(n), n, &segments(&[BAD]));
    }
    for n in 0..20 {
        assert!(is_refused(&mut quarantine, second(4 + 5 * n), BAD));
    }
    assert!(!is_refused(&mut quarantine, second(4 + 5 * 19 + 10), BAD));
}

/// Guards against instances that each see too few crashes: what they tell each other adds up, also if most
/// datagrams are lost, and one that starts later learns the verdict.
#[test]
fn told_to_others() {
    let mut random = Random::new(7);
    let mut all: Vec<Quarantine> = (0..4).map(|_| quarantine()).collect();
    let mut now = second(1);
    for n in 0..3_usize {
        all[n].on_answered(now, &segments(&[FIRST, 100 + n as u64]));
        all[n].on_crash(now.plus(300), n as u64, &segments(&[FIRST, BAD]));
        for _ in 0..10 {
            now = now.plus(100);
            for from in 0..4 {
                let evidence = all[from].evidence(now);
                for (_, to) in all.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                    if random.below(100) < 40 {
                        to.on_evidence(now, &evidence);
                    }
                }
            }
        }
    }
    assert!(all.iter_mut().all(|q| is_refused(q, now, BAD)));
    assert!(all.iter_mut().all(|q| !is_refused(q, now, 100)));
    let mut late = quarantine();
    late.on_evidence(second(60), &all[0].evidence(second(60)));
    assert!(is_refused(&mut late, second(60), BAD));
}

/// Guards against a caller who gets the segments of others refused by naming them in its own requests.
#[test]
fn segments_of_others() {
    let mut quarantine = quarantine();
    for n in 1..=6 {
        quarantine.on_answered(second(n), &segments(&[FIRST, 2]));
        quarantine.on_crash(second(n).plus(500), n, &segments(&[FIRST, 2, BAD]));
    }
    assert!(is_refused(&mut quarantine, second(7), BAD));
    assert!(!is_refused(&mut quarantine, second(7), 2));
    assert!(quarantine.refuse(second(7), &segments(&[FIRST])).is_none());
}

/// Guards against memory that callers can fill.
#[test]
fn bounded_memory() {
    let mut quarantine = quarantine();
    for n in 0..50_000 {
        quarantine.on_answered(Millis::new(n), &segments(&[n]));
        quarantine.on_crash(Millis::new(n), n, &segments(&[n, n + 1]));
    }
    let evidence = quarantine.evidence(Millis::new(50_000));
    assert!(evidence.crashes.len() <= 64, "{}", evidence.crashes.len());
    assert!(quarantine.len() <= 64);
    let known = (0..50_000)
        .filter(|n| quarantine.are_answered(&segments(&[*n])))
        .count();
    assert!(known <= 4_096, "{known}");
}

/// Guards against an exempt segment that is refused, by the own verdict or by that of another instance.
#[rstest]
#[case::own(true)]
#[case::of_another(false)]
fn exempt(#[case] is_own: bool) {
    let settings = Settings {
        exempt: segments(&[BAD]),
        ..Settings::default()
    };
    let (mut exempting, mut other) = (Quarantine::new(settings.clone()), quarantine());
    let judge = if is_own { &mut exempting } else { &mut other };
    for n in 1..=3 {
        judge.on_crash(second(n), n, &segments(&[BAD]));
    }
    exempting.on_evidence(second(4), &other.evidence(second(4)));
    assert!(!is_refused(&mut exempting, second(4), BAD));
    let lifted = other.set_settings(settings).len();
    assert_eq!(lifted, usize::from(!is_own));
}
