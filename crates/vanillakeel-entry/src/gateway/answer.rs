//! Responses to callers: their bodies, and the refusals that the instance sends itself.

use super::relay::Relay;
use bytes::Bytes;
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use std::{
    error,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};
use vanillakeel::Verdict;

/// An error that breaks off a response body.
pub(super) type BodyError = Box<dyn error::Error + Send + Sync>;

/// The body of a response.
pub(super) enum ResponseBody {
    /// A body that is in memory; `None` once it has been sent.
    Buffered(Option<Bytes>),
    /// A body that is relayed from an upstream.
    Relayed(Box<Relay>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Relayed(relay) => relay.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Why an instance refuses a request.
///
/// The doc comment of each variant is the `reason` in the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(super) enum Refusal {
    /// the request can be read in two ways
    Ambiguous,
    /// a header can't be read
    BadHeader,
    /// the key is not known
    UnknownKey,
    /// no route serves this host and path
    NoRoute,
    /// the body is larger than allowed
    BodyTooLarge,
    /// the body did not arrive in time
    SlowBody,
    /// there is no room for the body, come back in {0} ms
    NoRoom(u64),
    /// the body had to give way to other requests, come back in {0} ms
    GaveWay(u64),
    /// no routing configuration is known yet
    NoConfiguration,
    /// the routing configuration may be out of date, come back in {0} ms
    Stale(u64),
    /// no upstream can take the request now
    NoUpstream,
    /// upstreams are full
    Full,
    /// prompts are queued for too long, come back in {0} ms
    Overload(u64),
    /// upstreams take no more requests by the rates that they name, come back in {0} ms
    RateLimited(u64),
    /// upstreams want no requests for now, come back in {0} ms
    Paused(u64),
    /// the time was over before the request was sent
    TooLate,
    /// the instance is stopping
    Stopping,
    /// the version that began the stream is not known
    UnknownStream(Option<u64>),
    /// a segment of the prompt crashes upstreams
    Quarantined(u64),
    /// this request crashes upstreams
    RequestQuarantined(u64),
    /// no upstream of the version that began the stream is left
    VersionGone,
    /// an upstream failed after the request was sent
    Broken,
    /// the time was over after the request was sent
    TimedOut,
    /// the instance stopped before the upstream had answered
    Stopped,
}

impl Refusal {
    /// Returns a short stable name for logs, metrics and the response.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Ambiguous => "ambiguous",
            Self::BadHeader => "bad_header",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::SlowBody => "slow_body",
            Self::NoRoom(_) => "no_room",
            Self::GaveWay(_) => "gave_way",
            Self::NoConfiguration => "no_configuration",
            Self::Stale(_) => "stale",
            Self::NoUpstream => "no_upstream",
            Self::Full => "full",
            Self::Overload(_) => "overload",
            Self::RateLimited(_) => "rate_limited",
            Self::Paused(_) => "paused",
            Self::TooLate => "too_late",
            Self::Stopping => "stopping",
            Self::UnknownStream(_) => "unknown_stream",
            Self::Quarantined(_) => "quarantined",
            Self::RequestQuarantined(_) => "request_quarantined",
            Self::VersionGone => "version_gone",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
            Self::Stopped => "stopped",
        }
    }

    /// Returns the HTTP status of the response.
    const fn status(self) -> StatusCode {
        match self {
            Self::Ambiguous | Self::BadHeader => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom(_)
            | Self::GaveWay(_)
            | Self::NoConfiguration
            | Self::Stale(_)
            | Self::NoUpstream
            | Self::Full
            | Self::Overload(_)
            | Self::RateLimited(_)
            | Self::Paused(_)
            | Self::TooLate
            | Self::Stopping
            | Self::UnknownStream(_)
            | Self::Quarantined(_)
            | Self::RequestQuarantined(_)
            | Self::VersionGone => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Stopped => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether an upstream may have run the request.
    pub(super) const fn verdict(self) -> Verdict {
        match self {
            Self::Broken | Self::TimedOut | Self::Stopped => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Returns the time after which the caller may retry, in ms, where a retry can help.
    const fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NoConfiguration | Self::NoUpstream => Some(300),
            Self::Full => Some(100),
            Self::Overload(ms)
            | Self::NoRoom(ms)
            | Self::GaveWay(ms)
            | Self::Stale(ms)
            | Self::Quarantined(ms)
            | Self::RequestQuarantined(ms)
            | Self::RateLimited(ms)
            | Self::Paused(ms) => Some(ms),
            Self::Stopping => Some(0),
            Self::UnknownStream(ms) => ms,
            _ => None,
        }
    }

    /// Returns the response for the caller.
    pub(super) fn response(self) -> Response<ResponseBody> {
        let body = format!(
            "{{\"error\":\"{}\",\"verdict\":\"{}\",\"reason\":\"{self}\"}}\n",
            self.as_str(),
            self.verdict()
        );
        let mut response = Response::new(ResponseBody::Buffered(Some(Bytes::from(body))));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(ms) = self.retry_after_ms() {
            let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
