//! Orders to load and unload models.

use super::state::State;
use crate::reply;
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration, //
};
use tiny_http::Request;

/// Time between two tries at the weight store.
const RETRY_EVERY: Duration = Duration::from_millis(200);

/// Tries at the weight store.
const MAX_TRIES: u32 = 100;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Change {
    Load,
    Unload,
}

#[derive(Debug, Deserialize)]
struct Order {
    change: Change,
    model: String,
    #[serde(default)]
    fencing: u64,
}

pub(super) fn handle(state: &Arc<State>, mut req: Request) {
    let order: Order = match serde_json::from_slice(&reply::body(&mut req)) {
        Ok(order) => order,
        Err(e) => {
            reply::text(req, 400, &format!("no order: {e}\n"));
            return;
        }
    };
    let mut inner = state.lock();
    if state.settings.checks_fencing && order.fencing < inner.fencing {
        let message = format!("fencing number {} is old\n", order.fencing);
        drop(inner);
        reply::text(req, 409, &message);
        return;
    }
    inner.fencing = inner.fencing.max(order.fencing);
    match order.change {
        Change::Unload => inner.models.retain(|m| *m != order.model),
        Change::Load if inner.models.contains(&order.model) || inner.loading.is_some() => {}
        Change::Load => {
            inner.loading = Some(order.model.clone());
            let state = Arc::clone(state);
            thread::spawn(move || load(&state, order.model));
        }
    }
    drop(inner);
    reply::text(req, 200, "taken\n");
}

fn load(state: &State, model: String) {
    let is_loaded = match state.settings.weights {
        Some(store) => fetch(store, &model),
        None => true,
    };
    let mut inner = state.lock();
    inner.loading = None;
    if is_loaded {
        inner.models.push(model);
    }
}

/// Fetches weights, waiting while the store refuses.
fn fetch(store: SocketAddr, model: &str) -> bool {
    for _ in 0..MAX_TRIES {
        let answer = attohttpc::get(format!("http://{store}/weights/{model}")).send();
        if answer.is_ok_and(|a| a.is_success()) {
            return true;
        }
        thread::sleep(RETRY_EVERY);
    }
    false
}
