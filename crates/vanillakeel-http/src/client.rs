//! Requests by the HTTP library, without proxies or redirects.

use attohttpc::{
    Method,
    ProxySettings,
    RequestBuilder, //
};
use std::time::Duration;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that goes straight to `url`, gives up after `timeout`, and is sent once.
#[must_use]
pub fn client(method: Method, url: &str, timeout: Duration) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
}
