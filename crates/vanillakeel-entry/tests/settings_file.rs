//! Guards against invalid settings that are accepted, or reported in a way that an operator can't act
//! on: each error has to be one line with file, key and reason, and the exit code 2.

use rstest::rstest;
use std::{
    fs,
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
};

const GOOD: &str = include_str!("../../../examples/entry.toml");

fn run_check(name: &str, source: &str) -> (PathBuf, Output) {
    let file = format!("vanillakeel-settings-{}-{name}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, source).expect("writing the settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_vanillakeel-entry"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .expect("running the daemon");
    fs::remove_file(&path).expect("removing the settings file");
    (path, output)
}

#[test]
fn good_settings() {
    let (_, output) = run_check("good", GOOD);
    assert!(output.status.success(), "{output:?}");
}

#[rstest]
#[case::unknown_key("unknown", "[limits]\nbody_size = 5", "unknown field `body_size`")]
#[case::wrong_unit("unit", "[timing]\nlist_every_ms = \"1 s\"", "invalid type")]
#[case::section("section", "[limit]\nbody_bytes = 5", "unknown field `limit`")]
#[case::window("window", "[timing]\nkey_window_ms = 3600000", "timing.key_window_ms")]
#[case::zero("zero", "[limits]\nbody_bytes = 0", "limits.body_bytes")]
#[case::twice("twice", "[listen]\npeers = \"127.0.0.1:1\"", "duplicate")]
#[case::format("format", "[log]\nformat = \"xml\"", "unknown variant `xml`")]
fn bad_settings(#[case] name: &str, #[case] more: &str, #[case] expected: &str) {
    let (path, output) = run_check(name, &format!("{GOOD}\n{more}\n"));
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert!(line.contains(&path.display().to_string()), "{line}");
    assert!(line.contains(expected), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
}

#[test]
fn missing_address() {
    let (_, output) = run_check("missing", &GOOD.replace("log = ", "# log = "));
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(line.contains("missing field `log`"), "{line}");
}
