//! State that all tasks of an instance share.
//!
//! All tasks run on one thread, so cells and `RefCell`s suffice. A borrow must not be held across
//! an `await`.

mod configuration;
mod listing;
mod software;

use super::{
    bodies::Discards,
    caller_settings,
    callers::Callers,
    client::ConnectionTimeouts,
    crashes::{
        self,
        CrashCheck, //
    },
    header_names::HeaderNames,
    key_records::RecordedKeys,
    lines::{
        Kind,
        LineLimiter, //
    },
    log_access::LogAccess,
    metrics::Metrics,
    partial_events::PartialEvents,
    retries::RetryBudgets,
    settings::Settings,
    sockets::ConnectionPool,
    streams::PendingLookup,
    usage,
    verdicts::PendingTrial, //
};
use crate::{
    Clock,
    time::wall_ms, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    sync::Notify, //
};
use vanillakeel::{
    Millis,
    ask_pace::Asker,
    division::{
        self,
        Roster, //
    },
    duty::{
        self,
        Candidate, //
    },
    fleet::{
        self,
        Fleet,
        ListedUpstream,
        RemovedUpstreams, //
    },
    mesh::{
        self,
        Mesh,
        PartedText,
        Peer,
        ReportIds,
        TextAssembly, //
    },
    order,
    quarantine::{
        self,
        Quarantine, //
    },
    routes::{
        Freshness,
        InForce,
        Limits, //
    },
    streams::{
        self,
        BegunStreams,
        ServedVersions,
        Spread, //
    },
    usage::Ledger,
};

/// Margin that is subtracted from the time for which keys are accepted without a confirmation, in ms.
///
/// It covers the time between the check of a key and the moment at which the result is used.
const FRESHNESS_MARGIN_MS: u64 = 300;

/// What has shown a change of the upstreams, in the log, if this instance has read the list itself.
pub(super) const OWN_READ: &str = "log";

/// Returns the limits on the age of a confirmation that the settings give.
const fn freshness_of(settings: &Settings) -> Freshness {
    let timing = settings.timing;
    Freshness {
        keys_ms: timing.revoked_ms.saturating_sub(FRESHNESS_MARGIN_MS),
        version_ms: timing.in_force_ms,
    }
}

/// A change of an upstream that discovery has shown.
#[derive(Clone, Debug)]
pub(super) struct UpstreamChange {
    pub(super) listed: ListedUpstream,
    /// Whether the upstream was removed.
    pub(super) is_removed: bool,
}

/// State of an instance that its tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) header_names: HeaderNames,
    pub(super) settings: RefCell<Settings>,
    pub(super) in_force: RefCell<InForce>,
    /// Keys of versions that the log holds.
    pub(super) recorded_keys: RecordedKeys,
    pub(super) fleet: RefCell<Fleet>,
    pub(super) connection_pool: RefCell<ConnectionPool>,
    pub(super) retry_budgets: RetryBudgets,
    pub(super) metrics: Metrics,
    line_limiter: LineLimiter,
    pub(super) mesh: RefCell<Mesh>,
    /// Instances among which rates of upstreams are divided.
    pub(super) roster: RefCell<Roster>,
    pub(super) report_ids: ReportIds,
    /// Socket for peers, if there is one.
    pub(super) mesh_socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Streams whose software version is known here.
    pub(super) begun_streams: RefCell<BegunStreams>,
    /// What peers are told of these streams.
    pub(super) spread: RefCell<Spread>,
    /// Time at which this instance has heard of a peer for the first time, the last one that has joined.
    pub(super) peer_joined_at: Cell<Option<Millis>>,
    /// Software versions that have served lately.
    pub(super) served_versions: RefCell<ServedVersions>,
    /// Whether a request waits for a read of the records of versions.
    pub(super) wants_version_records: Cell<bool>,
    /// Wakes the task that keeps these records.
    pub(super) check_version_records: Notify,
    /// Wakes requests that wait for a read of them.
    pub(super) version_records_read: Notify,
    /// Wakes the task that saves streams while several versions serve.
    pub(super) save_streams: Notify,
    /// Wakes tasks that wait until the streams are saved.
    pub(super) streams_saved: Notify,
    /// Wakes the task that reads the upstreams.
    pub(super) read_upstreams: Notify,
    /// Wakes tasks that wait for a read of the upstreams.
    pub(super) upstreams_read: Notify,
    /// Streams whose keepers have been asked.
    pub(super) stream_lookups: RefCell<Vec<Rc<PendingLookup>>>,
    /// Recent changes of upstreams, for members for which this instance reads the log.
    pub(super) recent_changes: RefCell<Vec<(Millis, UpstreamChange)>>,
    /// Time at which the last complete read of the upstreams was sent to the log.
    pub(super) upstreams_read_at: Cell<Option<Millis>>,
    /// Text of the version in force, kept for members.
    pub(super) text: RefCell<Option<PartedText>>,
    /// Text that a hub has been asked for.
    pub(super) text_assembly: RefCell<Option<TextAssembly>>,
    /// Wakes the task that has asked for a text.
    pub(super) text_part_added: Notify,
    /// Whether a member has told of changes of upstreams since the last own read of the list.
    pub(super) has_relayed_changes: Cell<bool>,
    /// Time since which the upstreams known to the hub differ from those known here.
    pub(super) hub_differs_since: Cell<Option<Millis>>,
    /// Name of the instance whose read confirmed the version in force last, which may be this one.
    pub(super) confirmed_by: RefCell<Arc<str>>,
    /// Wakes requests that wait until the version in force may be used.
    standing_changed: Notify,
    /// Latest era of the log that an answer has shown, or `None` before the first answer.
    log_era: Cell<Option<u64>>,
    /// How the log serves this instance.
    pub(super) log_access: LogAccess,
    /// Wakes the tasks that read or write the log when its era has risen.
    pub(super) era_risen: Notify,
    /// Recent checks whether upstreams have crashed.
    pub(super) crash_checks: RefCell<Vec<Rc<CrashCheck>>>,
    /// Prompt segments that crash upstreams.
    pub(super) quarantine: RefCell<Quarantine>,
    /// Wakes the task that keeps verdicts on the log.
    pub(super) quarantine_changed: Notify,
    /// Requests that wait until the log holds that they are let through.
    pub(super) pending_trials: RefCell<Vec<PendingTrial>>,
    /// Upstreams that were removed recently.
    removed_upstreams: RefCell<RemovedUpstreams>,
    /// Wakes the task that reads the configuration when another instance has announced a newer version.
    pub(super) newer_version: Notify,
    /// Time at which a stop was requested.
    pub(super) stopping_since: Cell<Option<Millis>>,
    /// Wakes the requests whose bodies are being read when a stop is requested.
    pub(super) stopping: Notify,
    /// Whether the process exits in a moment, so that open requests get their last answers.
    pub(super) is_exiting: Cell<bool>,
    /// Wakes open requests when `is_exiting` is set.
    pub(super) exiting: Notify,
    /// Whether connections of callers are closed after their current answer.
    pub(super) is_closing: Cell<bool>,
    /// Wakes the connections of callers when `is_closing` is set.
    pub(super) closing: Notify,
    /// The lease for the platform's tasks.
    pub(super) duty: Rc<RefCell<Candidate>>,
    /// Wakes requests that wait for an available upstream.
    pub(super) fleet_changed: Notify,
    /// Number of requests that are being answered.
    pub(super) open_requests: Cell<u32>,
    /// Counts of the requests that upstreams began.
    pub(super) usage: Rc<RefCell<Ledger>>,
    /// Whether they are counted, by the settings at the start.
    pub(super) counts_usage: bool,
    /// Connections of callers and what they hold.
    pub(super) callers: Rc<Callers>,
    /// Refused bodies whose rest is being discarded.
    pub(super) discards: Rc<Discards>,
    /// What streams hold of events that are not complete.
    pub(super) partial_events: Rc<PartialEvents>,
}

impl Shared {
    /// Creates the state of an instance that has read nothing yet.
    pub(super) fn new(settings: Settings, header_names: HeaderNames) -> Rc<Self> {
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
        let log = order::weight_for(wall_ms(), &settings.instance.name);
        let judge = settings.quarantine.to_library();
        let lease = duty::Settings::for_lease(settings.duties.lease_ms);
        let duty = Candidate::new(&me.name, log, lease);
        let ledger = usage::new_ledger(&settings);
        let counts_usage = usage::is_counted(&settings);
        let roster = match settings.listen.peers {
            Some(_) => Roster::new(&me.name, division::Settings::default()),
            None => Roster::fixed(settings.retries.instances),
        };
        let clock = Clock::start();
        let callers = Callers::new(clock, settings.callers.to_library(&settings.machine));
        let partial_events = PartialEvents::new(&settings.machine);
        let mut connection_pool = ConnectionPool::default();
        connection_pool.set_max_open(caller_settings::descriptor_share(&settings.machine));
        Rc::new(Self {
            clock,
            header_names,
            in_force: RefCell::new(InForce::new(freshness_of(&settings))),
            recorded_keys: RecordedKeys::default(),
            settings: RefCell::new(settings),
            fleet: RefCell::new(Fleet::new(fleet, seed)),
            connection_pool: RefCell::new(connection_pool),
            retry_budgets: RetryBudgets::default(),
            metrics: Metrics::default(),
            line_limiter: LineLimiter::default(),
            mesh: RefCell::new(Mesh::new(me, mesh::Settings::default())),
            roster: RefCell::new(roster),
            report_ids: ReportIds::new(wall_ms()),
            mesh_socket: RefCell::default(),
            begun_streams: RefCell::new(BegunStreams::new(streams::Settings::default())),
            spread: RefCell::new(Spread::new(log)),
            peer_joined_at: Cell::new(None),
            served_versions: RefCell::default(),
            wants_version_records: Cell::new(false),
            check_version_records: Notify::new(),
            version_records_read: Notify::new(),
            save_streams: Notify::new(),
            streams_saved: Notify::new(),
            read_upstreams: Notify::new(),
            upstreams_read: Notify::new(),
            stream_lookups: RefCell::default(),
            recent_changes: RefCell::default(),
            upstreams_read_at: Cell::new(None),
            text: RefCell::default(),
            text_assembly: RefCell::default(),
            text_part_added: Notify::new(),
            has_relayed_changes: Cell::new(false),
            hub_differs_since: Cell::new(None),
            confirmed_by: RefCell::new(Arc::from("")),
            standing_changed: Notify::new(),
            log_era: Cell::new(None),
            log_access: LogAccess::default(),
            era_risen: Notify::new(),
            crash_checks: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(judge)),
            quarantine_changed: Notify::new(),
            pending_trials: RefCell::default(),
            removed_upstreams: RefCell::default(),
            newer_version: Notify::new(),
            stopping_since: Cell::new(None),
            stopping: Notify::new(),
            is_exiting: Cell::new(false),
            exiting: Notify::new(),
            is_closing: Cell::new(false),
            closing: Notify::new(),
            duty: Rc::new(RefCell::new(duty)),
            fleet_changed: Notify::new(),
            open_requests: Cell::new(0),
            usage: Rc::new(RefCell::new(ledger)),
            counts_usage,
            callers,
            discards: Rc::default(),
            partial_events,
        })
    }

    /// Replaces the settings; those that only count at the start have no effect.
    pub(super) fn set_settings(&self, settings: Settings) {
        let freshness = freshness_of(&settings);
        self.in_force.borrow_mut().set_freshness(freshness);
        let quarantine = settings.quarantine.to_library();
        let lifted = self.quarantine.borrow_mut().set_settings(quarantine);
        crashes::log_changes(self, &lifted);
        let callers = settings.callers.to_library(&settings.machine);
        self.callers.set_settings(callers);
        let max_open = caller_settings::descriptor_share(&settings.machine);
        self.connection_pool.borrow_mut().set_max_open(max_open);
        self.partial_events.set_machine(&settings.machine);
        *self.settings.borrow_mut() = settings;
    }

    /// Returns the time by which the quarantine goes: later than the clock, so that crashes from before the start of
    /// the process have different times.
    pub(super) fn quarantine_now(&self) -> Millis {
        self.clock.now().plus(quarantine::SUSPECT_TTL_MS)
    }

    /// Returns the timeouts of a new connection.
    pub(super) fn connection_timeouts(&self) -> ConnectionTimeouts {
        let timing = self.settings.borrow().timing;
        ConnectionTimeouts {
            connect: Duration::from_millis(timing.connect_ms),
            unacknowledged: Duration::from_millis(timing.unacknowledged_ms),
        }
    }

    /// Returns the limits on requests, from the configuration in force or else the defaults.
    pub(super) fn limits(&self) -> Limits {
        let in_force = self.in_force.borrow();
        in_force.table().map(|t| *t.limits()).unwrap_or_default()
    }

    /// Returns whether a configuration is known and no stop was requested.
    pub(super) fn is_ready(&self) -> bool {
        self.stopping_since.get().is_none() && self.in_force.borrow().table().is_some()
    }

    /// Returns whether a log line for a request may be written; otherwise counts it.
    pub(super) fn may_log(&self, kind: Kind) -> bool {
        let may_write = self.line_limiter.may_write(self.clock.now(), kind);
        if !may_write {
            self.metrics.lines_dropped.inc();
        }
        may_write
    }

    /// Returns the latest known era of the log, or 0 before the first answer.
    pub(super) fn log_era(&self) -> u64 {
        self.log_era.get().unwrap_or(0)
    }

    /// Records the era of an answer of the log; returns whether it is the present era.
    ///
    /// An answer of an earlier era was late and says nothing about the present contents of the log.
    /// When the era rises, all tasks have to read the newest records again.
    pub(super) fn on_log_era(&self, era: u64) -> bool {
        let known = self.log_era.get();
        if known < Some(era) {
            self.log_era.set(Some(era));
            self.metrics.log_era.set(era.cast_signed());
            if let Some(previous) = known {
                tracing::warn!(
                    era,
                    previous,
                    version = self.in_force.borrow().version(),
                    "log came back from an earlier copy; reading the newest records again"
                );
                self.era_risen.notify_waiters();
            }
        }
        known <= Some(era)
    }

    /// Returns whether an upstream was removed a short time ago, so that an entry of an earlier copy of
    /// the log is out of date.
    pub(super) fn was_removed(&self, listed: &ListedUpstream) -> bool {
        self.removed_upstreams.borrow().contains(listed)
    }

    /// Records that the log has not served a call of this instance that was made at `asked_at`.
    pub(super) fn on_log_failed(&self, asked_at: Millis) {
        let now = self.clock.now();
        let can_serve = self.in_force.borrow().table().is_some();
        let asker = if can_serve && self.mesh.borrow().hears_hub(now) {
            Asker::Member
        } else {
            Asker::Hub
        };
        let random = self.fleet.borrow_mut().next_random();
        self.log_access.on_failed(asked_at, asker, random);
    }

    /// Returns the page of metrics, with gauges of the present state.
    pub(super) fn metrics_page(&self) -> String {
        let age_ms = self.in_force.borrow().confirmation_age_ms(self.clock.now());
        let age_ms = age_ms.map_or(-1, |ms| i64::try_from(ms).unwrap_or(i64::MAX));
        self.metrics.confirmation_age_ms.set(age_ms);
        let (held, connections) = self.callers.totals();
        self.metrics.set_callers(held, connections);
        self.metrics.encode_page()
    }

    /// Returns the number of instances that share limits, including this one, or `None` while it is not
    /// known.
    pub(super) fn sharing_instances(&self) -> Option<u32> {
        let settings = self.settings.borrow();
        if settings.listen.peers.is_none() {
            return Some(settings.retries.instances);
        }
        self.mesh.borrow_mut().sharing_instances(self.clock.now())
    }
}
