//! All machines are stopped and started in turn: no stream that their clients take up again goes on.

use super::{IN_TOUCH, Sent, Verdict, all_at_once, configuration, service, streaming};
use crate::{Context, runner::Runner, store::Store, system::Machine};
use std::{
    thread,
    time::{Duration, Instant},
};

const STREAMS: usize = 24;
const TIMEOUT_MS: u64 = 15_000;

/// Time between the stops of the two machines.
const GAP: Duration = Duration::from_secs(1);

pub fn run(cx: &Context) -> Verdict {
    let store = Store::start();
    let route = r#"{"name":"r-check","host":"desk.example","path_prefix":"/check/","kind":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":1,"service":"fleet","max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":800}"#;
    store.put(
        "keyed.op",
        "config",
        &configuration(route, &service("fleet")),
    );
    let _runners: Vec<Runner> = (1..=3)
        .map(|n| {
            let behaviour = streaming(60, Duration::from_millis(240));
            Runner::start(
                &store,
                "fleet",
                "v1",
                &format!("i-{n}"),
                &cx.record,
                behaviour,
            )
        })
        .collect();
    let mut machines = ["a", "b"].map(|z| {
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
    let start = Instant::now();
    let begin = |prefix: &str, n: usize, events: usize| {
        let id = format!("{prefix}{n:04x}");
        let sent = Sent {
            id: &id,
            method: "POST",
            path: "/check/1",
            deadline_ms: TIMEOUT_MS,
            headers: "",
            body: b"check this",
        };
        let answer = sent.send(cx, fronts[n % 2], |a| a.event_ids().len() >= events);
        (id, answer.event_ids())
    };
    // Without the disruption the connections end at their clients.
    let leave_after = if cx.has_trouble { usize::MAX } else { 32 };
    let first = thread::scope(|scope| {
        let streams = scope.spawn(|| all_at_once(STREAMS, |n| begin("aa", n, leave_after)));
        if cx.has_trouble {
            thread::sleep(Duration::from_millis(500));
            machines[0].signal("TERM");
            thread::sleep(GAP);
            machines[1].signal("TERM");
            for machine in &mut machines {
                machine.wait_end();
                thread::sleep(Duration::from_millis(200));
                machine.restart();
            }
        }
        streams.join().expect("a thread")
    });
    machines.iter().for_each(Machine::wait_ready);
    // Both machines have run for longer than `stable_window_ms` when clients come back.
    thread::sleep(IN_TOUCH);
    let begun: Vec<_> = first
        .iter()
        .filter(|(_, events)| !events.is_empty())
        .collect();
    let outcomes = all_at_once(2 * begun.len(), |n| {
        if n >= begun.len() {
            return !begin("bb", n, 1).1.is_empty();
        }
        let (first_id, events) = begun[n];
        let last = events.last().copied().unwrap_or(0);
        // Two tries, each at another machine.
        (0..2).any(|attempt| {
            let id = format!("cc{attempt}{n:04x}");
            let left = TIMEOUT_MS.saturating_sub(start.elapsed().as_millis() as u64);
            let headers = format!("last-event-id: {last}\r\nresumes: {first_id}\r\n");
            let sent = Sent {
                id: &id,
                method: "POST",
                path: "/check/1",
                deadline_ms: left,
                headers: &headers,
                body: b"check this",
            };
            let answer = sent.send(cx, fronts[(n + 1 + attempt) % 2], |a| {
                !a.event_ids().is_empty()
            });
            thread::sleep(Duration::from_millis(300));
            answer.event_ids().first() == Some(&(last + 1))
        })
    });
    let (taken_up, new) = outcomes.split_at(begun.len());
    let count = |list: &[bool]| list.iter().filter(|ok| **ok).count();
    let text = format!(
        "{} of {} streams that clients took up went on, {} of {} new streams began",
        count(taken_up),
        taken_up.len(),
        count(new),
        new.len()
    );
    assert!(taken_up.len() >= 12, "{text}");
    let is_broken = 2 * count(taken_up) * new.len() < count(new) * taken_up.len();
    if is_broken { Err(text) } else { Ok(text) }
}
