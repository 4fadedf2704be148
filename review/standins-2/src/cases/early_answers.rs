//! Runners answer before they have read a long body and read on later: their answers are cut after a second.

use super::{IN_TOUCH, Sent, Verdict, all_at_once, configuration, service};
use crate::{
    Context,
    runner::{Call, Runner},
    store::Store,
    system::Machine,
};
use std::{io, sync::Arc, thread, time::Duration};

const STREAMS: usize = 12;
/// Length of the bodies, three quarters of what the configuration allows.
const BODY_BYTES: usize = 3 << 20;
const EVENTS: u64 = 16;

pub fn run(cx: &Context) -> Verdict {
    let store = Store::start();
    let route = r#"{"name":"r-draft","host":"desk.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":12000,"target_latency_ms":2000,"priority":1,"service":"fleet","max_attempts":1,"public":false,"sticky":true,"can_resume":false,"gap_aim_ms":800}"#;
    store.put(
        "keyed.op",
        "config",
        &configuration(route, &service("fleet")),
    );
    let reads_late = cx.has_trouble;
    let _runners: Vec<Runner> = (1..=3)
        .map(|n| {
            let behaviour = move |call: &mut Call<'_, '_>| -> io::Result<()> {
                if !reads_late {
                    crate::http::read_body(call.reader, &call.head)?;
                }
                call.begin_events()?;
                for number in 1..=EVENTS {
                    thread::sleep(Duration::from_millis(200));
                    call.event(number)?;
                    if reads_late && number == EVENTS - 2 {
                        crate::http::read_body(call.reader, &call.head)?;
                    }
                }
                call.end_events()
            };
            Runner::start(
                &store,
                "fleet",
                "v1",
                &format!("i-{n}"),
                &cx.record,
                Arc::new(behaviour),
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
    let front = machines[0].front;
    let body = vec![b'x'; BODY_BYTES];
    let answers = thread::scope(|scope| {
        let streams = scope.spawn(|| {
            all_at_once(STREAMS, |n| {
                let id = format!("aa{n:04x}");
                let sent = Sent {
                    id: &id,
                    method: "POST",
                    path: "/draft/1",
                    deadline_ms: 12_000,
                    headers: "",
                    body: &body,
                };
                sent.send(cx, front, |_| false)
            })
        });
        thread::sleep(Duration::from_millis(500));
        machines[0].signal("TERM");
        streams.join().expect("a thread")
    });
    let cut = answers
        .iter()
        .filter(|a| a.status == 200 && !a.is_complete)
        .count();
    let text =
        format!("{cut} of {STREAMS} streams of a stopping machine were cut before their end");
    let _ = machines[0].is_running();
    if cut == 0 { Ok(text) } else { Err(text) }
}
