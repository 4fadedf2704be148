//! The operator's commands.

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
    Published,
    current,
    explain,
    keys,
    publish, //
};
use vanillakeel_http::{
    Method,
    request, //
};
use vanillakeel_log::Client;

/// Exit code for bad input.
const BAD_INPUT: u8 = 2;

/// Time after which a status page is given up.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// How a command ends: with a text for people, or a code and a text.
type Done = Result<String, (u8, String)>;

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("TOML file with the operator's text")
}

fn log() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The log service")
}

fn command() -> Command {
    Command::new("vanillakeel-ctl")
        .about("Check, publish and show the operator's text; show the status of instances")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a text without publishing it")
                .arg(file()),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish a text and wait until it is in force or refused")
                .arg(file())
                .arg(log())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Version that the text was made from; by default the present one"),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .value_name("NAME")
                        .default_value("operator")
                        .help("Who publishes it, for people"),
                )
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .value_name("SECONDS")
                        .default_value("10")
                        .value_parser(value_parser!(u64))
                        .help("Time to wait for the ruling"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Show the text in force and its version")
                .arg(log()),
        )
        .subcommand(
            Command::new("diff")
                .about("Compare a text with the one in force")
                .arg(file())
                .arg(log()),
        )
        .subcommand(
            Command::new("explain")
                .about("Tell the story of a request from log lines")
                .arg(
                    Arg::new("id")
                        .value_name("ID")
                        .required(true)
                        .help("Identity of the request"),
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
                        .help("Where operators reach an instance"),
                ),
        )
        .subcommand(
            Command::new("keys")
                .about("Make keys for a test set of instances")
                .arg(
                    Arg::new("out")
                        .long("out")
                        .value_name("FOLDER")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Folder for the files"),
                )
                .arg(
                    Arg::new("name")
                        .value_name("NAME")
                        .required(true)
                        .num_args(1..)
                        .help("Names of instances"),
                ),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("check", args)) => check(args).map(|_| "good\n".to_owned()),
        Some(("publish", args)) => run_publish(args),
        Some(("show", args)) => show(args),
        Some(("diff", args)) => diff(args),
        Some(("explain", args)) => run_explain(args),
        Some(("status", args)) => status(args),
        Some(("keys", args)) => run_keys(args),
        _ => Ok(String::new()),
    };
    match done {
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

fn bad(reason: impl std::fmt::Display) -> (u8, String) {
    (BAD_INPUT, reason.to_string())
}

/// Reads and checks the text of the argument `file`.
fn check(args: &ArgMatches) -> Result<String, (u8, String)> {
    let path: &PathBuf = args.get_one("file").ok_or_else(|| bad("no file"))?;
    let at = |e: &dyn std::fmt::Display| bad(format!("{}: {e}", path.display()));
    let source = fs::read_to_string(path).map_err(|e| at(&e))?;
    Config::parse(&source).map_err(|e| at(&e))?;
    Ok(source)
}

fn client_of(args: &ArgMatches) -> Result<Client, (u8, String)> {
    let address = args.get_one::<SocketAddr>("log");
    Ok(Client::new(*address.ok_or_else(|| bad("no log"))?))
}

fn run_publish(args: &ArgMatches) -> Done {
    let source = check(args)?;
    let log = client_of(args)?;
    let base = args.get_one::<u64>("base").copied();
    let author = args.get_one::<String>("author").map_or("", String::as_str);
    let wait = Duration::from_secs(args.get_one("wait").copied().unwrap_or(10));
    match publish(&log, &source, base, author, wait).map_err(|e| (1, e.to_string()))? {
        Published::InForce(version) => Ok(format!("in force as version {version}\n")),
        Published::Refused(reason) => Err((1, format!("refused: {reason}"))),
        Published::Open => Err((1, "no ruling yet; it may still come into force".to_owned())),
    }
}

fn show(args: &ArgMatches) -> Done {
    let fold = current(&client_of(args)?).map_err(|e| (1, e.to_string()))?;
    Ok(format!("# version {}\n{}", fold.version(), fold.text()))
}

fn diff(args: &ArgMatches) -> Done {
    let source = check(args)?;
    let fold = current(&client_of(args)?).map_err(|e| (1, e.to_string()))?;
    let in_force = fold.text().to_string();
    let diff = TextDiff::from_lines(&in_force, &source);
    let header = format!("version {}", fold.version());
    Ok(diff.unified_diff().header(&header, "the file").to_string())
}

/// Tells the story of a request; a request that no line is about is an error.
fn run_explain(args: &ArgMatches) -> Done {
    let id = args.get_one::<String>("id").ok_or_else(|| bad("no id"))?;
    let mut text = String::new();
    let files = args.get_many::<PathBuf>("logs").unwrap_or_default();
    if files.len() == 0 {
        io::stdin().read_to_string(&mut text).map_err(bad)?;
    }
    for path in files {
        let read = fs::read(path).map_err(|e| bad(format!("{}: {e}", path.display())))?;
        text.push_str(&String::from_utf8_lossy(&read));
        text.push('\n');
    }
    let story = explain::explain(text.lines(), id);
    if story.is_known() {
        Ok(story.to_string())
    } else {
        Err((1, format!("{id}: {}", story.cause())))
    }
}

fn status(args: &ArgMatches) -> Done {
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
    let answer = request(Method::GET, &url, STATUS_TIMEOUT).send()?;
    let json: serde_json::Value = serde_json::from_slice(&answer.bytes()?)?;
    Ok(serde_json::to_string_pretty(&json)?)
}

fn run_keys(args: &ArgMatches) -> Done {
    let out: &PathBuf = args.get_one("out").ok_or_else(|| bad("no folder"))?;
    let names = args.get_many::<String>("name").unwrap_or_default();
    let names: Vec<&str> = names.map(String::as_str).collect();
    let set = keys::make(&names).map_err(bad)?;
    set.write(out).map_err(bad)?;
    Ok(format!("keys of {} instances\n", names.len()))
}
