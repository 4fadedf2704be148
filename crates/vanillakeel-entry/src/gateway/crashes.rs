//! Detection of crashed upstreams, and of the requests and prompt segments that crash them.
//!
//! A call that breaks off does not show whether its upstream has crashed, spoiled one answer or lost one
//! connection. [`record_broken`] finds out by new connections: the process has crashed if it is listed as live and
//! nothing listens at its address, or each connection is accepted and closed at once. Calls that break off at the same time share one check.
//!
//! ```ignore
//! let has_crashed = crashes::record_broken(shared, request, call.pick, call.answered_ms()).await;
//! ```

use super::{
    answer::Refusal,
    client::{
        ConnectionEnd,
        HttpConnection, //
    },
    lines::Kind,
    request::RoutedRequest,
    shared::Shared,
    verdicts, //
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
    time::{
        sleep,
        timeout, //
    },
};
use vanillakeel::{
    Millis,
    fleet::Pick,
    order,
    quarantine::{
        Change,
        Refused,
        Subject, //
    },
};

/// Time after the first event of an answer from which the request is not taken for the cause of a crash, in
/// ms: an upstream crashes when it begins to answer.
pub(super) const SETTLED_MS: u64 = 300;

/// Time limit for the connection by which a crash of an upstream is ruled out, in ms.
const CRASH_CHECK_MS: u64 = 200;

/// Time within which a process that is ending, or a forwarder in front of a dead one, closes a new connection, in
/// ms.
const ENDING_MS: u64 = 20;

/// Connections that are accepted and closed, one after the other, after which nothing is taken to answer at an
/// address.
const MAX_CLOSED: u32 = 3;

/// Time for which a crash that was found holds for further calls of the same process, in ms.
const RESULT_TTL_MS: u64 = 1_000;

/// Time within which calls that break off share a check, in ms: their ends are read one after the other.
const SHARED_CHECK_MS: u64 = 20;

/// Time after the start of the process until which requests wait for the verdicts on the log, in ms.
const VERDICTS_DUE_MS: u64 = 500;

/// Time between two checks whether they have been read, in ms.
const LIST_CHECK_MS: u64 = 5;

/// A check of one process of an upstream.
#[derive(Debug)]
pub(super) struct CrashCheck {
    upstream: Arc<str>,
    incarnation: u64,
    begun: Millis,
    has_crashed: Cell<Option<bool>>,
    done: Notify,
}

/// Returns whether the upstream of a call that has broken off has crashed.
async fn has_crashed(shared: &Rc<Shared>, pick: &Pick) -> bool {
    let check = find_check(shared, pick).unwrap_or_else(|| begin_check(shared, pick));
    loop {
        let done = check.done.notified();
        if let Some(has_crashed) = check.has_crashed.get() {
            return has_crashed;
        }
        done.await;
    }
}

/// Returns a check that says something of the present: one that has found a crash, or has just begun.
fn find_check(shared: &Shared, pick: &Pick) -> Option<Rc<CrashCheck>> {
    let now = shared.clock.now();
    let mut checks = shared.crash_checks.borrow_mut();
    checks.retain(|c| now.since(c.begun) < RESULT_TTL_MS);
    let is_valid = |c: &Rc<CrashCheck>| {
        c.has_crashed.get() == Some(true) || now.since(c.begun) < SHARED_CHECK_MS
    };
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

/// Returns whether an upstream that is listed as live refuses connections, or closes each one that it accepts.
async fn refuses_connections(shared: &Shared, pick: &Pick) -> bool {
    is_gone(shared, pick, is_live).await
}

/// Returns whether the process of an upstream has ended, whether or not it was to leave.
///
/// Its end closes its connections in order, so that an answer which ends with its connection may have been cut.
pub(super) async fn has_ended(shared: &Shared, pick: &Pick) -> bool {
    is_gone(shared, pick, |_, _| true).await
}

/// Returns whether nothing answers at the address of an upstream any more, while it is one that `counts`.
///
/// A process that is ending may still have a queue for new connections, and a forwarder in front of a dead one
/// accepts them and closes each at once. A process with too many connections resets them instead.
async fn is_gone(shared: &Shared, pick: &Pick, counts: fn(&Shared, &Pick) -> bool) -> bool {
    let is_refused = |e: io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
    for _ in 0..MAX_CLOSED {
        if !counts(shared, pick) {
            return false;
        }
        let connection = match open(shared, pick).await {
            Some(Ok(connection)) => connection,
            Some(Err(e)) => return is_refused(e) && counts(shared, pick),
            None => return false,
        };
        sleep(Duration::from_millis(ENDING_MS)).await;
        match connection.end() {
            Some(ConnectionEnd::Closed) => {}
            Some(ConnectionEnd::Failed) => {
                let opened = open(shared, pick).await;
                return opened.is_some_and(|o| o.is_err_and(is_refused)) && counts(shared, pick);
            }
            None => return false,
        }
    }
    counts(shared, pick)
}

/// Opens a connection to an upstream; `None` if not in time.
async fn open(shared: &Shared, pick: &Pick) -> Option<io::Result<HttpConnection>> {
    let limit = Duration::from_millis(CRASH_CHECK_MS);
    let opening = HttpConnection::open(pick.address, shared.connection_timeouts());
    let opened = timeout(limit, opening).await.ok()?;
    if opened.is_ok() {
        shared.metrics.upstream_connections.inc();
    }
    Some(opened)
}

fn is_live(shared: &Shared, pick: &Pick) -> bool {
    let fleet = shared.fleet.borrow();
    fleet.is_live(&pick.name, pick.incarnation)
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
    if !has_crashed(&shared, &pick).await {
        return false;
    }
    let is_suspect = answered_ms.is_none_or(|ms| ms < SETTLED_MS);
    if shared.may_log(Kind::Failure) {
        tracing::info!(
            request = %request.id,
            upstream = %pick.name,
            incarnation = pick.incarnation,
            answered_ms,
            is_suspect,
            segments = %format_segments(&request.shared_segments),
            digest = %request.as_subject(),
            "upstream crashed"
        );
    }
    if is_suspect {
        let now = shared.quarantine_now();
        let process = format!("{} {}", pick.name, pick.incarnation);
        let changes = shared.quarantine.borrow_mut().on_crash(
            now,
            order::hash(&process),
            &request.subjects(),
        );
        log_changes(&shared, &changes);
    }
    true
}

/// Records that an upstream has answered a request for so long that the request did not crash it.
pub(super) fn record_answered(shared: &Shared, request: &RoutedRequest) {
    let mut quarantine = shared.quarantine.borrow_mut();
    // The digest of a request is not worth its time while no crash is to be explained.
    let subjects = if quarantine.suspects_requests() || quarantine.refuses_requests() {
        request.subjects()
    } else {
        request.segment_subjects().collect()
    };
    if subjects.is_empty() {
        return;
    }
    let changes = quarantine.on_answered(shared.quarantine_now(), &subjects);
    drop(quarantine);
    log_changes(shared, &changes);
}

/// Returns whether a request is under suspicion of an earlier crash.
pub(super) fn is_suspect(shared: &Shared, request: &RoutedRequest) -> bool {
    let quarantine = shared.quarantine.borrow();
    quarantine.suspects_requests()
        && quarantine.is_suspect(shared.quarantine_now(), request.as_subject())
}

/// Returns whether a request may be sent to a further upstream after one has crashed under it: only if each
/// of its shared segments has been answered before, and nothing of it is refused by now.
pub(super) fn may_repeat(shared: &Shared, request: &RoutedRequest) -> bool {
    let segments: Vec<_> = request.segment_subjects().collect();
    let is_known = shared.quarantine.borrow().are_answered(&segments);
    is_known && refuse(shared, request).is_none()
}

/// Returns why a request has to be refused, if it has to be.
fn refuse(shared: &Shared, request: &RoutedRequest) -> Option<Refused> {
    let mut quarantine = shared.quarantine.borrow_mut();
    let subjects = if quarantine.refuses_requests() {
        request.subjects()
    } else {
        request.segment_subjects().collect()
    };
    quarantine.refuse(shared.quarantine_now(), &subjects)
}

/// Returns whether a request is let through to show whether a verdict is right.
///
/// A further trial has to be on the log before, so that instances that start after a kill of all know of it.
async fn try_out(shared: &Shared, request: &RoutedRequest, subject: Subject) -> bool {
    let (Subject::Segment(key) | Subject::Request(key)) = subject;
    let position = shared.mesh.borrow().position(key);
    let now = shared.quarantine_now();
    let (is_tried, trials, is_further) = {
        let mut quarantine = shared.quarantine.borrow_mut();
        let before = quarantine.trials(subject);
        let is_tried = quarantine.try_out(now, subject, position);
        let trials = quarantine.trials(subject);
        (is_tried, trials, trials > before)
    };
    if !is_tried || is_further && !verdicts::record_trial(shared, subject, trials).await {
        return false;
    }
    if shared.may_log(Kind::Failure) {
        tracing::info!(
            request = %request.id,
            subject = %subject,
            position,
            trials,
            "quarantine tried out"
        );
    }
    true
}

/// Waits for the verdicts on the log, which an instance reads as it starts, for a short time after the start.
async fn wait_for_verdicts(shared: &Shared) {
    let has_peers = shared.settings.borrow().listen.peers.is_some();
    let may_wait = || {
        let is_starting = shared.clock.now() < Millis::new(VERDICTS_DUE_MS);
        has_peers && is_starting && !shared.mesh.borrow().has_list()
    };
    while may_wait() {
        sleep(Duration::from_millis(LIST_CHECK_MS)).await;
    }
}

/// Refuses a request that is in quarantine, or that holds a segment in quarantine.
///
/// # Errors
///
/// Returns the refusal.
pub(super) async fn check_quarantine(
    shared: &Shared,
    request: &RoutedRequest,
) -> Result<(), Refusal> {
    wait_for_verdicts(shared).await;
    let Some(refused) = refuse(shared, request) else {
        return Ok(());
    };
    if refused.is_on_trial && try_out(shared, request, refused.subject).await {
        return Ok(());
    }
    let may_log = shared.may_log(Kind::Failure);
    match refused.subject {
        Subject::Segment(segment) => {
            if may_log {
                tracing::info!(
                    request = %request.id,
                    segment = %format_segments(&[segment]),
                    "segment in quarantine"
                );
            }
            Err(Refusal::Quarantined(refused.retry_after_ms))
        }
        Subject::Request(digest) => {
            if may_log {
                tracing::info!(
                    request = %request.id,
                    digest = %format_digest(digest),
                    "request in quarantine"
                );
            }
            Err(Refusal::RequestQuarantined(refused.retry_after_ms))
        }
    }
}

/// Logs what has changed in the quarantine.
pub(super) fn log_changes(shared: &Shared, changes: &[Change]) {
    for change in changes {
        match *change {
            Change::Blamed {
                subject,
                crashes,
                first_ms,
                answered_ms,
                is_provisional,
            } => {
                let (segment, digest) = format_subject(subject);
                tracing::warn!(
                    segment,
                    digest,
                    crashes,
                    first_ms,
                    answered_ms,
                    is_provisional,
                    "{} crashes upstreams; its requests are refused",
                    kind_of(subject)
                );
            }
            Change::Adopted { subject } => {
                let (segment, digest) = format_subject(subject);
                tracing::warn!(
                    segment,
                    digest,
                    "another instance has found that a {} crashes upstreams; its requests are refused",
                    kind_of(subject)
                );
            }
            Change::Lifted {
                subject,
                is_answered,
            } => {
                let (segment, digest) = format_subject(subject);
                tracing::info!(
                    segment,
                    digest,
                    is_answered,
                    "requests with a {} are no longer refused",
                    kind_of(subject)
                );
            }
        }
    }
    if !changes.is_empty() {
        shared.quarantine_changed.notify_one();
        let quarantine = shared.quarantine.borrow();
        let requests = quarantine.refused_requests();
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let metrics = &shared.metrics;
        metrics.quarantined_requests.set(gauge(requests));
        metrics
            .quarantined_segments
            .set(gauge(quarantine.len() - requests));
    }
}

/// Returns the word of the log for the kind of a subject.
const fn kind_of(subject: Subject) -> &'static str {
    match subject {
        Subject::Segment(_) => "segment",
        Subject::Request(_) => "request",
    }
}

/// Returns the fields of the log for a subject: the id of a segment, or the digest of a request.
fn format_subject(subject: Subject) -> (Option<String>, Option<String>) {
    match subject {
        Subject::Segment(segment) => (Some(format_segments(&[segment])), None),
        Subject::Request(digest) => (None, Some(format_digest(digest))),
    }
}

/// Returns the digest of a request in hexadecimal, as settings name it.
fn format_digest(digest: u64) -> String {
    format!("{digest:016x}")
}

/// Returns the ids of segments in hexadecimal, as requests name them.
fn format_segments(segments: &[u64]) -> String {
    let ids: Vec<String> = segments.iter().map(|s| format!("{s:x}")).collect();
    ids.join(",")
}
