//! HTTP pages for the load balancer and operators: readiness, liveness and metrics.

use super::{
    accept,
    shared::Shared, //
};
use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::timeout, //
};

/// Longest lifetime of a connection.
const MAX_CONNECTION_LIFE: Duration = Duration::from_secs(60);

/// Serves `/ready` (also as `/readyz`), `/healthz` and `/metrics`.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let stream = accept::accept_connection(&listener).await;
        let shared = Rc::clone(&shared);
        let service = service_fn(move |req| {
            let response = respond(&shared, &req);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            // The client closed its connection early or kept it open for too long; both need no action.
            let _ = timeout(MAX_CONNECTION_LIFE, connection).await;
        });
    }
}

/// Returns the page for the path of a request.
fn respond(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match req.uri().path() {
        "/ready" | "/readyz" if shared.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        "/ready" | "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/healthz" => (StatusCode::OK, "alive\n".to_owned()),
        "/metrics" => (StatusCode::OK, shared.metrics_page()),
        _ => (StatusCode::NOT_FOUND, "no such page\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
