//! Finds the ends of server-sent events in a stream of bytes.
//!
//! [`EventScanner`] follows the lines of the stream without keeping their content, so it can run
//! beside the bytes that are forwarded.

use crate::event_order::EventOrder;

/// Byte order mark, which may precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Longest line that is parsed for an event id, in bytes; a longer line holds no id that counts.
const MAX_ID_LINE_BYTES: usize = 1 << 10;

/// Finds the ends of server-sent events, however the bytes are split into reads.
///
/// A line ends with CR, LF or CRLF, and an event with an empty line. A comment outside an event
/// belongs to no event and may end the stream.
///
/// # Examples
///
/// ```
/// use vanillakeel_http::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// assert_eq!(scanner.scan(b"id: 1\ndata: one\n\nid: 2\n"), Some(17));
/// assert!(!scanner.is_between_events());
/// assert_eq!(scanner.scan(b"\n"), Some(1));
/// assert_eq!(scanner.last_event_id(), Some("2"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// The current line without its end, as far as it may hold an id.
    line: Vec<u8>,
    /// Length of the current line, in bytes.
    line_length: usize,
    /// Whether the first line has ended.
    is_past_first_line: bool,
    /// Whether the last byte was a CR, so that an LF after it ends no other line.
    is_after_cr: bool,
    /// Whether the current event has a line that is no comment.
    has_fields: bool,
    /// Whether the current event has a line of data.
    has_data: bool,
    /// Id that the current event sets once it is complete.
    next_id: Option<String>,
    last_event_id: Option<String>,
    /// Whether events with data have followed the last one with an id.
    has_events_after_id: bool,
    order: EventOrder,
}

impl EventScanner {
    /// Scans the next bytes of the stream.
    ///
    /// Returns how many of them belong to complete events or lie between two events, counted up to
    /// the last such byte, or `None` if there are none.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut complete = None;
        for (at, byte) in bytes.iter().enumerate() {
            let ends_previous_line = self.is_after_cr && *byte == b'\n';
            self.is_after_cr = *byte == b'\r';
            match byte {
                b'\n' if ends_previous_line => {}
                b'\r' | b'\n' => self.on_line_end(),
                _ => {
                    self.line_length += 1;
                    if self.line.len() < MAX_ID_LINE_BYTES {
                        self.line.push(*byte);
                    }
                }
            }
            if self.is_between_events() {
                complete = Some(at + 1);
            }
        }
        complete
    }

    /// Returns whether the bytes so far end between two events, and not within one.
    #[must_use]
    pub const fn is_between_events(&self) -> bool {
        !self.has_fields && self.line_length == 0
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Returns whether an event with data or an id is complete.
    #[must_use]
    pub const fn has_events(&self) -> bool {
        self.last_event_id.is_some() || self.has_events_after_id
    }

    /// Returns whether no event with data has followed the last one with an id, so that a stream that
    /// continues after this id neither repeats an event nor leaves one out.
    #[must_use]
    pub const fn ends_with_id(&self) -> bool {
        !self.has_events_after_id
    }

    /// Starts anew with another stream that continues this one after the last complete event.
    pub fn restart(&mut self) {
        self.order.restart();
        *self = Self {
            last_event_id: self.last_event_id.take(),
            has_events_after_id: self.has_events_after_id,
            order: std::mem::take(&mut self.order),
            ..Self::default()
        };
    }

    /// Returns whether the stream that continues this one goes on with the next event, or `None` until an event of it is
    /// complete.
    ///
    /// It does not if it begins with an event that the stream had before. While all ids are numbers that rise by the
    /// same step, it does not either if it leaves events out.
    #[must_use]
    pub const fn is_continued(&self) -> Option<bool> {
        self.order.is_continued()
    }

    fn on_line_end(&mut self) {
        let mut line = &*self.line;
        let mut length = self.line_length;
        if !self.is_past_first_line
            && let Some(rest) = line.strip_prefix(BYTE_ORDER_MARK)
        {
            line = rest;
            length -= BYTE_ORDER_MARK.len();
        }
        self.is_past_first_line = true;
        if length == 0 {
            self.on_event_end();
        } else if !line.starts_with(b":") {
            self.has_fields = true;
            self.has_data |= is_data(line);
            if length <= MAX_ID_LINE_BYTES
                && let Some(id) = parse_id(line)
            {
                self.next_id = Some(id);
            }
        }
        self.line.clear();
        self.line_length = 0;
    }

    fn on_event_end(&mut self) {
        self.has_fields = false;
        let has_data = std::mem::take(&mut self.has_data);
        if has_data || self.next_id.is_some() {
            self.order.on_event(self.next_id.as_deref());
        }
        if let Some(id) = self.next_id.take() {
            self.last_event_id = Some(id);
            self.has_events_after_id = false;
        } else if has_data {
            self.has_events_after_id = true;
        }
    }
}

/// Returns whether a line is a field of data.
fn is_data(line: &[u8]) -> bool {
    line == b"data" || line.starts_with(b"data:")
}

/// Returns the event id that a line sets, if it does.
fn parse_id(line: &[u8]) -> Option<String> {
    let value = match line.strip_prefix(b"id")? {
        [] => &[],
        [b':', b' ', value @ ..] | [b':', value @ ..] => value,
        _ => return None,
    };
    // An id with a null character has to be ignored.
    let id = std::str::from_utf8(value).ok()?;
    (!id.contains('\0')).then(|| id.to_owned())
}
