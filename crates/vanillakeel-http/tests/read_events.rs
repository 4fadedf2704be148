//! Reading of server-sent event streams.

use rstest::rstest;
use vanillakeel_http::Events;

/// Returns the data of the events up to the first error, and whether there was one.
fn read(stream: &str) -> (Vec<String>, bool) {
    let mut data = Vec::new();
    for event in Events::new(stream.as_bytes()) {
        match event {
            Ok(event) => data.push(event),
            Err(_) => return (data, true),
        }
    }
    (data, false)
}

/// An event counts only with the empty line after it.
///
/// Guards against a part of an event that is taken for the whole one.
#[rstest]
#[case::complete("data: a\ndata: b\n\n", &["a\nb"], false)]
#[case::within_event("data: a\n\ndata: b\n", &["a"], true)]
#[case::within_line("data: a\n\ndata", &["a"], true)]
#[case::no_event("", &[], false)]
#[case::comment(": idle\n", &[], false)]
fn stream_ends(#[case] stream: &str, #[case] events: &[&str], #[case] is_broken: bool) {
    let (data, has_failed) = read(stream);
    assert_eq!(
        (&*data, has_failed),
        (
            &*events.iter().map(|e| (*e).to_owned()).collect::<Vec<_>>(),
            is_broken
        )
    );
}

/// Lines end with CR, LF or CRLF.
///
/// Guards against streams of which no event is read.
#[rstest]
#[case::line_feeds("data: a\n\ndata: b\n\n")]
#[case::carriage_returns("data: a\r\rdata: b\r\r")]
#[case::both("data: a\r\n\r\ndata: b\r\n\r\n")]
#[case::mixed("data: a\n\r\ndata: b\r\r\n")]
#[case::byte_order_mark("\u{feff}data: a\n\ndata: b\n\n")]
fn line_ends(#[case] stream: &str) {
    assert_eq!(read(stream), (vec!["a".to_owned(), "b".to_owned()], false));
}

/// A line that is too long is an error, whether or not it ends.
#[rstest]
#[case::ended("\n\n")]
#[case::not_ended("")]
fn long_line(#[case] end: &str) {
    let stream = format!("data: {}{end}", "a".repeat(2 << 20));
    assert_eq!(read(&stream), (Vec::new(), true));
}
