//! Engines that say in their answers that they leave, or that they want no requests for a while, on real sockets.

use rstest::rstest;
use std::{
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration,
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

const INSTANCES: usize = 3;

/// Time for which requests are sent.
const LENGTH: Duration = Duration::from_secs(8);

/// Time after which the engine says something, and for which no requests are counted then, as each instance has to be
/// told.
const SAID_AFTER: Duration = Duration::from_secs(2);
const TOLD_AFTER: Duration = Duration::from_secs(1);

/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(3);

/// One of two engines leaves, or wants a pause that is longer than the test.
///
/// Guards against instances that go on sending to it, and against callers who are not served by the other one.
#[rstest]
#[case::leaving(Fault { leaving: true, ..Fault::default() }, 0)]
#[case::pausing(Fault { pause_s: Some(30.0), ..Fault::default() }, 2 * INSTANCES as u64)]
fn withdrawn(#[case] fault: Fault, #[case] allowed: u64) {
    let options = Options {
        instances: INSTANCES,
        engines: 2,
        ..Options::default()
    };
    let cluster = Cluster::start(options, CONFIG).expect("cluster starts");
    let classes = [Class {
        requests_per_s: 20.0,
        burst_factor: 1.0,
        target_ms: 30_000,
        ..CLASSES[DRAFT]
    }];
    let planned = load::plan(&classes, LENGTH, 7);
    let callers = Arc::new(Mutex::new(cluster.caller_addresses()));
    let running = thread::spawn(move || load::run(&classes, &planned, &callers, MODEL, |_| {}));
    thread::sleep(SAID_AFTER);
    cluster.engines[0].faults().set(fault);
    thread::sleep(TOLD_AFTER);
    let told = cluster.engines[0].received();
    thread::sleep(COUNTED);
    let late = cluster.engines[0].received() - told;
    let outcomes = running.join().expect("the load runs to its end");
    let is_served = |result: &CallResult| matches!(result, CallResult::Answered { .. });
    let served = outcomes.iter().filter(|o| is_served(&o.result)).count();
    println!("{late} late, {served} of {} served", outcomes.len());
    assert!(told > 0, "the engine was used before");
    assert!(late <= allowed, "{late} requests after it had said so");
    assert_eq!(served, outcomes.len());
}
