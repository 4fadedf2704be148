//! Answers that are cut short, as the client library reports them.

use rstest::rstest;
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::TcpListener,
    thread,
    time::Duration,
};
use vanillakeel_http::{
    Body,
    Method,
    request, //
};

/// Time limit of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends an answer as it is given and closes the connection.
fn serve_once(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head);
        stream.write_all(answer.as_bytes()).expect("it is sent");
    });
    format!("http://{address}/")
}

/// A body that is shorter than its framing says is an error.
///
/// Guards against the end of a connection that is taken for the end of an answer.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd", true)]
#[case::short_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabcd", false)]
#[case::empty_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", false)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
    true
)]
#[case::short_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabcd",
    false
)]
#[case::no_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n",
    false
)]
#[case::connection("HTTP/1.1 200 OK\r\n\r\nabcd", true)]
fn short_bodies(#[case] answer: &'static str, #[case] is_complete: bool) {
    let answer = request(Method::GET, &serve_once(answer), TIMEOUT)
        .send()
        .expect("a head");
    let body = Body::read_all(answer, 100);
    assert_eq!(body.is_ok(), is_complete, "{body:?}");
}

/// A body is not cut to the largest length that is read.
#[test]
fn long_body() {
    let url = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd");
    let answer = request(Method::GET, &url, TIMEOUT).send().expect("a head");
    assert!(Body::read_all(answer, 3).is_err());
}
