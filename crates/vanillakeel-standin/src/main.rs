//! Runs one stand-in as a process, to try the router by hand.
//!
//! The subcommand selects the system; the stand-in runs until the process is ended.

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    thread, //
};
use vanillakeel_standin::{
    RunCounts,
    engine,
    list,
    log,
    plain,
    weights, //
};

fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen at");
    let kind = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(listen.clone())
    };
    Command::new("vanillakeel-standin")
        .about("Stand-ins for the systems that the router talks to; POST /faults injects faults")
        .subcommand_required(true)
        .subcommand(
            kind("engine", "A model engine")
                .arg(
                    Arg::new("model")
                        .long("model")
                        .value_name("NAME")
                        .action(clap::ArgAction::Append)
                        .help("A model that is loaded at the start; may be given several times"),
                )
                .arg(
                    Arg::new("weights")
                        .long("weights")
                        .value_name("IP:PORT")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Address of the weight store; without it, a load takes no time"),
                )
                .arg(
                    Arg::new("rate-limit-file")
                        .long("rate-limit-file")
                        .value_name("PATH")
                        .value_parser(value_parser!(PathBuf))
                        .help("File with the rate limit to name, in requests a second; read for each answer"),
                )
                .arg(
                    Arg::new("rate-limit")
                        .long("rate-limit")
                        .value_name("N")
                        .value_parser(value_parser!(f64))
                        .help("Rate limit to name under load, in requests a second"),
                )
                .arg(
                    Arg::new("rate-limit-above")
                        .long("rate-limit-above")
                        .value_name("N")
                        .default_value("0")
                        .value_parser(value_parser!(usize))
                        .help("Number of waiting requests above which --rate-limit is named"),
                )
                .arg(
                    Arg::new("ignore-fencing")
                        .long("ignore-fencing")
                        .action(clap::ArgAction::SetTrue)
                        .help(
                            "Accept commands to load and unload models with a stale fencing token",
                        ),
                ),
        )
        .subcommand(
            kind("plain", "A plain service").arg(
                Arg::new("work-ms")
                    .long("work-ms")
                    .value_name("MS")
                    .default_value("5")
                    .value_parser(value_parser!(u64))
                    .help("Time that a request takes"),
            ),
        )
        .subcommand(kind("log", "The log service"))
        .subcommand(
            kind("list", "The instance list").arg(
                Arg::new("lag-ms")
                    .long("lag-ms")
                    .value_name("MS")
                    .default_value("1000")
                    .value_parser(value_parser!(u64))
                    .help("Time until a change of the list becomes visible"),
            ),
        )
        .subcommand(kind("weights", "The weight store"))
}

/// Prints the address of the stand-in and waits until the process is ended.
///
/// `_running` keeps the stand-in alive.
fn serve<T>(name: &str, address: SocketAddr, _running: &T) -> ! {
    println!("{name} listens at {address}");
    loop {
        thread::park();
    }
}

fn run(name: &str, args: &ArgMatches) -> io::Result<()> {
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = args.get_one("listen").copied().unwrap_or(free_port);
    let run_counts = RunCounts::default();
    match name {
        "engine" => {
            let models = args.get_many::<String>("model").unwrap_or_default();
            let settings = engine::Settings {
                models: models.cloned().collect(),
                weight_store: args.get_one("weights").copied(),
                rate_file: args.get_one::<PathBuf>("rate-limit-file").cloned(),
                rate_above_waiting: args
                    .get_one("rate-limit")
                    .copied()
                    .zip(args.get_one("rate-limit-above").copied()),
                checks_fencing: !args.get_flag("ignore-fencing"),
                ..engine::Settings::default()
            };
            let engine = engine::Engine::start(listen, &run_counts, settings)?;
            serve(name, engine.address(), &engine)
        }
        "plain" => {
            let work_ms = args.get_one("work-ms").copied().unwrap_or(5);
            let plain = plain::PlainService::start(listen, &run_counts, work_ms)?;
            serve(name, plain.address(), &plain)
        }
        "log" => {
            let log = log::LogService::start(listen, log::Settings::default())?;
            serve(name, log.address(), &log)
        }
        "list" => {
            let list =
                list::InstanceList::start(listen, args.get_one("lag-ms").copied().unwrap_or(0))?;
            serve(name, list.address(), &list)
        }
        _ => {
            let store = weights::WeightStore::start(listen, weights::Settings::default())?;
            serve(name, store.address(), &store)
        }
    }
}

fn main() {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else {
        return;
    };
    if let Err(e) = run(name, args) {
        eprintln!("vanillakeel-standin: {name}: {e}");
        std::process::exit(2);
    }
}
