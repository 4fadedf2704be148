//! Answers of upstreams that are cut short, at the daemon `vanillakeel-entry`.

use super::{
    Attempt,
    UpstreamRequest,
    run, //
};
use crate::message::{
    AttemptMessage,
    AttemptOutcome, //
};
use crossbeam::channel::unbounded;
use rstest::rstest;
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc,
    thread,
    time::Duration,
};

/// Sends an answer as it is given and closes the connection.
fn serve_once(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head);
        stream.write_all(answer.as_bytes()).expect("it is sent");
    });
    address
}

/// Makes an attempt; returns its messages.
fn messages(address: SocketAddr, is_model: bool) -> Vec<AttemptMessage> {
    let attempt = Attempt {
        id: 1,
        name: "a1".to_owned(),
        address,
        resume_from: 0,
        time_left: Duration::from_secs(10),
        traceparent: String::new(),
        is_cancelled: Arc::default(),
    };
    let req = UpstreamRequest {
        method: attohttpc::Method::POST,
        path: "/".to_owned(),
        content_type: "text/plain".to_owned(),
        body: Arc::default(),
        is_model,
        is_idempotent: false,
        answer_bytes: 1_000,
    };
    let (tx, rx) = unbounded();
    run(&attempt, &req, &tx);
    drop(tx);
    rx.iter().collect()
}

/// An answer that is shorter than its length is a failed attempt and does not reach the caller.
///
/// Guards against a cut answer that is framed anew as complete, and against one whose status is none.
#[rstest]
#[case::whole("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd", true)]
#[case::cut("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabcd", false)]
#[case::cut_error("HTTP/1.1 500 Oops\r\ncontent-length: 9\r\n\r\nabcd", false)]
#[case::status_600("HTTP/1.1 600 Odd\r\ncontent-length: 4\r\n\r\nabcd", false)]
#[case::status_999("HTTP/1.1 999 Odd\r\ncontent-length: 4\r\n\r\nabcd", false)]
#[case::status_000("HTTP/1.1 000 Odd\r\ncontent-length: 4\r\n\r\nabcd", false)]
#[case::status_101("HTTP/1.1 101 Odd\r\ncontent-length: 4\r\n\r\nabcd", false)]
fn plain_answers(#[case] answer: &'static str, #[case] is_complete: bool) {
    let messages = messages(serve_once(answer), false);
    let has_answer = messages
        .iter()
        .any(|m| matches!(m, AttemptMessage::Whole { .. }));
    let is_done = messages.iter().any(|m| {
        let AttemptMessage::Ended { outcome, .. } = m else {
            return false;
        };
        matches!(outcome, AttemptOutcome::Done)
    });
    assert_eq!((has_answer, is_done), (is_complete, is_complete));
}
