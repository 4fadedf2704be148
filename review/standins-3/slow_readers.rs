//! Clients that read long answers slowly.

mod kit;

use kit::{
    BROKEN, COULD_NOT_RUN, Daemon, HELD, Machine, Ordinary, Record, Store, Watch, answer_head,
    configuration, connect_narrow, exchange, has_trouble, read_body, read_head, request,
    runner_entry, serve,
};
use std::{
    env,
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Runners of the service with long answers, and places of each.
const RUNNERS: u32 = 9;
const SLOTS: u32 = 64;

/// Clients with a long answer, and the time between two of them.
const READERS: u32 = 1_500;
const SPACING: Duration = Duration::from_millis(4);

/// Length of a long answer in bytes.
const LONG: usize = 1_000_000;

/// Bytes that a slow client reads in 100 ms.
const SLOW_PIECE: usize = 3_000;

/// Time for which slow clients read.
const SLOW_TIME: Duration = Duration::from_secs(12);

const DEADLINE_MS: u64 = 15_000;

/// Ordinary clients.
const CLIENTS: u32 = 12;

/// What became of the long answers.
#[derive(Default)]
struct Answers {
    run: AtomicU32,
    begun: AtomicU32,
    whole: AtomicU32,
    refused: AtomicU32,
}

fn main() {
    exit(play());
}

/// Plays the case; returns the exit code.
fn play() -> i32 {
    let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&format!("{folder}/record.txt"));
    let is_slow = has_trouble();
    let store = Store::start();
    let route = r#"{"name":"r-6y7z5k6","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":15000,"target_latency_ms":400,"priority":2,"service":"huvo11a","max_attempts":2,"public":false}"#;
    let service = r#"{"name":"huvo11a","health_path":"/health","max_connections":370}"#;
    let routes = format!("{route},{}", Ordinary::ROUTE);
    let services = format!("{service},{}", Ordinary::SERVICE);
    store.put("keyed.op", "config", &configuration(7, &routes, &services));
    let answers = Arc::new(Answers::default());
    for n in 0..RUNNERS {
        let answers = Arc::clone(&answers);
        let address = serve(move |stream| run_long(stream, &answers));
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
    let is_over = Arc::new(AtomicBool::new(false));
    let prober = {
        let (record, answers, is_over) =
            (record.clone(), Arc::clone(&answers), Arc::clone(&is_over));
        thread::spawn(move || probe_bodies(&record, front, &answers, &is_over))
    };
    let mut watch = Watch::new(&record, machine);
    let mut threads = Vec::new();
    for n in 0..READERS {
        if watch.is_killed {
            break;
        }
        let answers = Arc::clone(&answers);
        let client = thread::Builder::new()
            .stack_size(128 << 10)
            .spawn(move || read_long(front, n, is_slow, &answers));
        threads.push(client.expect("a thread"));
        thread::sleep(SPACING);
        watch.look(&mut daemon);
    }
    record.add(&format!(
        "{} requests for long answers were sent",
        threads.len()
    ));
    let due = Instant::now() + SLOW_TIME;
    while !watch.is_killed && Instant::now() < due && threads.iter().any(|t| !t.is_finished()) {
        watch.look(&mut daemon);
        thread::sleep(Duration::from_millis(5));
    }
    // The clients see the end of their connections.
    thread::sleep(Duration::from_millis(300));
    ordinary.stop();
    is_over.store(true, Ordering::SeqCst);
    let _ = prober.join();
    for client in clients {
        let _ = client.join();
    }
    let count = |n: &AtomicU32| n.load(Ordering::SeqCst);
    record.add(&format!(
        "long answers: {} run, {} begun at clients, {} read whole, {} refused",
        count(&answers.run),
        count(&answers.begun),
        count(&answers.whole),
        count(&answers.refused)
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

/// A runner with long answers.
fn run_long(mut stream: TcpStream, answers: &Answers) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Ok(Some(head)) = read_head(&mut reader) {
        if read_body(&mut reader, &head).is_err() {
            return;
        }
        answers.run.fetch_add(1, Ordering::SeqCst);
        let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
        let head = answer_head(200, &id, "application/octet-stream")
            + &format!("Content-Length: {LONG}\r\n\r\n");
        let sent = stream.write_all(head.as_bytes());
        if sent
            .and_then(|()| stream.write_all(&vec![b'x'; LONG]))
            .is_err()
        {
            return;
        }
    }
}

/// Sends a request and reads its long answer, slowly and steadily on a narrow link, or at once.
fn read_long(front: SocketAddr, n: u32, is_slow: bool, answers: &Answers) {
    let id = format!("9c41d07be2a5{n:04x}");
    let sent = request("GET", "/cufi504/fi50/2f", &id, DEADLINE_MS, "", "");
    let connected = if is_slow {
        connect_narrow(front, 4_096)
    } else {
        TcpStream::connect_timeout(&front, Duration::from_secs(1))
    };
    let Ok(mut stream) = connected else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    if stream.write_all(sent.as_bytes()).is_err() {
        return;
    }
    let start = Instant::now();
    let mut reader = BufReader::with_capacity(SLOW_PIECE, stream);
    let Ok(Some(head)) = read_head(&mut reader) else {
        return;
    };
    if head.status() != 200 {
        answers.refused.fetch_add(1, Ordering::SeqCst);
        return;
    }
    answers.begun.fetch_add(1, Ordering::SeqCst);
    let mut piece = [0; SLOW_PIECE];
    let mut got = 0;
    while got < head.length() && start.elapsed() < SLOW_TIME {
        match reader.read(&mut piece) {
            Ok(0) | Err(_) => return,
            Ok(read) => got += read,
        }
        if is_slow {
            thread::sleep(Duration::from_millis(100));
        }
    }
    if got == head.length() {
        answers.whole.fetch_add(1, Ordering::SeqCst);
    }
}

/// Sends ordinary requests with a short body, which are counted apart.
fn probe_bodies(record: &Record, front: SocketAddr, answers: &Answers, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("b0d7{number:08x}");
        let sent = request("POST", "/puxa403/2f", &id, 1_500, "", &"x".repeat(600));
        let status = exchange(front, sent.as_bytes()).map_or(0, |(head, _)| head.status());
        record.add(&format!(
            "request with a body of 600 bytes: {status}, beside {} long answers",
            answers.begun.load(Ordering::SeqCst)
        ));
        thread::sleep(Duration::from_millis(200));
    }
}
