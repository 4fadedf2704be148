//! Checks of the operator's configuration: each error names the line or key at fault.

use rstest::rstest;
use vanillakeel::Config;

const VALID: &str = r#"
[[workspace]]
name = "clerks"

[[class]]
name = "draft"
tier = 1
target_ms = 1700

[[pool]]
name = "models"
kind = "model"

[[upstream]]
name = "runner-1"
pool = "models"
address = "127.0.0.1:7101"

[[service]]
name = "deeds"
pool = "models"
model = "writer"
depends_on = []

[[event]]
name = "tender"
service = "deeds"
start = "2026-12-04T09:00:00Z"
replicas = 2
"#;

#[test]
fn valid_config() {
    assert!(Config::parse(VALID).is_ok());
}

#[rstest]
#[case::alpenland(include_str!("../../../examples/alpenland.toml"))]
#[case::acoustique(include_str!("../../../examples/acoustique.toml"))]
#[case::first(include_str!("../../../examples/first.toml"))]
fn example_configs(#[case] source: &str) {
    assert_eq!(Config::parse(source).map(|_| ()), Ok(()));
}

#[rstest]
#[case::no_toml("[[", "line 2")]
#[case::unknown_key("tier = 1\nteir = 1", "unknown field `teir`")]
#[case::wrong_type("tier = \"top\"", "invalid type")]
#[case::tier_too_low("tier = 9", "class.draft.tier")]
#[case::target_zero("tier = 1\ntarget_ms = 0", "class.draft.target_ms")]
#[case::deadline_before_target("tier = 1\ndeadline_ms = 5", "class.draft.deadline_ms")]
#[case::no_pool("pool = \"others\"\naddress", "upstream.runner-1.pool")]
#[case::bad_address("address = \"runner.example:1\"", "upstream.runner-1.address")]
#[case::no_slots("address = \"127.0.0.1:1\"\nslots = 0", "upstream.runner-1.slots")]
#[case::no_service("depends_on = [\"x\"]", "service.deeds.depends_on")]
#[case::itself("depends_on = [\"deeds\"]", "service.deeds.depends_on")]
#[case::no_model("model = \"writer\"\nprefix = \"/x\"", "service.deeds.model")]
#[case::bad_start("start = \"tomorrow\"", "event.tender.start")]
#[case::no_replicas("replicas = 0", "event.tender.replicas")]
#[case::twice(
    "[[pool]]\nname = \"models\"\nkind = \"model\"\n[[pool]]",
    "pool.models"
)]
#[case::odd_name("name = \"cl erks\"", "workspace")]
#[case::bad_hash(
    "name = \"clerks\"\ntoken_sha256 = \"ab\"",
    "workspace.clerks.token_sha256"
)]
fn invalid_config(#[case] change: &str, #[case] expected: &str) {
    let key = change.split([' ', ']']).next().unwrap_or("");
    let source = match key {
        "[[" => format!("\n{change}"),
        "[[pool" => VALID.replacen("[[pool]]", change, 1),
        "name" => VALID.replacen("name = \"clerks\"", change, 1),
        "pool" => VALID.replacen("pool = \"models\"\naddress", change, 1),
        key => {
            let line = VALID
                .lines()
                .find(|l| l.split(' ').next() == Some(key))
                .expect("a line");
            let changed = VALID.replacen(line, change, 1);
            without_original(&changed, change)
        }
    };
    let error = Config::parse(&source).expect_err("an error").to_string();
    assert!(error.contains(expected), "{error}");
}

/// Removes the original line of the key that the second line of `change` sets again.
fn without_original(source: &str, change: &str) -> String {
    let Some(key) = change.lines().nth(1).and_then(|l| l.split(' ').next()) else {
        return source.to_owned();
    };
    let old = VALID.lines().find(|l| l.split(' ').next() == Some(key));
    old.map_or_else(|| source.to_owned(), |old| source.replacen(old, "", 1))
}
