//! Which bytes of a stream are relayed, and when.

use super::RelayedEvents;
use bytes::Bytes;

fn push(events: &mut RelayedEvents, data: &'static str) -> String {
    let relayed = events.push(Bytes::from_static(data.as_bytes()));
    String::from_utf8(relayed.unwrap_or_default().to_vec()).expect("UTF-8")
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
    assert_eq!(events.last_event_id(), Some("1"));
    assert_eq!(push(&mut events, "\u{feff}id: 2\n\n"), "id: 2\n\n");
    assert_eq!(events.last_event_id(), Some("2"));
}
