//! Desired number of replicas of each model at a given time.

use crate::Config;
use std::sync::Arc;

/// Time before the start of an event from which its replicas are required, in ms.
pub const EVENT_LEAD_MS: u64 = 30 * 60 * 1_000;

const MINUTE_MS: u64 = 60_000;

/// Number of upstreams that have to hold a service's model, and by when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the pool that its upstreams are in.
    pub pool: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Number of upstreams that have to hold the model.
    pub replicas: u32,
    /// Start of the earliest event that depends on the service, in ms since the Unix epoch, if any.
    pub due_ms: Option<u64>,
}

/// Returns the requirements at `wall_ms`, in ms since the Unix epoch, sorted by due time.
///
/// An event raises requirements from `lead_ms` before its start until its end. Requirements
/// without a due time come last, and those with the same due time are sorted by service.
#[must_use]
pub fn requirements(config: &Config, wall_ms: u64, lead_ms: u64) -> Vec<Requirement> {
    let mut requirements: Vec<Requirement> = config
        .services
        .iter()
        .filter_map(|s| {
            Some(Requirement {
                service: Arc::from(s.name.as_str()),
                pool: Arc::from(s.pool.as_str()),
                model: Arc::from(s.model.as_deref()?),
                replicas: s.replicas,
                due_ms: None,
            })
        })
        .collect();
    for event in &config.events {
        let Some(start) = event.start_ms() else {
            continue;
        };
        let end = start.saturating_add(event.minutes.saturating_mul(MINUTE_MS));
        if wall_ms.saturating_add(lead_ms) < start || wall_ms >= end {
            continue;
        }
        for service in with_dependencies(config, &event.service) {
            apply_event(&mut requirements, service, event, start);
        }
    }
    requirements.sort_by_key(|r| (r.due_ms.unwrap_or(u64::MAX), Arc::clone(&r.service)));
    requirements
}

/// Applies an event to the requirement of `service`.
///
/// The requirement inherits the event's start; the event's own service also gets its replicas.
fn apply_event(
    requirements: &mut [Requirement],
    service: &str,
    event: &crate::config::Event,
    start: u64,
) {
    let Some(requirement) = requirements.iter_mut().find(|r| &*r.service == service) else {
        return;
    };
    requirement.due_ms = Some(requirement.due_ms.map_or(start, |due| due.min(start)));
    if service == event.service {
        requirement.replicas = requirement.replicas.max(event.replicas);
    }
}

/// Returns a service and its direct and indirect dependencies.
fn with_dependencies<'a>(config: &'a Config, service: &'a str) -> Vec<&'a str> {
    let mut found = vec![service];
    let mut index = 0;
    while index < found.len() {
        let dependencies = config
            .service(found[index])
            .map_or(&[][..], |s| &s.depends_on);
        for name in dependencies {
            if !found.contains(&name.as_str()) {
                found.push(name);
            }
        }
        index += 1;
    }
    found
}
