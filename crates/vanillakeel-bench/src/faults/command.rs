//! The command `faults`: runs schedules and prints the faults that were found.

use super::{
    Guards,
    budgets,
    claims,
    configs,
    crashing,
    duties,
    leases,
    lost_instances,
    rates,
    restored_list,
    restored_log,
    streams,
    usage, //
};
use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use serde::Serialize;
use std::error::Error;

/// Part of the steps of a schedule for crashing segments, as each of them moves all requests and evidence.
const CRASHING_STEPS_DIVISOR: u64 = 4;

/// Sound requests that begin for each one that is refused for a segment, at least: half of them have to
/// begin after a quarantine, and nearly all of them over a whole schedule.
const MIN_SOUND_PER_REFUSED: u64 = 20;

/// Workspaces' counts that are reported for each one that is missing or off, at least.
const MIN_REPORTED_PER_WRONG: u64 = 20;

/// Faults found over all schedules.
///
/// The counts `duty_calls`, `duty_terms`, `reported_windows`, `holder_kills`, `without_holder_ms`,
/// `longest_without_holder_ms`, `reported_usage`, `limited_sends`, `named_requests`, `crashes`, `sound_sends`, `retries`, `runs`, `versions`, `orders`, `holders`, `streams`, `continued_streams`,
/// `unknown_streams`, `streams_after_loss`, `continued_after_loss` and `restored` are not faults; they show that the schedules did exercise the library.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Number of schedules; each covers all parts.
    pub schedules: u64,
    /// Idempotency keys whose requests ran more than once.
    pub doubled: u64,
    /// Requests that were refused as not run although they ran.
    pub false_not_run: u64,
    /// Times that the configuration version of an instance went back.
    pub reverted: u64,
    /// Times that an instance had another configuration than the one known for its version.
    pub diverged: u64,
    /// Commands sent under an old lease, which an upstream that ignores fencing tokens would carry
    /// out.
    pub stale_orders_accepted: u64,
    /// Streams that went on at another software version than the one that began them.
    pub mixed_streams: u64,
    /// Losses of nearly all instances after which under half of the streams could go on.
    pub forgotten_losses: u64,
    /// Times that an instance took a version for the newest although a newer one had been on the log for
    /// longer than the limit.
    pub outdated: u64,
    /// Instances without the newest version two seconds after the log came back for the last time.
    pub left_behind: u64,
    /// Times that an instance removed an upstream that served.
    pub wrongly_removed: u64,
    /// Times that an instance took back an upstream that it had removed.
    pub returned: u64,
    /// Upstreams that an instance did not know two seconds after the last of them had written its entry
    /// again.
    pub unknown_upstreams: u64,
    /// Upstreams that an instance still knew some seconds later although they were no longer listed.
    pub kept_upstreams: u64,
    /// Times that all instances together had made more retries in a window than their budget allows.
    pub overspent: u64,
    /// Steps at which an upstream had got more requests in four seconds than the rate that it names allows.
    pub exceeded_rates: u64,
    /// Requests with a prompt segment that crashes upstreams that were sent later than allowed.
    pub late_sends: u64,
    /// Sound requests that were refused for a segment.
    pub wrongly_refused: u64,
    /// Calls for the platform's tasks after another instance had made one with a higher token.
    pub stale_calls: u64,
    /// Calls with a fencing token that another instance had used.
    pub shared_tokens: u64,
    /// Calls of an instance after those of another one, less than a lease after an earlier one of its own.
    pub returns: u64,
    /// Reports of a window of usage that differ from an earlier one.
    pub different_reports: u64,
    /// Orders of upstreams that were carried out after a newer one.
    pub old_orders: u64,
    /// Calls for the platform's tasks.
    pub duty_calls: u64,
    /// Times that their lease was acquired.
    pub duty_terms: u64,
    /// Windows of usage that were reported.
    pub reported_windows: u64,
    /// Kills of a holder while the log was in order.
    pub holder_kills: u64,
    /// Time without a call after them, all together, in ms.
    pub without_holder_ms: u64,
    /// The longest of these times, in ms.
    pub longest_without_holder_ms: u64,
    /// Counts of workspaces in windows that were not reported in time, or not within the tolerance.
    pub wrong_usage: u64,
    /// Counts of workspaces in windows that were to be reported.
    pub reported_usage: u64,
    /// Requests that were sent to upstreams that named a rate.
    pub limited_sends: u64,
    /// Requests that the rates of upstreams allowed.
    pub named_requests: u64,
    /// Crashes that a segment caused.
    pub crashes: u64,
    /// Sound requests that were sent beside those.
    pub sound_sends: u64,
    /// Retries that the budgets allowed.
    pub retries: u64,
    /// Runs of requests with an idempotency key.
    pub runs: u64,
    /// Configuration versions that came into force.
    pub versions: u64,
    /// Commands sent under a lease.
    pub orders: u64,
    /// Times that a new holder of the lease sent its first command.
    pub holders: u64,
    /// Streams that have begun.
    pub streams: u64,
    /// Times that a caller took up a stream and it went on.
    pub continued_streams: u64,
    /// Times that a caller took up a stream whose version could not be found.
    pub unknown_streams: u64,
    /// Streams that lived when nearly all instances were lost.
    pub streams_after_loss: u64,
    /// Those of them that could go on.
    pub continued_after_loss: u64,
    /// Times that the log came back from a copy.
    pub restored: u64,
    /// The first seed whose schedule showed a fault.
    pub failing_seed: Option<u64>,
}

impl Totals {
    /// Returns whether no fault was found.
    #[must_use]
    pub const fn is_sound(&self) -> bool {
        self.doubled == 0
            && self.false_not_run == 0
            && self.reverted == 0
            && self.diverged == 0
            && self.stale_orders_accepted == 0
            && self.mixed_streams == 0
            && self.forgotten_losses == 0
            && self.outdated == 0
            && self.left_behind == 0
            && self.wrongly_removed == 0
            && self.returned == 0
            && self.unknown_upstreams == 0
            && self.kept_upstreams == 0
            && self.overspent == 0
            && self.exceeded_rates == 0
            && self.late_sends == 0
            && self.stale_calls == 0
            && self.shared_tokens == 0
            && self.returns == 0
            && self.different_reports == 0
            && self.old_orders == 0
            && self.wrong_usage * MIN_REPORTED_PER_WRONG <= self.reported_usage
            && self.wrongly_refused * MIN_SOUND_PER_REFUSED <= self.sound_sends
    }
}

/// Runs one schedule of `steps` steps for each of `schedules` seeds, starting at `first_seed`.
#[must_use]
pub fn run_schedules(first_seed: u64, schedules: u64, steps: u64, guards: Guards) -> Totals {
    let mut totals = Totals::default();
    for seed in first_seed..first_seed.saturating_add(schedules) {
        let budgets = budgets::run(seed, steps, guards);
        let claims = claims::run(seed, steps, guards);
        let crashing = crashing::run(seed, steps / CRASHING_STEPS_DIVISOR, guards);
        let configs = configs::run(seed, steps, guards);
        let duties = duties::run(seed, steps, guards);
        let leases = leases::run(seed, steps, guards);
        let lost = lost_instances::run(seed, steps, guards);
        let rates = rates::run(seed, steps, guards);
        let restored_list = restored_list::run(seed, steps, guards);
        let restored_log = restored_log::run(seed, steps, guards);
        let streams = streams::run(seed, steps, guards);
        let usage = usage::run(seed, steps, guards);
        totals.schedules += 1;
        totals.overspent += budgets.overspent;
        totals.retries += budgets.retries;
        totals.exceeded_rates += rates.exceeded;
        totals.limited_sends += rates.limited_sends;
        totals.named_requests += rates.named_tenths / 10;
        totals.stale_calls += duties.stale_calls;
        totals.shared_tokens += duties.shared_tokens;
        totals.returns += duties.returns;
        totals.different_reports += duties.different_reports;
        totals.old_orders += duties.old_orders;
        totals.duty_calls += duties.calls;
        totals.duty_terms += duties.terms;
        totals.reported_windows += duties.reported;
        totals.holder_kills += duties.kills;
        totals.without_holder_ms += duties.without_holder_ms;
        totals.longest_without_holder_ms = totals
            .longest_without_holder_ms
            .max(duties.longest_without_ms);
        totals.late_sends += crashing.late_sends;
        totals.wrongly_refused += crashing.wrongly_refused;
        totals.crashes += crashing.crashes;
        totals.sound_sends += crashing.sound_sends;
        totals.doubled += claims.doubled;
        totals.false_not_run += claims.false_not_run;
        totals.runs += claims.runs;
        totals.reverted += configs.reverted + restored_log.reverted;
        totals.outdated += restored_log.outdated;
        totals.left_behind += restored_log.left_behind;
        totals.wrongly_removed += restored_list.wrongly_removed;
        totals.returned += restored_list.returned;
        totals.unknown_upstreams += restored_list.unknown;
        totals.kept_upstreams += restored_list.kept;
        totals.restored += restored_log.restored + restored_list.restored;
        totals.diverged += configs.diverged;
        totals.versions += configs.versions;
        totals.stale_orders_accepted += leases.stale_commands_accepted;
        totals.orders += leases.commands;
        totals.holders += leases.holders;
        totals.mixed_streams += streams.mixed + lost.mixed;
        totals.forgotten_losses += lost.forgotten;
        totals.streams_after_loss += lost.taken_up;
        totals.continued_after_loss += lost.continued;
        totals.streams += streams.begun;
        totals.continued_streams += streams.continued;
        totals.unknown_streams += streams.unknown;
        totals.wrong_usage += usage.wrong;
        totals.reported_usage += usage.reported;
        if !totals.is_sound() && totals.failing_seed.is_none() {
            totals.failing_seed = Some(seed);
        }
    }
    totals
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Returns the definition of the command's arguments.
pub(crate) fn command() -> Command {
    Command::new("faults")
        .about("Run random schedules of faults against the parts of the library")
        .arg(number_arg("seed", "1", "First seed"))
        .arg(number_arg("schedules", "1000", "Number of schedules"))
        .arg(number_arg("steps", "1000", "Steps of a schedule"))
        .arg(crate::json_arg())
}

/// Runs the command and returns whether no fault was found.
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
