//! A runner runs requests, fails and says so with status 503: callers are promised that the requests have not run.

use super::{IN_TOUCH, Sent, Verdict, all_at_once, configuration, service};
use crate::{
    Context,
    runner::{Call, Runner},
    store::Store,
    system::Machine,
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const REQUESTS: usize = 120;

pub fn run(cx: &Context) -> Verdict {
    let store = Store::start();
    let route = r#"{"name":"r-ack","host":"desk.example","path_prefix":"/ack/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"ledger","max_attempts":1,"public":false,"sticky":false,"can_resume":false}"#;
    store.put(
        "keyed.op",
        "config",
        &configuration(route, &service("ledger")),
    );
    let fails = cx.has_trouble;
    let runners: Vec<Runner> = (1..=4)
        .map(|n| {
            // One of four runners fails part of its requests, as `srv_grey` says.
            let is_grey = n == 1 && fails;
            let count = AtomicU64::new(0);
            let behaviour = move |call: &mut Call<'_, '_>| -> io::Result<()> {
                crate::http::read_body(call.reader, &call.head)?;
                thread::sleep(Duration::from_millis(15));
                let number = count.fetch_add(1, Ordering::Relaxed);
                if is_grey && number % 5 < 2 {
                    return call.answer(
                        "503 Service Unavailable",
                        "",
                        "booked, then the mail server failed",
                    );
                }
                call.answer("200 OK", "", "booked")
            };
            Runner::start(
                &store,
                "ledger",
                "v1",
                &format!("i-{n}"),
                &cx.record,
                Arc::new(behaviour),
            )
        })
        .collect();
    let machines = ["a", "b"].map(|z| {
        Machine::start(
            &cx.dir,
            &store,
            &format!("front-{z}-1"),
            &format!("zone-{z}"),
            &cx.record,
        )
    });
    machines.iter().for_each(Machine::wait_ready);
    thread::sleep(IN_TOUCH);
    let fronts = [machines[0].front, machines[1].front];
    let outcomes = all_at_once(REQUESTS, |n| {
        thread::sleep(Duration::from_millis(40 * n as u64));
        let send = |attempt: usize| {
            let id = format!("{n:04x}{attempt}");
            let sent = Sent {
                id: &id,
                method: "POST",
                path: "/ack/1",
                deadline_ms: 1_000,
                headers: "",
                body: b"book it",
            };
            let status = sent.send(cx, fronts[(n + attempt) % 2], |_| false).status;
            (id, status)
        };
        let first = send(0);
        // A client trusts a promise, waits a little and asks once more at another machine.
        if [408, 421, 429, 503].contains(&first.1) {
            thread::sleep(Duration::from_millis(100));
            vec![first, send(1)]
        } else {
            vec![first]
        }
    });
    let ran: Vec<String> = runners.iter().flat_map(Runner::runs).collect();
    let promised = outcomes
        .iter()
        .flatten()
        .filter(|(_, status)| [408, 421, 429, 503].contains(status));
    let broken: Vec<&String> = promised
        .map(|(id, _)| id)
        .filter(|id| ran.contains(id))
        .collect();
    let booked_twice = outcomes
        .iter()
        .filter(|o| o.iter().filter(|(id, _)| ran.contains(id)).count() > 1)
        .count();
    let served = outcomes
        .iter()
        .filter(|o| o.iter().any(|(_, status)| *status == 200))
        .count();
    let text = format!(
        "{} of {REQUESTS} unsafe requests were answered 503 and had run; {booked_twice} bookings ran twice; {served} served",
        broken.len()
    );
    assert!(served > REQUESTS / 2, "{text}");
    if broken.is_empty() {
        Ok(text)
    } else {
        Err(text)
    }
}
