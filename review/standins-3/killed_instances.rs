//! A request that crashes the runners that run it goes on coming while all instances are killed now and then.

mod kit;

use kit::{
    BROKEN, COULD_NOT_RUN, Daemon, HELD, Machine, Record, Store, answer_head, configuration,
    exchange, has_trouble, read_body, read_head, request, runner_entry,
};
use std::{
    env,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const INSTANCES: usize = 2;
const RUNNERS: usize = 6;
const SLOTS: u32 = 6;

/// How often all instances are killed, and the time between two kills.
const KILLS: u32 = 5;
const KILL_EVERY: Duration = Duration::from_millis(11_000);

/// Time after a kill within which the crashing request does not come.
const QUIET: Duration = Duration::from_millis(4_500);

/// Time between two crashing requests otherwise.
const CRASHING_EVERY: Duration = Duration::from_millis(1_500);

/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Crashes after which the request has to be known, and arrivals that the rule allows later.
const KNOWN_AFTER: usize = 3;
const ALLOWED: usize = 3;

/// Time for which a runner is away after a crash.
const DOWN: Duration = Duration::from_millis(2_000);

/// Time for which a runner works on a sound request.
const WORK: Duration = Duration::from_millis(60);

const DEADLINE_MS: u64 = 1_500;

/// Body of the request that crashes runners.
const CRASHING: &str = "crashing";

/// Callers of sound requests, which may run once at most.
const CALLERS: usize = 8;

/// What the runners have seen.
#[derive(Default)]
struct Seen {
    /// Times of the crashes, which are the arrivals of the crashing request.
    crashes: Mutex<Vec<Instant>>,
}

/// A runner that can crash and come back at the same address.
struct Runner {
    name: String,
    address: SocketAddr,
    connections: Mutex<Vec<TcpStream>>,
    /// Number of the present process.
    process: AtomicU32,
}

impl Runner {
    fn start(name: String, store: &Store, seen: &Arc<Seen>, record: &Record) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Arc::new(Self {
            name,
            address: listener.local_addr().expect("an address"),
            connections: Mutex::default(),
            process: AtomicU32::new(0),
        });
        let (store, seen, record) = (store.clone(), Arc::clone(seen), record.clone());
        thread::spawn(move || runner.run(listener, &store, &seen, &record));
    }

    fn run(
        self: Arc<Self>,
        listener: TcpListener,
        store: &Store,
        seen: &Arc<Seen>,
        record: &Record,
    ) {
        let mut listener = listener;
        loop {
            let number = self.process.load(Ordering::SeqCst);
            self.list(store);
            self.accept(&listener, number, seen, record);
            drop(listener);
            for connection in self.connections.lock().unwrap().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
            thread::sleep(DOWN);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            };
        }
    }

    /// Writes the entry of the present process.
    fn list(&self, store: &Store) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let entry = runner_entry("wuno96b", self.address, SLOTS, "ready");
        let entry = entry.replacen('{', &format!("{{\"born\":{born},"), 1);
        store.put("keyed.servers", &self.name, &entry);
    }

    /// Serves connections until the process crashes.
    fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        number: u32,
        seen: &Arc<Seen>,
        record: &Record,
    ) {
        listener
            .set_nonblocking(true)
            .expect("a mode of the socket");
        while self.process.load(Ordering::SeqCst) == number {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let Ok(other) = stream.try_clone() else {
                continue;
            };
            self.connections.lock().unwrap().push(other);
            let (runner, seen, record) = (Arc::clone(self), Arc::clone(seen), record.clone());
            thread::spawn(move || {
                let _ = runner.serve(stream, number, &seen, &record);
            });
        }
    }

    fn serve(
        &self,
        mut stream: TcpStream,
        number: u32,
        seen: &Seen,
        record: &Record,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
            if body == CRASHING.as_bytes() {
                record.add(&format!(
                    "runner {} begins to run {id} and crashes",
                    self.name
                ));
                seen.crashes.lock().unwrap().push(Instant::now());
                self.process.store(number + 1, Ordering::SeqCst);
                return Ok(());
            }
            thread::sleep(WORK);
            if self.process.load(Ordering::SeqCst) != number {
                return Ok(());
            }
            let answer = answer_head(200, &id, "application/json") + "Content-Length: 2\r\n\r\nok";
            stream.write_all(answer.as_bytes())?;
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
    let route = r#"{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":1,"public":false}"#;
    let service = r#"{"name":"wuno96b","health_path":"/health","max_connections":96}"#;
    store.put("keyed.op", "config", &configuration(7, route, service));
    let seen = Arc::new(Seen::default());
    for n in 0..RUNNERS {
        Runner::start(format!("i-{n}"), &store, &seen, &record);
    }
    let names = ["front-halle-nord-1", "front-halle-nord-2"];
    let start = |name: &&str| Daemon::start(store.address, name, Machine::default());
    let restart = |name: &&str| Daemon::restart(store.address, name, Machine::default());
    let mut daemons: Vec<Daemon> = names[..INSTANCES].iter().map(start).collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        record.add("the instances did not get ready");
        return COULD_NOT_RUN;
    }
    thread::sleep(STABLE_WINDOW);
    let fronts = Arc::new(Mutex::new(addresses(&daemons)));
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU32; 3]> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (fronts, is_over) = (Arc::clone(&fronts), Arc::clone(&is_over));
            let counts = Arc::clone(&counts);
            thread::spawn(move || send_sound(n, &fronts, &is_over, &counts))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    let mut sender = Sender {
        record: record.clone(),
        number: 0,
    };
    let learn_until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < learn_until {
        sender.send(&fronts);
        thread::sleep(CRASHING_EVERY);
    }
    let crashes = seen.crashes.lock().unwrap().clone();
    if crashes.len() < KNOWN_AFTER {
        record.add("the request has not crashed three runners");
        return COULD_NOT_RUN;
    }
    let known_at = crashes[KNOWN_AFTER - 1] + STABLE_WINDOW;
    record.add(&format!(
        "{} crashes while the request is found",
        crashes.len()
    ));
    let mut started = Vec::new();
    for n in 1..=KILLS {
        if trouble {
            record.add(&format!("kill {n} of all instances"));
            for daemon in &mut daemons {
                let _ = daemon.child.kill();
            }
            drop(daemons);
            daemons = names[..INSTANCES].iter().map(restart).collect();
            *fronts.lock().unwrap() = addresses(&daemons);
            if !daemons.iter().all(Daemon::wait_ready) {
                record.add("the instances did not get ready again");
                return COULD_NOT_RUN;
            }
        }
        let start = Instant::now();
        started.push(start);
        record.add("all instances are ready");
        thread::sleep(QUIET);
        while start.elapsed() < KILL_EVERY {
            sender.send(&fronts);
            thread::sleep(CRASHING_EVERY);
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let crashes = seen.crashes.lock().unwrap().clone();
    // A machine is in touch once its process has run for the stable window.
    let in_touch = |at: &Instant| {
        let last = started.iter().rev().find(|s| **s <= *at);
        !trouble || last.is_some_and(|s| at.duration_since(*s) >= STABLE_WINDOW)
    };
    let late = crashes
        .iter()
        .filter(|at| **at > known_at && in_touch(at))
        .count();
    record.add(&format!(
        "the request has reached runners {} times, {late} of them later than {} ms after the third crash from machines in touch",
        crashes.len(),
        STABLE_WINDOW.as_millis()
    ));
    let count = |n: usize| counts[n].load(Ordering::SeqCst);
    record.add(&format!(
        "sound requests: {} answered, {} answered 502 (cut with their runner), {} others",
        count(0),
        count(1),
        count(2)
    ));
    if late > ALLOWED { BROKEN } else { HELD }
}

fn addresses(daemons: &[Daemon]) -> Vec<SocketAddr> {
    daemons.iter().map(|d| d.front).collect()
}

/// Sends the crashing request to one instance after the other.
struct Sender {
    record: Record,
    number: usize,
}

impl Sender {
    fn send(&mut self, fronts: &Mutex<Vec<SocketAddr>>) {
        let front = fronts.lock().unwrap()[self.number % INSTANCES];
        self.number += 1;
        let id = format!("bad{:08x}", self.number);
        let sent = request("POST", "/puxa403/2f", &id, DEADLINE_MS, "", CRASHING);
        let status = exchange(front, sent.as_bytes()).map_or(0, |(head, _)| head.status());
        self.record.add(&format!("crashing request {id}: {status}"));
    }
}

fn send_sound(
    n: usize,
    fronts: &Mutex<Vec<SocketAddr>>,
    is_over: &AtomicBool,
    counts: &[AtomicU32; 3],
) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("7a11{n:04x}{number:08x}");
        let front = fronts.lock().unwrap()[(n + number) % INSTANCES];
        let sent = request("POST", "/puxa403/2f", &id, DEADLINE_MS, "", &id);
        let counter = match exchange(front, sent.as_bytes()) {
            Ok((head, _)) if head.status() == 200 => 0,
            Ok((head, _)) if head.status() == 502 => 1,
            _ => 2,
        };
        counts[counter].fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(40));
    }
}
