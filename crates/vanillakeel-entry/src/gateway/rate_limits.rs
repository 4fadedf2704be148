//! Rate limits that upstreams name in the heads of their answers, and what instances tell each other of them.
//!
//! The header is passed on to the caller like all others that do not concern a single connection.

use super::{
    call::Call,
    lines::Kind,
    request::RoutedRequest,
    shared::Shared, //
};
use http::{
    HeaderMap,
    HeaderValue, //
};
use vanillakeel::{
    Millis,
    division::Scope,
    rate_limits::{
        BadRate,
        Rate,
        RateChange, //
    },
};
use vanillakeel_wire::{
    convert::{
        rate_from_wire,
        rate_to_wire, //
    },
    generated::NamedRate,
};

/// Longest part of a value that can't be read that is shown in the log, in bytes.
const MAX_SHOWN_BYTES: usize = 32;

/// Where a change of a rate limit was learnt.
#[derive(Clone, Copy, Debug)]
enum Source<'a> {
    /// The answer to this request.
    Answer(&'a str),
    /// A message of this instance, which saw the answer so many ms ago.
    Peer(&'a str, u64),
}

/// Records the rate limit that the head of an answer names, or that it names none.
///
/// A value that can't be read changes nothing.
pub(super) fn record_head(
    shared: &Shared,
    request: &RoutedRequest,
    call: &Call,
    headers: &HeaderMap,
) {
    let values = headers.get_all(&shared.header_names.rate_limit);
    let rate = match Rate::lowest_of(values.iter().map(HeaderValue::as_bytes)) {
        Ok(rate) => rate,
        Err(e) => return log_unreadable(shared, request, call, headers, e),
    };
    let now = shared.clock.now();
    let change = shared.fleet.borrow_mut().on_rate_answer(
        now,
        &call.pick,
        call.sent,
        rate,
        &shared.roster.borrow(),
    );
    if let Some(change) = change {
        log_change(shared, &change, Source::Answer(&request.id));
    }
}

fn log_unreadable(
    shared: &Shared,
    request: &RoutedRequest,
    call: &Call,
    headers: &HeaderMap,
    error: BadRate,
) {
    shared.metrics.bad_rate_limits.inc();
    let is_first = shared.fleet.borrow_mut().on_unreadable_rate(&call.pick);
    if !is_first || !shared.may_log(Kind::Failure) {
        return;
    }
    let value = headers.get(&shared.header_names.rate_limit);
    let bytes = value.map_or(&[][..], |v| v.as_bytes());
    let shown = &bytes[..bytes.len().min(MAX_SHOWN_BYTES)];
    tracing::warn!(
        request = %request.id,
        upstream = %call.pick.name,
        value = %shown.escape_ascii(),
        error = %error,
        "rate limit can't be read"
    );
}

/// Logs that an upstream names another rate, and wakes requests that wait for an upstream.
fn log_change(shared: &Shared, change: &RateChange, source: Source<'_>) {
    shared.fleet_changed.notify_waiters();
    if !shared.may_log(Kind::Failure) {
        return;
    }
    let (request, peer, age_ms) = match source {
        Source::Answer(request) => (Some(request), None, 0),
        Source::Peer(peer, age_ms) => (None, Some(peer), age_ms),
    };
    let message = match (change.previous, change.rate) {
        (None, _) => "rate limit named",
        (Some(_), Some(_)) => "rate limit changed",
        (Some(_), None) => "rate limit ended",
    };
    tracing::info!(
        upstream = %change.upstream,
        service = %change.service,
        rate = change.rate.map(Rate::per_second),
        previous = change.previous.map(Rate::per_second),
        part = change.part.per_second,
        holders = change.part.holders,
        instances = change.part.instances,
        request,
        peer,
        age_ms,
        "{message}"
    );
}

/// Works out anew which part of each rate this instance may use, and shows it in the metrics.
pub(super) fn divide(shared: &Shared, now: Millis) {
    let mut roster = shared.roster.borrow_mut();
    roster.tick(now);
    roster.set_reported(shared.mesh.borrow().instances(now).unwrap_or(0));
    let totals = shared.fleet.borrow_mut().divide_rates(now, &roster);
    let metrics = &shared.metrics;
    metrics.limited_upstreams.set(i64::from(totals.upstreams));
    metrics.named_rate.set(totals.per_second);
    metrics.own_rate.set(totals.own_per_second);
}

/// Encodes what other instances should know of the rates of upstreams.
pub(super) fn to_wire(shared: &Shared, now: Millis) -> Vec<NamedRate> {
    let told = shared.fleet.borrow().told_rates(now);
    told.iter().map(rate_to_wire).collect()
}

/// Applies what a peer tells of the rates of upstreams; numbers that are no rates are left out.
pub(super) fn apply_told(shared: &Shared, now: Millis, peer: &str, told: &[NamedRate]) {
    for wire in told {
        let Some(told) = rate_from_wire(wire) else {
            shared.metrics.bad_rate_limits.inc();
            continue;
        };
        let roster = shared.roster.borrow();
        let change = shared.fleet.borrow_mut().on_told_rate(now, &told, &roster);
        if let Some(change) = change {
            log_change(shared, &change, Source::Peer(peer, told.seen_age_ms));
        }
    }
}

/// Returns the list of instances that is due for a peer.
pub(super) fn roster_for(shared: &Shared, now: Millis, peer: &str, scope: Scope) -> Vec<u32> {
    let id = vanillakeel::division::instance_id(peer);
    shared.roster.borrow_mut().list_for(now, id, scope)
}
