//! The whole path on loopback: stand-ins, instances, a text, a mixed load with a burst.

mod report;

pub(crate) use self::report::{
    Report,
    quantile,
    report, //
};

use crate::{
    load::{
        self,
        Class, //
    },
    rig::{
        MODEL,
        Options,
        Rig, //
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

/// The text of a quickstart, without its upstreams.
pub const TEXT: &str = include_str!("quickstart/text.toml");

/// The load of a quickstart; `review` comes in a burst over capacity.
pub const CLASSES: [Class; 5] = [
    Class {
        name: "validity",
        tier: 0,
        target_ms: 400,
        between_ms: 31.0,
        per_second: 20.0,
        burst: 1.0,
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
        between_ms: 31.0,
        per_second: 8.0,
        burst: 1.0,
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
        between_ms: 31.0,
        per_second: 15.0,
        burst: 1.0,
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
        between_ms: 31.0,
        per_second: 25.0,
        burst: 6.0,
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
        between_ms: 31.0,
        per_second: 20.0,
        burst: 1.0,
        path: None,
        is_idempotent: true,
        max_tokens: 64,
        prompt_bytes: 400,
        prefixes: 32,
    },
];

/// Runs the quickstart for `seconds` with a fixed `seed`.
pub(crate) fn run(seed: u64, seconds: u64) -> Result<Report, Box<dyn Error>> {
    let mut rig = Rig::start(Options::default(), TEXT)?;
    let planned = load::plan(&CLASSES, Duration::from_secs(seconds), seed);
    let instances = Arc::new(Mutex::new(rig.callers()));
    let bar = progress(planned.len());
    let outcomes = load::run(&CLASSES, &planned, &instances, MODEL, |at| {
        bar.set_position(at as u64 + 1);
    });
    bar.finish_and_clear();
    let report = report(&CLASSES, &outcomes, &rig.ledger, seconds);
    rig.stop();
    Ok(report)
}

/// A progress bar on a terminal, nothing elsewhere.
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
