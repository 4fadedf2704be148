//! Reconciliation of the models on upstreams with the configured services and events.

use rstest::rstest;
use vanillakeel::{
    Config, Millis,
    placement::{
        Command,
        CommandKind,
        EVENT_LEAD_MS,
        Observed,
        Placement,
        Settings,
        requirements, //
    },
};

/// 2026-12-04T08:00:00Z in ms since the Unix epoch.
const EIGHT_MS: u64 = 1_796_371_200_000;
const MINUTE_MS: u64 = 60_000;

const CONFIG_TOML: &str = r#"
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

fn config() -> Config {
    Config::parse(CONFIG_TOML).expect("a valid configuration")
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

/// Guards against an event that raises requirements outside its time, or not those of the services
/// that its own service depends on.
#[rstest]
#[case::long_before(EIGHT_MS - 60 * MINUTE_MS, None, 1)]
#[case::in_the_lead(EIGHT_MS, Some(EIGHT_MS + 20 * MINUTE_MS), 2)]
#[case::after_its_end(EIGHT_MS + 81 * MINUTE_MS, None, 1)]
fn event_raises_requirement(#[case] wall_ms: u64, #[case] due: Option<u64>, #[case] replicas: u32) {
    let requirements = requirements(&config(), wall_ms, EVENT_LEAD_MS);
    let of = |name: &str| {
        requirements
            .iter()
            .find(|r| &*r.service == name)
            .expect("a requirement")
    };
    assert_eq!((of("deeds").due_ms, of("deeds").replicas), (due, replicas));
    // Dependencies of the event's service inherit its due time.
    assert_eq!(of("clauses").due_ms, due);
    assert_eq!(of("archive").due_ms, None);
}

fn parts(command: &Command) -> (&str, &str, CommandKind) {
    (&command.upstream, &command.model, command.kind)
}

/// Guards the sequence of a move: drain, unload after the drain time, load once there is room, and
/// no repeated commands meanwhile.
#[test]
fn spare_replica_moved() {
    let requirements = requirements(&config(), EIGHT_MS, EVENT_LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let mut reports = vec![
        observed("r1", "writer"),
        observed("r2", "reader"),
        observed("r3", "filer"),
        observed("r4", "filer"),
    ];
    let mut at = |ms: u64, reports: &[Observed]| {
        placement.reconcile(Millis::new(ms), EIGHT_MS + ms, &requirements, reports)
    };
    let first = at(0, &reports);
    assert_eq!(
        first.iter().map(parts).collect::<Vec<_>>(),
        [("r3", "filer", CommandKind::Drain)]
    );
    assert_eq!(at(1_000, &reports), []);
    let second = at(3_000, &reports);
    assert_eq!(
        second.iter().map(parts).collect::<Vec<_>>(),
        [("r3", "filer", CommandKind::Unload)]
    );
    reports[2].models.clear();
    let third = at(4_000, &reports);
    assert_eq!(
        third.iter().map(parts).collect::<Vec<_>>(),
        [("r3", "writer", CommandKind::Load)]
    );
    assert_eq!(at(5_000, &reports), []);
}

/// Guards against draining further upstreams for a requirement while one is being drained for it.
///
/// It happens if only loads under way, and not pending drains, count as incoming replicas.
#[test]
fn no_more_than_missing_moved() {
    let requirements = requirements(&config(), EIGHT_MS - 60 * MINUTE_MS, EVENT_LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let mut reports: Vec<Observed> = (0..8)
        .map(|n| observed(&format!("r{n}"), "filer"))
        .collect();
    reports[0] = observed("r0", "writer");
    let mut moved = 0;
    for ms in (0..30_000).step_by(500) {
        let commands = placement.reconcile(Millis::new(ms), EIGHT_MS, &requirements, &reports);
        for command in commands {
            let at = reports.iter().position(|o| o.upstream == command.upstream);
            let models = &mut reports[at.expect("an upstream")].models;
            match command.kind {
                CommandKind::Drain => moved += 1,
                CommandKind::Unload => models.clear(),
                CommandKind::Load => models.push(command.model),
            }
        }
    }
    // Only one replica of the reader was missing.
    assert_eq!(moved, 1);
}

/// Guards against draining an upstream although one later in the list has room.
#[test]
fn room_used_first() {
    let requirements = requirements(&config(), EIGHT_MS - 60 * MINUTE_MS, EVENT_LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let mut reports: Vec<Observed> = (0..4)
        .map(|n| observed(&format!("r{n}"), "filer"))
        .collect();
    reports[0] = observed("r0", "writer");
    reports.push(observed("r4", ""));
    let commands = placement.reconcile(Millis::ZERO, EIGHT_MS, &requirements, &reports);
    assert_eq!(
        commands.iter().map(parts).collect::<Vec<_>>(),
        [("r4", "reader", CommandKind::Load)]
    );
}

/// Guards against a service that loses its last replica to an event.
#[test]
fn last_replica_kept() {
    let requirements = requirements(&config(), EIGHT_MS, EVENT_LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let reports = [
        observed("r1", "writer"),
        observed("r2", "reader"),
        observed("r3", "filer"),
    ];
    let commands = placement.reconcile(Millis::ZERO, EIGHT_MS, &requirements, &reports);
    assert_eq!(commands, []);
}

/// Guards against more concurrent loads than the weight store can serve.
#[test]
fn concurrent_loads_limited() {
    let requirements = requirements(&config(), EIGHT_MS, EVENT_LEAD_MS);
    let mut placement = Placement::new(Settings {
        max_concurrent_loads: 1,
        ..Settings::default()
    });
    let reports: Vec<Observed> = (0..6).map(|n| observed(&format!("r{n}"), "")).collect();
    let commands = placement.reconcile(Millis::ZERO, EIGHT_MS, &requirements, &reports);
    // Requirements due first come first, and those due at the same time by service name.
    assert_eq!(
        commands.iter().map(parts).collect::<Vec<_>>(),
        [("r0", "reader", CommandKind::Load)]
    );
}

/// Guards against a risk that is missed, or reported although the load ends in time.
#[rstest]
#[case::in_time(20 * MINUTE_MS, 0)]
#[case::just_in_time(20_000, 0)]
#[case::too_late(19_999, 1)]
fn risk_reported(#[case] before_ms: u64, #[case] risks: usize) {
    let wall_ms = EIGHT_MS + 20 * MINUTE_MS - before_ms;
    let requirements = requirements(&config(), wall_ms, EVENT_LEAD_MS);
    let mut placement = Placement::new(Settings::default());
    let reports = [observed("r1", "reader"), observed("r2", "filer")];
    placement.reconcile(Millis::ZERO, wall_ms, &requirements, &reports);
    let late = placement.risks().iter().filter(|r| &*r.service == "deeds");
    assert_eq!(late.count(), risks);
}
