//! Stand-ins of the platform's store and of runners, a small HTTP client, and the start of the daemon.
//!
//! Only the standard library is used, so that `build-3.sh` can build each case with the compiler alone.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt as _,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = fs::File::create(path).expect("the record is created");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Adds a line with the time since the start in ms.
    pub fn add(&self, line: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>6} {line}");
    }
}

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(n, _)| n == name);
        field.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return match head.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let text = line.trim_end();
        if head.start.is_empty() {
            head.start = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = text.split_once(':') {
            head.fields
                .push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body of the length that the head names, or in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding") != Some("chunked") {
        let mut body = vec![0; head.length()];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Listens on a free loopback port and serves each connection in a thread of its own.
pub fn serve(f: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let f = Arc::new(f);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let f = Arc::clone(&f);
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || f(stream));
        }
    });
    address
}

/// Returns a port that is free now.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

type Records = Vec<(String, Option<Vec<u8>>)>;

/// The platform's store, as far as the daemon uses it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Records>>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let topics: Arc<(Mutex<BTreeMap<String, Records>>, Condvar)> = Arc::default();
        let served = Arc::clone(&topics);
        let address = serve(move |stream| {
            let _ = serve_store(&served, stream);
        });
        Self { address, topics }
    }

    /// Appends the record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let record = (key.to_owned(), Some(value.as_bytes().to_vec()));
        topics.entry(topic.to_owned()).or_default().push(record);
        changed.notify_all();
    }
}

fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pair = query.split('&').filter_map(|p| p.split_once('='));
    pair.into_iter()
        .find(|(n, _)| *n == name)
        .map(|(_, v)| v.to_owned())
}

fn serve_store(
    topics: &(Mutex<BTreeMap<String, Records>>, Condvar),
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head)?;
        let target = head.target().to_owned();
        let topic = query(&target, "topic").unwrap_or_default();
        let number = |name: &str| query(&target, name).and_then(|v| v.parse::<u64>().ok());
        let path = target.split('?').next().unwrap_or("");
        let (status, kind, answer) = match path {
            "/log-newest" => {
                let topics = topics.0.lock().unwrap();
                let records = topics.get(&topic).map_or(&[][..], |r| r);
                let mut newest: BTreeMap<&str, (usize, &Option<Vec<u8>>)> = BTreeMap::new();
                for (at, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (at, value));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter_map(|(key, (at, value))| {
                        let value = base64(value.as_ref()?);
                        Some(format!(
                            r#"{{"key":"{key}","value":"{value}","offset":{at}}}"#
                        ))
                    })
                    .collect();
                let json = format!(
                    r#"{{"items":[{}],"has_more":false,"end_offset":{}}}"#,
                    items.join(","),
                    records.len()
                );
                (200, "application/json", json.into_bytes())
            }
            "/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let due = Instant::now() + wait;
                let mut held = topics.0.lock().unwrap();
                while held.get(&topic).map_or(0, Vec::len) <= from && Instant::now() < due {
                    let left = due.saturating_duration_since(Instant::now());
                    held = topics.1.wait_timeout(held, left).unwrap().0;
                }
                let records = held.get(&topic).map_or(&[][..], |r| r);
                let mut bytes = Vec::new();
                bytes.extend((records.len() as u64).to_be_bytes());
                bytes.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let value = value.as_deref().unwrap_or_default();
                    let length = 1 + key.len() + value.len();
                    bytes.extend((length as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend(key.as_bytes());
                    bytes.extend(value);
                }
                (200, "application/octet-stream", bytes)
            }
            "/log-append" => {
                thread::sleep(Duration::from_millis(4));
                let mut topics = topics.0.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let end = records.len();
                if number("at").is_some_and(|at| at as usize != end) {
                    let json = format!(r#"{{"end_offset":{end}}}"#);
                    (412, "application/json", json.into_bytes())
                } else {
                    let mut rest = &body[..];
                    while rest.len() > 4 {
                        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]);
                        let record = &rest[4..4 + length as usize];
                        rest = &rest[4 + length as usize..];
                        let (key, value) = record[1..].split_at(record[0] as usize);
                        let value = (!value.is_empty()).then(|| value.to_vec());
                        records.push((String::from_utf8_lossy(key).into_owned(), value));
                    }
                    let json = format!(r#"{{"offset":{end},"end_offset":{}}}"#, records.len());
                    (200, "application/json", json.into_bytes())
                }
            }
            _ => (404, "application/json", b"{}".to_vec()),
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        stream.write_all(&[head.as_bytes(), &answer].concat())?;
    }
    Ok(())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |n: usize| u32::from(group.get(n).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for n in 0..4 {
            if n <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * n) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns the entry of a runner in the store.
pub fn runner_entry(service: &str, address: SocketAddr, slots: u32, state: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"halle-nord","version":"v1","slot_count":{slots},"state":"{state}","cold_remaining_ms":0,"call_seq":4}}"#
    )
}

/// Returns the head of a runner's answer, up to the fields that say how long its body is.
pub fn answer_head(status: u16, id: &str, kind: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nVanillakeel-Request-Id: {id}\r\nVanillakeel-Response-Seal: s.{id}\r\nContent-Type: {kind}\r\n"
    )
}

/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns a configuration with the limits of the users' site and these routes and services.
pub fn configuration(version: u64, routes: &str, services: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Settings of one machine of the small deployment.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub max_fds: u64,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            max_fds: 4_100,
        }
    }
}

/// A running instance, which is killed when this value is dropped.
pub struct Daemon {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    directory: PathBuf,
}

impl Daemon {
    /// Starts the program of the deploy file at the first start of the whole system.
    pub fn start(store: SocketAddr, name: &str, machine: Machine) -> Self {
        Self::start_with(store, name, machine, true)
    }

    /// Starts the program again.
    pub fn restart(store: SocketAddr, name: &str, machine: Machine) -> Self {
        Self::start_with(store, name, machine, false)
    }

    /// Starts the program with the template of the settings, filled in as the platform does.
    fn start_with(store: SocketAddr, name: &str, machine: Machine, bootstrap: bool) -> Self {
        let (front, ready, peers) = (free_port(), free_port(), free_port());
        let millis = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let directory = env::temp_dir().join(format!(
            "vanillakeel-review-{}-{}",
            std::process::id(),
            millis.as_nanos()
        ));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let template = fs::read_to_string("platform/settings.toml").expect("the template");
        let values = [
            ("node_name", name.to_owned()),
            ("zone", "halle-nord".to_owned()),
            ("listen.front", format!("127.0.0.1:{front}")),
            ("listen.readiness_addr", format!("127.0.0.1:{ready}")),
            ("ip", "127.0.0.1".to_owned()),
            ("internal_ports.0", peers.to_string()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("limits.memory_mb", machine.memory_mb.to_string()),
            ("limits.max_fds", machine.max_fds.to_string()),
            ("platform.address", store.to_string()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bootstrap", bootstrap.to_string()),
        ];
        let mut text = template;
        for (key, value) in &values {
            text = text.replace(&format!("{{{{{key}}}}}"), value);
        }
        // Fields that this deployment does not have.
        while let Some(at) = text.find("{{") {
            let end = text[at..].find("}}").expect("a whole placeholder") + at + 2;
            text.replace_range(at..end, "");
        }
        let settings = directory.join("settings.toml");
        fs::write(&settings, text).expect("the settings are written");
        let log = fs::File::create(directory.join("log")).expect("the log is created");
        let mut command = Command::new("target/release/vanillakeel-platform");
        command
            .env("VANILLAKEEL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log);
        // The daemon ends with the thread that starts it, whatever ends that one.
        // SAFETY: the call is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the daemon starts");
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            child,
            front: at(front),
            ready: at(ready),
            directory,
        }
    }

    /// Waits until the instance is ready; returns whether it is.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..100 {
            let head = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            if exchange(self.ready, head.as_bytes()).is_ok_and(|(h, _)| h.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns what the instance has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid)
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "the signal is sent");
    }

    /// Returns a value of the status page of the process in KiB, or 0 once it has ended.
    pub fn status_kib(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with(name));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok((head, body))
}

/// Returns a request of a client with the fields that all have.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nVanillakeel-Request-Id: {id}\r\nVanillakeel-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Connects like a client on an ordinary network: segments of 1,460 bytes and a small receive window.
pub fn connect_narrow(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd as _;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(v4) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: plain calls of the C library with values that outlive them; the descriptor is owned by the stream.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let segment = 1_460;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Ordinary clients, each with one kept connection and one request after the other that may run once at most, and the
/// sound runners that run them.
pub struct Ordinary {
    record: Record,
    run: Mutex<Vec<String>>,
    pub answered: AtomicU32,
    pub refused: AtomicU32,
    /// Requests that a sound runner ran and whose kept connections were closed without an answer.
    pub lost: AtomicU32,
    is_over: AtomicBool,
}

/// Runners of the ordinary service, and places of each.
const ORDINARY_RUNNERS: u32 = 4;
const ORDINARY_SLOTS: u32 = 6;

/// Time for which such a runner works on a request.
const ORDINARY_WORK: Duration = Duration::from_millis(60);

/// Deadline of an ordinary request in ms.
const ORDINARY_DEADLINE_MS: u64 = 1_500;

impl Ordinary {
    /// The route and the service of the configuration.
    pub const ROUTE: &str = r#"{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":1,"public":false}"#;
    pub const SERVICE: &str = r#"{"name":"wuno96b","health_path":"/health","max_connections":96}"#;

    /// Starts the runners.
    pub fn start(record: &Record, store: &Store) -> Arc<Self> {
        let ordinary = Arc::new(Self {
            record: record.clone(),
            run: Mutex::default(),
            answered: AtomicU32::new(0),
            refused: AtomicU32::new(0),
            lost: AtomicU32::new(0),
            is_over: AtomicBool::new(false),
        });
        for n in 0..ORDINARY_RUNNERS {
            let runner = Arc::clone(&ordinary);
            let address = serve(move |stream| runner.run_requests(stream));
            let entry = runner_entry("wuno96b", address, ORDINARY_SLOTS, "ready");
            store.put("keyed.servers", &format!("i-{n}-ordinary"), &entry);
        }
        ordinary
    }

    fn run_requests(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_err() {
                return;
            }
            let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
            self.run.lock().unwrap().push(id.clone());
            thread::sleep(ORDINARY_WORK);
            let answer = answer_head(200, &id, "application/json")
                + &format!("Content-Length: 800\r\n\r\n{}", "x".repeat(800));
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Starts clients that send until the end.
    pub fn start_clients(
        self: &Arc<Self>,
        front: SocketAddr,
        count: u32,
    ) -> Vec<thread::JoinHandle<()>> {
        let start = |n| {
            let ordinary = Arc::clone(self);
            thread::spawn(move || ordinary.send_requests(front, n))
        };
        (0..count).map(start).collect()
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    fn send_requests(&self, front: SocketAddr, n: u32) {
        let mut number = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
                self.refused.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(200));
                continue;
            };
            let _ = self.use_connection(stream, n, &mut number);
        }
    }

    /// Sends one request after the other on a kept connection until it is closed.
    fn use_connection(&self, mut stream: TcpStream, n: u32, number: &mut u32) -> io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_millis(ORDINARY_DEADLINE_MS + 500)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut answers = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            *number += 1;
            let id = format!("7a11{n:04x}{number:08x}");
            let sent = request("POST", "/puxa403/2f", &id, ORDINARY_DEADLINE_MS, "", "");
            let answer = stream
                .write_all(sent.as_bytes())
                .and_then(|()| read_head(&mut reader))
                .and_then(|head| head.ok_or_else(|| io::ErrorKind::UnexpectedEof.into()))
                .and_then(|head| read_body(&mut reader, &head).map(|_| head.status()));
            match answer {
                Ok(200) => {
                    answers += 1;
                    self.answered.fetch_add(1, Ordering::SeqCst);
                }
                Ok(status) => {
                    self.refused.fetch_add(1, Ordering::SeqCst);
                    self.record.add(&format!("client got {status} for {id}"));
                    thread::sleep(Duration::from_millis(100));
                }
                Err(e) => {
                    let was_run = self.run.lock().unwrap().contains(&id);
                    let is_closed = e.kind() != io::ErrorKind::WouldBlock;
                    if was_run && is_closed && answers > 0 {
                        self.lost.fetch_add(1, Ordering::SeqCst);
                    }
                    self.record.add(&format!(
                        "connection of {id} after {answers} answers on it: {e}; run by a sound runner: {was_run}"
                    ));
                    return Err(e);
                }
            }
        }
        Ok(())
    }
}

/// The platform, as far as it watches the memory of a process and kills one that holds too much.
pub struct Watch {
    record: Record,
    limit_kib: u64,
    pub peak_kib: u64,
    pub is_killed: bool,
    next: Instant,
}

impl Watch {
    /// Watches a process on a machine; a MB is taken as 1,024 KiB.
    pub fn new(record: &Record, machine: Machine) -> Self {
        Self {
            record: record.clone(),
            limit_kib: machine.memory_mb * 1_024,
            peak_kib: 0,
            is_killed: false,
            next: Instant::now(),
        }
    }

    pub fn look(&mut self, daemon: &mut Daemon) {
        if self.is_killed {
            return;
        }
        let kib = daemon.status_kib("VmRSS");
        self.peak_kib = self.peak_kib.max(kib);
        if Instant::now() >= self.next {
            self.record.add(&format!("memory {kib} KiB"));
            self.next = Instant::now() + Duration::from_millis(500);
        }
        if kib > self.limit_kib {
            self.record.add(&format!(
                "memory {kib} KiB is over {} KiB: the platform kills the process",
                self.limit_kib
            ));
            let _ = daemon.child.kill();
            self.is_killed = true;
        }
    }
}
