//! Reading a server-sent event stream.

use std::io::{
    BufRead,
    BufReader,
    Error,
    ErrorKind,
    Read, //
};

/// Longest line of an event stream in bytes.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// The `data` fields of a stream of events, one item an event.
#[derive(Debug)]
pub struct Events<R> {
    reader: BufReader<R>,
}

impl<R: Read> Events<R> {
    /// Reads events from `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader: BufReader::new(reader),
        }
    }

    /// Reads a line without its end; none at the end of the stream.
    fn line(&mut self) -> Result<Option<String>, Error> {
        let mut line = String::new();
        let mut limited = (&mut self.reader).take(MAX_LINE_BYTES);
        let read = limited.read_line(&mut line)?;
        if read == 0 {
            return Ok(None);
        }
        if !line.ends_with('\n') {
            let reason = "the event stream broke off inside of a line";
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
            let line = match self.line() {
                Ok(Some(line)) => line,
                Ok(None) => return data.map(Ok),
                Err(e) => return Some(Err(e)),
            };
            if line.is_empty() {
                if let Some(data) = data {
                    return Some(Ok(data));
                }
                continue;
            }
            let Some(rest) = line.strip_prefix("data:") else {
                continue;
            };
            let rest = rest.strip_prefix(' ').unwrap_or(rest);
            match &mut data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(rest);
                }
                None => data = Some(rest.to_owned()),
            }
        }
    }
}
