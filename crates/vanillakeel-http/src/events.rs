//! A reader of server-sent event streams.
//!
//! [`Events`] is an iterator over the `data` fields of a response body; other fields and comments
//! are skipped.

use std::io::{
    BufRead,
    BufReader,
    Error,
    ErrorKind,
    Read, //
};

/// Longest accepted line of an event stream; bounds the memory that one line can take.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Byte order mark, which may precede the first line of a stream.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// An iterator over the `data` fields of a server-sent event stream, one item per event.
///
/// A line ends with CR, LF or CRLF. Several `data` lines of one event are joined by line breaks. An
/// item is an error if reading fails, if the stream ends within an event, or if a line is longer than
/// 1 MiB.
#[derive(Debug)]
pub struct Events<R> {
    reader: BufReader<R>,
    /// Whether the last line ended with a CR, so that an LF after it belongs to the same line end.
    skips_line_feed: bool,
    /// Whether a line has been read.
    is_past_first_line: bool,
}

impl<R: Read> Events<R> {
    /// Returns an iterator that reads events from `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader: BufReader::new(reader),
            skips_line_feed: false,
            is_past_first_line: false,
        }
    }

    /// Reads a line without its end; returns `None` at the end of the stream.
    fn read_line(&mut self) -> Result<Option<String>, Error> {
        let mut line = Vec::new();
        let is_ended = self.read_to_line_end(&mut line)?;
        if !is_ended && line.is_empty() {
            return Ok(None);
        }
        if !is_ended {
            let reason = "the event stream ended inside a line, or the line is too long";
            return Err(Error::new(ErrorKind::UnexpectedEof, reason));
        }
        let mut line = String::from_utf8(line).map_err(Error::other)?;
        let is_first_line = !std::mem::replace(&mut self.is_past_first_line, true);
        if is_first_line && line.starts_with(BYTE_ORDER_MARK) {
            line.remove(0);
        }
        Ok(Some(line))
    }

    /// Adds the bytes up to the next line end to `line`; returns whether there is one, and the line is
    /// not too long.
    fn read_to_line_end(&mut self, line: &mut Vec<u8>) -> Result<bool, Error> {
        while line.len() <= MAX_LINE_BYTES {
            let buf = match self.reader.fill_buf() {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                buf => buf?,
            };
            let Some(first) = buf.first() else {
                return Ok(false);
            };
            if std::mem::take(&mut self.skips_line_feed) && *first == b'\n' {
                self.reader.consume(1);
                continue;
            }
            let Some(at) = buf.iter().position(|b| matches!(b, b'\r' | b'\n')) else {
                line.extend_from_slice(buf);
                let length = buf.len();
                self.reader.consume(length);
                continue;
            };
            line.extend_from_slice(&buf[..at]);
            self.skips_line_feed = buf[at] == b'\r';
            self.reader.consume(at + 1);
            return Ok(line.len() <= MAX_LINE_BYTES);
        }
        Ok(false)
    }
}

impl<R: Read> Iterator for Events<R> {
    type Item = Result<String, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        let mut data: Option<String> = None;
        loop {
            let line = match self.read_line() {
                Ok(Some(line)) => line,
                Ok(None) if data.is_none() => return None,
                Ok(None) => {
                    let reason = "the event stream ended within an event";
                    return Some(Err(Error::new(ErrorKind::UnexpectedEof, reason)));
                }
                Err(e) => return Some(Err(e)),
            };
            if line.is_empty() {
                if let Some(data) = data {
                    return Some(Ok(data));
                }
                continue;
            }
            let Some(value) = line.strip_prefix("data:") else {
                continue;
            };
            let value = value.strip_prefix(' ').unwrap_or(value);
            match &mut data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => data = Some(value.to_owned()),
            }
        }
    }
}
