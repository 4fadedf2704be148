//! Which models are moved for what is due.

use rstest::rstest;
use vanillakeel::{
    Config, Millis,
    placement::{
        Change,
        LEAD_MS,
        Observed,
        Order,
        Placement,
        Settings,
        needs, //
    },
};

/// 2026-12-04T08:00:00Z in ms since 1970.
const EIGHT_MS: u64 = 1_796_371_200_000;
const MINUTE_MS: u64 = 60_000;

const TEXT: &str = r#"
    [[pool]]
    name = "models"
    kind = "model"

    [[service]]
    name = "deeds"
    pool = "models"
    model = "writer"
    depends_on = ["clauses"]

    [[service]]
    name = "clauses"
    pool = "models"
    model = "reader"

    [[service]]
    name = "archive"
    pool = "models"
    model = "filer"
    replicas = 2

    [[event]]
    name = "tender"
    service = "deeds"
    start = "2026-12-04T08:20:00Z"
    replicas = 2
"#;

fn text() -> Config {
    Config::parse(TEXT).expect("a good text")
}

fn observed(upstream: &str, model: &str) -> Observed {
    Observed {
        upstream: upstream.into(),
        pool: "models".into(),
        models: if model.is_empty() {
            Vec::new()
        } else {
            vec![model.into()]
        },
        loading: None,
    }
}

#[rstest]
#[case::long_before(EIGHT_MS - 60 * MINUTE_MS, None, 1)]
#[case::in_the_lead(EIGHT_MS, Some(EIGHT_MS + 20 * MINUTE_MS), 2)]
#[case::after_its_end(EIGHT_MS + 81 * MINUTE_MS, None, 1)]
fn event_raises_need(#[case] wall_ms: u64, #[case] due: Option<u64>, #[case] replicas: u32) {
    let needs = needs(&text(), wall_ms, LEAD_MS);
    let of = |name: &str| needs.iter().find(|n| &*n.service == name).expect("a need");
    assert_eq!((of("deeds").due_ms, of("deeds").replicas), (due, replicas));
    // What the event's service needs is due as early.
    assert_eq!(of("clauses").due_ms, due);
    assert_eq!(of("archive").due_ms, None);
}

fn change(order: &Order) -> (&str, &str, Change) {
    (&order.upstream, &order.model, order.change)
}

#[test]
fn spare_replica_moved() {
    let needs = needs(&text(), EIGHT_MS, LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let mut seen = vec![
        observed("r1", "writer"),
        observed("r2", "reader"),
        observed("r3", "filer"),
        observed("r4", "filer"),
    ];
    let mut at = |ms: u64, seen: &[Observed]| {
        placement.reconcile(Millis::new(ms), EIGHT_MS + ms, &needs, seen)
    };
    let first = at(0, &seen);
    assert_eq!(
        first.iter().map(change).collect::<Vec<_>>(),
        [("r3", "filer", Change::Drain)]
    );
    assert_eq!(at(1_000, &seen), []);
    let second = at(3_000, &seen);
    assert_eq!(
        second.iter().map(change).collect::<Vec<_>>(),
        [("r3", "filer", Change::Unload)]
    );
    seen[2].models.clear();
    let third = at(4_000, &seen);
    assert_eq!(
        third.iter().map(change).collect::<Vec<_>>(),
        [("r3", "writer", Change::Load)]
    );
    assert_eq!(at(5_000, &seen), []);
}

/// Found on sockets: while one upstream was drained for a need, others were drained for it too.
#[test]
fn no_more_than_missing_moved() {
    let needs = needs(&text(), EIGHT_MS - 60 * MINUTE_MS, LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let mut seen: Vec<Observed> = (0..8)
        .map(|n| observed(&format!("r{n}"), "filer"))
        .collect();
    seen[0] = observed("r0", "writer");
    let mut moved = 0;
    for ms in (0..30_000).step_by(500) {
        let orders = placement.reconcile(Millis::new(ms), EIGHT_MS, &needs, &seen);
        for order in orders {
            let at = seen.iter().position(|o| o.upstream == order.upstream);
            let models = &mut seen[at.expect("an upstream")].models;
            match order.change {
                Change::Drain => moved += 1,
                Change::Unload => models.clear(),
                Change::Load => models.push(order.model),
            }
        }
    }
    // Only the reader was missing.
    assert_eq!(moved, 1);
}

/// Found on sockets: an upstream was drained although a later one had room.
#[test]
fn room_used_first() {
    let needs = needs(&text(), EIGHT_MS - 60 * MINUTE_MS, LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let mut seen: Vec<Observed> = (0..4)
        .map(|n| observed(&format!("r{n}"), "filer"))
        .collect();
    seen[0] = observed("r0", "writer");
    seen.push(observed("r4", ""));
    let orders = placement.reconcile(Millis::ZERO, EIGHT_MS, &needs, &seen);
    assert_eq!(
        orders.iter().map(change).collect::<Vec<_>>(),
        [("r4", "reader", Change::Load)]
    );
}

#[test]
fn last_replica_kept() {
    let needs = needs(&text(), EIGHT_MS, LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let seen = [
        observed("r1", "writer"),
        observed("r2", "reader"),
        observed("r3", "filer"),
    ];
    let orders = placement.reconcile(Millis::ZERO, EIGHT_MS, &needs, &seen);
    assert_eq!(orders, []);
}

#[test]
fn store_rate_kept() {
    let needs = needs(&text(), EIGHT_MS, LEAD_MS);
    let mut placement = Placement::new(Settings {
        loads_at_once: 1,
        ..Settings::default()
    });
    let seen: Vec<Observed> = (0..6).map(|n| observed(&format!("r{n}"), "")).collect();
    let orders = placement.reconcile(Millis::ZERO, EIGHT_MS, &needs, &seen);
    // The earliest due goes first: what the event needs, by name.
    assert_eq!(
        orders.iter().map(change).collect::<Vec<_>>(),
        [("r0", "reader", Change::Load)]
    );
}

#[rstest]
#[case::in_time(20 * MINUTE_MS, 0)]
#[case::just_in_time(20_000, 0)]
#[case::too_late(19_999, 1)]
fn risk_told(#[case] before_ms: u64, #[case] risks: usize) {
    let wall_ms = EIGHT_MS + 20 * MINUTE_MS - before_ms;
    let needs = needs(&text(), wall_ms, LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let seen = [observed("r1", "reader"), observed("r2", "filer")];
    placement.reconcile(Millis::ZERO, wall_ms, &needs, &seen);
    let late = placement.risks().iter().filter(|r| &*r.service == "deeds");
    assert_eq!(late.count(), risks);
}
