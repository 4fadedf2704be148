//! Asking upstreams for load reports and cache events, one at a time at a bounded rate.

use crate::{
    message::{
        Input,
        LoadNews, //
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
    Method,
    request, //
};

/// Time after which a question is given up.
const TIMEOUT: Duration = Duration::from_millis(500);

/// An upstream to be asked.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) name: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) is_model: bool,
    /// Whether it is of the instance's own group, which is asked more often.
    pub(crate) is_own: bool,
}

/// One in this many questions goes to an upstream of another group.
const OTHERS_EVERY: usize = 4;

/// The instance that gives orders asks all upstreams, this many times as often.
const HOLDER_PACE: u32 = 4;

#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    loading: Option<String>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    prefix: String,
    cached: bool,
}

#[derive(Debug, Deserialize)]
struct CacheEvents {
    next: u64,
    events: Vec<CacheEvent>,
}

/// Starts the thread that asks the targets in turn; `is_holder` says whether the instance gives
/// orders to upstreams, for which it has to know all of them.
pub(crate) fn spawn_load(
    targets: Arc<Mutex<Vec<Target>>>,
    every: Duration,
    is_holder: Arc<AtomicBool>,
    tx: Sender<Input>,
    is_stopping: Arc<AtomicBool>,
) {
    named("vk-load", move || {
        let mut turn = 0;
        let mut read_to: Vec<(Arc<str>, u64)> = Vec::new();
        while !is_stopping.load(Ordering::Relaxed) {
            let asks_all = is_holder.load(Ordering::Relaxed);
            thread::sleep(if asks_all { every / HOLDER_PACE } else { every });
            let target = {
                let targets = targets.lock().unwrap_or_else(PoisonError::into_inner);
                if asks_all {
                    targets.get(turn % targets.len().max(1)).cloned()
                } else {
                    next(&targets, turn)
                }
            };
            turn = turn.wrapping_add(1);
            let Some(target) = target else { continue };
            let inputs = ask(&target, &mut read_to);
            if inputs.into_iter().any(|input| tx.send(input).is_err()) {
                return;
            }
        }
    });
}

/// The target whose turn it is.
fn next(targets: &[Target], turn: usize) -> Option<Target> {
    let wants_own = !turn.is_multiple_of(OTHERS_EVERY);
    let of = |is_own: bool| targets.iter().filter(move |t| t.is_own == is_own);
    let (own, others) = (of(true).count(), of(false).count());
    if (wants_own && own > 0) || others == 0 {
        let at = (turn - turn / OTHERS_EVERY) % own.max(1);
        return of(true).nth(at).cloned();
    }
    of(false).nth((turn / OTHERS_EVERY) % others).cloned()
}

fn ask(target: &Target, read_to: &mut Vec<(Arc<str>, u64)>) -> Vec<Input> {
    let mut inputs = Vec::new();
    let Some(load) = get::<Load>(target.address, "/load") else {
        return inputs;
    };
    inputs.push(Input::Load(LoadNews {
        upstream: Arc::clone(&target.name),
        report: LoadReport {
            running: load.running,
            waiting: load.waiting,
        },
        models: load.models.iter().map(|m| Arc::from(m.as_str())).collect(),
        loading: load.loading.as_deref().map(Arc::from),
    }));
    if target.is_model {
        inputs.extend(ask_cache(target, read_to));
    }
    inputs
}

fn ask_cache(target: &Target, read_to: &mut Vec<(Arc<str>, u64)>) -> Option<Input> {
    let at = match read_to.binary_search_by(|r| r.0.cmp(&target.name)) {
        Ok(at) => at,
        Err(at) => {
            read_to.insert(at, (Arc::clone(&target.name), 0));
            at
        }
    };
    let path = format!("/cache-events?from={}", read_to[at].1);
    let news: CacheEvents = get(target.address, &path)?;
    read_to[at].1 = news.next;
    let events = news.events.iter().filter_map(|e| {
        let prefix = u64::from_str_radix(&e.prefix, 16).ok()?;
        Some((prefix, e.cached))
    });
    Some(Input::Cache {
        upstream: Arc::clone(&target.name),
        events: events.collect(),
    })
}

fn get<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let url = format!("http://{address}{path}");
    let answer = request(Method::GET, &url, TIMEOUT).send().ok()?;
    if !answer.is_success() {
        return None;
    }
    serde_json::from_slice(&answer.bytes().ok()?).ok()
}
