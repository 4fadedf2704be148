//! Runners that are replaced one after the other and exit as soon as their last answer, which has no length, is written.

mod kit;

use kit::{
    BROKEN, COULD_NOT_RUN, Daemon, HELD, Machine, Record, Store, answer_head, configuration,
    has_trouble, read_head, read_body, request, runner_entry,
};
use std::{
    env,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Runners at first, those of them that are replaced if there is trouble, and places of each.
const RUNNERS: usize = 9;
const REPLACED: usize = 5;
const SLOTS: u32 = 64;

/// Time between two replacements, and the time that a runner serves at least after its entry says that it leaves.
const REPLACED_EVERY: Duration = Duration::from_millis(7_000);
const DRAIN: Duration = Duration::from_millis(2_500);

/// Events of a stream, and the time between two.
const EVENTS: u32 = 40;
const EVENT_TIME: Duration = Duration::from_millis(100);

/// Clients, each with one stream after the other on a kept connection.
const CLIENTS: u32 = 54;

/// Lost streams that the rule allows.
const ALLOWED: u32 = 3;

const DEADLINE_MS: u64 = 12_000;

#[derive(Default)]
struct Counts {
    whole: AtomicU32,
    /// Streams whose last event was written and whose connection was ended in order by the runner, but which were cut
    /// on a kept connection of a client.
    lost: AtomicU32,
    refused: AtomicU32,
    others: AtomicU32,
    /// Streams that a runner has written to the end.
    written: Mutex<Vec<String>>,
}

/// A runner that can leave.
struct Runner {
    name: String,
    address: SocketAddr,
    active: AtomicU32,
    is_leaving: AtomicBool,
    has_exited: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Runner {
    fn start(name: String, store: &Store, counts: &Arc<Counts>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a mode of the socket");
        let runner = Arc::new(Self {
            name,
            address: listener.local_addr().expect("an address"),
            active: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            has_exited: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        runner.list(store, "ready");
        let (accepting, counts, record) = (Arc::clone(&runner), Arc::clone(counts), record.clone());
        thread::spawn(move || accepting.accept(&listener, &counts, &record));
        runner
    }

    fn list(&self, store: &Store, state: &str) {
        let entry = runner_entry("huvo11a", self.address, SLOTS, state);
        store.put("keyed.servers", &self.name, &entry);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, counts: &Arc<Counts>, record: &Record) {
        while !self.has_exited.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(200));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let Ok(other) = stream.try_clone() else {
                continue;
            };
            self.connections.lock().unwrap().push(other);
            let (runner, counts, record) = (Arc::clone(&self), Arc::clone(counts), record.clone());
            thread::spawn(move || {
                let _ = runner.serve(stream, &counts, &record);
            });
        }
        // The end of a process closes all its sockets.
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Serves one request, whose answer ends with its connection.
    fn serve(&self, mut stream: TcpStream, counts: &Counts, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(head) = read_head(&mut reader)? else {
            return Ok(());
        };
        read_body(&mut reader, &head)?;
        let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
        if head.get("vanillakeel-expect-instance") != Some(&*self.name) {
            let answer = format!("HTTP/1.1 421 X\r\nVanillakeel-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(answer.as_bytes());
        }
        self.active.fetch_add(1, Ordering::SeqCst);
        let written = self.write_stream(&mut stream, &id);
        if written.is_ok() {
            counts.written.lock().unwrap().push(id.clone());
            stream.shutdown(Shutdown::Write)?;
        }
        let left = self.active.fetch_sub(1, Ordering::SeqCst) - 1;
        if left == 0 && self.is_leaving.load(Ordering::SeqCst) {
            self.has_exited.store(true, Ordering::SeqCst);
            record.add(&format!("runner {} has written its last answer, {id}, and exits", self.name));
        }
        Ok(())
    }

    fn write_stream(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let close = if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let head = answer_head(200, id, "text/event-stream") + close + "Connection: close\r\n\r\n";
        stream.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            stream.write_all(format!("id: {event}\ndata: piece {event}\n\n").as_bytes())?;
        }
        Ok(())
    }
}

fn main() {
    exit(play());
}

/// Plays the case; returns the exit code.
fn play() -> i32 {
    let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&format!("{folder}/record.txt"));
    let trouble = has_trouble();
    let store = Store::start();
    let route = r#"{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":12000,"target_latency_ms":2000,"priority":2,"service":"huvo11a","max_attempts":1,"public":false,"sticky":true,"can_resume":false,"gap_aim_ms":800}"#;
    let service = r#"{"name":"huvo11a","health_path":"/health","max_connections":370,"protocol":"h1","engine":{"slot_count":64,"kv_memory_tokens":584240}}"#;
    store.put("keyed.op", "config", &configuration(7, route, service));
    let counts = Arc::new(Counts::default());
    let runners: Vec<_> = (0..RUNNERS)
        .map(|n| Runner::start(format!("i-{n}"), &store, &counts, &record))
        .collect();
    let daemon = Daemon::start(store.address, "front-halle-nord-1", Machine::default());
    if !daemon.wait_ready() {
        record.add("the instance did not get ready");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_millis(3_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, counts, is_over) = (record.clone(), Arc::clone(&counts), Arc::clone(&is_over));
            let front = daemon.front;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(u64::from(n) * 75));
                send_streams(&record, front, n, &counts, &is_over);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(8_500));
    for (n, old) in runners[..REPLACED].iter().enumerate() {
        let start = Instant::now();
        if trouble {
            Runner::start(format!("i-{}", RUNNERS + n), &store, &counts, &record);
            old.list(&store, "draining");
            record.add(&format!("runner {} reports that it is draining", old.name));
            thread::sleep(DRAIN);
            old.is_leaving.store(true, Ordering::SeqCst);
            if old.active.load(Ordering::SeqCst) == 0 {
                old.has_exited.store(true, Ordering::SeqCst);
                record.add(&format!("runner {} has nothing to do and exits", old.name));
            }
        }
        thread::sleep(REPLACED_EVERY.saturating_sub(start.elapsed()));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for line in daemon.log().lines().filter(|l| l.contains("answer cut")) {
        record.add(&format!("log: {line}"));
    }
    let count = |n: &AtomicU32| n.load(Ordering::SeqCst);
    let lost = count(&counts.lost);
    record.add(&format!(
        "streams: {} whole, {lost} written to the end by their runner and cut on a kept connection, {} refused, {} others",
        count(&counts.whole),
        count(&counts.refused),
        count(&counts.others)
    ));
    match (count(&counts.whole), lost > ALLOWED) {
        (0, _) => COULD_NOT_RUN,
        (_, true) => BROKEN,
        (_, false) => HELD,
    }
}

/// Sends one stream after the other on a kept connection until it is closed.
fn send_streams(record: &Record, front: SocketAddr, n: u32, counts: &Counts, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut answers = 0;
        while !is_over.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("9c41{n:04x}{number:08x}");
            match send_stream(&stream, &id) {
                Ok(200) => {
                    answers += 1;
                    counts.whole.fetch_add(1, Ordering::SeqCst);
                }
                Ok(status) => {
                    counts.refused.fetch_add(1, Ordering::SeqCst);
                    record.add(&format!("client got {status} for {id}"));
                    thread::sleep(Duration::from_millis(100));
                }
                Err((events, e)) => {
                    let was_written = counts.written.lock().unwrap().contains(&id);
                    record.add(&format!(
                        "stream {id} cut after {events} of {EVENTS} events ({e}), {answers} answers before on this connection; written to the end by its runner: {was_written}"
                    ));
                    let counter = if was_written && answers > 0 { &counts.lost } else { &counts.others };
                    counter.fetch_add(1, Ordering::SeqCst);
                    break;
                }
            }
        }
    }
}

/// Sends a request and reads its stream; returns the status of an answer that is complete.
fn send_stream(mut stream: &TcpStream, id: &str) -> Result<u16, (u32, io::Error)> {
    let more = format!(
        "Vanillakeel-Model: m\r\nVanillakeel-Token-Usage: 17020,120\r\nVanillakeel-Prefix-Hash: {}:13300,{}:3720\r\n",
        &id[..8],
        &id[4..]
    );
    let sent = request("POST", "/lohu930/2f", id, DEADLINE_MS, &more, "{}");
    let fail = |e| (0, e);
    stream.write_all(sent.as_bytes()).map_err(fail)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).map_err(fail)?;
    let head = head.ok_or_else(|| fail(io::ErrorKind::UnexpectedEof.into()))?;
    let mut events = 0;
    if head.get("transfer-encoding") != Some("chunked") {
        read_body(&mut reader, &head).map_err(fail)?;
        return Ok(head.status());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).map_err(|e| (events, e))?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| (events, io::ErrorKind::UnexpectedEof.into()))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).map_err(|e| (events, e))?;
        if size == 0 {
            return Ok(head.status());
        }
        events += chunk.windows(4).filter(|w| *w == b"id: ").count() as u32;
    }
}
