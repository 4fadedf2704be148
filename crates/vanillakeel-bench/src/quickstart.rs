//! The command `quickstart`: a small cluster over loopback under a mixed load with a burst.

mod report;

pub(crate) use self::report::{
    Report,
    quantile,
    report, //
};

use crate::{
    cluster::{
        Cluster,
        MODEL,
        Options, //
    },
    load::{
        self,
        Class, //
    },
};
use indicatif::{
    ProgressBar,
    ProgressStyle, //
};
use std::{
    error::Error,
    io::IsTerminal as _,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

/// The TOML text of the quickstart's configuration, without its upstreams.
pub const CONFIG: &str = include_str!("quickstart/text.toml");

/// The classes of the quickstart's load; the burst of `review` exceeds the capacity.
pub const CLASSES: [Class; 5] = [
    Class {
        name: "validity",
        tier: 0,
        target_ms: 400,
        inter_token_ms: 31.0,
        requests_per_s: 20.0,
        burst_factor: 1.0,
        path: Some("/register/check"),
        is_idempotent: true,
        max_tokens: 0,
        prompt_bytes: 200,
        prefixes: 1,
    },
    Class {
        name: "issuance",
        tier: 0,
        target_ms: 1_000,
        inter_token_ms: 31.0,
        requests_per_s: 8.0,
        burst_factor: 1.0,
        path: Some("/register/issue"),
        is_idempotent: false,
        max_tokens: 0,
        prompt_bytes: 200,
        prefixes: 1,
    },
    Class {
        name: "draft",
        tier: 1,
        target_ms: 1_700,
        inter_token_ms: 31.0,
        requests_per_s: 15.0,
        burst_factor: 1.0,
        path: None,
        is_idempotent: true,
        max_tokens: 96,
        prompt_bytes: 1_200,
        prefixes: 8,
    },
    Class {
        name: "review",
        tier: 2,
        target_ms: 1_700,
        inter_token_ms: 31.0,
        requests_per_s: 25.0,
        burst_factor: 6.0,
        path: None,
        is_idempotent: true,
        max_tokens: 96,
        prompt_bytes: 2_400,
        prefixes: 8,
    },
    Class {
        name: "query",
        tier: 3,
        target_ms: 4_000,
        inter_token_ms: 31.0,
        requests_per_s: 20.0,
        burst_factor: 1.0,
        path: None,
        is_idempotent: true,
        max_tokens: 64,
        prompt_bytes: 400,
        prefixes: 32,
    },
];

/// Runs the load for `seconds` seconds on a new cluster and returns its figures.
///
/// The random numbers of the load come from `seed`.
///
/// # Errors
///
/// Returns an error if the cluster cannot be started.
pub(crate) fn run(seed: u64, seconds: u64) -> Result<Report, Box<dyn Error>> {
    let mut cluster = Cluster::start(Options::default(), CONFIG)?;
    let planned = load::plan(&CLASSES, Duration::from_secs(seconds), seed);
    let instances = Arc::new(Mutex::new(cluster.caller_addresses()));
    let bar = progress(planned.len());
    let outcomes = load::run(&CLASSES, &planned, &instances, MODEL, |index| {
        bar.set_position(index as u64 + 1);
    });
    bar.finish_and_clear();
    let report = report(&CLASSES, &outcomes, &cluster.run_counts, seconds);
    cluster.stop();
    Ok(report)
}

/// Returns a progress bar, which is hidden if standard error is not a terminal.
fn progress(requests: usize) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(requests as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} requests") {
        bar.set_style(style);
    }
    bar
}
