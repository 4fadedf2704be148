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
