//! What the heads of answers say of whether their upstreams take further requests.
//!
//! The headers are passed on to the caller like all others that do not concern a single connection, but for those of
//! answers that are not passed on.

use super::{
    call::Call,
    lines::Kind,
    request::RoutedRequest,
    shared::Shared, //
};
use http::{
    HeaderMap,
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use vanillakeel::availability::{
    AvailabilityChange,
    Notice,
    Pause, //
};

/// Value of the header by which an upstream says that it leaves.
const LEAVING: &[u8] = b"1";

/// Longest part of a value that can't be read that is shown in the log, in bytes.
const MAX_SHOWN_BYTES: usize = 32;

/// Records what the head of an answer says and returns it.
pub(super) fn record_head<T>(
    shared: &Shared,
    request: &RoutedRequest,
    call: &Call,
    response: &Response<T>,
) -> Notice {
    let headers = response.headers();
    let notice = Notice {
        is_leaving: is_leaving(shared, headers),
        pause_ms: match response.status() {
            StatusCode::SERVICE_UNAVAILABLE => pause_ms(shared, request, call, headers),
            _ => None,
        },
    };
    let now = shared.clock.now();
    let change = shared
        .fleet
        .borrow_mut()
        .on_notice(now, &call.pick, call.sent, notice);
    if let Some(change) = change {
        on_change(shared, request, call, response.status(), change);
    }
    notice
}

fn is_leaving(shared: &Shared, headers: &HeaderMap) -> bool {
    let values = headers.get_all(&shared.header_names.leaving);
    values
        .iter()
        .flat_map(|v| v.as_bytes().split(|b| *b == b','))
        .any(|v| v.trim_ascii() == LEAVING)
}

/// Returns the time for which the upstream wants no request, in ms, if it names one that can be read.
fn pause_ms(
    shared: &Shared,
    request: &RoutedRequest,
    call: &Call,
    headers: &HeaderMap,
) -> Option<u64> {
    let values = headers.get_all(header::RETRY_AFTER);
    let max_ms = shared.settings.borrow().timing.max_pause_ms;
    let longest = Pause::longest_of(values.iter().map(HeaderValue::as_bytes), max_ms);
    let reason = match longest {
        Ok(Some(pause)) if pause.is_cut => "it is longer than timing.max_pause_ms".to_owned(),
        Ok(pause) => return pause.map(|p| p.ms),
        Err(e) => e.to_string(),
    };
    shared.metrics.bad_pauses.inc();
    let used_ms = longest.ok().flatten().map(|p| p.ms);
    if shared.may_log(Kind::Failure) {
        let value = headers.get(header::RETRY_AFTER);
        let bytes = value.map_or(&[][..], HeaderValue::as_bytes);
        let shown = &bytes[..bytes.len().min(MAX_SHOWN_BYTES)];
        tracing::warn!(
            request = %request.id,
            upstream = %call.pick.name,
            value = %shown.escape_ascii(),
            reason,
            used_ms,
            "pause of an upstream not taken as named"
        );
    }
    used_ms
}

fn on_change(
    shared: &Shared,
    request: &RoutedRequest,
    call: &Call,
    status: StatusCode,
    change: AvailabilityChange,
) {
    let (pause_ms, message) = match change {
        AvailabilityChange::Leaves => (None, "upstream says that it leaves"),
        AvailabilityChange::Paused(ms) => (Some(ms), "upstream wants a pause"),
        AvailabilityChange::Open => (None, "upstream takes requests after its pause"),
    };
    if pause_ms.is_some() {
        shared.metrics.pauses.inc();
    }
    shared.fleet_changed.notify_waiters();
    if !shared.may_log(Kind::Failure) {
        return;
    }
    let now = shared.clock.now();
    tracing::info!(
        request = %request.id,
        upstream = %call.pick.name,
        incarnation = call.pick.incarnation,
        service = %request.service,
        status = status.as_u16(),
        pause_ms,
        sent_ago_ms = now.since(call.sent),
        "{message}"
    );
}
