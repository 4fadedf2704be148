//! Placement on real sockets: an engine is moved to a model that no engine holds.
//!
//! This covers the lease, the recorded intent, the drain, the commands to the engine and the weight
//! store.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use vanillakeel_bench::{
    CONFIG,
    cluster::{
        Cluster,
        MODEL,
        Options, //
    },
};

/// A service whose model no engine holds at the start.
const EXTRA_SERVICE: &str = r#"
[[service]]
name = "clauses"
pool = "models"
model = "clause-reader"
"#;

/// Time within which the engine has to be moved, far longer than it takes.
const TIMEOUT: Duration = Duration::from_secs(60);

fn holders(cluster: &Cluster, model: &str) -> usize {
    let holds = |models: Vec<String>| models.iter().any(|m| m == model);
    cluster.engines.iter().filter(|e| holds(e.models())).count()
}

/// Guards against a model that stays without an engine, and against a move that takes more than one
/// engine from the model in use.
#[test]
fn spare_engine_moved() {
    let config = format!("{CONFIG}{EXTRA_SERVICE}");
    let cluster = Cluster::start(Options::default(), &config).expect("cluster starts");
    assert_eq!(
        (holders(&cluster, MODEL), holders(&cluster, "clause-reader")),
        (3, 0)
    );
    let start = Instant::now();
    while holders(&cluster, "clause-reader") == 0 {
        assert!(start.elapsed() < TIMEOUT, "no engine was moved");
        assert!(
            holders(&cluster, MODEL) >= 2,
            "more than one engine was taken"
        );
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(
        (holders(&cluster, MODEL), holders(&cluster, "clause-reader")),
        (2, 1)
    );
    assert_eq!(cluster.weight_store.refused(), 0);
}
