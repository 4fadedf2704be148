//! The part of the retry budgets of services that this instance may spend.
//!
//! ```ignore
//! retries::on_request(shared, &request.service);
//! let is_allowed = retries::take(shared, &request);
//! ```

use super::{
    lines::Kind,
    request::RoutedRequest,
    shared::Shared, //
};
use std::{
    cell::RefCell,
    sync::Arc, //
};
use vanillakeel::{
    Millis,
    attempt::{
        WindowBudget,
        WindowSettings, //
    },
};

/// Share of its part of a retry budget that one of several instances spends. The rest is for requests that it did not
/// have in the window before.
const SPENT_SHARE: f64 = 0.9;

/// Windows of the retry budget after the first start of a system in which no instance takes over requests of
/// another one: in the first there may be no request, and in the second none before it.
const FIRST_WINDOWS: u64 = 2;

/// The budgets of services, sorted by service.
#[derive(Debug, Default)]
pub(super) struct RetryBudgets(RefCell<Vec<(Arc<str>, WindowBudget)>>);

/// Adds a request to the retry budget of its service.
pub(super) fn on_request(shared: &Shared, service: &Arc<str>) {
    let now = shared.clock.now();
    with_budget(shared, service, |b| b.on_request(now));
}

/// Takes a retry of a request from the budget of its service; returns whether the budget allowed
/// it.
pub(super) fn take(shared: &Shared, request: &RoutedRequest) -> bool {
    let now = shared.clock.now();
    let instances = shared.sharing_instances();
    let (is_allowed, usage) = with_budget(shared, &request.service, |b| {
        let is_allowed = b.take(now, instances);
        (is_allowed, b.usage(now))
    });
    if is_allowed {
        shared.metrics.retries.inc();
    } else {
        shared.metrics.denied_retries.inc();
    }
    if shared.may_log(Kind::Failure) {
        tracing::info!(
            request = %request.id,
            service = %request.service,
            is_allowed,
            retries = usage.retries,
            requests = usage.requests,
            least_requests = usage.least_requests,
            taken = usage.taken,
            instances,
            "retry"
        );
    }
    is_allowed
}

/// Runs an operation on the retry budget of a service, which is created on first use.
fn with_budget<T>(
    shared: &Shared,
    service: &Arc<str>,
    operation: impl FnOnce(&mut WindowBudget) -> T,
) -> T {
    let mut retry_budgets = shared.retry_budgets.0.borrow_mut();
    let at = match retry_budgets.binary_search_by(|b| b.0.cmp(service)) {
        Ok(at) => at,
        Err(at) => {
            let cfg = shared.settings.borrow().retries;
            let has_peers = shared.settings.borrow().listen.peers.is_some();
            let (share, growth_share, slack_after_ms) = if has_peers {
                (SPENT_SHARE, 1.0 - SPENT_SHARE, cfg.window_ms)
            } else {
                (1.0, 1.0, 0)
            };
            let timing = shared.settings.borrow().timing;
            let window = WindowSettings {
                ratio: cfg.ratio * share,
                growth_ratio: cfg.ratio * growth_share,
                slack: cfg.slack * share,
                window_ms: cfg.window_ms,
                arrival_ms: timing.connect_ms + timing.unacknowledged_ms,
            };
            // The clock starts with the process.
            let slack_from = Millis::new(cfg.slack_after_ms.unwrap_or(slack_after_ms));
            let first_ms = if cfg.first_start {
                FIRST_WINDOWS * cfg.window_ms
            } else {
                0
            };
            let budget = WindowBudget::new(window, slack_from, Millis::new(first_ms));
            retry_budgets.insert(at, (Arc::clone(service), budget));
            at
        }
    };
    operation(&mut retry_budgets[at].1)
}
