//! Kept connections to upstreams.

use super::{
    client::Client,
    settings::Connections, //
};
use std::sync::Arc;
use vanillakeel::Millis;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    client: Client,
    /// The upstream may end it from then on.
    until: Millis,
}

/// Connections to one incarnation of an upstream.
#[derive(Debug)]
struct Kept {
    name: Arc<str>,
    incarnation: u64,
    /// Open connections, idle ones among them.
    open: u32,
    idle: Vec<Idle>,
}

impl Kept {
    /// Closes the idle connections that have lapsed, and all others unless `keeps`.
    fn sweep(&mut self, now: Millis, keeps: bool) {
        let before = self.idle.len();
        self.idle
            .retain(|i| keeps && now < i.until && !i.client.is_closed());
        self.open -= (before - self.idle.len()) as u32;
    }
}

/// Connections to all upstreams, sorted by name and incarnation.
#[derive(Debug, Default)]
pub(super) struct Sockets {
    sorted: Vec<Kept>,
}

impl Sockets {
    fn find(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.sorted
            .binary_search_by(|k| (*k.name).cmp(name).then(k.incarnation.cmp(&incarnation)))
    }

    fn entry(&mut self, name: &Arc<str>, incarnation: u64) -> &mut Kept {
        let at = match self.find(name, incarnation) {
            Ok(at) => at,
            Err(at) => {
                self.sorted.insert(
                    at,
                    Kept {
                        name: Arc::clone(name),
                        incarnation,
                        open: 0,
                        idle: Vec::new(),
                    },
                );
                at
            }
        };
        &mut self.sorted[at]
    }

    /// Takes a connection that is surely open still; the newest one, so that others can lapse.
    pub(super) fn take(
        &mut self,
        now: Millis,
        name: &Arc<str>,
        incarnation: u64,
    ) -> Option<Client> {
        let kept = self.entry(name, incarnation);
        kept.sweep(now, true);
        let at = kept.idle.iter().rposition(|i| i.client.is_ready())?;
        Some(kept.idle.remove(at).client)
    }

    /// Counts a connection that is being opened, unless `most` are open.
    pub(super) fn reserve(&mut self, name: &Arc<str>, incarnation: u64, most: u32) -> bool {
        let kept = self.entry(name, incarnation);
        let has_room = kept.open < most;
        if has_room {
            kept.open += 1;
        }
        has_room
    }

    /// Takes a connection back after a whole answer.
    pub(super) fn put(
        &mut self,
        cfg: &Connections,
        name: &Arc<str>,
        incarnation: u64,
        client: Client,
        until: Millis,
    ) {
        let kept = self.entry(name, incarnation);
        kept.idle.push(Idle { client, until });
        if kept.idle.len() > cfg.idle {
            kept.idle.remove(0);
            kept.open -= 1;
        }
    }

    /// Takes note that a busy connection has ended.
    pub(super) fn on_closed(&mut self, name: &Arc<str>, incarnation: u64) {
        let kept = self.entry(name, incarnation);
        kept.open = kept.open.saturating_sub(1);
    }

    /// Drops idle connections that have lapsed or whose upstream is not live any more.
    pub(super) fn sweep(&mut self, now: Millis, is_live: impl Fn(&str, u64) -> bool) {
        for kept in &mut self.sorted {
            let keeps = is_live(&kept.name, kept.incarnation);
            kept.sweep(now, keeps);
        }
        self.sorted
            .retain(|k| k.open > 0 || is_live(&k.name, k.incarnation));
    }
}
