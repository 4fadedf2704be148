//! Cost of the library's decisions, without sockets.

use super::{
    Row,
    process::heap_bytes, //
};
use std::{
    fmt::Write as _,
    hint::black_box,
    time::Instant, //
};
use vanillakeel::{
    Config, Millis, Request, Router,
    attempt::End,
    claim::{
        Action as ClaimAction,
        Batch,
        Claims,
        Entry,
        Key,
        Op,
        Settings as ClaimSettings, //
    },
    membership::{
        Kind,
        Member,
        Membership, //
    },
    router::{
        Action,
        Settings, //
    },
    share::Message,
};
use vanillakeel_wire::{
    Message as _,
    compression::compress,
    convert::share_to_wire,
    encode,
    generated::PeerMessage, //
};

/// Number of requests, or of rounds of periodic work, over which a mean time is taken.
const ITERATIONS: u64 = 2_000;

/// Bytes that the headers of a datagram add to a message.
const DATAGRAM_OVERHEAD_BYTES: usize = 60;

/// Simulated time for which the messages between instances are counted, in s.
const SIMULATED_S: u64 = 60;

/// Returns a router with one pool of `upstreams` upstreams.
fn router(upstreams: usize) -> Router {
    let mut router = Router::new("a", 1, Settings::default());
    for n in 0..upstreams {
        router.set_upstream("pool", &format!("runner-{n:04}"), 16, "dc");
    }
    router
}

/// Returns a request; its workspace, prefix and tier follow from `id`.
fn request(id: u64, workspaces: u64) -> Request {
    Request {
        id,
        pool: "pool".into(),
        workspace: format!("ws-{}", id % workspaces.max(1)).into(),
        prefix: 1 + id % 64,
        tier: (id % 5) as u8,
        due: Millis::new(1_700),
        deadline: Millis::new(60_000),
        ..Request::default()
    }
}

/// Returns the time since `start` divided by `count`, in µs.
fn mean_us_since(start: Instant, count: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Passes requests through the router, each from its arrival to its whole answer, and returns the
/// mean time for a request in µs.
fn request_cost_us(router: &mut Router, workspaces: u64) -> f64 {
    let start = Instant::now();
    for id in 1..=ITERATIONS {
        router.on_request(Millis::ZERO, request(id, workspaces));
        let sent: Vec<u64> = router
            .drain()
            .filter_map(|a| match a {
                Action::Send { attempt, .. } => Some(attempt),
                _ => None,
            })
            .collect();
        for attempt in sent {
            router.on_first_token(Millis::new(50), attempt);
            router.on_progress(Millis::new(200), attempt, 16, 16);
            router.on_end(Millis::new(300), attempt, End::Answered { tokens: 32 });
        }
    }
    mean_us_since(start, ITERATIONS)
}

fn against_upstreams() -> Row {
    let cost = |n: usize| (n as f64, request_cost_us(&mut router(n), 10));
    let points = [12, 115, 460, 920].map(cost).to_vec();
    Row::fit("decisions for a request, us", "upstreams of a pool", points)
}

fn against_workspaces() -> Row {
    let cost = |n: u64| (n as f64, request_cost_us(&mut router(12), n));
    let points = [10, 100, 600, 1_800].map(cost).to_vec();
    Row::fit("decisions for a request, us", "workspaces", points)
}

/// Returns a router with `streams` open requests.
fn busy_router(streams: u64) -> Router {
    let mut router = router(115);
    for id in 1..=streams {
        router.on_request(Millis::ZERO, request(id, 10));
    }
    router.drain().for_each(drop);
    router
}

fn against_streams() -> Row {
    let cost = |streams: u64| {
        let mut router = busy_router(streams);
        let start = Instant::now();
        for _ in 0..ITERATIONS {
            router.tick(Millis::new(10));
        }
        (streams as f64, mean_us_since(start, ITERATIONS))
    };
    let points = [8, 64, 512, 1_024].map(cost).to_vec();
    Row::fit("a round of periodic work, us", "calls in progress", points)
}

fn memory_of_streams() -> Row {
    let cost = |streams: u64| {
        let (router, bytes) = heap_bytes(|| busy_router(streams));
        black_box(router);
        (streams as f64, bytes / 1_024.0)
    };
    let points = [512, 2_048, 4_096].map(cost).to_vec();
    Row::fit("memory of calls, KiB", "calls in progress", points)
}

/// Returns log records with claims of `keys` keys, 20 in a batch.
fn batches(keys: u64) -> Vec<(u64, Batch)> {
    let batch = |number: u64| Batch {
        writer: "other".into(),
        number: number + 1,
        entries: (0..20)
            .map(|n| Entry {
                key: Key::new("clerks", u128::from(number * 20 + n), number),
                claim: number * 20 + n,
                op: Op::Claim,
            })
            .collect(),
    };
    (0..keys / 20).map(|n| (n, batch(n))).collect()
}

fn against_claims() -> [Row; 2] {
    let mut time = Vec::new();
    let mut memory = Vec::new();
    for keys in [20_000, 100_000, 300_000] {
        let records = batches(keys);
        let start = Instant::now();
        let (claims, bytes) = heap_bytes(|| {
            let mut claims = Claims::new("me", ClaimSettings::default());
            claims.on_records(Millis::ZERO, &records, keys / 20, true);
            claims
        });
        time.push((keys as f64, start.elapsed().as_secs_f64() * 1e3));
        memory.push((keys as f64, bytes / 1_024.0));
        black_box(claims);
    }
    [
        Row::fit("catching up with claims, ms", "keys in the window", time),
        Row::fit("memory of claims, KiB", "keys in the window", memory),
    ]
}

fn appends_per_s() -> Row {
    let cost = |claims_per_s: u64| {
        let mut claims = Claims::new("me", ClaimSettings::default());
        claims.on_records(Millis::ZERO, &[], 0, true);
        let mut appends = 0.0;
        let mut request = 0;
        // Appended batches that have not been read back from the log, each with the time in ms at
        // which this happens, 10 ms after the append.
        let mut in_flight: Vec<(u64, Batch)> = Vec::new();
        let mut offset = 0;
        for ms in 0..10_000_u64 {
            let now = Millis::new(ms);
            for _ in 0..(claims_per_s * (ms + 1) / 1_000 - claims_per_s * ms / 1_000) {
                request += 1;
                let key = Key::new("clerks", u128::from(request), ms);
                claims.begin(now, request, key, now.plus(5_000));
            }
            claims.tick(now);
            for action in claims.drain().collect::<Vec<_>>() {
                if let ClaimAction::Append(batch) = action {
                    appends += 1.0;
                    in_flight.push((ms + 10, batch));
                }
            }
            let arrived = in_flight.iter().position(|(read_ms, _)| *read_ms <= ms);
            if let Some(index) = arrived {
                let (_, batch) = in_flight.remove(index);
                offset += 1;
                claims.on_records(now, &[(offset - 1, batch)], offset, true);
            }
        }
        (claims_per_s as f64, appends / 10.0)
    };
    let points = [5, 20, 60, 240].map(cost).to_vec();
    Row::fit("appends a second of an instance", "claims a second", points)
}

fn claim_bytes() -> Row {
    let cost = |entries: u64| {
        let (_, batch) = &batches(entries.max(20))[0];
        let batch = Batch {
            entries: batch
                .entries
                .iter()
                .take(entries as usize)
                .cloned()
                .collect(),
            ..batch.clone()
        };
        let bytes = encode(&vanillakeel_wire::RecordBody::Claims(batch)).len();
        (entries as f64, bytes as f64)
    };
    let points = [1, 5, 10, 20].map(cost).to_vec();
    Row::fit("bytes of a claim batch", "entries", points)
}

/// Returns how many bytes a second all instances together send in messages about one pool.
///
/// A round is 100 ms, and each instance receives one request a second.
fn share_bytes_per_s(instances: usize) -> f64 {
    let names: Vec<String> = (0..instances).map(|n| format!("entry-{n:03}")).collect();
    let router = |name: &String| {
        let mut router = Router::new(name, 1, Settings::default());
        router.set_upstream("pool", "runner", 16, "dc");
        router.set_peers(names.iter().map(String::as_str));
        router
    };
    let mut routers: Vec<Router> = names.iter().map(router).collect();
    let mut bytes = 0;
    for round in 0..SIMULATED_S * 10 {
        let now = Millis::new(round * 100);
        let mut sent: Vec<(usize, String, Message)> = Vec::new();
        for (index, router) in routers.iter_mut().enumerate() {
            if round % 10 == index as u64 % 10 {
                let id = round * 1_000 + index as u64 + 1;
                router.on_request(
                    now,
                    Request {
                        id,
                        arrived: now,
                        due: now.plus(1_700),
                        deadline: now.plus(3_000),
                        ..request(id, 10)
                    },
                );
            }
            router.tick(now);
            for action in router.drain().collect::<Vec<_>>() {
                if let Action::Peer { to, message, .. } = action {
                    sent.push((index, to.to_string(), message));
                }
            }
        }
        for (from, to, message) in sent {
            bytes += message_bytes(&names[from], message);
            let index = names.iter().position(|n| *n == to);
            if let Some(index) = index {
                routers[index].on_peer_message(now, &names[from], "pool", message);
            }
        }
    }
    bytes as f64 / SIMULATED_S as f64
}

/// Returns the size in bytes of a message to a peer, including the headers of its datagram.
fn message_bytes(from: &str, message: Message) -> usize {
    let wire = PeerMessage {
        from: from.to_owned(),
        version: 1,
        shares: vec![share_to_wire("pool", message)],
        ..PeerMessage::default()
    };
    wire.encoded_len() + DATAGRAM_OVERHEAD_BYTES
}

fn against_instances() -> Row {
    let cost = |n: usize| (n as f64, share_bytes_per_s(n));
    let points = [4, 12, 46, 92].map(cost).to_vec();
    Row::fit("bytes a second about a pool, all", "instances", points)
}

fn memory_of_members() -> Row {
    let cost = |count: usize| {
        let member = |n: usize| Member {
            name: format!("member-{n:05}").into(),
            kind: Kind::Upstream,
            address: "127.0.0.1:7101".into(),
            data_centre: "dc-1".into(),
            ..Member::default()
        };
        let (view, bytes) = heap_bytes(|| {
            let mut view = Membership::default();
            (0..count).for_each(|n| {
                view.merge(&member(n));
            });
            view
        });
        black_box(view);
        (count as f64, bytes / 1_024.0)
    };
    let points = [400, 1_300, 2_600].map(cost).to_vec();
    Row::fit("memory of members, KiB", "members", points)
}

/// Returns the quickstart's TOML text with `workspaces` more workspaces and 920 more upstreams.
fn config_source(workspaces: usize) -> String {
    let mut source = include_str!("../quickstart/text.toml").to_owned();
    for n in 0..workspaces {
        let _ = write!(source, "\n[[workspace]]\nname = \"member-{n:05}\"\n");
    }
    for n in 0..920 {
        let _ = write!(
            source,
            "\n[[upstream]]\nname = \"runner-{n:04}\"\npool = \"models\"\naddress = \"127.0.0.1:{}\"\n",
            1_024 + n
        );
    }
    source
}

fn against_config_size() -> [Row; 3] {
    let mut time = Vec::new();
    let mut bytes = Vec::new();
    let mut compressed = Vec::new();
    for workspaces in [10, 600, 1_800] {
        let source = config_source(workspaces);
        let start = Instant::now();
        for _ in 0..5 {
            let _ = black_box(Config::parse(&source));
        }
        time.push((workspaces as f64, mean_us_since(start, 5) / 1e3));
        bytes.push((workspaces as f64, source.len() as f64 / 1_024.0));
        compressed.push((workspaces as f64, compress(&source).len() as f64 / 1_024.0));
    }
    [
        Row::fit("reading a text with 920 runners, ms", "workspaces", time),
        Row::fit("size of a text with 920 runners, KiB", "workspaces", bytes),
        Row::fit("the same on the log, KiB", "workspaces", compressed),
    ]
}

/// Measures all rows.
pub(super) fn rows() -> Vec<Row> {
    let mut rows = vec![memory_of_members(), memory_of_streams()];
    rows.extend(against_claims());
    rows.extend([
        against_upstreams(),
        against_workspaces(),
        against_streams(),
        appends_per_s(),
        claim_bytes(),
        against_instances(),
    ]);
    rows.extend(against_config_size());
    rows
}
