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
    HeaderName, //
};
use vanillakeel::{
    Millis,
    division::Scope,
    fleet::RateChange,
    rate_limits::{
        BadRate,
        Rate,
        ToldRate, //
    },
};
use vanillakeel_wire::generated::MeshRate;

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

/// Returns the rate that a head names, or the lowest one if it names several; `None` if it names none.
///
/// # Errors
///
/// Returns an error if one of the values can't be read.
fn named_rate(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Rate>, BadRate> {
    let mut lowest: Option<Rate> = None;
    for value in headers.get_all(name) {
        let text = value.to_str().map_err(|_| BadRate::NotDecimal)?;
        let rate = Rate::parse(text)?;
        lowest = Some(lowest.map_or(rate, |l| if rate < l { rate } else { l }));
    }
    Ok(lowest)
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
    let name = &shared.header_names.rate_limit;
    let rate = match named_rate(headers, name) {
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
    let totals = shared.fleet.borrow_mut().divide_rates(now, &roster);
    let metrics = &shared.metrics;
    metrics.limited_upstreams.set(i64::from(totals.upstreams));
    metrics.named_rate.set(totals.per_second);
    metrics.own_rate.set(totals.own_per_second);
}

/// Encodes what other instances should know of the rates of upstreams.
pub(super) fn to_wire(shared: &Shared, now: Millis) -> Vec<MeshRate> {
    let age = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
    let told = shared.fleet.borrow().told_rates(now);
    let encode = |t: &ToldRate| MeshRate {
        upstream: t.upstream,
        rate: t.rate.map(Rate::per_second),
        sent_age: age(t.sent_age_ms),
        seen_age: age(t.seen_age_ms),
    };
    told.iter().map(encode).collect()
}

/// Applies what a peer tells of the rates of upstreams; numbers that are no rates are left out.
pub(super) fn apply_told(shared: &Shared, now: Millis, peer: &str, told: &[MeshRate]) {
    for wire in told {
        let rate = wire.rate.map(Rate::new);
        if rate == Some(None) {
            shared.metrics.bad_rate_limits.inc();
            continue;
        }
        let told = ToldRate {
            upstream: wire.upstream,
            rate: rate.flatten(),
            sent_age_ms: u64::from(wire.sent_age),
            seen_age_ms: u64::from(wire.seen_age),
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
