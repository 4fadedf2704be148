//! Start and end of a pass-through instance.

use super::{
    accept,
    names::Names,
    operators,
    peers,
    settings::Settings,
    shared::Shared,
    source::Source,
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
    rc::Rc, //
};
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    runtime::Builder,
    task::{
        LocalSet,
        spawn_local, //
    },
};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Why an instance did not start.
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

/// Addresses that an instance has bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness and metrics.
    pub operators: SocketAddr,
}

/// Serves until a signal stops the process; `path` is read again on SIGHUP.
///
/// `on_bound` is told the addresses before the first request is taken.
///
/// # Errors
///
/// Returns an error if an address is taken or signals can't be handled.
pub fn run(
    settings: Settings,
    path: &Path,
    names: Names,
    source: Source,
    on_bound: impl FnOnce(Bound),
) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(settings, path, names, source, on_bound))
}

async fn serve(
    settings: Settings,
    path: &Path,
    names: Names,
    source: Source,
    on_bound: impl FnOnce(Bound),
) -> Result<(), RunError> {
    let listen = settings.listen;
    let callers = bind(listen.callers).map_err(RunError::Callers)?;
    let operators = bind(listen.operators).map_err(RunError::Operators)?;
    let bound = Bound {
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
    let shared = Shared::new(settings, names);
    spawn_local(operators::serve(Rc::clone(&shared), operators));
    spawn_local(watch::configuration(Rc::clone(&shared), source.clone()));
    spawn_local(watch::upstreams(Rc::clone(&shared), source.clone()));
    if let Some(socket) = &socket {
        let run = peers::run(Rc::clone(&shared), source.clone(), Rc::clone(socket));
        spawn_local(run);
    }
    spawn_local(accept::accept_callers(Rc::clone(&shared), callers));
    let mut signals = stop::Signals::new().map_err(RunError::Signals)?;
    signals.until_asked(&shared, path).await;
    if let Some(socket) = socket {
        let shared = Rc::clone(&shared);
        spawn_local(async move { peers::leave(&shared, &source, &socket).await });
    }
    stop::drain(&shared).await;
    Ok(())
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
