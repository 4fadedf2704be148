//! A running instance: starts its threads and connects them by channels.

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

/// Capacity of the queue of inputs to the control thread.
const MAX_QUEUED_INPUTS: usize = 8_192;

/// Capacity of each queue of records to append to the log.
const MAX_QUEUED_APPENDS: usize = 256;

/// Capacity of the queue of commands to upstreams.
const MAX_QUEUED_UPSTREAM_COMMANDS: usize = 1_024;

/// Number of threads that send commands to upstreams.
const COMMAND_THREADS: usize = 4;

/// Reason why an instance could not start.
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
    /// Starts an instance; an address with port 0 gets a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the keys can't be read.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let (tx, rx) = bounded(MAX_QUEUED_INPUTS);
        let run_id = format!("{}/{}", settings.instance.name, Uuid::new_v4().simple());
        let window_ms = settings.timing.key_window_ms;
        let shared = Arc::new(Shared::new(run_id, settings.limits, window_ms, tx.clone()));
        let is_stopping = Arc::new(AtomicBool::new(false));
        let is_ready = Arc::new(AtomicBool::new(false));
        let is_lease_holder = Arc::new(AtomicBool::new(false));
        let status = Arc::new(Mutex::new("{}".to_owned()));
        let poll_targets = Arc::new(Mutex::new(Vec::new()));

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
        let (appends, append_rx) = bounded(MAX_QUEUED_APPENDS);
        let (claim_appends, claim_append_rx) = bounded(MAX_QUEUED_APPENDS);
        let (upstream_commands, command_rx) = bounded(MAX_QUEUED_UPSTREAM_COMMANDS);
        platform::spawn_log_writer(log, append_rx, tx.clone());
        platform::spawn_log_writer(log, claim_append_rx, tx.clone());
        platform::spawn_log_reader(log, tx.clone(), Arc::clone(&is_stopping));
        platform::spawn_command_senders(&command_rx, COMMAND_THREADS);
        let timing = settings.timing;
        platform::spawn_list_reader(
            settings.platform.instance_list,
            Duration::from_millis(timing.list_every_ms),
            tx.clone(),
            Arc::clone(&is_stopping),
        );
        platform::spawn_load_poller(
            Arc::clone(&poll_targets),
            Duration::from_millis(timing.report_every_ms),
            Arc::clone(&is_lease_holder),
            tx.clone(),
            Arc::clone(&is_stopping),
        );

        let out = Outputs {
            appends,
            claim_appends,
            upstream_commands,
            peers,
            poll_targets,
            status,
            is_ready,
            is_lease_holder,
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

    /// Returns the address for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address for other instances.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers_address
    }

    /// Requests a planned stop; a second call ends the instance at once.
    pub fn stop(&self) {
        let _ = self.tx.send(Input::Stop);
    }

    /// Returns whether a planned stop is over.
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
