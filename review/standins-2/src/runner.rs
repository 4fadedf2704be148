//! Runners: they register in the store, answer health checks and hand requests to a behaviour.

use crate::{
    http::{Head, read_head, serve},
    record::Record,
    store::Store,
};
use std::{
    io::{self, BufReader, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two entries of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request at a runner whose body is not read yet.
pub struct Call<'a, 'b> {
    pub runner: &'a str,
    pub id: String,
    pub head: Head,
    pub reader: &'a mut BufReader<&'b TcpStream>,
    pub stream: &'b TcpStream,
}

impl Call<'_, '_> {
    pub fn last_event_id(&self) -> u64 {
        self.head
            .get("last-event-id")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the headers by which each answer shows what it belongs to.
    pub fn answer_headers(&self) -> String {
        format!(
            "vanillakeel-request-id: {}\r\nvanillakeel-response-seal: {}.{}\r\n",
            self.id, self.runner, self.id
        )
    }

    pub fn write(&self, text: &str) -> io::Result<()> {
        let mut stream = self.stream;
        stream.write_all(text.as_bytes())
    }

    /// Sends a whole answer with a length.
    pub fn answer(&self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        self.write(&format!(
            "HTTP/1.1 {status}\r\n{}{headers}content-length: {}\r\nkeep-alive: timeout=5\r\n\r\n{body}",
            self.answer_headers(),
            body.len()
        ))
    }

    /// Begins an answer in chunks that is a stream of events.
    pub fn begin_events(&self) -> io::Result<()> {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\n{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.answer_headers()
        ))
    }

    pub fn event(&self, number: u64) -> io::Result<()> {
        let event = format!("id: {number}\ndata: {} {number}\n\n", self.runner);
        self.write(&format!("{:x}\r\n{event}\r\n", event.len()))
    }

    pub fn end_events(&self) -> io::Result<()> {
        self.write("0\r\n\r\n")
    }
}

/// How a runner handles a request that it begins to run; an error closes the connection.
pub type Behaviour = Arc<dyn Fn(&mut Call<'_, '_>) -> io::Result<()> + Send + Sync>;

#[derive(Clone)]
pub struct Runner {
    pub name: String,
    /// Ids of the requests that it began to run.
    pub ran: Arc<Mutex<Vec<String>>>,
    is_listed: Arc<AtomicBool>,
}

impl Runner {
    pub fn start(
        store: &Store,
        service: &str,
        version: &str,
        name: &str,
        record: &Record,
        behaviour: Behaviour,
    ) -> Self {
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        let (served, own_name, own_record) = (Arc::clone(&ran), name.to_owned(), record.clone());
        let address = serve(move |stream| {
            let _ = serve_connection(&own_name, &stream, &served, &own_record, &behaviour);
        });
        let runner = Self {
            name: name.to_owned(),
            ran,
            is_listed: Arc::new(AtomicBool::new(true)),
        };
        let (beating, store, service, version) = (
            runner.clone(),
            store.clone(),
            service.to_owned(),
            version.to_owned(),
        );
        let call_seq = AtomicU64::new(0);
        let beat = move || {
            let seq = call_seq.fetch_add(1, Ordering::Relaxed);
            store.put(
                "keyed.servers",
                &beating.name,
                &format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"{version}","slot_count":64,"state":"ready","cold_remaining_ms":0,"call_seq":{seq}}}"#
                ),
            );
        };
        beat();
        let is_listed = Arc::clone(&runner.is_listed);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if is_listed.load(Ordering::Relaxed) {
                    beat();
                }
            }
        });
        runner
    }

    pub fn runs(&self) -> Vec<String> {
        self.ran.lock().expect("a lock").clone()
    }
}

fn serve_connection(
    name: &str,
    stream: &TcpStream,
    ran: &Mutex<Vec<String>>,
    record: &Record,
    behaviour: &Behaviour,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let id = head.get("vanillakeel-request-id").unwrap_or("").to_owned();
        let expected = head.get("vanillakeel-expect-instance").map(str::to_owned);
        let mut call = Call {
            runner: name,
            id,
            head,
            reader: &mut reader,
            stream,
        };
        if call.head.target() == "/health" {
            call.answer(
                "200 OK",
                &format!("vanillakeel-instance-id: {name}\r\n"),
                "",
            )?;
            continue;
        }
        if expected.is_some_and(|e| e != name) {
            crate::http::read_body(call.reader, &call.head)?;
            let headers =
                format!("vanillakeel-instance-id: {name}\r\nvanillakeel-not-executed: 1\r\n");
            call.answer("421 Misdirected Request", &headers, "")?;
            continue;
        }
        ran.lock().expect("a lock").push(call.id.clone());
        record.line(&format!(
            "runner {name} began {} last-event-id={}",
            call.id,
            call.head.get("last-event-id").unwrap_or("-")
        ));
        behaviour(&mut call)?;
    }
    Ok(())
}
