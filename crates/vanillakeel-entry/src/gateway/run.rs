//! Start and stop of a pass-through instance.
//!
//! [`run`] binds the sockets, starts all tasks on one thread and returns after a graceful stop.

use super::{
    accept,
    capacity_view,
    duties,
    duty_calls::DutyCalls,
    duty_tasks::Tasks,
    header_names::HeaderNames,
    key_records,
    log_adapter::LogAdapter,
    operators,
    peers,
    registration,
    settings::Settings,
    shared::Shared,
    stop,
    watch, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    runtime::Builder,
    task::{
        JoinHandle,
        LocalSet,
        spawn_local, //
    },
    time::timeout,
};
use vanillakeel::{
    Millis,
    capacity::{
        self,
        Planner,
        ServiceView, //
    },
};

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Time after the start from which an instance may do the platform's tasks, in ms.
const DUTIES_START_MS: u64 = 1_000;

/// Time for which a stopping process waits for the end of the platform's tasks, in ms.
const DUTIES_END_MS: u64 = 500;

/// Reason why an instance could not start.
#[derive(Debug, displaydoc::Display)]
pub enum RunError {
    /// runtime: {0}
    Runtime(io::Error),
    /// listen.callers: {0}
    Callers(io::Error),
    /// listen.operators: {0}
    Operators(io::Error),
    /// listen.peers: {0}
    Peers(io::Error),
    /// signals: {0}
    Signals(io::Error),
}

impl std::error::Error for RunError {}

/// Addresses that an instance has bound; a port 0 in the settings is replaced by the actual port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the pages for readiness and metrics.
    pub operators: SocketAddr,
}

/// Serves requests until a signal stops the process.
///
/// `settings_path` is the file that is read again on SIGHUP. `on_bound` receives the bound
/// addresses before the first request is accepted.
///
/// # Errors
///
/// Returns an error if the runtime can't be created, an address can't be bound or the handlers of
/// signals can't be registered.
pub fn run(
    settings: Settings,
    settings_path: &Path,
    header_names: HeaderNames,
    log: LogAdapter,
    calls: DutyCalls,
    on_bound: impl FnOnce(BoundAddresses),
) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(
        &runtime,
        serve(settings, settings_path, header_names, log, calls, on_bound),
    )
}

async fn serve(
    settings: Settings,
    settings_path: &Path,
    header_names: HeaderNames,
    log: LogAdapter,
    calls: DutyCalls,
    on_bound: impl FnOnce(BoundAddresses),
) -> Result<(), RunError> {
    let listen = settings.listen;
    let callers = bind(listen.callers).map_err(RunError::Callers)?;
    let operators = bind(listen.operators).map_err(RunError::Operators)?;
    let bound = BoundAddresses {
        callers: callers.local_addr().map_err(RunError::Callers)?,
        operators: operators.local_addr().map_err(RunError::Operators)?,
    };
    on_bound(bound);
    tracing::info!(
        instance = settings.instance.name,
        data_centre = settings.instance.data_centre,
        callers = %bound.callers,
        operators = %bound.operators,
        "started"
    );
    let socket = match listen.peers {
        Some(address) => Some(UdpSocket::bind(address).await.map_err(RunError::Peers)?),
        None => None,
    };
    let socket = socket.map(Rc::new);
    let shared = Shared::new(settings, header_names);
    shared.mesh_socket.replace(socket.clone());
    spawn_local(operators::serve(Rc::clone(&shared), operators));
    spawn_local(key_records::keep(Rc::clone(&shared), log.clone()));
    spawn_local(watch::follow_configuration(Rc::clone(&shared), log.clone()));
    spawn_local(watch::follow_upstreams(Rc::clone(&shared), log.clone()));
    if let Some(socket) = &socket {
        let exchange = peers::run(Rc::clone(&shared), log.clone(), Rc::clone(socket));
        spawn_local(exchange);
    }
    let duties = start_duties(&shared, &log, calls);
    spawn_local(accept::accept_callers(Rc::clone(&shared), callers));
    let mut signals = stop::Signals::new().map_err(RunError::Signals)?;
    signals.wait_for_stop(&shared, settings_path).await;
    if let Some(socket) = socket {
        let shared = Rc::clone(&shared);
        spawn_local(async move { registration::leave(&shared, &log, &socket).await });
    }
    stop::drain(&shared).await;
    if let Some(duties) = duties {
        // The tasks have begun to end with the stop; without a holder, others wait for the lease.
        let _ = timeout(Duration::from_millis(DUTIES_END_MS), duties).await;
    }
    Ok(())
}

/// Starts the task that does the platform's tasks, if the settings have any.
fn start_duties(shared: &Rc<Shared>, log: &LogAdapter, calls: DutyCalls) -> Option<JoinHandle<()>> {
    let settings = shared.settings.borrow().duties;
    if !settings.is_active() {
        return None;
    }
    let name = Arc::clone(&shared.mesh.borrow().me().name);
    let candidate = Rc::clone(shared);
    let observed = Rc::clone(shared);
    let (era, risen, stop) = (Rc::clone(shared), Rc::clone(shared), Rc::clone(shared));
    let told = Rc::clone(shared);
    let tasks = Tasks {
        clock: shared.clock,
        settings,
        log: log.clone(),
        calls,
        candidate: Rc::clone(&shared.duty),
        ledger: Rc::clone(&shared.usage),
        planner: Planner::new(capacity::Settings::default()),
        metrics: shared.metrics.duties.clone(),
        is_candidate: Box::new(move |now| may_do_duties(&candidate, now)),
        log_era: Box::new(move || era.log_era()),
        on_log_era: Box::new(move |era| _ = risen.on_log_era(era)),
        capacity: shared.metrics.capacity.clone(),
        observe: Box::new(move |now| services(&observed, now)),
        announce: Box::new(move || peers::tell_duty(&told)),
        is_stopping: Box::new(move || stop.stopping_since.get().is_some()),
        name,
    };
    Some(spawn_local(duties::run(tasks)))
}

/// Returns the services whose number of upstreams follows the load, once the list of upstreams has been read.
fn services(shared: &Shared, now: Millis) -> Vec<ServiceView> {
    let in_force = shared.in_force.borrow();
    let table = in_force
        .table()
        .filter(|_| shared.upstreams_read_at.get().is_some());
    table.map_or_else(Vec::new, |table| {
        capacity_view::services(now, table, &shared.fleet.borrow())
    })
}

/// Returns whether this instance may take the lease of the platform's tasks.
///
/// Only hubs do, and an instance knows whether it is one a while after it has started.
fn may_do_duties(shared: &Shared, now: Millis) -> bool {
    let has_peers = shared.settings.borrow().listen.peers.is_some();
    let is_hub = !has_peers || shared.mesh.borrow().is_hub(now);
    is_hub && now >= Millis::new(DUTIES_START_MS) && shared.in_force.borrow().table().is_some()
}

/// Opens a listening TCP socket; a restarted process can bind the address again at once.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
