//! The command `policy`: runs scenarios with several policies and prints their figures.

use super::{
    outcome::Figures,
    plot,
    scenario::{
        self,
        DEPLOYMENTS,
        Deployment,
        Scenario, //
    },
    simulation,
    variant::{
        self,
        Variant, //
    },
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

/// Number of threads that the runs are distributed over.
const THREADS: usize = 8;

/// Policies that are run if `--policy` is not given.
const DEFAULT_POLICIES: [&str; 2] = ["baseline", "default"];

fn name_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .action(ArgAction::Append)
        .help(help)
}

/// Returns the definition of the command's arguments.
pub(crate) fn command() -> Command {
    Command::new("policy")
        .about("Run the library's decisions in virtual time under load and faults")
        .arg(name_arg(
            "scenario",
            "Scenario; all by default; may be given several times",
        ))
        .arg(name_arg(
            "policy",
            "Policy, or 'all'; baseline and default by default; may be given several times",
        ))
        .arg(name_arg(
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
        .arg(crate::json_arg())
}

/// Returns the items whose names are given by the argument `key`.
///
/// The name "all" selects every item. Without the argument, the names in `default` are used; if
/// there are none, every item is selected.
///
/// # Errors
///
/// Returns an error that lists the known names if a name is unknown.
fn select<'a, T>(
    args: &ArgMatches,
    key: &str,
    items: &'a [T],
    name: impl Fn(&T) -> &str,
    default: &[&str],
) -> Result<Vec<&'a T>, String> {
    let requested: Vec<&str> = args
        .get_many::<String>(key)
        .map_or_else(|| default.to_vec(), |v| v.map(String::as_str).collect());
    if requested.is_empty() || requested.contains(&"all") {
        return Ok(items.iter().collect());
    }
    let find = |wanted: &&str| {
        items
            .iter()
            .find(|item| name(item) == *wanted)
            .ok_or_else(|| {
                let known: Vec<&str> = items.iter().map(&name).collect();
                format!("no {key} '{wanted}'; there are: {}", known.join(", "))
            })
    };
    requested.iter().map(find).collect()
}

/// Runs the command and returns whether all runs were sound.
///
/// A run is sound if no non-idempotent request ran twice, no request was lost, no request that ran
/// was refused with the verdict "not run", and no protected request was refused while one of a
/// lower tier could have been shed. Runs of the baseline policy are not checked.
pub(crate) fn run(args: &ArgMatches) -> Result<bool, Box<dyn Error>> {
    let scenarios = scenario::all();
    let variants = variant::all();
    let scenarios = select(args, "scenario", &scenarios, |s| s.name, &[])?;
    let variants = select(args, "policy", &variants, |v| v.name, &DEFAULT_POLICIES)?;
    let deployments = select(
        args,
        "size",
        &DEPLOYMENTS,
        |s| s.name,
        &["alpenland", "acoustique"],
    )?;
    let first_seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let seed_count = args.get_one::<u64>("seeds").copied().unwrap_or(1);
    let mut jobs = Vec::new();
    for deployment in &deployments {
        for scenario in &scenarios {
            for variant in &variants {
                for seed in first_seed..first_seed + seed_count {
                    jobs.push((*deployment, *scenario, *variant, seed));
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
        print_table(&runs, seed_count as usize);
    }
    // The baseline retries without regard to what may have run, so it is expected to run some
    // requests twice.
    let is_checked = |r: &&Figures| r.policy != "baseline";
    Ok(runs.iter().filter(is_checked).all(|r| {
        r.doubled == 0 && r.lost == 0 && r.false_not_run == 0 && r.protected_violations == 0
    }))
}

/// Arguments of one run: deployment, scenario, variant and seed.
type Job<'a> = (&'a Deployment, &'a Scenario, &'a Variant, u64);

/// Runs all jobs on several threads and returns their figures in the order of the jobs.
fn run_all(jobs: &[Job<'_>]) -> Vec<Figures> {
    let (jobs_tx, jobs_rx) = unbounded();
    let (results_tx, results_rx) = unbounded();
    for job in jobs.iter().enumerate() {
        let _ = jobs_tx.send(job);
    }
    drop(jobs_tx);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            let (jobs_rx, results_tx) = (jobs_rx.clone(), results_tx.clone());
            scope.spawn(move || {
                for (index, (deployment, scenario, variant, seed)) in jobs_rx {
                    let _ = results_tx
                        .send((index, simulation::run(deployment, scenario, variant, *seed)));
                }
            });
        }
    });
    drop(results_tx);
    let mut runs: Vec<(usize, Figures)> = results_rx.iter().collect();
    runs.sort_by_key(|r| r.0);
    runs.into_iter().map(|r| r.1).collect()
}

/// Returns the median, the minimum and the maximum of one figure over several runs.
///
/// For an even number of runs, the median is the higher of the two middle values.
fn median_and_range(runs: &[Figures], of: impl Fn(&Figures) -> f64) -> (f64, f64, f64) {
    let mut values: Vec<f64> = runs.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    (median, values[0], values[values.len() - 1])
}

/// Prints one line for each group of `seeds` consecutive runs, which differ only in their seeds.
///
/// With several seeds, the line holds medians and a second line the ranges.
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
            format!("{:.1}%", median_and_range(group, of).0 * 100.0)
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
            median_and_range(group, |r| r.goodput).0,
            median_and_range(group, |r| r.wasted as f64).0,
            median_and_range(group, |r| r.lowest_max_wait_ms as f64).0,
            median_and_range(group, |r| r.control_bytes_per_instance_s).0,
            sum(|r| r.doubled as u64),
            sum(|r| r.lost as u64),
            sum(|r| r.protected_violations),
        );
        if seeds > 1 {
            let (_, low, high) = median_and_range(group, |r| r.goodput);
            let (_, least, most) = median_and_range(group, |r| r.wasted as f64);
            println!(
                "{:<15} {:<20} {:<19} goodput {low:.0} to {high:.0}, wasted {least:.0} to {most:.0}",
                "", "", "range"
            );
        }
    }
}
