//! What all tasks of an instance share, on its one thread.

use super::{
    client::Dial,
    metrics::Metrics,
    names::Names,
    settings::Settings,
    sockets::Sockets, //
};
use crate::Clock;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::Notify;
use vanillakeel::{
    Millis,
    attempt::{
        WindowBudget,
        WindowSettings, //
    },
    fleet::{
        self,
        Fleet, //
    },
    order,
    routes::{
        Freshness,
        InForce, //
    },
};

/// Margin between a check of freshness and the moment at which it matters, in ms.
const FRESHNESS_MARGIN_MS: u64 = 300;

/// State of an instance.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) names: Names,
    pub(super) settings: RefCell<Settings>,
    pub(super) in_force: RefCell<InForce>,
    pub(super) fleet: RefCell<Fleet>,
    pub(super) sockets: RefCell<Sockets>,
    budgets: RefCell<Vec<(Arc<str>, WindowBudget)>>,
    pub(super) metrics: Metrics,
    /// When the stop was asked for.
    pub(super) stopping: Cell<Option<Millis>>,
    /// Whether connections of callers end after their answers.
    pub(super) is_closing: Cell<bool>,
    /// Wakes connections of callers once they are to end.
    pub(super) closing: Notify,
    /// Wakes requests that wait for an upstream.
    pub(super) fleet_changed: Notify,
    /// Requests being answered.
    pub(super) open: Cell<u32>,
}

impl Shared {
    pub(super) fn new(settings: Settings, names: Names) -> Rc<Self> {
        let freshness = Freshness {
            keys_ms: settings
                .timing
                .revoked_ms
                .saturating_sub(FRESHNESS_MARGIN_MS),
            denial_ms: settings.timing.in_force_ms,
        };
        let fleet = fleet::Settings {
            data_centre: Arc::from(&*settings.instance.data_centre),
            ..fleet::Settings::default()
        };
        let seed = order::hash(&settings.instance.name);
        Rc::new(Self {
            clock: Clock::start(),
            names,
            settings: RefCell::new(settings),
            in_force: RefCell::new(InForce::new(freshness)),
            fleet: RefCell::new(Fleet::new(fleet, seed)),
            sockets: RefCell::default(),
            budgets: RefCell::default(),
            metrics: Metrics::default(),
            stopping: Cell::new(None),
            is_closing: Cell::new(false),
            closing: Notify::new(),
            fleet_changed: Notify::new(),
            open: Cell::new(0),
        })
    }

    /// Times of a new connection.
    pub(super) fn dial(&self) -> Dial {
        let timing = self.settings.borrow().timing;
        Dial {
            connect: Duration::from_millis(timing.connect_ms),
            unacknowledged: Duration::from_millis(timing.unacknowledged_ms),
        }
    }

    /// Whether new requests are wanted: a configuration is known and no stop was asked for.
    pub(super) fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.in_force.borrow().table().is_some()
    }

    /// Counts a request for a service.
    pub(super) fn on_request(&self, service: &Arc<str>) {
        let now = self.clock.now();
        self.with_budget(service, |b| b.on_request(now));
    }

    /// Takes a repeat from the budget of a service.
    pub(super) fn take_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let instances = self.settings.borrow().retries.instances;
        self.with_budget(service, |b| b.take(now, instances))
    }

    fn with_budget<T>(&self, service: &Arc<str>, run: impl FnOnce(&mut WindowBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let at = match budgets.binary_search_by(|b| b.0.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let cfg = self.settings.borrow().retries;
                let budget = WindowBudget::new(WindowSettings {
                    ratio: cfg.ratio,
                    slack: cfg.slack,
                    window_ms: cfg.window_ms,
                });
                budgets.insert(at, (Arc::clone(service), budget));
                at
            }
        };
        run(&mut budgets[at].1)
    }
}
