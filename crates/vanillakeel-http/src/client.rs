//! Outgoing HTTP requests without proxies or redirects.
//!
//! [`request`] returns a builder of the HTTP library; the caller adds headers and a body and sends
//! it.

use attohttpc::{
    Method,
    ProxySettings,
    RequestBuilder, //
};
use std::time::Duration;

/// Limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a request that goes directly to `url` and is sent once, without retries or redirects.
///
/// A read that makes no progress for `timeout` fails. Opening the connection has its own limit of
/// 1 s.
#[must_use]
pub fn request(method: Method, url: &str, timeout: Duration) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
}
