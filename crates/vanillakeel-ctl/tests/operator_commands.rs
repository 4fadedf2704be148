//! The operator's commands against a log, as a person runs them.

use std::{
    net::SocketAddr,
    process::{
        Command,
        Output, //
    },
    time::Duration,
};
use vanillakeel_ctl::{
    Published,
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

const FIRST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/first.toml");

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn log() -> LogService {
    LogService::start(any(), Settings::default()).expect("a log")
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_vanillakeel-ctl"))
        .args(args)
        .output()
        .expect("the command runs")
}

#[test]
fn check_good_and_bad() {
    assert!(run(&["check", FIRST]).status.success());
    let missing = run(&["check", "no-such-file.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("no-such-file.toml"));
}

#[test]
fn show_and_diff_of_nothing() {
    let log = log();
    let address = log.address().to_string();
    let show = run(&["show", "--log", &address]);
    assert_eq!(String::from_utf8_lossy(&show.stdout), "# version 0\n");
    let diff = run(&["diff", FIRST, "--log", &address]);
    assert!(String::from_utf8_lossy(&diff.stdout).contains("+name = \"clerks\""));
}

#[test]
fn log_away() {
    let show = run(&["show", "--log", "127.0.0.1:9"]);
    assert_eq!(show.status.code(), Some(1));
}

#[test]
fn lost_answer_appends_once() {
    let log = log();
    log.faults().set(Fault {
        lose_answers: 1,
        ..Fault::default()
    });
    let client = Client::new(log.address());
    let wait = Duration::from_secs(3);
    let published = publish(&client, "", None, "test", wait);
    assert_eq!(published, Ok(Published::Open));
    assert_eq!(log.appends(), 1);
}

#[test]
fn keys_written() {
    let folder = std::env::temp_dir().join(format!("vanillakeel-keys-{}", std::process::id()));
    let out = folder.display().to_string();
    assert!(run(&["keys", "--out", &out, "entry-1"]).status.success());
    for name in ["ca.pem", "entry-1.pem", "entry-1.key"] {
        assert!(folder.join(name).is_file(), "{name}");
    }
    std::fs::remove_dir_all(folder).expect("the folder goes");
}
