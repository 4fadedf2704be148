//! Rate limits that upstreams name in the heads of their answers.
//!
//! The header is passed on to the caller like all others that do not concern a single connection.

use super::{
    lines::Kind,
    request::RoutedRequest,
    shared::Shared, //
};
use http::{
    HeaderMap,
    HeaderName, //
};
use vanillakeel::{
    fleet::Pick,
    rate_limits::{
        BadRate,
        Rate, //
    },
};

/// Longest part of a value that can't be read that is shown in the log, in bytes.
const MAX_SHOWN_BYTES: usize = 32;

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

/// Records the rate limit that the head of an answer names.
pub(super) fn record_head(
    shared: &Shared,
    request: &RoutedRequest,
    pick: &Pick,
    headers: &HeaderMap,
) {
    let name = &shared.header_names.rate_limit;
    if !headers.contains_key(name) || !shared.may_log(Kind::Usual) {
        return;
    }
    match named_rate(headers, name) {
        Ok(rate) => tracing::info!(
            request = %request.id,
            upstream = %pick.name,
            rate = rate.map(Rate::per_second),
            "rate limit named"
        ),
        Err(e) => tracing::warn!(
            request = %request.id,
            upstream = %pick.name,
            value = shown(headers, name),
            error = %e,
            "rate limit can't be read"
        ),
    }
}

/// Returns the beginning of the first value of a header, for the log.
fn shown(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).map_or(&[][..], |v| v.as_bytes());
    let part = &value[..value.len().min(MAX_SHOWN_BYTES)];
    part.escape_ascii().to_string()
}
