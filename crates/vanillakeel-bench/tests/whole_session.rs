//! A session of requests to one instance, whose transcript is compared with a golden file.
//!
//! Run with `VANILLAKEEL_REGENERATE=1` to rewrite the golden file.

use std::{
    fmt::Write as _,
    fs,
    path::Path,
    time::Duration, //
};
use vanillakeel_bench::{
    CONFIG,
    cluster::{
        Cluster,
        MODEL,
        Options, //
    },
};
use vanillakeel_http::{
    Body,
    Method,
    request, //
};

/// Largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Response headers that the golden file contains.
const GOLDEN_HEADERS: [&str; 4] = [
    "content-type",
    "x-verdict",
    "retry-after",
    "transfer-encoding",
];

/// A request of the session, with its title in the golden file.
struct SessionRequest {
    title: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
}

// Headers that give the workspace and the class of a request.
const DRAFT_HEADERS: [(&str, &str); 2] = [("x-workspace", "ws-1"), ("x-class", "draft")];
const CHECK_HEADERS: [(&str, &str); 2] = [("x-workspace", "ws-2"), ("x-class", "validity")];
const ISSUE_HEADERS: [(&str, &str); 2] = [("x-workspace", "ws-2"), ("x-class", "issuance")];

/// Returns the body of a completion; `more` is inserted as further members.
fn completion(more: &str) -> String {
    format!(
        "{{\"model\": \"{MODEL}\", \"max_tokens\": 6{more}, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"deed-1 for a tender\"}}]}}"
    )
}

fn session() -> Vec<SessionRequest> {
    let post = |title, path, headers, body: String| SessionRequest {
        title,
        method: Method::POST,
        path,
        headers,
        body,
    };
    let chat = "/v1/chat/completions";
    vec![
        post("a draft as a whole", chat, &DRAFT_HEADERS, completion("")),
        post(
            "a draft as a stream",
            chat,
            &DRAFT_HEADERS,
            completion(", \"stream\": true"),
        ),
        post(
            "a check of a guarantee",
            "/register/check",
            &CHECK_HEADERS,
            "check-1".into(),
        ),
        post(
            "an issuance without a key",
            "/register/issue",
            &ISSUE_HEADERS,
            "issue-1".into(),
        ),
        post("no class", chat, &[("x-workspace", "ws-1")], completion("")),
        post(
            "a model that no service has",
            chat,
            &DRAFT_HEADERS,
            completion("").replace(MODEL, "other"),
        ),
        post("a body that is no JSON", chat, &DRAFT_HEADERS, "{".into()),
        post(
            "a path that no service has",
            "/elsewhere",
            &CHECK_HEADERS,
            String::new(),
        ),
        SessionRequest {
            method: Method::GET,
            ..post("a completion by GET", chat, &DRAFT_HEADERS, String::new())
        },
    ]
}

/// Sends a request and returns it with its answer as a section of the golden file.
fn transcript(cluster: &Cluster, session_request: &SessionRequest) -> String {
    let url = format!(
        "http://{}{}",
        cluster.caller_addresses()[0],
        session_request.path
    );
    let mut req = request(
        session_request.method.clone(),
        &url,
        Duration::from_secs(20),
    );
    for (name, value) in session_request.headers {
        req = req.header(*name, *value);
    }
    let answer = req.text(&session_request.body).send().expect("an answer");
    let mut text = format!(
        "## {}\n\n{} {}\n{}\n\n",
        session_request.title, session_request.method, session_request.path, session_request.body
    );
    let _ = writeln!(text, "{}", answer.status().as_u16());
    for name in GOLDEN_HEADERS {
        if let Some(value) = answer.headers().get(name) {
            let _ = writeln!(text, "{name}: {}", value.to_str().expect("a text"));
        }
    }
    let body = Body::read_all(answer, MAX_BODY_BYTES).expect("a whole body");
    let _ = writeln!(text, "\n{}\n", String::from_utf8_lossy(&body));
    text
}

/// Guards against changes of status, headers or bodies that callers would notice.
#[test]
fn golden_file() {
    let options = Options {
        instances: 1,
        engines: 1,
        ..Options::default()
    };
    let cluster = Cluster::start(options, CONFIG).expect("cluster starts");
    let sections: Vec<String> = session().iter().map(|r| transcript(&cluster, r)).collect();
    let seen = sections.concat();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if std::env::var_os("VANILLAKEEL_REGENERATE").is_some() {
        fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        fs::write(&path, &seen).expect("a golden file");
    }
    let golden = fs::read_to_string(&path).expect("the golden file");
    assert_eq!(seen, golden);
}
