//! The thread that polls upstreams for load reports and cache events.
//!
//! It polls one upstream at a time, so that the rate is bounded whatever the number of upstreams.

use crate::{
    message::{
        Input,
        UpstreamLoad, //
    },
    spawn::named,
};
use crossbeam::channel::Sender;
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};
use vanillakeel::routing::LoadReport;
use vanillakeel_http::{
    Body,
    Method,
    request, //
};

/// Largest answer to a poll, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Timeout of a poll.
const TIMEOUT: Duration = Duration::from_millis(500);

/// An upstream to poll.
#[derive(Clone, Debug)]
pub(crate) struct PollTarget {
    pub(crate) name: Arc<str>,
    pub(crate) address: SocketAddr,
    /// Whether it runs models and has cache events.
    pub(crate) is_model: bool,
    /// Whether it is in the own group of this instance, which is polled more often.
    pub(crate) is_in_own_group: bool,
}

/// One in this many polls goes to an upstream of another group.
const OTHER_GROUP_EVERY: usize = 4;

/// The holder of the placement lease polls all upstreams, at a rate higher by this factor.
const HOLDER_RATE_FACTOR: u32 = 4;

/// The answer to `/load`.
#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    loading: Option<String>,
}

/// An event of a prefix that was cached or evicted.
#[derive(Debug, Deserialize)]
struct CacheEvent {
    prefix: String,
    cached: bool,
}

/// The answer to `/cache-events`.
#[derive(Debug, Deserialize)]
struct CacheEvents {
    next: u64,
    events: Vec<CacheEvent>,
}

/// Starts the thread that polls the targets in turn.
///
/// `is_lease_holder` says whether this instance holds the placement lease, for which it needs current
/// reports of all upstreams.
pub(crate) fn spawn_load_poller(
    targets: Arc<Mutex<Vec<PollTarget>>>,
    every: Duration,
    is_lease_holder: Arc<AtomicBool>,
    tx: Sender<Input>,
    is_stopping: Arc<AtomicBool>,
) {
    named("vk-load", move || {
        let mut turn = 0;
        let mut next_events: Vec<(Arc<str>, u64)> = Vec::new();
        while !is_stopping.load(Ordering::Relaxed) {
            let polls_all = is_lease_holder.load(Ordering::Relaxed);
            thread::sleep(if polls_all {
                every / HOLDER_RATE_FACTOR
            } else {
                every
            });
            let target = {
                let targets = targets.lock().unwrap_or_else(PoisonError::into_inner);
                if polls_all {
                    targets.get(turn % targets.len().max(1)).cloned()
                } else {
                    next_target(&targets, turn)
                }
            };
            turn = turn.wrapping_add(1);
            let Some(target) = target else { continue };
            let inputs = poll(&target, &mut next_events);
            if inputs.into_iter().any(|input| tx.send(input).is_err()) {
                return;
            }
        }
    });
}

/// Returns the target of a turn.
fn next_target(targets: &[PollTarget], turn: usize) -> Option<PollTarget> {
    let prefers_own = !turn.is_multiple_of(OTHER_GROUP_EVERY);
    let in_group = |is_in_own_group: bool| {
        targets
            .iter()
            .filter(move |t| t.is_in_own_group == is_in_own_group)
    };
    let (own, others) = (in_group(true).count(), in_group(false).count());
    if (prefers_own && own > 0) || others == 0 {
        let index = (turn - turn / OTHER_GROUP_EVERY) % own.max(1);
        return in_group(true).nth(index).cloned();
    }
    in_group(false)
        .nth((turn / OTHER_GROUP_EVERY) % others)
        .cloned()
}

/// Polls a target.
///
/// `next_events` holds, for each upstream, the offset of the first cache event not read yet, in
/// ascending order of name.
fn poll(target: &PollTarget, next_events: &mut Vec<(Arc<str>, u64)>) -> Vec<Input> {
    let mut inputs = Vec::new();
    let Some(load) = fetch::<Load>(target.address, "/load") else {
        return inputs;
    };
    inputs.push(Input::LoadReport(UpstreamLoad {
        upstream: Arc::clone(&target.name),
        report: LoadReport {
            running: load.running,
            waiting: load.waiting,
        },
        models: load.models.iter().map(|m| Arc::from(m.as_str())).collect(),
        loading: load.loading.as_deref().map(Arc::from),
    }));
    if target.is_model {
        inputs.extend(poll_cache_events(target, next_events));
    }
    inputs
}

fn poll_cache_events(target: &PollTarget, next_events: &mut Vec<(Arc<str>, u64)>) -> Option<Input> {
    let index = match next_events.binary_search_by(|r| r.0.cmp(&target.name)) {
        Ok(index) => index,
        Err(index) => {
            next_events.insert(index, (Arc::clone(&target.name), 0));
            index
        }
    };
    let path = format!("/cache-events?from={}", next_events[index].1);
    let page: CacheEvents = fetch(target.address, &path)?;
    next_events[index].1 = page.next;
    let events = page.events.iter().filter_map(|e| {
        let prefix = u64::from_str_radix(&e.prefix, 16).ok()?;
        Some((prefix, e.cached))
    });
    Some(Input::CacheEvents {
        upstream: Arc::clone(&target.name),
        events: events.collect(),
    })
}

fn fetch<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let url = format!("http://{address}{path}");
    let answer = request(Method::GET, &url, TIMEOUT).send().ok()?;
    if !answer.is_success() {
        return None;
    }
    serde_json::from_slice(&Body::read_all(answer, MAX_ANSWER_BYTES).ok()?).ok()
}
