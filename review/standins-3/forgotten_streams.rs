//! Streams that clients take up again some seconds after all instances were killed.

mod kit;

use kit::{
    BROKEN, COULD_NOT_RUN, Daemon, HELD, Machine, Record, Store, answer_head, configuration,
    has_trouble, read_body, read_head, request, runner_entry, serve,
};
use std::{
    env,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const INSTANCES: usize = 2;
const RUNNERS: usize = 4;
const SLOTS: u32 = 64;

/// Streams that are taken up, and as many that begin beside them.
const STREAMS: usize = 24;

/// Events of a stream, and the time between two.
const EVENTS: u32 = 110;
const EVENT_TIME: Duration = Duration::from_millis(100);

/// Time after the first event at which the connections end.
const CUT_AFTER: Duration = Duration::from_millis(2_500);

/// Time from the start of the instances to the request that takes a stream up; `stable_window_ms` is 3,000.
const TAKEN_UP_AFTER: Duration = Duration::from_millis(3_500);

/// Most tries of a client that is refused, which keeps to `Retry-After`, and its shortest pause.
const TRIES: u32 = 3;
const PAUSE: Duration = Duration::from_millis(300);

const DEADLINE_MS: u64 = 15_000;

const PATH: &str = "/pufi791/2f";

fn main() {
    exit(play());
}

/// Plays the case; returns the exit code.
fn play() -> i32 {
    let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&format!("{folder}/record.txt"));
    let trouble = has_trouble();
    let store = Store::start();
    let route = r#"{"name":"r-6y7z5k6","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":1,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":300}"#;
    let service = r#"{"name":"huvo11a","health_path":"/health","max_connections":370,"protocol":"h1","engine":{"slot_count":64,"kv_memory_tokens":584240}}"#;
    store.put("keyed.op", "config", &configuration(7, route, service));
    for n in 0..RUNNERS {
        let record = record.clone();
        let address = serve(move |stream| {
            let _ = run_streams(stream, n, &record);
        });
        let entry = runner_entry("huvo11a", address, SLOTS, "ready");
        store.put("keyed.servers", &format!("i-{n}"), &entry);
    }
    let names = ["front-halle-nord-1", "front-halle-nord-2"];
    let start = |name: &&str| Daemon::start(store.address, name, Machine::default());
    let restart = |name: &&str| Daemon::restart(store.address, name, Machine::default());
    let mut daemons: Vec<Daemon> = names[..INSTANCES].iter().map(start).collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        record.add("the instances did not get ready");
        return COULD_NOT_RUN;
    }
    // All streams began at the one version that has ever served.
    let served = env::var("SERVED_MS").ok().and_then(|v| v.parse().ok());
    thread::sleep(Duration::from_millis(served.unwrap_or(4_000)));
    let fronts = addresses(&daemons);
    let first: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (record, front) = (record.clone(), fronts[n % INSTANCES]);
            thread::spawn(move || begin(&record, front, n))
        })
        .collect();
    let first: Vec<Option<u32>> = first.into_iter().map(|t| t.join().unwrap()).collect();
    if first.iter().flatten().count() < STREAMS {
        record.add("not all streams began");
        return COULD_NOT_RUN;
    }
    if trouble {
        record.add("kill of all instances");
        for daemon in &mut daemons {
            let _ = daemon.child.kill();
        }
        drop(daemons);
        daemons = names[..INSTANCES].iter().map(restart).collect();
        if !daemons.iter().all(Daemon::wait_ready) {
            record.add("the instances did not get ready again");
            return COULD_NOT_RUN;
        }
        record.add("all instances are ready again");
    }
    let fronts = addresses(&daemons);
    thread::sleep(TAKEN_UP_AFTER);
    let results: Arc<Mutex<[u32; 2]>> = Arc::default();
    let threads: Vec<_> = (0..2 * STREAMS)
        .map(|n| {
            let (record, results) = (record.clone(), Arc::clone(&results));
            let front = fronts[(n + 1) % INSTANCES];
            let last = first.get(n).copied().flatten();
            thread::spawn(move || {
                if goes_on(&record, front, n, last) {
                    results.lock().unwrap()[usize::from(last.is_none())] += 1;
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let [taken_up, begun] = *results.lock().unwrap();
    for daemon in &daemons {
        for line in daemon
            .log()
            .lines()
            .filter(|l| l.contains("unknown_stream"))
            .take(2)
        {
            record.add(&format!("log: {line}"));
        }
    }
    record.add(&format!(
        "of {STREAMS} streams taken up {taken_up} went on; of {STREAMS} new streams {begun} began; {RUNNERS} runners of their version serve"
    ));
    match begun {
        0 => COULD_NOT_RUN,
        _ if 2 * taken_up < begun => BROKEN,
        _ => HELD,
    }
}

fn addresses(daemons: &[Daemon]) -> Vec<SocketAddr> {
    daemons.iter().map(|d| d.front).collect()
}

/// A model runner, which goes on after `Last-Event-Id`.
fn run_streams(mut stream: TcpStream, n: usize, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        read_body(&mut reader, &head)?;
        let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
        let last = head
            .get("last-event-id")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        record.add(&format!("runner i-{n} runs {id} from event {}", last + 1));
        let answer =
            answer_head(200, &id, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n";
        stream.write_all(answer.as_bytes())?;
        for event in last + 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            let event = format!("id: {event}\ndata: piece {event}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

fn stream_id(n: usize) -> String {
    format!("9c41d07be2a6{n:04x}")
}

fn prompt(n: usize) -> String {
    format!(
        "Vanillakeel-Model: m\r\nVanillakeel-Token-Usage: 1460,80\r\nVanillakeel-Prefix-Hash: 5c1e07a2:800,{n:x}:660\r\n"
    )
}

/// Begins a stream and reads it for a while; returns the last event.
fn begin(record: &Record, front: SocketAddr, n: usize) -> Option<u32> {
    let id = stream_id(n);
    let sent = request("POST", PATH, &id, DEADLINE_MS, &prompt(n), "{}");
    let mut reader = send(front, &sent).ok()?;
    let head = read_head(&mut reader).ok()??;
    if head.status() != 200 {
        return None;
    }
    let start = Instant::now();
    let mut last = 0;
    let mut line = String::new();
    while start.elapsed() < CUT_AFTER {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some(event) = line.strip_prefix("id: ") {
            last = event.trim().parse().ok()?;
        }
    }
    // An event is complete once the next line after it has come; the one before is certain.
    let last = last - 1;
    record.add(&format!("client of {id} has {last} events"));
    Some(last)
}

fn send(front: SocketAddr, sent: &str) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    stream.write_all(sent.as_bytes())?;
    Ok(BufReader::new(stream))
}

/// Takes up a stream after its event `last`, or begins a new one; returns whether the next event came.
fn goes_on(record: &Record, front: SocketAddr, n: usize, last: Option<u32>) -> bool {
    for number in 1..=TRIES {
        let id = format!("{}{number:02x}", stream_id(n));
        let taken_up =
            last.map(|last| format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", stream_id(n)));
        let more = prompt(n) + taken_up.as_deref().unwrap_or("");
        let sent = request("POST", PATH, &id, 8_000, &more, "{}");
        let Ok(mut reader) = send(front, &sent) else {
            continue;
        };
        let Ok(Some(head)) = read_head(&mut reader) else {
            continue;
        };
        let body = match head.status() {
            200 => String::new(),
            _ => String::from_utf8_lossy(&read_body(&mut reader, &head).unwrap_or_default())
                .into_owned(),
        };
        record.add(&format!(
            "client of {id} (after event {last:?}): {}, Retry-After {:?} {}",
            head.status(),
            head.get("retry-after"),
            body.trim()
        ));
        if head.status() == 200 {
            let next = format!("id: {}", last.unwrap_or(0) + 1);
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                if line.trim() == next {
                    return true;
                }
                line.clear();
            }
            return false;
        }
        let after: f64 = head
            .get("retry-after")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0.0);
        thread::sleep(PAUSE.max(Duration::from_secs_f64(after)));
    }
    false
}
