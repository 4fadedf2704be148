//! Which headers are handed on.

use super::names::Names;
use http::{
    HeaderMap,
    HeaderName,
    header, //
};

/// Headers that concern one connection only.
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

/// Removes the headers that concern one connection only, those named by `Connection` among them.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = connection_tokens(headers)
        .filter_map(|name| name.parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// The headers of a request as an upstream gets them, without those that the instance sets.
pub(super) fn of_request(names: &Names, headers: &HeaderMap, keeps_key: bool) -> HeaderMap {
    let mut out = headers.clone();
    // A caller must not have the request's identity or its limits dropped by naming them in
    // `Connection`; the instance relies on them.
    let id = out.get(&names.request_id).cloned();
    strip_hop_by_hop(&mut out);
    if let Some(id) = id {
        out.insert(names.request_id.clone(), id);
    }
    let own = [
        &names.deadline_ms,
        &names.workspace,
        &names.expected_upstream,
        &names.priority,
        &names.not_run,
        &names.seal,
    ];
    for name in own.into_iter().chain(&names.reserved) {
        out.remove(name);
    }
    out.remove(header::CONTENT_LENGTH);
    out.remove(header::EXPECT);
    if !keeps_key {
        out.remove(header::AUTHORIZATION);
    }
    out
}

/// The value of a header, if it is text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// The whole seconds that an answer's `Keep-Alive` promises, in ms.
pub(super) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = text(headers, &HeaderName::from_static("keep-alive"))?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Whether an answer ends its connection.
pub(super) fn says_close(headers: &HeaderMap) -> bool {
    connection_tokens(headers).any(|token| token.eq_ignore_ascii_case("close"))
}

/// What `Connection` names.
fn connection_tokens(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
}
