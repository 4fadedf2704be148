//! A whole session with one instance, compared with a golden file.
//!
//! Run with `VANILLAKEEL_REGENERATE=1` to write the golden file anew.

use std::{
    fmt::Write as _,
    fs,
    path::Path,
    time::Duration, //
};
use vanillakeel_bench::{
    TEXT,
    rig::{
        MODEL,
        Options,
        Rig, //
    },
};
use vanillakeel_http::{
    Method,
    request, //
};

/// Headers that are part of the golden file.
const KEPT: [&str; 4] = [
    "content-type",
    "x-verdict",
    "retry-after",
    "transfer-encoding",
];

struct Ask {
    title: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
}

const CLERK: [(&str, &str); 2] = [("x-workspace", "ws-1"), ("x-class", "draft")];
const CHECK: [(&str, &str); 2] = [("x-workspace", "ws-2"), ("x-class", "validity")];
const ISSUE: [(&str, &str); 2] = [("x-workspace", "ws-2"), ("x-class", "issuance")];

fn completion(more: &str) -> String {
    format!(
        "{{\"model\": \"{MODEL}\", \"max_tokens\": 6{more}, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"deed-1 for a tender\"}}]}}"
    )
}

fn session() -> Vec<Ask> {
    let ask = |title, path, headers, body: String| Ask {
        title,
        method: Method::POST,
        path,
        headers,
        body,
    };
    let chat = "/v1/chat/completions";
    vec![
        ask("a draft as a whole", chat, &CLERK, completion("")),
        ask(
            "a draft as a stream",
            chat,
            &CLERK,
            completion(", \"stream\": true"),
        ),
        ask(
            "a check of a guarantee",
            "/register/check",
            &CHECK,
            "check-1".into(),
        ),
        ask(
            "an issuance without a key",
            "/register/issue",
            &ISSUE,
            "issue-1".into(),
        ),
        ask("no class", chat, &[("x-workspace", "ws-1")], completion("")),
        ask(
            "a model that no service has",
            chat,
            &CLERK,
            completion("").replace(MODEL, "other"),
        ),
        ask("a body that is no JSON", chat, &CLERK, "{".into()),
        ask(
            "a path that no service has",
            "/elsewhere",
            &CHECK,
            String::new(),
        ),
        Ask {
            method: Method::GET,
            ..ask("a completion by GET", chat, &CLERK, String::new())
        },
    ]
}

fn transcript(rig: &Rig, ask: &Ask) -> String {
    let url = format!("http://{}{}", rig.callers()[0], ask.path);
    let mut req = request(ask.method.clone(), &url, Duration::from_secs(20));
    for (name, value) in ask.headers {
        req = req.header(*name, *value);
    }
    let answer = req.text(&ask.body).send().expect("an answer");
    let mut text = format!(
        "## {}\n\n{} {}\n{}\n\n",
        ask.title, ask.method, ask.path, ask.body
    );
    let _ = writeln!(text, "{}", answer.status().as_u16());
    for name in KEPT {
        if let Some(value) = answer.headers().get(name) {
            let _ = writeln!(text, "{name}: {}", value.to_str().expect("a text"));
        }
    }
    let _ = writeln!(text, "\n{}\n", answer.text().expect("a whole body"));
    text
}

#[test]
fn golden_file() {
    let options = Options {
        instances: 1,
        engines: 1,
        ..Options::default()
    };
    let rig = Rig::start(options, TEXT).expect("a rig");
    let parts: Vec<String> = session().iter().map(|a| transcript(&rig, a)).collect();
    let seen = parts.concat();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if std::env::var_os("VANILLAKEEL_REGENERATE").is_some() {
        fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        fs::write(&path, &seen).expect("a golden file");
    }
    let golden = fs::read_to_string(&path).expect("the golden file");
    assert_eq!(seen, golden);
}
