//! Ends of server-sent events in all forms that the format allows.

use rstest::rstest;
use vanillakeel_http::EventScanner;

/// A stream that ends within an event is told from one that ends between two, whatever the line ends
/// and however the bytes are split into reads.
///
/// Guards against a broken stream that is taken for a complete one, and the reverse.
#[rstest]
#[case::empty("", true)]
#[case::line_feeds("id: 1\ndata: a\n\n", true)]
#[case::carriage_returns("id: 1\rdata: a\r\r", true)]
#[case::both("id: 1\r\ndata: a\r\n\r\n", true)]
#[case::line_feed_after_both("id: 1\r\ndata: a\r\n\n", true)]
#[case::both_after_line_feed("id: 1\ndata: a\n\r\n", true)]
#[case::cr_after_line_feed("id: 1\ndata: a\n\r", true)]
#[case::line_feed_after_cr("id: 1\rdata: a\r\n", false)]
#[case::without_empty_line("id: 1\ndata: a\n", false)]
#[case::without_line_end("id: 1\ndata: a", false)]
#[case::field_after_event("data: a\n\nretry: 5\n", false)]
#[case::part_of_field("data: a\n\nd", false)]
#[case::comment_after_event("data: a\n\n: idle\n", true)]
#[case::part_of_comment("data: a\n\n: id", false)]
#[case::comment_within_event("data: a\n: idle\n", false)]
#[case::several_empty_lines("data: a\n\n\n\r\n", true)]
#[case::byte_order_mark("\u{feff}\n", true)]
#[case::byte_order_mark_in_comment("\u{feff}: idle\n", true)]
#[case::byte_order_mark_later("data: a\n\n\u{feff}\n", false)]
#[case::line_before_event("weights: 3\nid: 1\ndata: a\n\n", true)]
#[case::only_line_before_event("data: a\n\nweights: 3\n", false)]
#[case::long_line(&format!("data: {}\n\n", "a".repeat(5_000)), true)]
#[case::long_partial_line(&format!("data: {}", "a".repeat(5_000)), false)]
fn stream_ends(#[case] stream: &str, #[case] is_between_events: bool) {
    for length in 1..=stream.len().clamp(1, 20) {
        let mut scanner = EventScanner::default();
        for read in stream.as_bytes().chunks(length) {
            scanner.scan(read);
        }
        let context = format!("{stream:?} in reads of {length}");
        assert_eq!(scanner.is_between_events(), is_between_events, "{context}");
    }
}

/// The bytes that are complete reach up to the last end of an event, with the whole line end.
#[rstest]
#[case::within_event("data: a\n\ndata: b\n", &[9])]
#[case::between_events("data: a\n\ndata: b\n\n", &[18])]
#[case::split_line_end("data: a\r\n\r|\ndata: b", &[10, 1])]
#[case::comment("data: a\n\n: idle\nda", &[16])]
#[case::event_in_three_reads("data: a\n|\n|data", &[0, 1, 0])]
#[case::event_in_two_reads("data|: a\n\nd", &[0, 5])]
fn complete_lengths(#[case] reads: &str, #[case] complete: &[usize]) {
    let mut scanner = EventScanner::default();
    let scanned = reads
        .split('|')
        .map(|read| scanner.scan(read.as_bytes()).unwrap_or(0));
    assert_eq!(scanned.collect::<Vec<_>>(), complete);
}

/// An id counts once its event is complete.
///
/// Guards against a resumption after an event that the caller has not received.
#[rstest]
#[case::none("data: a\n\n", None)]
#[case::complete("id: 7\ndata: a\n\n", Some("7"))]
#[case::without_space("id:7\ndata: a\n\n", Some("7"))]
#[case::two_spaces("id:  7\ndata: a\n\n", Some(" 7"))]
#[case::carriage_returns("id: 7\r\rid: 8\r", Some("7"))]
#[case::both("id: 7\r\n\r\n", Some("7"))]
#[case::incomplete("id: 7\n\nid: 8\ndata: a\n", Some("7"))]
#[case::event_without_id("id: 7\n\ndata: a\n\n", Some("7"))]
#[case::empty("id: 7\n\nid\n\n", Some(""))]
#[case::in_data("data: id: 7\n\n", None)]
#[case::other_field("ident: 7\n\n", None)]
#[case::null("id: 7\n\nid: 8\0\n\n", Some("7"))]
#[case::byte_order_mark("\u{feff}id: 7\n\n", Some("7"))]
fn last_ids(#[case] stream: &str, #[case] id: Option<&str>) {
    let mut scanner = EventScanner::default();
    scanner.scan(stream.as_bytes());
    assert_eq!(scanner.last_event_id(), id);
}

/// After a restart, the partial event is forgotten and the last complete id is kept.
#[rstest]
fn restart() {
    let mut scanner = EventScanner::default();
    scanner.scan(b"id: 7\n\nid: 8\ndat");
    scanner.restart();
    assert!(scanner.is_between_events());
    assert_eq!(scanner.last_event_id(), Some("7"));
    assert_eq!(scanner.scan("\u{feff}id: 8\n\n".as_bytes()), Some(10));
    assert_eq!(scanner.last_event_id(), Some("8"));
}
