//! A key that a version has taken away, at an instance that starts after that version.

mod kit;

use kit::{
    BROKEN, COULD_NOT_RUN, Daemon, HELD, KEY, Machine, Record, Store, answer_head, configuration,
    exchange, has_trouble, read_body, read_head, request, runner_entry, serve,
};
use std::{
    env,
    io::{BufReader, Write},
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const INSTANCES: usize = 2;
const RUNNERS: u32 = 4;
const SLOTS: u32 = 6;

/// `revoke_ms` of the site.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Requests with the key that are sent to each instance later than that.
const REQUESTS: u32 = 20;

const DEADLINE_MS: u64 = 1_500;

/// A request as a runner has run it.
struct Run {
    id: String,
    has_key: bool,
    tenant: Option<String>,
}

fn main() {
    exit(play());
}

/// Plays the case; returns the exit code.
fn play() -> i32 {
    let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&format!("{folder}/record.txt"));
    let store = Store::start();
    let route = r#"{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":1,"public":false}"#;
    let service = r#"{"name":"wuno96b","health_path":"/health","max_connections":96}"#;
    store.put("keyed.op", "config", &configuration(7, route, service));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for n in 0..RUNNERS {
        let runs = Arc::clone(&runs);
        let address = serve(move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            while let Ok(Some(head)) = read_head(&mut reader) {
                if read_body(&mut reader, &head).is_err() {
                    return;
                }
                let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
                runs.lock().unwrap().push(Run {
                    id: id.clone(),
                    has_key: head.fields.iter().any(|(_, value)| value.contains(KEY)),
                    tenant: head.get("vanillakeel-tenant").map(str::to_owned),
                });
                let answer =
                    answer_head(200, &id, "application/json") + "Content-Length: 2\r\n\r\nok";
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
        let entry = runner_entry("wuno96b", address, SLOTS, "ready");
        store.put("keyed.servers", &format!("i-{n}"), &entry);
    }
    let names = ["front-halle-nord-1", "front-halle-nord-2"];
    let start = |name: &&str| Daemon::start(store.address, name, Machine::default());
    let mut daemons: Vec<Daemon> = names[..INSTANCES].iter().map(start).collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        record.add("the instances did not get ready");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_millis(3_000));
    let send = |front, id: &str| {
        let sent = request("POST", "/puxa403/2f", id, DEADLINE_MS, "", "{}");
        exchange(front, sent.as_bytes()).map_or(0, |(head, _)| head.status())
    };
    for (n, daemon) in daemons.iter().enumerate() {
        let status = send(daemon.front, &format!("first{n}"));
        record.add(&format!(
            "instance {n}, version 7: request with the key: {status}"
        ));
        if status != 200 {
            return COULD_NOT_RUN;
        }
    }
    // Version 8 is version 7 without `tenants`.
    let with_tenants = configuration(8, route, service);
    let at = with_tenants.find(r#","tenants""#).expect("the tenants");
    store.put("keyed.op", "config", &format!("{}}}", &with_tenants[..at]));
    let acknowledged = Instant::now();
    record.add("version 8, which takes the key away, is acknowledged");
    thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        record.add("instance 0 is killed and starts again");
        let _ = daemons[0].child.kill();
        daemons[0] = Daemon::restart(store.address, names[0], Machine::default());
        if !daemons[0].wait_ready() {
            record.add("it did not get ready again");
            return COULD_NOT_RUN;
        }
    }
    thread::sleep((REVOKE + Duration::from_millis(500)).saturating_sub(acknowledged.elapsed()));
    for number in 0..REQUESTS {
        for (n, daemon) in daemons.iter().enumerate() {
            let id = format!("late{n}-{number:02}");
            let status = send(daemon.front, &id);
            record.add(&format!(
                "{} ms after the acknowledgement, instance {n}: {id}: {status}",
                acknowledged.elapsed().as_millis()
            ));
        }
    }
    let runs = runs.lock().unwrap();
    let late: Vec<&Run> = runs.iter().filter(|r| r.id.starts_with("late")).collect();
    for run in &late {
        record.add(&format!(
            "a runner ran {}; the key was passed on to it: {}; tenant {:?}",
            run.id, run.has_key, run.tenant
        ));
    }
    record.add(&format!(
        "of {} requests with the key, sent over {} ms after the acknowledgement, {} ran, {} of them with the key passed on",
        REQUESTS * INSTANCES as u32,
        REVOKE.as_millis(),
        late.len(),
        late.iter().filter(|r| r.has_key).count()
    ));
    if late.is_empty() { HELD } else { BROKEN }
}
