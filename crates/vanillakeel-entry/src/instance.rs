//! One running instance and its threads.

use crate::{
    caller::{
        self,
        Shared, //
    },
    control::{
        Control,
        Outputs, //
    },
    message::Input,
    operators, peer, platform,
    settings::Settings,
    spawn::named,
};
use crossbeam::channel::{
    Sender,
    bounded, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};
use uuid::Uuid;
use vanillakeel_http::Server;
use vanillakeel_log::Client;

/// Inputs of the control thread that may wait.
const INPUTS: usize = 8_192;

/// Records that may wait to be appended.
const APPENDS: usize = 256;

/// Orders that may wait to be sent.
const ORDERS: usize = 1_024;

/// Threads that send orders.
const ORDER_THREADS: usize = 4;

/// Why an instance did not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// listen.callers: {0}
    Callers(io::Error),
    /// listen.operators: {0}
    Operators(io::Error),
    /// listen.peers: {0}
    Peers(io::Error),
    /// keys: {0}
    Keys(String),
}

impl std::error::Error for StartError {}

/// A running instance.
pub struct Instance {
    tx: Sender<Input>,
    control: thread::JoinHandle<()>,
    is_stopping: Arc<AtomicBool>,
    callers: Arc<tiny_http::Server>,
    callers_address: SocketAddr,
    peers_address: SocketAddr,
    operators: Server,
}

impl std::fmt::Debug for Instance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Instance")
            .field("callers_address", &self.callers_address)
            .field("peers_address", &self.peers_address)
            .finish_non_exhaustive()
    }
}

impl Instance {
    /// Starts an instance; addresses with port 0 take a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken or the keys can't be read.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let (tx, rx) = bounded(INPUTS);
        let boot = format!("{}/{}", settings.instance.name, Uuid::new_v4().simple());
        let window_ms = settings.timing.key_window_ms;
        let shared = Arc::new(Shared::new(boot, settings.limits, window_ms, tx.clone()));
        let is_stopping = Arc::new(AtomicBool::new(false));
        let is_ready = Arc::new(AtomicBool::new(false));
        let is_holder = Arc::new(AtomicBool::new(false));
        let status = Arc::new(Mutex::new("{}".to_owned()));
        let targets = Arc::new(Mutex::new(Vec::new()));

        let (socket, peers_address) =
            peer::bind(settings.listen.peers).map_err(StartError::Peers)?;
        let peers = match &settings.keys {
            Some(keys) => Some(peer::spawn(socket, keys, &shared).map_err(StartError::Keys)?),
            None => None,
        };
        let operators = operators::spawn(settings.listen.operators, &shared, &is_ready, &status)
            .map_err(StartError::Operators)?;
        let (callers, callers_address) =
            caller::spawn(settings.listen.callers, &shared).map_err(StartError::Callers)?;

        let log = Client::new(settings.platform.log);
        let (appends, to_append) = bounded(APPENDS);
        let (claim_appends, to_claim) = bounded(APPENDS);
        let (orders, to_send) = bounded(ORDERS);
        platform::spawn_writer(log, to_append, tx.clone());
        platform::spawn_writer(log, to_claim, tx.clone());
        platform::spawn_reader(log, tx.clone(), Arc::clone(&is_stopping));
        platform::spawn_orders(&to_send, ORDER_THREADS);
        let timing = settings.timing;
        platform::spawn_list(
            settings.platform.instance_list,
            Duration::from_millis(timing.list_every_ms),
            tx.clone(),
            Arc::clone(&is_stopping),
        );
        platform::spawn_load(
            Arc::clone(&targets),
            Duration::from_millis(timing.report_every_ms),
            Arc::clone(&is_holder),
            tx.clone(),
            Arc::clone(&is_stopping),
        );

        let out = Outputs {
            appends,
            claim_appends,
            orders,
            peers,
            targets,
            status,
            is_ready,
            is_holder,
        };
        let control = Control::new(settings, Arc::clone(&shared), out);
        let control = named("vk-control", move || control.run(&rx));
        Ok(Self {
            tx,
            control,
            is_stopping,
            callers,
            callers_address,
            peers_address,
            operators,
        })
    }

    /// Where callers reach it.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers_address
    }

    /// Where operators reach it.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where other instances reach it.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers_address
    }

    /// Asks for a planned stop; asked a second time, it ends at once.
    pub fn stop(&self) {
        let _ = self.tx.send(Input::Stop);
    }

    /// Whether a planned stop is over.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.control.is_finished()
    }

    /// Waits for the end of a planned stop.
    pub fn wait(self) {
        let _ = self.control.join();
        self.is_stopping.store(true, Ordering::SeqCst);
        self.callers.unblock();
    }
}
