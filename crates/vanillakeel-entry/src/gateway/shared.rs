//! What all tasks of an instance share, on its one thread.

use super::{
    client::ConnectionTimeouts,
    lines::{
        Kind,
        Lines, //
    },
    metrics::Metrics,
    names::Names,
    settings::Settings,
    sockets::ConnectionPool, //
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
        Fleet,
        ListedUpstream, //
    },
    mesh::{
        self,
        Mesh,
        Peer, //
    },
    order,
    routes::{
        Freshness,
        InForce,
        Limits, //
    },
};

/// Margin between a check of freshness and the moment at which it matters, in ms.
const FRESHNESS_MARGIN_MS: u64 = 300;

/// Time for which a change of an upstream is told to members, in ms; it covers lost datagrams.
const CHANGE_TOLD_MS: u64 = 3_000;

/// What discovery has shown of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) listed: ListedUpstream,
    /// Whether it is shown no longer.
    pub(super) is_gone: bool,
}

/// State of an instance.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) names: Names,
    pub(super) settings: RefCell<Settings>,
    pub(super) in_force: RefCell<InForce>,
    pub(super) fleet: RefCell<Fleet>,
    pub(super) sockets: RefCell<ConnectionPool>,
    budgets: RefCell<Vec<(Arc<str>, WindowBudget)>>,
    pub(super) metrics: Metrics,
    lines: Lines,
    pub(super) mesh: RefCell<Mesh>,
    /// Upstreams that have changed lately, for members that read the log through this instance.
    pub(super) changes: RefCell<Vec<(Millis, Change)>>,
    /// When the upstreams were last read from the log.
    pub(super) upstreams_read: Cell<Option<Millis>>,
    /// Since when a hub has shown other upstreams than are known here.
    pub(super) differs_since: Cell<Option<Millis>>,
    /// Wakes the reader of the configuration since a hub has a newer one.
    pub(super) newer: Notify,
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
        let me = Peer {
            name: Arc::from(&*settings.instance.name),
            data_centre: Arc::from(&*settings.instance.data_centre),
            link_mbps: settings.machine.link_mbps as u32,
            ..Peer::default()
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
            lines: Lines::default(),
            mesh: RefCell::new(Mesh::new(me, mesh::Settings::default())),
            changes: RefCell::default(),
            upstreams_read: Cell::new(None),
            differs_since: Cell::new(None),
            newer: Notify::new(),
            stopping: Cell::new(None),
            is_closing: Cell::new(false),
            closing: Notify::new(),
            fleet_changed: Notify::new(),
            open: Cell::new(0),
        })
    }

    /// Times of a new connection.
    pub(super) fn dial(&self) -> ConnectionTimeouts {
        let timing = self.settings.borrow().timing;
        ConnectionTimeouts {
            connect: Duration::from_millis(timing.connect_ms),
            unacknowledged: Duration::from_millis(timing.unacknowledged_ms),
        }
    }

    /// Limits on what callers send, those of the version in force.
    pub(super) fn limits(&self) -> Limits {
        let in_force = self.in_force.borrow();
        in_force.table().map(|t| *t.limits()).unwrap_or_default()
    }

    /// Whether new requests are wanted: a configuration is known and no stop was asked for.
    pub(super) fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.in_force.borrow().table().is_some()
    }

    /// Whether a log line that comes with a request may be written.
    pub(super) fn may_log(&self, kind: Kind) -> bool {
        let may = self.lines.may_write(self.clock.now(), kind);
        if !may {
            self.metrics.lines_dropped.inc();
        }
        may
    }

    /// Instances that share limits with this one, itself among them.
    pub(super) fn instances(&self) -> u32 {
        let known = self.mesh.borrow().instances(self.clock.now());
        known.unwrap_or_else(|| self.settings.borrow().retries.instances)
    }

    /// Takes what discovery shows of an upstream; returns whether the view has changed.
    pub(super) fn on_listed(&self, listed: &ListedUpstream) -> bool {
        let is_new = self.fleet.borrow_mut().on_listed(listed);
        if is_new {
            tracing::info!(
                upstream = %listed.name,
                service = %listed.service,
                incarnation = listed.incarnation,
                state = ?listed.state,
                "upstream listed"
            );
            self.note_change(listed.clone(), false);
        }
        is_new
    }

    /// Forgets an upstream that discovery shows no longer.
    pub(super) fn on_gone(&self, name: &str) {
        let known = self
            .fleet
            .borrow()
            .iter()
            .find(|u| *u.name == *name)
            .cloned();
        if let Some(listed) = known {
            self.fleet.borrow_mut().on_removed(name);
            tracing::info!(upstream = name, "upstream gone");
            self.note_change(listed, true);
        }
    }

    fn note_change(&self, listed: ListedUpstream, is_gone: bool) {
        let now = self.clock.now();
        let mut changes = self.changes.borrow_mut();
        // Only the last change of an upstream is told, so that it can be taken more than once.
        changes.retain(|(at, c)| now.since(*at) < CHANGE_TOLD_MS && c.listed.name != listed.name);
        changes.push((now, Change { listed, is_gone }));
    }

    /// Counts a request for a service.
    pub(super) fn on_request(&self, service: &Arc<str>) {
        let now = self.clock.now();
        self.with_budget(service, |b| b.on_request(now));
    }

    /// Takes a repeat from the budget of a service.
    pub(super) fn take_repeat(&self, service: &Arc<str>) -> bool {
        let now = self.clock.now();
        let instances = self.instances();
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
