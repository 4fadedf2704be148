//! The choice of an upstream for one request.
//!
//! The cost of an upstream is a time in ms: the reading that is queued there, a share for each call
//! that runs beside it, and the shared parts of the prompt that it would have to read again, which
//! weigh more than their time since every other call there waits for them too. The upstream that
//! all instances would pick for the subject counts as holding it, so that instances agree on a home
//! without a message.

use super::{
    state::Fleet,
    upstream::Upstream, //
};
use crate::{
    Millis,
    order, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part together with what comes before it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// Parts of the prompt in order; the last one belongs to the request alone.
    pub parts: &'a [Part],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Upstreams that were tried already.
    pub tried: &'a [Arc<str>],
}

impl Ask<'_> {
    /// The parts that other requests have too.
    fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// What identifies the subject of the request, zero if it shares nothing.
    fn subject(&self) -> u64 {
        self.shared().last().map_or(0, |p| p.id)
    }
}

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Its name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tokens that it probably has to read.
    pub tokens_to_read: u32,
}

impl Fleet {
    /// The upstream with the least cost that may take a call now.
    #[must_use]
    pub fn choose(&mut self, now: Millis, ask: &Ask<'_>) -> Option<Pick> {
        let jitter = self.roll();
        let home = self.home(now, ask);
        let candidates = self.of_service(ask.service).filter(|u| {
            let is_tried = ask.tried.contains(&u.listed.name);
            u.is_live() && !is_tried && self.has_room(now, u)
        });
        let best = candidates.min_by(|a, b| {
            let cost = |u: &Upstream| self.cost(u, ask, home.as_deref(), jitter);
            cost(a).total_cmp(&cost(b))
        })?;
        Some(Pick {
            name: Arc::clone(&best.listed.name),
            incarnation: best.listed.incarnation,
            address: best.listed.address,
            tokens_to_read: self.tokens_to_read(best, ask, home.as_deref()),
        })
    }

    fn has_room(&self, now: Millis, upstream: &Upstream) -> bool {
        upstream.load.calls < upstream.health.allowance(now)
    }

    /// The upstream that holds the subject of a request by rendezvous hashing.
    fn home(&self, now: Millis, ask: &Ask<'_>) -> Option<Arc<str>> {
        let subject = ask.subject();
        if subject == 0 {
            return None;
        }
        let chore = subject.to_string();
        self.of_service(ask.service)
            .filter(|u| u.is_live() && u.health.allowance(now) > 1)
            .max_by_key(|u| order::weight(&chore, &u.listed.name))
            .map(|u| Arc::clone(&u.listed.name))
    }

    fn tokens_to_read(&self, upstream: &Upstream, ask: &Ask<'_>, home: Option<&str>) -> u32 {
        if home == Some(&*upstream.listed.name) {
            let shared: u32 = ask.shared().iter().map(|p| p.tokens).sum();
            return ask.prompt_tokens.saturating_sub(shared);
        }
        let cached: u32 = ask
            .shared()
            .iter()
            .take_while(|p| upstream.cached.contains(p.id))
            .map(|p| p.tokens)
            .sum();
        ask.prompt_tokens.saturating_sub(cached)
    }

    fn cost(&self, upstream: &Upstream, ask: &Ask<'_>, home: Option<&str>, jitter: u64) -> f64 {
        let cfg = self.settings();
        let load = upstream.load;
        let slots = f64::from(upstream.listed.slots.max(1));
        let to_read = self.tokens_to_read(upstream, ask, home);
        let own: u32 = ask.parts.last().map_or(0, |p| p.tokens);
        let again = to_read.saturating_sub(own);
        let far = upstream.listed.data_centre != cfg.data_centre;
        let noise =
            order::hash_bytes(&jitter.to_le_bytes()) ^ order::weight("tie", &upstream.listed.name);
        load.tokens_to_read as f64 / cfg.tokens_per_ms
            + f64::from(load.calls) * cfg.call_ms / slots
            + f64::from(again) / cfg.tokens_per_ms * cfg.reread_weight
            + if far { cfg.far_ms } else { 0.0 }
            + (noise % 1_000) as f64 / 1_000.0
    }
}
