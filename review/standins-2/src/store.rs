//! The platform's metadata store: keyed topics, with appends, reads that wait, and the newest record of each key.

use crate::http::{read_body, read_head, serve};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::Duration,
};

type Records = BTreeMap<String, Vec<(Vec<u8>, Vec<u8>)>>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Records>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<Records>, Condvar)> = Arc::default();
        let served = Arc::clone(&state);
        let address = serve(move |stream| serve_connection(&served, &stream));
        Self { address, state }
    }

    /// Writes a record as the operator or a runner does; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut records = self.state.0.lock().expect("a lock");
        let topic = records.entry(topic.to_owned()).or_default();
        topic.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        self.state.1.notify_all();
    }
}

fn serve_connection(state: &(Mutex<Records>, Condvar), stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Ok(Some(head)) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &head) else {
            return;
        };
        let (status, kind, body) = answer(state, head.target(), &body);
        let head = format!(
            "HTTP/1.1 {status} S\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut out = head.into_bytes();
        out.extend(body);
        if writer.write_all(&out).is_err() {
            return;
        }
    }
}

fn answer(
    state: &(Mutex<Records>, Condvar),
    target: &str,
    body: &[u8],
) -> (u16, &'static str, Vec<u8>) {
    const JSON: &str = "application/json";
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
    };
    let number = |name: &str| parameter(name).and_then(|v| v.parse::<u64>().ok());
    let topic = parameter("topic").unwrap_or_default();
    let mut records = state.0.lock().expect("a lock");
    match path {
        "/log-append" => {
            let of_topic = records.entry(topic).or_default();
            let offset = of_topic.len() as u64;
            if number("at").is_some_and(|at| at != offset) {
                return (
                    412,
                    JSON,
                    format!(r#"{{"end_offset":{offset}}}"#).into_bytes(),
                );
            }
            let mut left = body;
            while left.len() >= 5 {
                let length = u32::from_be_bytes([left[0], left[1], left[2], left[3]]) as usize;
                let record = &left[4..4 + length];
                let key_length = usize::from(record[0]);
                of_topic.push((
                    record[1..=key_length].to_vec(),
                    record[1 + key_length..].to_vec(),
                ));
                left = &left[4 + length..];
            }
            let end = of_topic.len();
            state.1.notify_all();
            (
                200,
                JSON,
                format!(r#"{{"offset":{offset},"end_offset":{end}}}"#).into_bytes(),
            )
        }
        "/log-read" => {
            let from = number("from").unwrap_or(0) as usize;
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            let end = |records: &Records| records.get(&topic).map_or(0, Vec::len);
            let (records, _) = state
                .1
                .wait_timeout_while(records, wait, |r| end(r) <= from)
                .expect("a lock");
            let end = end(&records);
            let mut out = (end as u64).to_be_bytes().to_vec();
            out.extend(0_u64.to_be_bytes());
            for (key, value) in records.get(&topic).into_iter().flatten().skip(from) {
                out.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                out.push(key.len() as u8);
                out.extend(key);
                out.extend(value);
            }
            (200, "application/octet-stream", out)
        }
        "/log-newest" => {
            let of_topic = records.entry(topic).or_default();
            let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
            for (at, (key, value)) in of_topic.iter().enumerate() {
                newest.insert(key, (at, value));
            }
            let items: Vec<String> = newest
                .iter()
                .filter(|(_, (_, value))| !value.is_empty())
                .map(|(key, (at, value))| {
                    let key = String::from_utf8_lossy(key);
                    format!(
                        r#"{{"key":"{key}","value":"{}","offset":{at}}}"#,
                        base64(value)
                    )
                })
                .collect();
            let end = of_topic.len();
            let items = items.join(",");
            let body = format!(r#"{{"items":[{items}],"has_more":false,"end_offset":{end}}}"#);
            (200, JSON, body.into_bytes())
        }
        _ => (404, JSON, b"{}".to_vec()),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0_u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    out
}
