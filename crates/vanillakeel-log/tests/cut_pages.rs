//! Pages of the log service that are cut short.

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
use vanillakeel_log::Client;
use vanillakeel_wire::{
    Message as _,
    generated::{
        LogEntry,
        LogPage, //
    },
};

/// Sends one answer with `head` and `body` and closes the connection; returns a client for it.
fn log_that_sends(head: &str, body: &[u8]) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let answer = [format!("HTTP/1.1 200 OK\r\n{head}\r\n").as_bytes(), body].concat();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request);
        stream.write_all(&answer).expect("it is sent");
    });
    Client::new(address)
}

fn page() -> Vec<u8> {
    let entry = |offset| LogEntry {
        offset,
        body: vec![0xff; 3],
    };
    LogPage {
        first: 1,
        end: 9,
        entries: vec![entry(5), entry(6)],
    }
    .encode_to_vec()
}

/// A page that is cut anywhere is an error, also where what has arrived can be decoded.
///
/// Guards against records that are missed: a page that is cut before the end of the log counts as the
/// last one.
#[test]
fn cut_page() {
    let page = page();
    let head = format!("content-length: {}\r\n", page.len());
    for length in 0..page.len() {
        let log = log_that_sends(&head, &page[..length]);
        let read = log.read(5, Duration::ZERO);
        assert!(read.is_err(), "cut to {length}: {read:?}");
    }
}

/// A page that ends with its connection can't be told from a cut one.
#[rstest]
#[case::length(true)]
#[case::connection(false)]
fn whole_page(#[case] has_length: bool) {
    let page = page();
    let head = if has_length {
        format!("content-length: {}\r\n", page.len())
    } else {
        String::new()
    };
    let read = log_that_sends(&head, &page).read(5, Duration::ZERO);
    assert_eq!(read.is_ok(), has_length, "{read:?}");
}
