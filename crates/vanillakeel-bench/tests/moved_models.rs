//! Capacity moves to what needs it, on real sockets: lease, intent, drain, orders, weight store.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use vanillakeel_bench::{
    TEXT,
    rig::{
        MODEL,
        Options,
        Rig, //
    },
};

/// A service whose model no engine holds at the start.
const MORE: &str = r#"
[[service]]
name = "clauses"
pool = "models"
model = "clause-reader"
"#;

/// Time for the move, far longer than it takes.
const PATIENCE: Duration = Duration::from_secs(60);

fn holders(rig: &Rig, model: &str) -> usize {
    let holds = |models: Vec<String>| models.iter().any(|m| m == model);
    rig.engines.iter().filter(|e| holds(e.models())).count()
}

#[test]
fn spare_engine_moved() {
    let text = format!("{TEXT}{MORE}");
    let rig = Rig::start(Options::default(), &text).expect("a rig");
    assert_eq!(
        (holders(&rig, MODEL), holders(&rig, "clause-reader")),
        (3, 0)
    );
    let start = Instant::now();
    while holders(&rig, "clause-reader") == 0 {
        assert!(start.elapsed() < PATIENCE, "no engine was moved");
        assert!(holders(&rig, MODEL) >= 2, "more than one engine was taken");
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(
        (holders(&rig, MODEL), holders(&rig, "clause-reader")),
        (2, 1)
    );
    assert_eq!(rig.weights.refused(), 0);
}
