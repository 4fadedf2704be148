//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let is_named = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        self.headers.iter().find(is_named).map(|(_, v)| v.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before one.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut is_first = true;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if is_first {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(Some(head));
        }
        if is_first {
            head.first = line.to_owned();
            is_first = false;
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = head.get("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads a chunk; `None` at the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::UnexpectedEof)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Listens on a free port and serves each connection on a thread of its own.
pub fn serve(f: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let f = f.clone();
            thread::spawn(move || f(stream));
        }
    });
    address
}

/// Ports below those that the kernel gives to outgoing connections, so that a process finds its port free at a restart.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// Number of ports that were tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is free and was not returned before.
pub fn free_address() -> SocketAddr {
    let count = u32::from(PORTS.end - PORTS.start);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        assert!(tried < count, "no free port");
        let at = (std::process::id().wrapping_mul(101) + tried) % count;
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + at as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// What a client has got for one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if no head has come.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body has come to its end, as the framing tells.
    pub is_complete: bool,
    pub end: String,
}

impl Answer {
    /// Returns the ids of the complete events.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let complete = text.rfind("\n\n").map_or("", |at| &text[..at]);
        let ids = complete.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Sends a request on a connection and reads the answer until it ends, `until` passes or `stop` says so.
pub fn exchange(
    stream: &TcpStream,
    request: &[u8],
    until: Instant,
    mut stop: impl FnMut(&Answer) -> bool,
) -> Answer {
    let mut answer = Answer::default();
    let mut writer = stream;
    if let Err(e) = writer.write_all(request) {
        answer.end = format!("write: {e}");
        return answer;
    }
    let mut reader = BufReader::new(Timed { stream, until });
    match read_head(&mut reader) {
        Ok(Some(head)) => {
            answer.status = head.status();
            answer.head = head;
        }
        Ok(None) => {
            "closed before an answer".clone_into(&mut answer.end);
            return answer;
        }
        Err(e) => {
            answer.end = format!("head: {e}");
            return answer;
        }
    }
    let is_chunked = answer.head.get("transfer-encoding").is_some();
    let length: Option<usize> = answer
        .head
        .get("content-length")
        .and_then(|l| l.parse().ok());
    loop {
        if stop(&answer) {
            "stopped by the client".clone_into(&mut answer.end);
            return answer;
        }
        if !is_chunked && length.is_some_and(|l| answer.body.len() >= l) {
            answer.is_complete = true;
            break;
        }
        let read = if is_chunked {
            read_chunk(&mut reader)
        } else {
            let mut buf = [0; 4096];
            let read = reader.read(&mut buf);
            read.map(|n| (n > 0).then(|| buf[..n].to_vec()))
        };
        match read {
            Ok(Some(bytes)) => answer.body.extend(bytes),
            Ok(None) => {
                answer.is_complete = is_chunked || length.is_none();
                break;
            }
            Err(e) => {
                answer.end = format!("broken off: {e}");
                return answer;
            }
        }
    }
    if answer.is_complete {
        "complete".clone_into(&mut answer.end);
    } else {
        "closed within the body".clone_into(&mut answer.end);
    }
    answer
}

/// A connection whose reads end at a time.
struct Timed<'a> {
    stream: &'a TcpStream,
    until: Instant,
}

impl Read for Timed<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the client's time is over",
            ));
        }
        self.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut stream = self.stream;
        stream.read(buf)
    }
}

/// Connects within a second, as clients of the platform do.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
