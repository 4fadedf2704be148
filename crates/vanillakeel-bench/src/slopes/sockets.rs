//! Cost of whole instances over loopback, against calls straight to the same stand-ins.

use super::{
    Row,
    process::threads_us, //
};
use crate::{
    TEXT,
    load::{
        self,
        Class,
        Planned,
        Seen, //
    },
    quickstart::{
        CLASSES,
        quantile, //
    },
    rig::{
        MODEL,
        Options,
        Rig, //
    },
};
use std::{
    error::Error,
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use vanillakeel_standin::batch;

/// Rounds of each number of streams.
const ROUNDS: usize = 3;

/// Delays at one number of concurrent streams, in ms.
#[derive(Clone, Copy, Debug, Default)]
struct Delays {
    first_p95: f64,
    between_p95: f64,
}

/// What a number of concurrent streams costs.
#[derive(Clone, Copy, Debug)]
struct Point {
    streams: usize,
    direct: Delays,
    through: Delays,
    control_us: f64,
}

fn class(max_tokens: u32) -> Class {
    Class {
        target_ms: 60_000,
        max_tokens,
        prompt_bytes: 400,
        ..CLASSES[2]
    }
}

/// Longest answer while the number of streams is varied, in tokens; the mean is a third.
const MAX_TOKENS: u32 = 300;

/// Time over which the streams of a round are opened.
const OPENED_OVER: Duration = Duration::from_millis(1_500);

/// Opens `streams` streams one after the other, spread over addresses; returns the delays.
fn round_of(streams: usize, to: &[SocketAddr], round: usize, max_tokens: u32) -> Delays {
    let callers: Vec<_> = (0..streams)
        .map(|n| {
            let planned = Planned {
                class: 2,
                at: Duration::ZERO,
                tag: format!("slope-{streams}-{max_tokens}-{round}-{n}"),
                workspace: 1,
                prefix: (n % 8) as u64,
                key: None,
                is_repeated: false,
            };
            let to = to[n % to.len()];
            let wait = OPENED_OVER.mul_f64(n as f64 / streams as f64);
            thread::spawn(move || {
                thread::sleep(wait);
                load::call(&class(max_tokens), &planned, to, MODEL)
            })
        })
        .collect();
    let mut first = Vec::new();
    let mut between = Vec::new();
    for caller in callers {
        if let Ok(Seen::Answered {
            first_ms,
            between_ms,
            ..
        }) = caller.join()
        {
            first.push(first_ms);
            between.push(between_ms);
        }
    }
    first.sort_by(f64::total_cmp);
    between.sort_by(f64::total_cmp);
    Delays {
        first_p95: quantile(&first, 0.95),
        between_p95: quantile(&between, 0.95),
    }
}

/// The median round of several.
fn rounds(streams: usize, to: &[SocketAddr], salt: usize) -> Delays {
    let mut all: Vec<Delays> = (0..ROUNDS)
        .map(|round| round_of(streams, to, salt + round, MAX_TOKENS))
        .collect();
    all.sort_by(|a, b| a.first_p95.total_cmp(&b.first_p95));
    let first_p95 = all[ROUNDS / 2].first_p95;
    all.sort_by(|a, b| a.between_p95.total_cmp(&b.between_p95));
    Delays {
        first_p95,
        between_p95: all[ROUNDS / 2].between_p95,
    }
}

fn measure(rig: &Rig, streams: usize, idle_us: f64) -> Point {
    let engines: Vec<SocketAddr> = rig.engines.iter().map(|e| e.address()).collect();
    let direct = rounds(streams, &engines, 0);
    let (start, before) = (Instant::now(), threads_us("vk-control"));
    let through = rounds(streams, &rig.callers(), 100);
    let idle_us = idle_us * start.elapsed().as_secs_f64();
    let spent = threads_us("vk-control") - before - idle_us;
    Point {
        streams,
        direct,
        through,
        control_us: spent / (streams * ROUNDS) as f64,
    }
}

/// Processor time of idle threads whose names start with one of `names`, in µs a second.
fn idle_us(names: &[&str]) -> f64 {
    let start = Instant::now();
    let all = || names.iter().map(|n| threads_us(n)).sum::<f64>();
    let before = all();
    thread::sleep(Duration::from_secs(4));
    (all() - before) / start.elapsed().as_secs_f64()
}

/// Streams while the length of answers is varied.
const STREAMS: usize = 64;

/// Processor time of the control threads for a request, against the mean length of an answer.
fn against_tokens(rig: &Rig, idle_us: f64) -> Row {
    let cost = |max_tokens: u32| {
        let (start, before) = (Instant::now(), threads_us("vk-control"));
        round_of(STREAMS, &rig.callers(), 200, max_tokens);
        let idle_us = idle_us * start.elapsed().as_secs_f64();
        let spent = threads_us("vk-control") - before - idle_us;
        (f64::from(max_tokens) / 3.0, spent / STREAMS as f64)
    };
    let points = [150, 600, 1_500].map(cost).to_vec();
    Row::fit(
        "control thread for a request, us",
        "tokens of an answer",
        points,
    )
}

/// Texts published for one size.
const PUBLISHED: usize = 12;

/// Time between two looks at the instances' versions.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Longest time, of several texts, from publishing until a text is in force everywhere, in ms.
fn in_force_ms(instances: usize) -> Result<f64, Box<dyn Error>> {
    let options = Options {
        instances,
        engines: 1,
        ..Options::default()
    };
    let rig = Rig::start(options, TEXT)?;
    let mut longest: f64 = 0.0;
    for n in 0..PUBLISHED {
        let text = format!("# {n}\n{}", rig.with_upstreams(TEXT));
        let start = Instant::now();
        let version = rig.publish(&text)?;
        while !rig.has_version(version) {
            thread::sleep(LOOK_EVERY);
        }
        longest = longest.max(start.elapsed().as_secs_f64() * 1e3);
    }
    Ok(longest)
}

fn against_instances() -> Result<Row, Box<dyn Error>> {
    let mut points = Vec::new();
    for n in [2, 4, 8] {
        points.push((n as f64, in_force_ms(n)?));
    }
    let cost = "text in force everywhere, longest of 12, ms";
    Ok(Row::fit(cost, "instances", points))
}

/// All rows, and a line about idle instances.
pub(super) fn rows() -> Result<(Vec<Row>, f64), Box<dyn Error>> {
    let options = Options {
        engines: 1,
        batch: batch::Settings {
            slots: 512,
            max_waiting: 1_024,
            per_sequence_ms: 0.005,
            ..batch::Settings::default()
        },
        ..Options::default()
    };
    let rig = Rig::start(options, TEXT)?;
    let idle = idle_us(&["vk-"]) / rig.instances.len() as f64;
    let idle_control = idle_us(&["vk-control"]);
    let point = |n: &usize| measure(&rig, *n, idle_control);
    let points: Vec<Point> = [8, 64, 512].iter().map(point).collect();
    let row = |cost, of: fn(&Point) -> f64| {
        let line = points.iter().map(|p| (p.streams as f64, of(p)));
        Row::fit(cost, "concurrent streams", line.collect())
    };
    let mut rows = vec![
        row("first token p95, direct, ms", |p| p.direct.first_p95),
        row("first token p95, through two instances, ms", |p| {
            p.through.first_p95
        }),
        row("between tokens p95, direct, ms", |p| p.direct.between_p95),
        row("between tokens p95, through, ms", |p| p.through.between_p95),
        row("control thread for a request, us", |p| p.control_us),
    ];
    rows.push(against_tokens(&rig, idle_control));
    drop(rig);
    rows.push(against_instances()?);
    Ok((rows, idle))
}
