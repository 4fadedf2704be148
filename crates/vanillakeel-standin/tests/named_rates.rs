//! The rate limit that the stand-in engine names in its answers.
//!
//! Guards against an engine that names no limit where a test relies on one, or goes on naming one.

use std::{
    fs,
    net::SocketAddr,
    time::Duration, //
};
use vanillakeel_http::{
    Method,
    request, //
};
use vanillakeel_standin::{
    Fault, RunCounts,
    engine::{
        Engine,
        Settings, //
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn start(settings: Settings) -> Engine {
    let settings = Settings {
        models: vec!["writer".to_owned()],
        ..settings
    };
    let free_address = SocketAddr::from(([127, 0, 0, 1], 0));
    Engine::start(free_address, &RunCounts::default(), settings).expect("an engine")
}

/// Sends a short completion and returns the rate that its answer names.
fn named_rate(engine: &Engine, model: &str) -> Option<String> {
    let url = format!("http://{}/v1/completions", engine.address());
    let body = format!(r#"{{"model": "{model}", "prompt": "deed-1", "max_tokens": 1}}"#);
    let answer = request(Method::POST, &url, TIMEOUT).text(body).send();
    let answer = answer.expect("an answer");
    let value = answer.headers().get("x-rate-limit")?;
    Some(value.to_str().expect("text").to_owned())
}

/// A file is read for each answer, also one that refuses; an empty or missing one names no limit.
#[test]
fn by_file() {
    let name = format!("vanillakeel-rate-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let engine = start(Settings {
        rate_file: Some(path.clone()),
        ..Settings::default()
    });
    assert_eq!(named_rate(&engine, "writer"), None);
    fs::write(&path, "1.9\n").expect("it is written");
    assert_eq!(named_rate(&engine, "writer").as_deref(), Some("1.9"));
    assert_eq!(named_rate(&engine, "unknown").as_deref(), Some("1.9"));
    fs::write(&path, "\n").expect("it is written");
    assert_eq!(named_rate(&engine, "writer"), None);
    fs::remove_file(&path).expect("it is removed");
}

/// A limit is named while more requests wait than the number set, also in an answer that refuses.
#[test]
fn by_load() {
    let idle = start(Settings {
        rate_above_waiting: Some((2.5, 0)),
        ..Settings::default()
    });
    assert_eq!(named_rate(&idle, "writer"), None);
    // An engine without a slot keeps all requests waiting until its queue is full.
    let mut batch = Settings::default().batch;
    batch.slots = 0;
    batch.max_waiting = 1;
    let full = start(Settings {
        batch,
        rate_above_waiting: Some((2.5, 0)),
        ..Settings::default()
    });
    let waiting = std::thread::spawn({
        let url = format!("http://{}/v1/completions", full.address());
        move || {
            let body = r#"{"model": "writer", "prompt": "deed-2", "max_tokens": 1}"#;
            let _ = request(Method::POST, &url, Duration::from_secs(2))
                .text(body)
                .send();
        }
    });
    while full.received() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(named_rate(&full, "writer").as_deref(), Some("2.5"));
    waiting.join().expect("it ends");
}

/// A fault goes before the others.
#[test]
fn by_fault() {
    let engine = start(Settings {
        rate_above_waiting: Some((2.5, 0)),
        ..Settings::default()
    });
    engine.faults().set(Fault {
        rate_limit: Some(0.5),
        ..Fault::default()
    });
    assert_eq!(named_rate(&engine, "writer").as_deref(), Some("0.5"));
}
