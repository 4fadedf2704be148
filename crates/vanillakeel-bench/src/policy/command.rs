//! The command `policy`.

use super::{
    outcome::Figures,
    plot,
    scenario::{
        self,
        SIZES,
        Scenario,
        Size, //
    },
    variant::{
        self,
        Variant, //
    },
    world,
};
use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use crossbeam::channel::unbounded;
use std::{
    error::Error,
    path::PathBuf,
    thread, //
};

/// Threads that runs are spread over.
const THREADS: usize = 8;

/// Names of what `--policy` takes beside single ones.
const MAIN_POLICIES: [&str; 2] = ["baseline", "default"];

fn choice(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .action(ArgAction::Append)
        .help(help)
}

/// The command's arguments.
pub(crate) fn command() -> Command {
    Command::new("policy")
        .about("Run the library's decisions in virtual time under load and faults")
        .arg(choice(
            "scenario",
            "Scenario; all by default; may be given several times",
        ))
        .arg(choice(
            "policy",
            "Policy, or 'all'; baseline and default by default; may be given several times",
        ))
        .arg(choice(
            "size",
            "Deployment; alpenland and acoustique by default, or 'all'",
        ))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("First seed"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..=1000))
                .help("Number of seeds; with more than one, median and range are printed"),
        )
        .arg(
            Arg::new("plots")
                .long("plots")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for an SVG plot of each scenario"),
        )
        .arg(crate::json())
}

fn chosen<'a, T>(
    args: &ArgMatches,
    key: &str,
    all: &'a [T],
    name: impl Fn(&T) -> &str,
    default: &[&str],
) -> Result<Vec<&'a T>, String> {
    let given: Vec<&str> = args
        .get_many::<String>(key)
        .map_or_else(|| default.to_vec(), |v| v.map(String::as_str).collect());
    if given.is_empty() || given.contains(&"all") {
        return Ok(all.iter().collect());
    }
    let find = |wanted: &&str| {
        all.iter()
            .find(|item| name(item) == *wanted)
            .ok_or_else(|| {
                let known: Vec<&str> = all.iter().map(&name).collect();
                format!("no {key} '{wanted}'; there are: {}", known.join(", "))
            })
    };
    given.iter().map(find).collect()
}

/// Runs the command; returns whether nothing was doubled, lost or wrongly refused.
pub(crate) fn run(args: &ArgMatches) -> Result<bool, Box<dyn Error>> {
    let scenarios = scenario::all();
    let variants = variant::all();
    let scenarios = chosen(args, "scenario", &scenarios, |s| s.name, &[])?;
    let variants = chosen(args, "policy", &variants, |v| v.name, &MAIN_POLICIES)?;
    let sizes = chosen(
        args,
        "size",
        &SIZES,
        |s| s.name,
        &["alpenland", "acoustique"],
    )?;
    let first = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let count = args.get_one::<u64>("seeds").copied().unwrap_or(1);
    let mut jobs = Vec::new();
    for size in &sizes {
        for scenario in &scenarios {
            for variant in &variants {
                for seed in first..first + count {
                    jobs.push((*size, *scenario, *variant, seed));
                }
            }
        }
    }
    let runs = run_all(&jobs);
    if let Some(folder) = args.get_one::<PathBuf>("plots") {
        plot::write(folder, &runs)?;
    }
    if args.get_flag("json") {
        println!("{}", serde_json::json!({ "runs": runs }));
    } else {
        print_table(&runs, count as usize);
    }
    // The baseline repeats blindly and is expected to double.
    let is_sound = |r: &&Figures| r.policy != "baseline";
    Ok(runs.iter().filter(is_sound).all(|r| {
        r.doubled == 0 && r.lost == 0 && r.false_not_run == 0 && r.protected_violations == 0
    }))
}

type Job<'a> = (&'a Size, &'a Scenario, &'a Variant, u64);

/// Runs all jobs on several threads; the figures come in the order of the jobs.
fn run_all(jobs: &[Job<'_>]) -> Vec<Figures> {
    let (tx, rx) = unbounded();
    let (done, results) = unbounded();
    for job in jobs.iter().enumerate() {
        let _ = tx.send(job);
    }
    drop(tx);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            let (rx, done) = (rx.clone(), done.clone());
            scope.spawn(move || {
                for (at, (size, scenario, variant, seed)) in rx {
                    let _ = done.send((at, world::run(size, scenario, variant, *seed)));
                }
            });
        }
    });
    drop(done);
    let mut runs: Vec<(usize, Figures)> = results.iter().collect();
    runs.sort_by_key(|r| r.0);
    runs.into_iter().map(|r| r.1).collect()
}

/// Median and range of one figure over the seeds.
fn spread(runs: &[Figures], of: impl Fn(&Figures) -> f64) -> (f64, f64, f64) {
    let mut values: Vec<f64> = runs.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    (median, values[0], values[values.len() - 1])
}

fn print_table(runs: &[Figures], seeds: usize) {
    println!(
        "{:<15} {:<20} {:<19} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8} {:>6} {:>4} {:>4} {:>4}",
        "size",
        "scenario",
        "policy",
        "tier 0",
        "tier 1",
        "tier 2",
        "tier 3",
        "tier 4",
        "goodput",
        "wasted",
        "max wait",
        "B/s",
        "dbl",
        "lost",
        "prot"
    );
    for group in runs.chunks(seeds) {
        let tier = |t: u8| {
            let of = |r: &Figures| r.tier_attainment.get(&t).copied().unwrap_or(1.0);
            format!("{:.1}%", spread(group, of).0 * 100.0)
        };
        let f = &group[0];
        let sum = |of: fn(&Figures) -> u64| group.iter().map(of).sum::<u64>();
        println!(
            "{:<15} {:<20} {:<19} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8.0} {:>8.0} {:>8.0} {:>6.0} {:>4} {:>4} {:>4}",
            f.size,
            f.scenario,
            f.policy,
            tier(0),
            tier(1),
            tier(2),
            tier(3),
            tier(4),
            spread(group, |r| r.goodput).0,
            spread(group, |r| r.wasted as f64).0,
            spread(group, |r| r.lowest_max_wait_ms as f64).0,
            spread(group, |r| r.control_bytes_per_instance_s).0,
            sum(|r| r.doubled as u64),
            sum(|r| r.lost as u64),
            sum(|r| r.protected_violations),
        );
        if seeds > 1 {
            let (_, low, high) = spread(group, |r| r.goodput);
            let (_, least, most) = spread(group, |r| r.wasted as f64);
            println!(
                "{:<15} {:<20} {:<19} goodput {low:.0} to {high:.0}, wasted {least:.0} to {most:.0}",
                "", "", "range"
            );
        }
    }
}
