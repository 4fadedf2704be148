//! Guards the outcome and the history of a request that `explain` reconstructs from log lines:
//! lines that are noise, broken or about other requests must not change them, and missing lines
//! have to be reported.

use rstest::rstest;
use vanillakeel_ctl::explain::explain;

const LINES: &str = r#"
noise before
{"timestamp":"1","message":"upstream listed","upstream":"u1","state":"Live"}
{"timestamp":"2","message":"sent","request":"cut","upstream":"u1","wait_ms":3}
{"timestamp":"3","message":"sent","request":"other","upstream":"u1"}
{"timestamp":"4","message":"upstream could not be reached","upstream":"u1"}
{"timestamp":"5","message":"answer cut","request":"cut","upstream":"u1","reason":"broke off"}
front-1 {"timestamp":"6","message":"refused","request":"full","reason":"overload","verdict":"not-run"}
{"timestamp":"7","message":"sent","request":"lost","upstream":"u2"}
{"timestamp":"8","message":"send failed","request":"lost","upstream":"u2","reason":"no answer"}
{"timestamp":"9","message":"refused","request":"lost","reason":"broken","verdict":"may-have-run"}
{"timestamp":"10","message":"sent","request":"good","upstream":"u2"}
{"timestamp":"11","message":"answered","request":"good","status":200}
{"timestamp":"12","message":"sent","request":"open","upstream":"u2"}
{"timestamp":"13","message":"lines left out","count":7}
{ broken json
"#;

/// Guards against a wrong outcome or number of sends, for each way in which a request can end.
#[rstest]
#[case::cut("cut", "the answer of u1 was cut: broke off, after 1 sends")]
#[case::refused("full", "refused as not-run: overload, after 0 sends")]
#[case::lost(
    "lost",
    "refused as may-have-run: broken, after 1 sends; last miss: no answer"
)]
#[case::good("good", "answered after 1 sends")]
#[case::open(
    "open",
    "no end is on record: the instance stopped or its lines are missing"
)]
#[case::unknown("nobody", "no line is about this request")]
fn cause(#[case] id: &str, #[case] expected: &str) {
    assert_eq!(explain(LINES.lines(), id).cause(), expected);
}

/// Guards against a history that misses the state changes of upstreams around the request, or shows
/// lines of other requests.
#[test]
fn upstream_state_shown() {
    let history = explain(LINES.lines(), "cut").to_string();
    assert!(history.contains("| 1  upstream listed"), "{history}");
    assert!(
        history.contains("| 4  upstream could not be reached"),
        "{history}"
    );
    assert!(!history.contains("other"), "{history}");
}

/// Guards against a history that looks complete although the instance left out lines.
#[test]
fn left_out_lines_reported() {
    let history = explain(LINES.lines(), "open").to_string();
    assert!(history.contains("lines were left out"), "{history}");
}
