//! Runners in trouble that send bytes without end where an event of a stream that may be resumed is due.

mod kit;

use kit::{
    BROKEN, COULD_NOT_RUN, Daemon, HELD, Machine, Ordinary, Record, Store, Watch, answer_head,
    configuration, exchange, has_trouble, read_body, read_head, request, runner_entry, serve,
};
use std::{
    env,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Model runners and places of each.
const RUNNERS: u32 = 9;
const SLOTS: u32 = 64;

/// Share of their answers that runners in trouble spoil, in hundredths.
const SPOILED: u32 = 45;

/// Streams, and the time between two of them.
const STREAMS: u32 = 700;
const SPACING: Duration = Duration::from_millis(14);

/// Events of a sound stream, and the time between two of them.
const EVENTS: u32 = 57;
const EVENT_TIME: Duration = Duration::from_millis(40);

/// Bytes without end: so many, each 60 ms.
const PIECE: usize = 20_000;
const PIECE_TIME: Duration = Duration::from_millis(60);

/// Bytes after which they come more slowly, and the number of bytes each 60 ms from then on.
const FAST: usize = 1_000_000;
const SLOW_PIECE: usize = 20;

const DEADLINE_MS: u64 = 15_000;

/// Ordinary clients.
const CLIENTS: u32 = 12;

/// What became of the streams.
#[derive(Default)]
struct Streams {
    begun: AtomicU32,
    spoiled: AtomicU32,
    whole: AtomicU32,
    refused: AtomicU32,
    other: AtomicU32,
}

fn main() {
    exit(play());
}

/// Plays the case; returns the exit code.
fn play() -> i32 {
    let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&format!("{folder}/record.txt"));
    let spoiled = if has_trouble() { SPOILED } else { 0 };
    let store = Store::start();
    let route = r#"{"name":"r-6y7z5k6","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":15000,"target_latency_ms":400,"priority":0,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":200}"#;
    let service = r#"{"name":"huvo11a","health_path":"/health","max_connections":370,"protocol":"h1","engine":{"slot_count":64,"kv_memory_tokens":584240}}"#;
    let routes = format!("{route},{}", Ordinary::ROUTE);
    let services = format!("{service},{}", Ordinary::SERVICE);
    store.put("keyed.op", "config", &configuration(7, &routes, &services));
    let streams = Arc::new(Streams::default());
    for n in 0..RUNNERS {
        let (streams, record) = (Arc::clone(&streams), record.clone());
        let address = serve(move |stream| run_streams(stream, n, spoiled, &streams, &record));
        let entry = runner_entry("huvo11a", address, SLOTS, "ready");
        store.put("keyed.servers", &format!("i-{n}"), &entry);
    }
    let ordinary = Ordinary::start(&record, &store);
    let machine = Machine::default();
    let mut daemon = Daemon::start(store.address, "front-halle-nord-1", machine);
    if !daemon.wait_ready() {
        record.add("the instance did not get ready");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_millis(1_500));
    let front = daemon.front;
    let clients = ordinary.start_clients(front, CLIENTS);
    let mut watch = Watch::new(&record, machine);
    let mut threads = Vec::new();
    for n in 0..STREAMS {
        if watch.is_killed {
            break;
        }
        let streams = Arc::clone(&streams);
        let client = thread::Builder::new()
            .stack_size(128 << 10)
            .spawn(move || read_stream(front, n, &streams));
        threads.push(client.expect("a thread"));
        let next = Instant::now() + SPACING;
        while Instant::now() < next {
            watch.look(&mut daemon);
            thread::sleep(Duration::from_millis(5));
        }
    }
    record.add(&format!("{} streams were sent", threads.len()));
    let due = Instant::now() + Duration::from_millis(DEADLINE_MS + 1_000);
    while !watch.is_killed && Instant::now() < due && threads.iter().any(|t| !t.is_finished()) {
        watch.look(&mut daemon);
        thread::sleep(Duration::from_millis(5));
    }
    // The clients see the end of their connections.
    thread::sleep(Duration::from_millis(300));
    ordinary.stop();
    for client in clients {
        let _ = client.join();
    }
    let count = |n: &AtomicU32| n.load(Ordering::SeqCst);
    record.add(&format!(
        "streams: {} begun at runners, {} of them spoiled; {} read whole, {} refused, {} others",
        count(&streams.begun),
        count(&streams.spoiled),
        count(&streams.whole),
        count(&streams.refused),
        count(&streams.other)
    ));
    let lost = count(&ordinary.lost);
    record.add(&format!(
        "ordinary requests: {} answered, {} refused or not connected, {lost} run and closed without an answer",
        count(&ordinary.answered),
        count(&ordinary.refused)
    ));
    record.add(&format!(
        "peak {} KiB, killed by the platform: {}",
        watch.peak_kib, watch.is_killed
    ));
    let result = match (watch.is_killed && lost > 3, watch.is_killed) {
        (true, _) => BROKEN,
        (false, false) if count(&ordinary.answered) > 0 => HELD,
        _ => COULD_NOT_RUN,
    };
    result
}

/// A model runner, which spoils a share of its answers.
fn run_streams(mut stream: TcpStream, n: u32, spoiled: u32, streams: &Streams, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Ok(Some(head)) = read_head(&mut reader) {
        if read_body(&mut reader, &head).is_err() {
            return;
        }
        let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
        let begun = streams.begun.fetch_add(1, Ordering::SeqCst);
        let head = answer_head(200, &id, "text/event-stream");
        if begun * spoiled % 100 < spoiled {
            streams.spoiled.fetch_add(1, Ordering::SeqCst);
            record.add(&format!("runner i-{n} spoils its answer to {id}"));
            send_without_end(stream, &head);
            return;
        }
        let head = head + "Transfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for event in 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            let event = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sends bytes that are no event until the caller closes.
fn send_without_end(mut stream: TcpStream, head: &str) {
    let begin = format!("{head}\r\n");
    let mut sent = stream.write_all(begin.as_bytes());
    let mut bytes = 0;
    while sent.is_ok() {
        thread::sleep(PIECE_TIME);
        let length = if bytes < FAST { PIECE } else { SLOW_PIECE };
        sent = stream.write_all(&vec![b'x'; length]);
        bytes += length;
    }
}

fn read_stream(front: SocketAddr, n: u32, streams: &Streams) {
    let id = format!("9c41d07be2a4{n:04x}");
    let more = format!(
        "Vanillakeel-Model: m\r\nVanillakeel-Token-Usage: 1460,170\r\nVanillakeel-Prefix-Hash: {:x}:350,{n:x}:1110\r\n",
        0x5c1e_07a2 + n % 95
    );
    let sent = request("POST", "/pufi791/2f", &id, DEADLINE_MS, &more, "{}");
    let counter = match exchange(front, sent.as_bytes()) {
        Ok((head, _)) if head.status() == 200 => &streams.whole,
        Ok((head, _)) if head.status() == 503 => &streams.refused,
        _ => &streams.other,
    };
    counter.fetch_add(1, Ordering::SeqCst);
}
