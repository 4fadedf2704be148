//! A route is split between services: a stream that its client takes up again goes to another service than the one
//! that began it.

use super::{IN_TOUCH, Sent, Verdict, all_at_once, configuration, service, streaming};
use crate::{Context, runner::Runner, store::Store, system::Machine};
use std::{
    thread,
    time::{Duration, Instant},
};

const STREAMS: usize = 60;
const TIMEOUT_MS: u64 = 15_000;

pub fn run(cx: &Context) -> Verdict {
    let store = Store::start();
    let route = r#"{"name":"r-check","host":"desk.example","path_prefix":"/check/","kind":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":1,"traffic_split":[{"service":"fleet-a","weight":34},{"service":"fleet-b","weight":33},{"service":"fleet-c","weight":33}],"max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":800}"#;
    let services = ["fleet-a", "fleet-b", "fleet-c"].map(service).join(",");
    store.put("keyed.op", "config", &configuration(route, &services));
    let mut runners = Vec::new();
    for (letter, version) in [("a", "v4"), ("b", "v5"), ("c", "v6")] {
        for n in 1..=2 {
            let behaviour = streaming(36, Duration::from_millis(250));
            let (name, service) = (format!("i-{letter}{n}"), format!("fleet-{letter}"));
            runners.push(Runner::start(
                &store, &service, version, &name, &cx.record, behaviour,
            ));
        }
    }
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
    let begin = |prefix: &str, n: usize, front: usize, events: usize| {
        let id = format!("{prefix}{n:04x}");
        let sent = Sent {
            id: &id,
            method: "POST",
            path: "/check/1",
            deadline_ms: TIMEOUT_MS,
            headers: "",
            body: b"check this",
        };
        let answer = sent.send(cx, fronts[front], |a| a.event_ids().len() >= events);
        (id, answer)
    };
    let first = thread::scope(|scope| {
        let streams = scope.spawn(|| all_at_once(STREAMS, |n| begin("aa", n, 0, usize::MAX)));
        thread::sleep(Duration::from_millis(2_000));
        if cx.has_trouble {
            machines[0].kill();
        }
        streams.join().expect("a thread")
    });
    thread::sleep(Duration::from_millis(if cx.has_trouble {
        1_000
    } else {
        0
    }));
    let broken: Vec<_> = first
        .iter()
        .filter(|(_, a)| !a.is_complete && !a.event_ids().is_empty())
        .map(|(id, a)| (id, a.event_ids().last().copied().unwrap_or(0)))
        .collect();
    let outcomes = all_at_once(broken.len() + STREAMS, |n| {
        let Some((first_id, last)) = broken.get(n) else {
            return !begin("bb", n, 1, 1).1.event_ids().is_empty();
        };
        let id = format!("cc{n:04x}");
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
        let answer = sent.send(cx, fronts[1], |a| !a.event_ids().is_empty());
        answer.event_ids().first() == Some(&(last + 1))
    });
    let (taken_up, new) = outcomes.split_at(broken.len());
    let count = |list: &[bool]| list.iter().filter(|ok| **ok).count();
    let text = format!(
        "{} of {} streams that clients took up went on, {} of {} new streams began",
        count(taken_up),
        taken_up.len(),
        count(new),
        new.len()
    );
    if !cx.has_trouble {
        assert!(count(new) == STREAMS, "{text}");
        return if taken_up.is_empty() {
            Ok(text)
        } else {
            Err(text)
        };
    }
    assert!(taken_up.len() >= 12, "{text}");
    let is_broken = 2 * count(taken_up) * new.len() < count(new) * taken_up.len();
    if is_broken { Err(text) } else { Ok(text) }
}
