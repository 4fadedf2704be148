//! The operator's command line: checks, publishes and shows configurations, and shows the status of
//! instances and the history of requests.

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use similar::TextDiff;
use std::{
    fs,
    io::{
        self,
        Read as _, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::Duration, //
};
use vanillakeel::Config;
use vanillakeel_ctl::{
    PublishOutcome,
    explain,
    keys,
    publish,
    read_log_state, //
};
use vanillakeel_http::{
    Body,
    Method,
    request, //
};
use vanillakeel_log::Client;

/// Exit code for invalid arguments and unreadable or invalid files.
const BAD_INPUT_EXIT_CODE: u8 = 2;

/// Largest status page that is read, in bytes.
const MAX_STATUS_BYTES: usize = 16 << 20;

/// Timeout for reading the status page of an instance.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// The result of a command: the text for standard output, or an exit code and an error message.
type CommandResult = Result<String, (u8, String)>;

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("TOML file with the configuration")
}

fn log_arg() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the log service")
}

fn command() -> Command {
    Command::new("vanillakeel-ctl")
        .about("Check, publish and show the configuration; show the status of instances")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a configuration without publishing it")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish a configuration and wait until it is in force or refused")
                .arg(file_arg())
                .arg(log_arg())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help(
                            "Version that the file was derived from; by default the one in force",
                        ),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .value_name("NAME")
                        .default_value("operator")
                        .help("Who publishes it; recorded for information only"),
                )
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .value_name("SECONDS")
                        .default_value("10")
                        .value_parser(value_parser!(u64))
                        .help("Time to wait for the decision"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Show the configuration in force and its version")
                .arg(log_arg()),
        )
        .subcommand(
            Command::new("diff")
                .about("Compare a configuration with the one in force")
                .arg(file_arg())
                .arg(log_arg()),
        )
        .subcommand(
            Command::new("explain")
                .about("Show the history of a request from log lines")
                .arg(
                    Arg::new("id")
                        .value_name("ID")
                        .required(true)
                        .help("ID of the request"),
                )
                .arg(
                    Arg::new("logs")
                        .value_name("FILE")
                        .num_args(0..)
                        .value_parser(value_parser!(PathBuf))
                        .help("Files with log lines; standard input if none is given"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Show the status of instances")
                .arg(
                    Arg::new("instance")
                        .value_name("IP:PORT")
                        .required(true)
                        .action(ArgAction::Append)
                        .num_args(1..)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Address of an instance's operator pages"),
                ),
        )
        .subcommand(
            Command::new("keys")
                .about("Generate keys for a test set of instances")
                .arg(
                    Arg::new("out")
                        .long("out")
                        .value_name("FOLDER")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Folder to write the files to"),
                )
                .arg(
                    Arg::new("name")
                        .value_name("NAME")
                        .required(true)
                        .num_args(1..)
                        .help("Names of the instances"),
                ),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("check", args)) => check(args).map(|_| "good\n".to_owned()),
        Some(("publish", args)) => run_publish(args),
        Some(("show", args)) => show(args),
        Some(("diff", args)) => diff(args),
        Some(("explain", args)) => run_explain(args),
        Some(("status", args)) => status(args),
        Some(("keys", args)) => run_keys(args),
        _ => Ok(String::new()),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err((code, reason)) => {
            eprintln!("vanillakeel-ctl: {reason}");
            ExitCode::from(code)
        }
    }
}

fn bad_input(reason: impl std::fmt::Display) -> (u8, String) {
    (BAD_INPUT_EXIT_CODE, reason.to_string())
}

/// Reads and checks the configuration file given by the argument `file`, and returns its content.
fn check(args: &ArgMatches) -> Result<String, (u8, String)> {
    let path: &PathBuf = args.get_one("file").ok_or_else(|| bad_input("no file"))?;
    let error_at = |e: &dyn std::fmt::Display| bad_input(format!("{}: {e}", path.display()));
    let source = fs::read_to_string(path).map_err(|e| error_at(&e))?;
    Config::parse(&source).map_err(|e| error_at(&e))?;
    Ok(source)
}

fn log_client(args: &ArgMatches) -> Result<Client, (u8, String)> {
    let address = args.get_one::<SocketAddr>("log");
    Ok(Client::new(*address.ok_or_else(|| bad_input("no log"))?))
}

fn run_publish(args: &ArgMatches) -> CommandResult {
    let source = check(args)?;
    let log = log_client(args)?;
    let base = args.get_one::<u64>("base").copied();
    let author = args.get_one::<String>("author").map_or("", String::as_str);
    let wait = Duration::from_secs(args.get_one("wait").copied().unwrap_or(10));
    match publish(&log, &source, base, author, wait).map_err(|e| (1, e.to_string()))? {
        PublishOutcome::InForce(version) => Ok(format!("in force as version {version}\n")),
        PublishOutcome::Refused(reason) => Err((1, format!("refused: {reason}"))),
        PublishOutcome::Undecided => {
            Err((1, "no ruling yet; it may still come into force".to_owned()))
        }
    }
}

fn show(args: &ArgMatches) -> CommandResult {
    let log_state = read_log_state(&log_client(args)?).map_err(|e| (1, e.to_string()))?;
    Ok(format!(
        "# version {}\n{}",
        log_state.version(),
        log_state.text()
    ))
}

fn diff(args: &ArgMatches) -> CommandResult {
    let source = check(args)?;
    let log_state = read_log_state(&log_client(args)?).map_err(|e| (1, e.to_string()))?;
    let in_force = log_state.text().to_string();
    let diff = TextDiff::from_lines(&in_force, &source);
    let header = format!("version {}", log_state.version());
    Ok(diff.unified_diff().header(&header, "the file").to_string())
}

/// Shows the history of a request; it is an error if no line is about the request.
fn run_explain(args: &ArgMatches) -> CommandResult {
    let request_id = args
        .get_one::<String>("id")
        .ok_or_else(|| bad_input("no id"))?;
    let mut text = String::new();
    let files = args.get_many::<PathBuf>("logs").unwrap_or_default();
    if files.len() == 0 {
        io::stdin().read_to_string(&mut text).map_err(bad_input)?;
    }
    for path in files {
        let bytes = fs::read(path).map_err(|e| bad_input(format!("{}: {e}", path.display())))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    let history = explain::explain(text.lines(), request_id);
    if history.is_known() {
        Ok(history.to_string())
    } else {
        Err((1, format!("{request_id}: {}", history.cause())))
    }
}

fn status(args: &ArgMatches) -> CommandResult {
    let mut text = String::new();
    for instance in args.get_many::<SocketAddr>("instance").unwrap_or_default() {
        let page = read_status(*instance).map_err(|e| (1, format!("{instance}: {e}")))?;
        text.push_str(&page);
        text.push('\n');
    }
    Ok(text)
}

fn read_status(instance: SocketAddr) -> Result<String, Box<dyn std::error::Error>> {
    let url = format!("http://{instance}/status");
    let response = request(Method::GET, &url, STATUS_TIMEOUT).send()?;
    let json: serde_json::Value =
        serde_json::from_slice(&Body::read_all(response, MAX_STATUS_BYTES)?)?;
    Ok(serde_json::to_string_pretty(&json)?)
}

fn run_keys(args: &ArgMatches) -> CommandResult {
    let out: &PathBuf = args.get_one("out").ok_or_else(|| bad_input("no folder"))?;
    let names = args.get_many::<String>("name").unwrap_or_default();
    let names: Vec<&str> = names.map(String::as_str).collect();
    let key_set = keys::generate(&names).map_err(bad_input)?;
    key_set.write(out).map_err(bad_input)?;
    Ok(format!("keys of {} instances\n", names.len()))
}
