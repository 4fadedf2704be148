//! The cases, and what they share.

mod early_answers;
mod false_promises;
mod last_tenant;
mod split_streams;
mod stopped_in_turn;

use crate::{
    Context,
    http::{Answer, connect, exchange},
    runner::{Behaviour, Call},
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// The verdict with what was seen; an error says that the rule was broken.
pub type Verdict = Result<String, String>;

pub fn find(name: &str) -> fn(&Context) -> Verdict {
    match name {
        "early_answers" => early_answers::run,
        "false_promises" => false_promises::run,
        "last_tenant" => last_tenant::run,
        "stopped_in_turn" => stopped_in_turn::run,
        "split_streams" => split_streams::run,
        _ => panic!("no case {name}"),
    }
}

/// Time for which machines have run without disruption before they count as in touch, with a margin.
const IN_TOUCH: Duration = Duration::from_millis(3_500);

const HOST: &str = "desk.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns a configuration with one tenant.
fn configuration(routes: &str, services: &str) -> String {
    configuration_with(7, routes, services, &tenant("hule930", KEY))
}

fn configuration_with(version: u64, routes: &str, services: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
    )
}

fn tenant(name: &str, key: &str) -> String {
    format!(r#"{{"name":"{name}","api_keys":["{key}"],"priority":1}}"#)
}

fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":370,"protocol":"h1","tls":false}}"#
    )
}

/// A request of a client.
struct Sent<'a> {
    id: &'a str,
    method: &'a str,
    path: &'a str,
    deadline_ms: u64,
    headers: &'a str,
    body: &'a [u8],
}

impl Sent<'_> {
    fn bytes(&self) -> Vec<u8> {
        let head = format!(
            "{} {} HTTP/1.1\r\nhost: {HOST}\r\nvanillakeel-request-id: {}\r\nvanillakeel-deadline-ms: {}\r\n\
             authorization: Bearer {KEY}\r\n{}content-length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            self.headers,
            self.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(self.body);
        bytes
    }

    /// Sends the request on a new connection and reads its answer.
    fn send(&self, cx: &Context, machine: SocketAddr, stop: impl FnMut(&Answer) -> bool) -> Answer {
        cx.record.line(&format!(
            "client sends {} {} {}to {machine}",
            self.id,
            self.path,
            self.headers.replace("\r\n", "; ")
        ));
        let until = Instant::now() + Duration::from_millis(self.deadline_ms + 1_000);
        let answer = match connect(machine) {
            Ok(stream) => exchange(&stream, &self.bytes(), until, stop),
            Err(e) => Answer {
                end: format!("connect: {e}"),
                ..Answer::default()
            },
        };
        cx.record.line(&format!(
            "client gets for {}: status {}, {} bytes, events {:?}, retry-after {:?}, {}",
            self.id,
            answer.status,
            answer.body.len(),
            answer.event_ids(),
            answer.head.get("retry-after"),
            answer.end
        ));
        answer
    }
}

/// Runs all closures at once and returns their results.
fn all_at_once<T: Send>(count: usize, f: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let f = &f;
        let threads: Vec<_> = (0..count).map(|n| scope.spawn(move || f(n))).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("a thread"))
            .collect()
    })
}

/// A runner that streams events after `Last-Event-Id` up to a last one, with a pause before each.
fn streaming(last: u64, pause: Duration) -> Behaviour {
    Arc::new(move |call: &mut Call<'_, '_>| -> io::Result<()> {
        crate::http::read_body(call.reader, &call.head)?;
        call.begin_events()?;
        for number in call.last_event_id() + 1..=last {
            thread::sleep(pause);
            call.event(number)?;
        }
        call.end_events()
    })
}
