//! Which bytes of a stream are relayed, and when.

use super::{
    RelayedEvents,
    ResumePoint, //
};
use bytes::Bytes;
use http::HeaderValue;
use rstest::rstest;

fn push(events: &mut RelayedEvents, data: &'static str) -> String {
    let relayed = events.push(Bytes::from_static(data.as_bytes()));
    String::from_utf8(relayed.unwrap_or_default().to_vec()).expect("UTF-8")
}

fn after(id: &'static str) -> Option<ResumePoint> {
    Some(ResumePoint::After(HeaderValue::from_static(id)))
}

/// A resumable stream is relayed in complete events, any other one as it arrives.
#[test]
fn complete_events() {
    let mut resumable = RelayedEvents::new(true);
    assert_eq!(push(&mut resumable, "data: a\n"), "");
    assert_eq!(
        push(&mut resumable, "\ndata: b\r\n\r"),
        "data: a\n\ndata: b\r\n\r"
    );
    assert_eq!(push(&mut resumable, "\nda"), "\n");
    assert_eq!(
        (resumable.partial_bytes(), resumable.is_between_events()),
        (2, false)
    );

    let mut other = RelayedEvents::new(false);
    assert_eq!(push(&mut other, "data: a\n"), "data: a\n");
    assert_eq!(
        (other.partial_bytes(), other.is_between_events()),
        (8, false)
    );
}

/// A run that continues a stream gives no half event twice, and no byte order mark within the stream.
#[test]
fn continued_run() {
    let mut events = RelayedEvents::new(true);
    assert_eq!(
        push(&mut events, "\u{feff}id: 1\n\nid: 2\nda"),
        "\u{feff}id: 1\n\n"
    );
    events.restart();
    assert_eq!(events.resume_point(), after("1"));
    assert_eq!(push(&mut events, "\u{feff}id: 2\n\n"), "id: 2\n\n");
    assert_eq!(events.resume_point(), after("2"));
}

/// A stream is only resumed where the second run neither repeats an event nor leaves one out.
#[rstest]
#[case::no_event("id: 1\nda", Some(ResumePoint::Start))]
#[case::comment(": idle\n\n", Some(ResumePoint::Start))]
#[case::event_with_id("id: 1\ndata: a\n\ndata: b", after("1"))]
#[case::event_without_id("data: a\n\n", None)]
#[case::event_without_id_later("id: 1\ndata: a\n\ndata: b\n\n", None)]
#[case::id_after_event_without_one("data: a\n\nid: 2\ndata: b\n\n", after("2"))]
#[case::time_without_id("id: 1\ndata: a\n\nretry: 5\n\n", after("1"))]
#[case::empty_id("id\ndata: a\n\n", None)]
#[case::id_with_control_character("id: \u{1}\ndata: a\n\n", None)]
fn resume_points(#[case] stream: &'static str, #[case] expected: Option<ResumePoint>) {
    let mut events = RelayedEvents::new(true);
    push(&mut events, stream);
    assert_eq!(events.resume_point(), expected);
    assert_eq!(RelayedEvents::new(false).resume_point(), None);
}
