//! Headers of requests and responses: which ones are forwarded, and how they are read.

use super::header_names::HeaderNames;
use http::{
    HeaderMap,
    HeaderName,
    header, //
};

/// Header with the id of the event after which a stream is continued.
pub(super) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = connection_options(headers)
        .filter_map(|name| name.parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}

/// Returns the headers of a request to forward, without those that the instance sets itself.
///
/// The `Authorization` header is removed unless `keeps_authorization` is set. `Content-Length` is
/// removed since the HTTP library sets it, and `Expect` since the body has already been read.
pub(super) fn for_upstream(
    names: &HeaderNames,
    headers: &HeaderMap,
    keeps_authorization: bool,
) -> HeaderMap {
    let mut out = headers.clone();
    // The instance relies on the request's id and limits, so a caller must not be able to have them
    // removed by naming them in `Connection`. The id is restored here; the deadline is read from
    // the original headers and set anew for each attempt.
    let id = out.get(&names.request_id).cloned();
    strip_hop_by_hop(&mut out);
    if let Some(id) = id {
        out.insert(names.request_id.clone(), id);
    }
    let instance_headers = [
        &names.deadline_ms,
        &names.workspace,
        &names.expected_upstream,
        &names.priority,
        &names.cache_source,
        &names.not_run,
        &names.seal,
    ];
    for name in instance_headers.into_iter().chain(&names.reserved) {
        out.remove(name);
    }
    out.remove(header::CONTENT_LENGTH);
    out.remove(header::EXPECT);
    if !keeps_authorization {
        out.remove(header::AUTHORIZATION);
    }
    out
}

/// Returns the value of a header if it consists of visible ASCII characters.
pub(super) fn str_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Returns the timeout in the `Keep-Alive` header of a response, converted from whole seconds to
/// ms.
pub(super) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = str_value(headers, &HeaderName::from_static("keep-alive"))?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Returns whether the connection is closed after a response with these headers.
pub(super) fn has_connection_close(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|token| token.eq_ignore_ascii_case("close"))
}

/// Returns the options that the `Connection` header lists.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
}
