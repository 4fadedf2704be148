//! Cost of whole instances over loopback, compared with calls straight to the same stand-ins.

use super::{
    Row,
    process::threads_us, //
};
use crate::{
    CONFIG,
    cluster::{
        Cluster,
        MODEL,
        Options, //
    },
    load::{
        self,
        CallResult,
        Class,
        PlannedRequest, //
    },
    quickstart::{
        CLASSES,
        quantile, //
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

/// Number of rounds for each number of streams, of which the median is taken.
const ROUNDS: usize = 3;

/// Delays at one number of concurrent streams.
#[derive(Clone, Copy, Debug, Default)]
struct Delays {
    first_token_p95_ms: f64,
    inter_token_p95_ms: f64,
}

/// Delays and processor time at one number of concurrent streams.
#[derive(Clone, Copy, Debug)]
struct Point {
    streams: usize,
    /// Delays of calls straight to the engines.
    direct: Delays,
    /// Delays of calls through the instances.
    via_instances: Delays,
    /// Processor time of the control threads for a request, in µs.
    control_us: f64,
}

/// Returns the class of all streams, a draft with this limit on the length of its answers.
fn class(max_tokens: u32) -> Class {
    Class {
        target_ms: 60_000,
        max_tokens,
        prompt_bytes: 400,
        ..CLASSES[2]
    }
}

/// Limit on the length of an answer while the number of streams is varied, in tokens; the mean
/// length is a third of it.
const MAX_TOKENS: u32 = 300;

/// Time over which the opening of a round's streams is spread.
const RAMP_UP: Duration = Duration::from_millis(1_500);

/// Opens `streams` streams one after the other, in turn to each address, and returns their delays.
///
/// The number `round` makes the prompts of each round different.
fn run_round(streams: usize, addresses: &[SocketAddr], round: usize, max_tokens: u32) -> Delays {
    let callers: Vec<_> = (0..streams)
        .map(|n| {
            let planned = PlannedRequest {
                class: 2,
                send_at: Duration::ZERO,
                tag: format!("slope-{streams}-{max_tokens}-{round}-{n}"),
                workspace: 1,
                prefix: (n % 8) as u64,
                key: None,
                is_retried: false,
            };
            let to = addresses[n % addresses.len()];
            let wait = RAMP_UP.mul_f64(n as f64 / streams as f64);
            thread::spawn(move || {
                thread::sleep(wait);
                load::call(&class(max_tokens), &planned, to, MODEL)
            })
        })
        .collect();
    let mut first_token_times = Vec::new();
    let mut inter_token_times = Vec::new();
    for caller in callers {
        if let Ok(CallResult::Answered {
            first_token_ms,
            inter_token_ms,
            ..
        }) = caller.join()
        {
            first_token_times.push(first_token_ms);
            inter_token_times.push(inter_token_ms);
        }
    }
    first_token_times.sort_by(f64::total_cmp);
    inter_token_times.sort_by(f64::total_cmp);
    Delays {
        first_token_p95_ms: quantile(&first_token_times, 0.95),
        inter_token_p95_ms: quantile(&inter_token_times, 0.95),
    }
}

/// Returns the medians of the delays over several rounds, which are numbered from `first_round`.
fn median_round(streams: usize, addresses: &[SocketAddr], first_round: usize) -> Delays {
    let mut all: Vec<Delays> = (0..ROUNDS)
        .map(|round| run_round(streams, addresses, first_round + round, MAX_TOKENS))
        .collect();
    all.sort_by(|a, b| a.first_token_p95_ms.total_cmp(&b.first_token_p95_ms));
    let first_token_p95_ms = all[ROUNDS / 2].first_token_p95_ms;
    all.sort_by(|a, b| a.inter_token_p95_ms.total_cmp(&b.inter_token_p95_ms));
    Delays {
        first_token_p95_ms,
        inter_token_p95_ms: all[ROUNDS / 2].inter_token_p95_ms,
    }
}

/// Measures one number of concurrent streams.
///
/// The processor time that control threads take without load, `idle_us_per_s`, is subtracted.
fn measure(cluster: &Cluster, streams: usize, idle_us_per_s: f64) -> Point {
    let engines: Vec<SocketAddr> = cluster.engines.iter().map(|e| e.address()).collect();
    let direct = median_round(streams, &engines, 0);
    let (start, before) = (Instant::now(), threads_us("vk-control"));
    let via_instances = median_round(streams, &cluster.caller_addresses(), 100);
    let idle_us = idle_us_per_s * start.elapsed().as_secs_f64();
    let spent_us = threads_us("vk-control") - before - idle_us;
    Point {
        streams,
        direct,
        via_instances,
        control_us: spent_us / (streams * ROUNDS) as f64,
    }
}

/// Returns the processor time of threads whose names start with one of `names` while there is no
/// load, in µs a second.
fn idle_us_per_s(names: &[&str]) -> f64 {
    let start = Instant::now();
    let all = || names.iter().map(|n| threads_us(n)).sum::<f64>();
    let before = all();
    thread::sleep(Duration::from_secs(4));
    (all() - before) / start.elapsed().as_secs_f64()
}

/// Number of streams while the length of answers is varied.
const FIXED_STREAMS: usize = 64;

/// Measures the processor time of the control threads for a request against the mean length of an
/// answer, without the time that they take without load.
fn against_tokens(cluster: &Cluster, idle_us_per_s: f64) -> Row {
    let cost = |max_tokens: u32| {
        let (start, before) = (Instant::now(), threads_us("vk-control"));
        run_round(FIXED_STREAMS, &cluster.caller_addresses(), 200, max_tokens);
        let idle_us = idle_us_per_s * start.elapsed().as_secs_f64();
        let spent_us = threads_us("vk-control") - before - idle_us;
        (f64::from(max_tokens) / 3.0, spent_us / FIXED_STREAMS as f64)
    };
    let points = [150, 600, 1_500].map(cost).to_vec();
    Row::fit(
        "control thread for a request, us",
        "tokens of an answer",
        points,
    )
}

/// Number of configurations that are published for one number of instances.
const PUBLISH_COUNT: usize = 12;

/// Interval at which the instances' versions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Publishes several configurations and returns the longest time until one is in force on all
/// instances, in ms.
fn longest_activation_ms(instances: usize) -> Result<f64, Box<dyn Error>> {
    let options = Options {
        instances,
        engines: 1,
        ..Options::default()
    };
    let cluster = Cluster::start(options, CONFIG)?;
    let mut longest: f64 = 0.0;
    for n in 0..PUBLISH_COUNT {
        let config = format!("# {n}\n{}", cluster.with_upstreams(CONFIG));
        let start = Instant::now();
        let version = cluster.publish(&config)?;
        while !cluster.has_version(version) {
            thread::sleep(POLL_INTERVAL);
        }
        longest = longest.max(start.elapsed().as_secs_f64() * 1e3);
    }
    Ok(longest)
}

fn against_instances() -> Result<Row, Box<dyn Error>> {
    let mut points = Vec::new();
    for n in [2, 4, 8] {
        points.push((n as f64, longest_activation_ms(n)?));
    }
    let cost = "text in force everywhere, longest of 12, ms";
    Ok(Row::fit(cost, "instances", points))
}

/// Measures all rows and the processor time of an idle instance in µs a second.
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
    let cluster = Cluster::start(options, CONFIG)?;
    let idle_instance_us_per_s = idle_us_per_s(&["vk-"]) / cluster.instances.len() as f64;
    let idle_control_us_per_s = idle_us_per_s(&["vk-control"]);
    let point = |n: &usize| measure(&cluster, *n, idle_control_us_per_s);
    let points: Vec<Point> = [8, 64, 512].iter().map(point).collect();
    let row = |cost, of: fn(&Point) -> f64| {
        let line = points.iter().map(|p| (p.streams as f64, of(p)));
        Row::fit(cost, "concurrent streams", line.collect())
    };
    let mut rows = vec![
        row("first token p95, direct, ms", |p| {
            p.direct.first_token_p95_ms
        }),
        row("first token p95, through two instances, ms", |p| {
            p.via_instances.first_token_p95_ms
        }),
        row("between tokens p95, direct, ms", |p| {
            p.direct.inter_token_p95_ms
        }),
        row("between tokens p95, through, ms", |p| {
            p.via_instances.inter_token_p95_ms
        }),
        row("control thread for a request, us", |p| p.control_us),
    ];
    rows.push(against_tokens(&cluster, idle_control_us_per_s));
    drop(cluster);
    rows.push(against_instances()?);
    Ok((rows, idle_instance_us_per_s))
}
