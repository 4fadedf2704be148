//! Contract tests of the stand-ins' interfaces.
//!
//! The tests and benchmarks of the router rely on these contracts. A stand-in that breaks one of
//! them would hide or fake a fault of the router.

use rstest::rstest;
use std::{
    net::SocketAddr,
    time::Duration, //
};
use vanillakeel_http::{
    Body,
    Events,
    Method,
    request, //
};
use vanillakeel_standin::{
    Fault, RunCounts, answer_tokens,
    engine::{
        self,
        Engine, //
    },
    list::{
        InstanceList,
        Item, //
    },
    log::{
        self,
        LogService, //
    },
};
use vanillakeel_wire::{
    Message as _,
    generated::LogPage, //
};

/// Limit on each request; long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The first word is the tag of the request, with which each token of the answer begins.
const PROMPT: &str = "deed-4 for a tender";

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn post(address: SocketAddr, path: &str, body: &str) -> (u16, String) {
    let url = format!("http://{address}{path}");
    let answer = request(Method::POST, &url, TIMEOUT).text(body).send();
    let answer = answer.expect("an answer");
    (answer.status().as_u16(), text(answer))
}

/// Returns the whole body of an answer.
fn text(answer: attohttpc::Response) -> String {
    let body = Body::read_all(answer, MAX_BODY_BYTES).expect("a whole body");
    String::from_utf8(body).expect("UTF-8")
}

/// Reads a page from offset `from` without waiting.
fn read_page(log: &LogService, from: u64) -> LogPage {
    let url = format!("http://{}/records?from={from}&wait_ms=0", log.address());
    let answer = request(Method::GET, &url, TIMEOUT)
        .send()
        .expect("an answer");
    let body = Body::read_all(answer, MAX_BODY_BYTES).expect("a whole body");
    LogPage::decode(body.as_slice()).expect("a page")
}

fn engine(checks_fencing: bool) -> Engine {
    let settings = engine::Settings {
        models: vec!["writer".to_owned()],
        checks_fencing,
        ..engine::Settings::default()
    };
    Engine::start(free_address(), &RunCounts::default(), settings).expect("an engine")
}

/// Offsets count appends from zero and stay the same when older records are removed; a reader that
/// starts below the first retained offset sees the gap.
#[test]
fn log_offsets_and_retention() {
    let log = LogService::start(free_address(), log::Settings::default()).expect("a log");
    for n in 0..3 {
        let answer = post(log.address(), "/append", &format!("record {n}"));
        assert_eq!(answer, (200, n.to_string()));
    }
    log.trim(2);
    let trimmed = read_page(&log, 0);
    assert_eq!((trimmed.first, trimmed.end), (2, 3));
    assert_eq!(trimmed.entries[0].offset, 2);
    assert_eq!(trimmed.entries[0].body, b"record 2");
}

/// An append during an outage must not take effect, and an append whose response is lost must.
#[rstest]
#[case::outage(Fault { outage: true, ..Fault::default() }, 503, 0)]
#[case::answer_lost(Fault { lose_answers: 1, ..Fault::default() }, 504, 1)]
fn log_faults(#[case] fault: Fault, #[case] status: u16, #[case] written: u64) {
    let log = LogService::start(free_address(), log::Settings::default()).expect("a log");
    log.faults().set(fault);
    assert_eq!(post(log.address(), "/append", "record").0, status);
    assert_eq!(log.appends(), written);
}

/// Returns the events of a streamed completion that resumes after `from` tokens.
fn events(engine: &Engine, from: u32) -> Vec<String> {
    let body = serde_json::json!({
        "model": "writer", "stream": true, "max_tokens": 200, "prompt": PROMPT,
    });
    let url = format!("http://{}/v1/completions", engine.address());
    let answer = request(Method::POST, &url, TIMEOUT)
        .header("x-resume-from", from)
        .text(body.to_string())
        .send();
    let (_, _, body) = Body::split(answer.expect("an answer"));
    Events::new(body).map(|e| e.expect("an event")).collect()
}

/// A resumed stream sends exactly the tokens that the caller does not have, and `[DONE]`, also if
/// no token is left.
#[rstest]
#[case::whole(0)]
#[case::resumed(3)]
#[case::nothing_left(u32::MAX)]
fn engine_streams(#[case] from: u32) {
    let engine = engine(true);
    let length = answer_tokens(PROMPT, 200);
    let from = from.min(length);
    let events = events(&engine, from);
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    let tokens = events.iter().filter(|e| e.contains("deed-4:"));
    assert_eq!(tokens.count() as u32, length - from);
}

/// A command with a lower fencing token than an earlier one comes from a former holder of the lease;
/// an engine that checks the token refuses it.
#[rstest]
#[case::checked(true, 409)]
#[case::ignored(false, 200)]
fn engine_fencing(#[case] checks_fencing: bool, #[case] stale_status: u16) {
    let engine = engine(checks_fencing);
    let send_command = |fencing: u64| {
        let body = serde_json::json!({"change": "load", "model": "other", "fencing": fencing});
        post(engine.address(), "/orders", &body.to_string()).0
    };
    assert_eq!(send_command(9), 200);
    assert_eq!(send_command(8), stale_status);
}

/// A completion for a model that is not loaded gets status 404, and a malformed body gets 400.
#[test]
fn engine_refuses_unknown_model() {
    let engine = engine(true);
    let body = "{\"model\": \"other\", \"prompt\": \"x\"}";
    assert_eq!(post(engine.address(), "/v1/completions", body).0, 404);
    assert_eq!(post(engine.address(), "/v1/completions", "{").0, 400);
}

/// A change of the list is not visible before the lag has passed.
#[test]
fn list_lags() {
    let list = InstanceList::start(free_address(), 60_000).expect("a list");
    list.set(&[Item {
        name: "runner-1".to_owned(),
        kind: "upstream".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "dc-1".to_owned(),
        generation: 1,
        leaving: false,
    }]);
    let url = format!("http://{}/instances", list.address());
    let answer = request(Method::GET, &url, TIMEOUT)
        .send()
        .expect("an answer");
    assert_eq!(text(answer), "[]");
}
