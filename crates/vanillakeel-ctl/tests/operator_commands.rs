//! Runs the operator's commands against a log service, as an operator does, and checks their exit
//! codes, output and files.

use std::{
    net::SocketAddr,
    process::{
        Command,
        Output, //
    },
    time::Duration,
};
use vanillakeel_ctl::{
    PublishOutcome,
    publish, //
};
use vanillakeel_log::Client;
use vanillakeel_standin::{
    Fault,
    log::{
        LogService,
        Settings, //
    },
};

const EXAMPLE_CONFIG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/first.toml");

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_log() -> LogService {
    LogService::start(free_address(), Settings::default()).expect("the log service starts")
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_vanillakeel-ctl"))
        .args(args)
        .output()
        .expect("the command runs")
}

/// Guards against a `check` that refuses the example, or that accepts a missing file or does not name
/// it.
#[test]
fn check_good_and_bad() {
    assert!(run(&["check", EXAMPLE_CONFIG]).status.success());
    let missing = run(&["check", "no-such-file.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("no-such-file.toml"));
}

/// Guards against commands that fail before the first configuration is published.
#[test]
fn show_and_diff_with_empty_log() {
    let log = start_log();
    let address = log.address().to_string();
    let show = run(&["show", "--log", &address]);
    assert_eq!(String::from_utf8_lossy(&show.stdout), "# version 0\n");
    let diff = run(&["diff", EXAMPLE_CONFIG, "--log", &address]);
    assert!(String::from_utf8_lossy(&diff.stdout).contains("+name = \"clerks\""));
}

/// Guards against a success, or the exit code of bad input, when the log service cannot be reached.
#[test]
fn unreachable_log_fails() {
    let show = run(&["show", "--log", "127.0.0.1:9"]);
    assert_eq!(show.status.code(), Some(1));
}

/// The log service stores the proposal, but the answer to the append is lost. `publish` must not
/// append it again once it appears on the log.
#[test]
fn lost_answer_appends_once() {
    let log = start_log();
    log.faults().set(Fault {
        lose_answers: 1,
        ..Fault::default()
    });
    let client = Client::new(log.address());
    let wait = Duration::from_secs(3);
    let outcome = publish(&client, "", None, "test", wait);
    assert_eq!(outcome, Ok(PublishOutcome::Undecided));
    assert_eq!(log.appends(), 1);
}

/// Guards against missing or misnamed key files, which the settings of instances refer to.
#[test]
fn keys_written() {
    let folder = std::env::temp_dir().join(format!("vanillakeel-keys-{}", std::process::id()));
    let out = folder.display().to_string();
    assert!(run(&["keys", "--out", &out, "entry-1"]).status.success());
    for name in ["ca.pem", "entry-1.pem", "entry-1.key"] {
        assert!(folder.join(name).is_file(), "{name}");
    }
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}
