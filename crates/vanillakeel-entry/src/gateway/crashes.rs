//! Detection of crashed upstreams.
//!
//! A call that breaks off does not show whether its upstream has crashed, spoiled one answer or lost one
//! connection. [`has_crashed`] finds out by a new connection: the process has crashed if it is listed as
//! live and nothing listens at its address. Calls that break off at the same time share one check.
//!
//! ```ignore
//! if crashes::has_crashed(&shared, &call.pick, 0).await {
//!     // What has arrived of the answer is not complete.
//! }
//! ```

use super::{
    client::HttpConnection,
    lines::Kind,
    request::RoutedRequest,
    shared::Shared, //
};
use std::{
    cell::Cell,
    io,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::timeout, //
};
use vanillakeel::{
    Millis,
    fleet::Pick, //
};

/// Time limit for the connection by which a crash of an upstream is ruled out, in ms.
const CRASH_CHECK_MS: u64 = 200;

/// Time for which a crash that was found holds for further calls of the same process, in ms.
const RESULT_TTL_MS: u64 = 1_000;

/// Time within which calls that break off share a check, in ms: their ends are read one after the other.
const SHARED_CHECK_MS: u64 = 20;

/// A check of one process of an upstream.
#[derive(Debug)]
pub(super) struct CrashCheck {
    upstream: Arc<str>,
    incarnation: u64,
    begun: Millis,
    has_crashed: Cell<Option<bool>>,
    done: Notify,
}

/// Returns whether the upstream of a call that has ended has crashed.
///
/// A check that began up to `max_age_ms` before may answer this, too; an older one says nothing of the
/// present unless it has found a crash.
pub(super) async fn has_crashed(shared: &Rc<Shared>, pick: &Pick, max_age_ms: u64) -> bool {
    let check = find_check(shared, pick, max_age_ms).unwrap_or_else(|| begin_check(shared, pick));
    loop {
        let done = check.done.notified();
        if let Some(has_crashed) = check.has_crashed.get() {
            return has_crashed;
        }
        done.await;
    }
}

fn find_check(shared: &Shared, pick: &Pick, max_age_ms: u64) -> Option<Rc<CrashCheck>> {
    let now = shared.clock.now();
    let mut checks = shared.crash_checks.borrow_mut();
    checks.retain(|c| now.since(c.begun) < RESULT_TTL_MS);
    let is_valid =
        |c: &Rc<CrashCheck>| c.has_crashed.get() == Some(true) || now.since(c.begun) < max_age_ms;
    let check = checks
        .iter()
        .find(|c| c.upstream == pick.name && c.incarnation == pick.incarnation && is_valid(c));
    check.cloned()
}

fn begin_check(shared: &Rc<Shared>, pick: &Pick) -> Rc<CrashCheck> {
    let check = Rc::new(CrashCheck {
        upstream: Arc::clone(&pick.name),
        incarnation: pick.incarnation,
        begun: shared.clock.now(),
        has_crashed: Cell::new(None),
        done: Notify::new(),
    });
    shared.crash_checks.borrow_mut().push(Rc::clone(&check));
    let (shared, pick, running) = (Rc::clone(shared), pick.clone(), Rc::clone(&check));
    // The check also goes on if the call that began it is dropped.
    spawn_local(async move {
        let has_crashed = refuses_connections(&shared, &pick).await;
        running.has_crashed.set(Some(has_crashed));
        running.done.notify_waiters();
    });
    check
}

async fn refuses_connections(shared: &Shared, pick: &Pick) -> bool {
    let is_live = || {
        let fleet = shared.fleet.borrow();
        fleet.is_live(&pick.name, pick.incarnation)
    };
    if !is_live() {
        return false;
    }
    let limit = Duration::from_millis(CRASH_CHECK_MS);
    let opening = HttpConnection::open(pick.address, shared.connection_timeouts());
    match timeout(limit, opening).await {
        Ok(Err(e)) => e.kind() == io::ErrorKind::ConnectionRefused && is_live(),
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Finds out whether an upstream has crashed under a request that broke off, and records it; returns
/// whether it has.
///
/// `answered_ms` is the time since the first event of the answer, if there was one.
pub(super) async fn record_broken(
    shared: Rc<Shared>,
    request: Rc<RoutedRequest>,
    pick: Pick,
    answered_ms: Option<u64>,
) -> bool {
    if request.shared_segments.is_empty() || !has_crashed(&shared, &pick, SHARED_CHECK_MS).await {
        return false;
    }
    if shared.may_log(Kind::Failure) {
        tracing::info!(
            request = %request.id,
            upstream = %pick.name,
            incarnation = pick.incarnation,
            answered_ms,
            segments = %format_segments(&request.shared_segments),
            "upstream crashed"
        );
    }
    true
}

/// Returns the ids of segments in hexadecimal, as requests name them.
fn format_segments(segments: &[u64]) -> String {
    let ids: Vec<String> = segments.iter().map(|s| format!("{s:x}")).collect();
    ids.join(",")
}
