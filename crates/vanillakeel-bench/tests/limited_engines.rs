//! Engines that name rate limits, on real sockets.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use vanillakeel_bench::{
    CLASSES, CONFIG,
    cluster::{
        Cluster,
        MODEL,
        Options, //
    },
    load::{
        self,
        CallResult,
        Class, //
    },
};
use vanillakeel_standin::Fault;

/// Index of the class of drafts in `CLASSES`.
const DRAFT: usize = 2;

/// Requests a second that the engine names.
const RATE: f64 = 2.0;

/// Time for which requests are sent.
const LENGTH: Duration = Duration::from_secs(12);

/// Time between two readings of the number of requests that the engine has received.
const SAMPLE_PAUSE: Duration = Duration::from_millis(100);

/// Readings in a window of four seconds, and after the first one that count.
const WINDOW: usize = 40;
const FIRST: usize = 30;

/// Most requests in a window: one and a half times what the rate allows, and five.
const ALLOWED: u64 = (RATE * 4.0 * 1.5) as u64 + 5;

/// One of two engines names a limit.
///
/// Guards against instances that ignore it, or that each hold it for itself.
#[test]
fn rate_kept() {
    let options = Options {
        instances: 3,
        engines: 2,
        ..Options::default()
    };
    let cluster = Cluster::start(options, CONFIG).expect("cluster starts");
    cluster.engines[0].faults().set(Fault {
        rate_limit: Some(RATE),
        ..Fault::default()
    });
    let classes = [Class {
        requests_per_s: 20.0,
        burst_factor: 1.0,
        target_ms: 30_000,
        ..CLASSES[DRAFT]
    }];
    let planned = load::plan(&classes, LENGTH, 7);
    let callers = Arc::new(Mutex::new(cluster.caller_addresses()));
    let running = thread::spawn(move || load::run(&classes, &planned, &callers, MODEL, |_| {}));
    let start = Instant::now();
    let mut received = Vec::new();
    while start.elapsed() < LENGTH {
        received.push(cluster.engines[0].received());
        thread::sleep(SAMPLE_PAUSE);
    }
    let outcomes = running.join().expect("the load runs to its end");

    let windows = received.windows(WINDOW + 1).skip(FIRST);
    let worst = windows.map(|w| w[WINDOW] - w[0]).max().unwrap_or(0);
    let answered = outcomes
        .iter()
        .filter(|o| matches!(o.result, CallResult::Answered { .. }))
        .count();
    println!(
        "{worst} in the worst window, {answered} of {} answered",
        outcomes.len()
    );
    assert!(
        worst <= ALLOWED,
        "{worst} requests in four seconds, {ALLOWED} are allowed"
    );
    assert!(
        worst >= 4,
        "{worst} requests in four seconds at {RATE} a second"
    );
    assert_eq!(answered, outcomes.len());
}
