//! Checks of the settings of the pass-through daemon.
//!
//! The example file has to be valid, and an error has to name the key that an operator must correct.

use rstest::rstest;
use vanillakeel_entry::gateway::Settings;

const EXAMPLE: &str = include_str!("../../../examples/gateway.toml");

#[test]
fn example_good() {
    let settings = Settings::parse(EXAMPLE).expect("the example is valid");
    assert_eq!(settings.retries.slack, 50.0);
    assert!(settings.listen.peers.is_some());
}

#[rstest]
#[case::empty_name("name = \"entry-1\"", "name = \"\"", "instance.name: is empty")]
#[case::same_address("127.0.0.1:8081", "127.0.0.1:8080", "listen.operators: is the same")]
#[case::no_address("127.0.0.1:7001", "store", "line 12:")]
#[case::unknown_key("revoked_ms", "revoke_ms", "line 15: unknown field")]
#[case::short_grace(
    "grace_ms = 8000",
    "grace_ms = 2000",
    "timing.grace_ms: has to be longer"
)]
#[case::early_refusal(
    "last_request_ms = 2900",
    "last_request_ms = 100",
    "timing.last_request_ms: has to be"
)]
#[case::short_revocation(
    "revoked_ms = 5000",
    "revoked_ms = 900",
    "timing.revoked_ms: has to be"
)]
#[case::negative_ratio("ratio = 0.2", "ratio = -0.2", "retries.ratio: has to be 0 or more")]
#[case::negative_link(
    "link_mbps = 1000.0",
    "link_mbps = -1.0",
    "machine.link_mbps: has to be 0 or more"
)]
#[case::no_window("window_ms = 10000", "window_ms = 0", "retries.window_ms: has to be 1")]
fn fault_named(#[case] good: &str, #[case] bad: &str, #[case] reason: &str) {
    let error =
        Settings::parse(&EXAMPLE.replace(good, bad)).expect_err("the settings should be rejected");
    assert!(error.to_string().starts_with(reason), "{error}");
}
