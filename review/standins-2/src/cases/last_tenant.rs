//! A version takes the last tenant away: requests with its key go on running, and runners get the key.

use super::{IN_TOUCH, KEY, Sent, Verdict, all_at_once, configuration_with, service, tenant};
use crate::{
    Context,
    runner::{Call, Runner},
    store::Store,
    system::Machine,
};
use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const REQUESTS: usize = 20;

/// Time after the acknowledgement from which the key must not count, `revoke_ms` of the settings.
const REVOKE_MS: u64 = 5_000;

pub fn run(cx: &Context) -> Verdict {
    let store = Store::start();
    let route = r#"{"name":"r-ack","host":"desk.example","path_prefix":"/ack/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"ledger","max_attempts":1,"public":false,"sticky":false,"can_resume":false}"#;
    let own = tenant("hule930", KEY);
    let other = tenant("puxa403", "anfqasnmgkcuyj8pjbvk");
    // Without the disruption another tenant is left when the one of these clients goes.
    let (before, after) = if cx.has_trouble {
        (own, String::new())
    } else {
        (format!("{own},{other}"), other)
    };
    store.put(
        "keyed.op",
        "config",
        &configuration_with(7, route, &service("ledger"), &before),
    );
    let keys_seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let runners: Vec<Runner> = (1..=2)
        .map(|n| {
            let seen = Arc::clone(&keys_seen);
            let behaviour = move |call: &mut Call<'_, '_>| -> io::Result<()> {
                crate::http::read_body(call.reader, &call.head)?;
                if call
                    .head
                    .get("authorization")
                    .is_some_and(|v| v.contains(KEY))
                {
                    seen.lock().expect("a lock").push(call.id.clone());
                }
                thread::sleep(Duration::from_millis(15));
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
    let send = |prefix: &str| {
        all_at_once(REQUESTS, |n| {
            let id = format!("{prefix}{n:04x}");
            let sent = Sent {
                id: &id,
                method: "POST",
                path: "/ack/1",
                deadline_ms: 1_000,
                headers: "",
                body: b"book it",
            };
            sent.send(cx, fronts[n % 2], |_| false).status
        })
    };
    let served = send("aa").iter().filter(|status| **status == 200).count();
    assert_eq!(served, REQUESTS, "requests with the key are served before");
    store.put(
        "keyed.op",
        "config",
        &configuration_with(8, route, &service("ledger"), &after),
    );
    cx.record
        .line("the store acknowledges version 8, which takes the key away");
    thread::sleep(Duration::from_millis(REVOKE_MS + 1_000));
    let statuses = send("bb");
    let ran: Vec<String> = runners
        .iter()
        .flat_map(Runner::runs)
        .filter(|id| id.starts_with("bb"))
        .collect();
    let keys_seen = keys_seen
        .lock()
        .expect("a lock")
        .iter()
        .filter(|id| id.starts_with("bb"))
        .count();
    let text = format!(
        "{} of {REQUESTS} requests sent 1 s after revoke_ms with the key that was taken away ran, answers {statuses:?}; runners got the key of {keys_seen}",
        ran.len()
    );
    cx.record.line(&format!("ran: {ran:?}"));
    if ran.is_empty() { Ok(text) } else { Err(text) }
}
