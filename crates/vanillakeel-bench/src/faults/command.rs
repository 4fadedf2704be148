//! The command `faults`.

use super::{
    Guards,
    claims,
    leases,
    texts, //
};
use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use serde::Serialize;
use std::error::Error;

/// Faults found over all schedules; `runs`, `versions` and `orders` show that something was done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Schedules run, each of which covers claims, texts and leases.
    pub schedules: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Requests called not run that have run.
    pub false_not_run: u64,
    /// Versions that fell on an instance.
    pub reverted: u64,
    /// Versions with two texts.
    pub diverged: u64,
    /// Orders taken under an old lease by an upstream that ignores fencing numbers.
    pub stale_orders_accepted: u64,
    /// Keyed requests that ran.
    pub runs: u64,
    /// Versions that came into force.
    pub versions: u64,
    /// Orders given under a lease.
    pub orders: u64,
    /// Times that the lease changed hands.
    pub holders: u64,
    /// The first seed in which a fault was found.
    pub failing_seed: Option<u64>,
}

impl Totals {
    /// Whether no fault was found.
    #[must_use]
    pub const fn is_sound(&self) -> bool {
        self.doubled == 0
            && self.false_not_run == 0
            && self.reverted == 0
            && self.diverged == 0
            && self.stale_orders_accepted == 0
    }
}

/// Runs `schedules` schedules of `steps` each, from seed `first` on.
#[must_use]
pub fn run_schedules(first: u64, schedules: u64, steps: u64, guards: Guards) -> Totals {
    let mut totals = Totals::default();
    for seed in first..first.saturating_add(schedules) {
        let claims = claims::run(seed, steps, guards);
        let texts = texts::run(seed, steps, guards);
        let leases = leases::run(seed, steps, guards);
        totals.schedules += 1;
        totals.doubled += claims.doubled;
        totals.false_not_run += claims.false_not_run;
        totals.runs += claims.runs;
        totals.reverted += texts.reverted;
        totals.diverged += texts.diverged;
        totals.versions += texts.versions;
        totals.stale_orders_accepted += leases.stale_orders_accepted;
        totals.orders += leases.orders;
        totals.holders += leases.holders;
        if !totals.is_sound() && totals.failing_seed.is_none() {
            totals.failing_seed = Some(seed);
        }
    }
    totals
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// The command's arguments.
pub(crate) fn command() -> Command {
    Command::new("faults")
        .about("Run random schedules of faults against claims, texts and leases")
        .arg(number("seed", "1", "First seed"))
        .arg(number("schedules", "1000", "Number of schedules"))
        .arg(number("steps", "1000", "Steps of a schedule"))
        .arg(crate::json())
}

/// Runs the command; returns whether no fault was found.
pub(crate) fn run(args: &ArgMatches) -> Result<bool, Box<dyn Error>> {
    let value = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let totals = run_schedules(
        value("seed"),
        value("schedules"),
        value("steps"),
        Guards::default(),
    );
    if args.get_flag("json") {
        println!("{}", serde_json::to_string(&totals)?);
    } else {
        println!("{totals:#?}");
    }
    if let Some(seed) = totals.failing_seed {
        eprintln!("first failing seed: {seed}");
    }
    Ok(totals.is_sound())
}
