//! What the text asks for at a time.

use crate::Config;
use std::sync::Arc;

/// How long before an event its replicas are wanted, in ms.
pub const LEAD_MS: u64 = 30 * 60 * 1_000;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// How many upstreams have to hold a service's model, and by when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// The service.
    pub service: Arc<str>,
    /// The pool that its upstreams are in.
    pub pool: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// Upstreams that have to hold it.
    pub replicas: u32,
    /// Start of the earliest event that needs it, in ms since 1970; none in ordinary times.
    pub due_ms: Option<u64>,
}

/// The needs at wall time `wall_ms`, those due first at the front.
///
/// Events count from `lead_ms` before their start to their end.
#[must_use]
pub fn needs(text: &Config, wall_ms: u64, lead_ms: u64) -> Vec<Need> {
    let mut needs: Vec<Need> = text
        .services
        .iter()
        .filter_map(|s| {
            Some(Need {
                service: Arc::from(s.name.as_str()),
                pool: Arc::from(s.pool.as_str()),
                model: Arc::from(s.model.as_deref()?),
                replicas: s.replicas,
                due_ms: None,
            })
        })
        .collect();
    for event in &text.events {
        let Some(start) = event.start_ms() else {
            continue;
        };
        let end = start.saturating_add(event.minutes.saturating_mul(MINUTE_MS));
        if wall_ms.saturating_add(lead_ms) < start || wall_ms >= end {
            continue;
        }
        for service in with_dependencies(text, &event.service) {
            raise(&mut needs, service, event, start);
        }
    }
    needs.sort_by_key(|n| (n.due_ms.unwrap_or(u64::MAX), Arc::clone(&n.service)));
    needs
}

/// Lets a need inherit an event's start; the event's own service gets its replicas too.
fn raise(needs: &mut [Need], service: &str, event: &crate::config::Event, start: u64) {
    let Some(need) = needs.iter_mut().find(|n| &*n.service == service) else {
        return;
    };
    need.due_ms = Some(need.due_ms.map_or(start, |due| due.min(start)));
    if service == event.service {
        need.replicas = need.replicas.max(event.replicas);
    }
}

/// A service and all that it needs.
fn with_dependencies<'a>(text: &'a Config, service: &'a str) -> Vec<&'a str> {
    let mut found = vec![service];
    let mut at = 0;
    while at < found.len() {
        let needs = text.service(found[at]).map_or(&[][..], |s| &s.depends_on);
        for name in needs {
            if !found.contains(&name.as_str()) {
                found.push(name);
            }
        }
        at += 1;
    }
    found
}
