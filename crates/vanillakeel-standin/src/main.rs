//! One stand-in as a process, so that a person can try the daemon by hand.

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use std::{
    io,
    net::SocketAddr,
    thread, //
};
use vanillakeel_standin::{
    Ledger,
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
        .about("Stand-ins for the systems that the router meets; faults are set by POST /faults")
        .subcommand_required(true)
        .subcommand(
            kind("engine", "A model engine")
                .arg(
                    Arg::new("model")
                        .long("model")
                        .value_name("NAME")
                        .action(clap::ArgAction::Append)
                        .help("A model held at the start; may be given several times"),
                )
                .arg(
                    Arg::new("weights")
                        .long("weights")
                        .value_name("IP:PORT")
                        .value_parser(value_parser!(SocketAddr))
                        .help("The weight store"),
                )
                .arg(
                    Arg::new("ignore-fencing")
                        .long("ignore-fencing")
                        .action(clap::ArgAction::SetTrue)
                        .help("Take orders with an old fencing number"),
                ),
        )
        .subcommand(
            kind("plain", "A plain service").arg(
                Arg::new("work-ms")
                    .long("work-ms")
                    .value_name("MS")
                    .default_value("5")
                    .value_parser(value_parser!(u64))
                    .help("Time that a call takes"),
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
                    .help("Time after which a change is shown"),
            ),
        )
        .subcommand(kind("weights", "The weight store"))
}

/// Tells where the stand-in listens and waits for the process to be ended.
fn serve<T>(name: &str, address: SocketAddr, _running: &T) -> ! {
    println!("{name} listens at {address}");
    loop {
        thread::park();
    }
}

fn run(name: &str, args: &ArgMatches) -> io::Result<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = args.get_one("listen").copied().unwrap_or(any);
    let ledger = Ledger::default();
    match name {
        "engine" => {
            let models = args.get_many::<String>("model").unwrap_or_default();
            let settings = engine::Settings {
                models: models.cloned().collect(),
                weights: args.get_one("weights").copied(),
                checks_fencing: !args.get_flag("ignore-fencing"),
                ..engine::Settings::default()
            };
            let engine = engine::Engine::start(listen, &ledger, settings)?;
            serve(name, engine.address(), &engine)
        }
        "plain" => {
            let work_ms = args.get_one("work-ms").copied().unwrap_or(5);
            let plain = plain::Plain::start(listen, &ledger, work_ms)?;
            serve(name, plain.address(), &plain)
        }
        "log" => {
            let log = log::Log::start(listen, log::Settings::default())?;
            serve(name, log.address(), &log)
        }
        "list" => {
            let list = list::List::start(listen, args.get_one("lag-ms").copied().unwrap_or(0))?;
            serve(name, list.address(), &list)
        }
        _ => {
            let store = weights::Weights::start(listen, weights::Settings::default())?;
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
