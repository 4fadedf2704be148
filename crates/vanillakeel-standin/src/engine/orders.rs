//! Commands to load and unload models, checked by their fencing tokens.

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

/// Time between two requests to the weight store for the same model.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Number of requests to the weight store after which a load is given up.
const MAX_FETCH_ATTEMPTS: u32 = 100;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Change {
    Load,
    Unload,
}

/// A command, as in the body of `POST /orders`; decode errors print the name of this type.
#[derive(Debug, Deserialize)]
struct Order {
    change: Change,
    model: String,
    #[serde(default)]
    fencing: u64,
}

/// Handles a command to load or unload a model.
///
/// A command whose fencing token is lower than that of an earlier command comes from a former
/// holder of the lease; it is refused unless the check is turned off. Only one model loads at a
/// time: a command to load another one meanwhile is accepted without effect.
pub(super) fn handle(state: &Arc<State>, mut req: Request) {
    let command: Order = match serde_json::from_slice(&reply::read_body(&mut req)) {
        Ok(command) => command,
        Err(e) => {
            reply::text(req, 400, &format!("no order: {e}\n"));
            return;
        }
    };
    let mut inner = state.lock();
    if state.settings.checks_fencing && command.fencing < inner.highest_fencing_token {
        let message = format!("fencing number {} is old\n", command.fencing);
        drop(inner);
        reply::text(req, 409, &message);
        return;
    }
    inner.highest_fencing_token = inner.highest_fencing_token.max(command.fencing);
    match command.change {
        Change::Unload => inner.models.retain(|m| *m != command.model),
        Change::Load if inner.models.contains(&command.model) || inner.loading.is_some() => {}
        Change::Load => {
            inner.loading = Some(command.model.clone());
            let state = Arc::clone(state);
            thread::spawn(move || load(&state, command.model));
        }
    }
    drop(inner);
    reply::text(req, 200, "taken\n");
}

/// Loads a model; without a weight store this takes no time.
fn load(state: &State, model: String) {
    let is_loaded = match state.settings.weight_store {
        Some(store) => fetch_weights(store, &model),
        None => true,
    };
    let mut inner = state.lock();
    inner.loading = None;
    if is_loaded {
        inner.models.push(model);
    }
}

/// Fetches the weights of a model, with retries while the store refuses or fails; returns whether
/// it succeeded.
fn fetch_weights(store: SocketAddr, model: &str) -> bool {
    for _ in 0..MAX_FETCH_ATTEMPTS {
        let response = attohttpc::get(format!("http://{store}/weights/{model}")).send();
        if response.is_ok_and(|r| r.is_success()) {
            return true;
        }
        thread::sleep(FETCH_RETRY_INTERVAL);
    }
    false
}
