//! Forwards a request to upstreams until one answers or no further attempt is allowed.
//!
//! [`forward`] makes the attempts within the deadline of the request, and [`send()`] is one of them:
//! it chooses an upstream, takes a connection from the pool or opens one, and waits for the head of
//! the response. Whether a failed attempt is retried depends on whether the upstream may have run
//! the request: a request that may have run is retried only on an idempotent route, while it has
//! attempts left and the retry budget of the service allows it.

mod send;

pub(super) use self::send::send;

use super::{
    answer::{
        Refusal,
        ResponseBody, //
    },
    crashes,
    lines::Kind,
    relayed_events::ResumePoint,
    request::RoutedRequest,
    response::{
        self,
        PreparedResponse, //
    },
    retries,
    shared::Shared,
    stop, //
};
use http::Response;
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};
use vanillakeel::fleet::{
    NoRoom,
    Overload,
    Pick,
    RequestInfo, //
};

/// Failed connection attempts to upstreams after which a request fails.
const MAX_FAILED_CONNECTS: u32 = 3;

/// Refusals by upstreams after which a request fails.
const MAX_REFUSALS: u32 = 2;

/// Divisor of a request's target: the quotient is the longest wait for an available upstream, counted
/// from the arrival of the request.
const UPSTREAM_WAIT_TARGET_DIVISOR: u64 = 8;

/// Longest wait of any request for an available upstream, counted from its arrival, in ms.
const MAX_UPSTREAM_WAIT_MS: u64 = 250;

/// Longest wait for room under a rate limit before a stream that has broken off is resumed, in ms.
const MAX_RESUME_WAIT_MS: u64 = 1_000;

/// Time to the deadline below which a request is refused instead of sent, in ms.
const MIN_REMAINING_MS: u64 = 5;

/// Why an attempt produced no response that can be forwarded.
///
/// The doc comment of each variant is its message in the log.
#[derive(Debug, displaydoc::Display)]
pub(super) enum SendFailure {
    /// no upstream may be sent to now
    NoUpstream,
    /// {0}
    NoRoom(NoRoom),
    /// {0}
    Overload(Overload),
    /// all connections to the upstream are in use
    NoConnection,
    /// the upstream could not be reached, nothing was sent
    ConnectFailed,
    /// the kept connection had ended before anything was written
    ClosedWhileIdle,
    /// the upstream says that it has not run the request
    Refused,
    /// the upstream says that it has not run the request and takes no more for now
    Withdrawn,
    /// the upstream has said to another request that it takes no more for now, nothing was sent
    WithdrawnBefore,
    /// the upstream refused the request without stating that it has not run it
    UnmarkedRefusal,
    /// {0}; the upstream may have run the request
    Broken(&'static str),
}

/// The attempts made so far for one request.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Upstreams that are not tried again.
    tried: Vec<Arc<str>>,
    /// Attempts in which an upstream may have run the request.
    pub(super) possible_runs: u32,
    refusals: u32,
    /// Refusals by upstreams that take no further requests for now.
    withdrawals: u32,
    failed_connects: u32,
    /// Upstream that the request was sent to last.
    sent_to: Option<Pick>,
    /// Version of the software that began the stream, by which it has to go on.
    pub(super) software: Option<Arc<str>>,
}

/// Forwards a request to upstreams and returns the response for the caller.
///
/// # Errors
///
/// Returns a refusal if no attempt succeeds, the deadline passes or the process exits. It tells the caller whether an
/// upstream may have run the request.
pub(super) async fn forward(
    shared: &Rc<Shared>,
    request: RoutedRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    let request = Rc::new(request);
    let remaining_ms = request.remaining_ms(shared.clock.now());
    if remaining_ms < MIN_REMAINING_MS {
        return Err(Refusal::TooLate);
    }
    let mut attempts = Attempts {
        software: request.software.clone(),
        ..Attempts::default()
    };
    let limit = Duration::from_millis(remaining_ms);
    // An answer that is ready goes before the end of the time.
    let result = tokio::select! {
        biased;
        result = try_upstreams(shared, &request, &mut attempts) => Ok(result),
        () = sleep(limit) => Err((Refusal::TooLate, Refusal::TimedOut)),
        () = stop::until_exit(shared) => Err((Refusal::Stopping, Refusal::Stopped)),
    };
    result.unwrap_or_else(|(not_run, may_have_run)| {
        Err(match attempts.possible_runs {
            0 => not_run,
            _ => may_have_run,
        })
    })
}

/// Makes attempts until one succeeds or no further one is allowed.
async fn try_upstreams(
    shared: &Rc<Shared>,
    request: &Rc<RoutedRequest>,
    attempts: &mut Attempts,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut server_error: Option<Response<ResponseBody>> = None;
    loop {
        if attempts.possible_runs == 0 {
            crashes::check_quarantine(shared, request).await?;
        }
        let failure = match send(shared, request, attempts, &ResumePoint::Start).await {
            Ok((call, response)) => {
                match response::prepare(shared, request, attempts, call, response).await {
                    Ok(PreparedResponse::Final(response)) => return Ok(response),
                    Ok(PreparedResponse::ServerError(response)) => {
                        server_error = Some(response);
                        SendFailure::Broken("error of the upstream")
                    }
                    Err(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        log_failure(shared, request, attempts, &failure);
        let is_broken = matches!(failure, SendFailure::Broken(_)) && server_error.is_none();
        let may_repeat = match attempts.sent_to.take().filter(|_| is_broken) {
            Some(pick) => may_repeat_broken(shared, request, attempts, pick).await,
            None => true,
        };
        if may_repeat && may_retry(shared, request, attempts, &failure).await {
            continue;
        }
        if let Some(response) = server_error {
            return Ok(response);
        }
        return Err(match failure {
            _ if attempts.possible_runs > 0 => Refusal::Broken,
            SendFailure::NoUpstream | SendFailure::ConnectFailed => Refusal::NoUpstream,
            SendFailure::Overload(overload) => Refusal::Overload(overload.retry_after_ms),
            SendFailure::NoRoom(no_room) if no_room.upstreams == 0 => {
                Refusal::Paused(no_room.retry_after_ms)
            }
            SendFailure::NoRoom(no_room) => Refusal::RateLimited(no_room.retry_after_ms),
            _ => Refusal::Full,
        });
    }
}

/// Returns whether a request whose call has broken off may be sent again, as far as that depends on whether
/// it may have crashed the upstream.
async fn may_repeat_broken(
    shared: &Rc<Shared>,
    request: &Rc<RoutedRequest>,
    attempts: &Attempts,
    pick: Pick,
) -> bool {
    let was_suspect = crashes::is_suspect(shared, request);
    let recorded = crashes::record_broken(Rc::clone(shared), Rc::clone(request), pick, None);
    // What is found is also recorded if the caller leaves meanwhile.
    let recorded = spawn_local(recorded);
    if !allows_retry(request, attempts) {
        return false;
    }
    if !was_suspect && crashes::may_repeat(shared, request) {
        return true;
    }
    let has_crashed = recorded.await.unwrap_or(false);
    !has_crashed || (!was_suspect && crashes::may_repeat(shared, request))
}

/// Returns whether the route of a request allows a further attempt: one that may have run is repeated only
/// on an idempotent route, while it has attempts left.
fn allows_retry(request: &RoutedRequest, attempts: &Attempts) -> bool {
    let is_last_run = attempts.possible_runs >= request.route.max_attempts.max(1);
    attempts.possible_runs == 0 || (request.route.kind.is_idempotent() && !is_last_run)
}

fn log_failure(
    shared: &Shared,
    request: &RoutedRequest,
    attempts: &Attempts,
    failure: &SendFailure,
) {
    if !shared.may_log(Kind::Failure) {
        return;
    }
    tracing::info!(
        request = %request.id,
        upstream = attempts.tried.last().map_or("", |u| u),
        reason = %failure,
        runs = attempts.possible_runs,
        after_ms = shared.clock.now().since(request.arrived),
        "send failed"
    );
}

/// Returns whether another attempt may be made after a failed one.
///
/// A request that may have run is retried only on an idempotent route, while it has attempts left.
/// If no upstream was available, this waits a short time for the fleet to change. After a refusal
/// or a broken response, the retry is taken from the retry budget; after a failure before anything
/// was sent, it is not. Refusals by upstreams that take no further requests are not limited in number: none of
/// them is chosen again. A pooled connection that was already closed always allows another attempt,
/// since nothing was written.
async fn may_retry(
    shared: &Rc<Shared>,
    request: &RoutedRequest,
    attempts: &mut Attempts,
    failure: &SendFailure,
) -> bool {
    let allows_retry = allows_retry(request, attempts);
    match failure {
        SendFailure::ClosedWhileIdle | SendFailure::WithdrawnBefore => true,
        SendFailure::Overload(_) => false,
        SendFailure::NoConnection => allows_retry,
        SendFailure::NoRoom(no_room) if no_room.is_tested => {
            // The answer to the test may come at any time.
            allows_retry && wait_for_fleet(shared, request).await
        }
        SendFailure::NoRoom(no_room) => {
            let max_wait_ms = remaining_wait_ms(shared, request);
            let wait_ms = no_room.own_wait_ms().filter(|ms| *ms <= max_wait_ms);
            let Some(wait_ms) = wait_ms.filter(|_| allows_retry) else {
                return false;
            };
            sleep(Duration::from_millis(wait_ms)).await;
            true
        }
        SendFailure::NoUpstream => allows_retry && wait_for_fleet(shared, request).await,
        SendFailure::ConnectFailed => {
            attempts.failed_connects += 1;
            allows_retry && attempts.failed_connects < MAX_FAILED_CONNECTS
        }
        SendFailure::Refused => {
            attempts.refusals += 1;
            allows_retry && attempts.refusals < MAX_REFUSALS && retries::take(shared, request)
        }
        SendFailure::Withdrawn => {
            attempts.withdrawals += 1;
            allows_retry && retries::take(shared, request)
        }
        SendFailure::UnmarkedRefusal | SendFailure::Broken(_) => {
            allows_retry && retries::take(shared, request)
        }
    }
}

/// Waits a short time for the fleet to change; returns whether it has.
async fn wait_for_fleet(shared: &Shared, request: &RoutedRequest) -> bool {
    let remaining_ms = remaining_wait_ms(shared, request);
    if remaining_ms == 0 {
        return false;
    }
    let changed = shared.fleet_changed.notified();
    timeout(Duration::from_millis(remaining_ms), changed)
        .await
        .is_ok()
}

/// Returns how much longer a request may wait for an upstream, in ms.
fn remaining_wait_ms(shared: &Shared, request: &RoutedRequest) -> u64 {
    let target_ms = request.route.target_ms;
    let max_wait_ms = (target_ms / UPSTREAM_WAIT_TARGET_DIVISOR).min(MAX_UPSTREAM_WAIT_MS);
    let elapsed_ms = shared.clock.now().since(request.arrived);
    max_wait_ms.saturating_sub(elapsed_ms)
}

/// Returns the properties on which the choice of an upstream for the next attempt depends.
fn request_info<'a>(request: &'a RoutedRequest, attempts: &'a Attempts) -> RequestInfo<'a> {
    RequestInfo {
        service: &request.service,
        segments: &request.prompt_segments,
        prompt_tokens: request.prompt_tokens,
        rank: request.rank,
        workspace: &request.workspace,
        target_ms: request.route.target_ms,
        tried: &attempts.tried,
        software: attempts.software.as_deref(),
    }
}

/// Returns whether an upstream is left that may continue the stream of a request, and takes the retry
/// from the budget if so.
///
/// If those that are left have no room under their rate limits or have asked for a pause, this waits until there
/// should be some.
pub(super) async fn may_resume(
    shared: &Shared,
    request: &RoutedRequest,
    attempts: &Attempts,
) -> bool {
    if attempts.possible_runs >= request.route.max_attempts {
        return false;
    }
    let info = request_info(request, attempts);
    let now = shared.clock.now();
    let mut has_upstream = shared.fleet.borrow().has_upstream(now, &info);
    if !has_upstream {
        let no_room = shared.fleet.borrow_mut().no_room(now, &info);
        let wait_ms = no_room.and_then(|n| n.own_wait_ms());
        let Some(wait_ms) = wait_ms.filter(|ms| *ms <= MAX_RESUME_WAIT_MS) else {
            return false;
        };
        sleep(Duration::from_millis(wait_ms)).await;
        let now = shared.clock.now();
        has_upstream = shared.fleet.borrow().has_upstream(now, &info);
    }
    has_upstream && retries::take(shared, request)
}
