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
const MAX_LINE_BYTES: u64 = 1 << 20;

/// An iterator over the `data` fields of a server-sent event stream, one item per event.
///
/// Several `data` lines of one event are joined by line breaks. An item is an error if reading
/// fails, if the stream ends within an event, or if a line is longer than 1 MiB.
#[derive(Debug)]
pub struct Events<R> {
    reader: BufReader<R>,
}

impl<R: Read> Events<R> {
    /// Returns an iterator that reads events from `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader: BufReader::new(reader),
        }
    }

    /// Reads a line without its terminator; returns `None` at the end of the stream.
    fn read_line(&mut self) -> Result<Option<String>, Error> {
        let mut line = String::new();
        let mut limited = (&mut self.reader).take(MAX_LINE_BYTES);
        let bytes_read = limited.read_line(&mut line)?;
        if bytes_read == 0 {
            return Ok(None);
        }
        if !line.ends_with('\n') {
            let reason = "the event stream ended inside a line, or the line is too long";
            return Err(Error::new(ErrorKind::UnexpectedEof, reason));
        }
        line.truncate(line.trim_end_matches(['\n', '\r']).len());
        Ok(Some(line))
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
