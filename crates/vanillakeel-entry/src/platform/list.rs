//! The thread that reads the instance list at a fixed interval.

use crate::{
    message::Input,
    spawn::named, //
};
use crossbeam::channel::Sender;
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};
use vanillakeel::membership::{
    Kind,
    Member,
    State, //
};
use vanillakeel_http::{
    Body,
    Method,
    request, //
};

/// Largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 64 << 20;

/// Timeout of a read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// An entry of the instance list.
#[derive(Debug, Deserialize)]
struct Item {
    name: String,
    kind: String,
    address: String,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    leaving: bool,
}

impl Item {
    /// Converts the entry; returns `None` for an unknown kind.
    fn member(&self) -> Option<Member> {
        let kind = match self.kind.as_str() {
            "entry" => Kind::Entry,
            "upstream" => Kind::Upstream,
            _ => return None,
        };
        Some(Member {
            name: Arc::from(self.name.as_str()),
            kind,
            address: Arc::from(self.address.as_str()),
            data_centre: Arc::from(self.data_centre.as_str()),
            generation: self.generation,
            state: if self.leaving {
                State::Leaving
            } else {
                State::Live
            },
        })
    }
}

/// Starts the thread that reads the instance list.
pub(crate) fn spawn_list_reader(
    list: SocketAddr,
    every: Duration,
    tx: Sender<Input>,
    is_stopping: Arc<AtomicBool>,
) {
    named("vk-list", move || {
        while !is_stopping.load(Ordering::Relaxed) {
            if let Some(members) = read(list)
                && tx.send(Input::InstanceList(members)).is_err()
            {
                return;
            }
            thread::sleep(every);
        }
    });
}

/// Reads the list; returns `None` if the read fails.
fn read(list: SocketAddr) -> Option<Vec<Member>> {
    let url = format!("http://{list}/instances");
    let answer = request(Method::GET, &url, TIMEOUT).send().ok()?;
    if !answer.is_success() {
        return None;
    }
    let body = Body::read_all(answer, MAX_LIST_BYTES).ok()?;
    let items: Vec<Item> = serde_json::from_slice(&body).ok()?;
    Some(items.iter().filter_map(Item::member).collect())
}
