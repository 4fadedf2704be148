//! The thread that sends and receives messages.
//!
//! Each message travels on a unidirectional stream of its own. Messages are not retried here: their
//! senders repeat them.

use super::tls;
use crate::{
    caller::Shared,
    message::Input,
    metrics::Metrics,
    settings::Keys,
    spawn::named, //
};
use quinn::{
    Connection,
    Endpoint,
    Incoming, //
};
use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};
use tokio::{
    sync::mpsc,
    time::timeout, //
};
use vanillakeel_wire::{
    Message as _,
    generated::PeerMessage, //
};

/// Capacity of the queue of messages to send; further messages are dropped, since all are repeated.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Timeout of sending a message, with the handshake if one is needed.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a message in bytes, which leaves room for a configuration.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// A message to another instance.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) message: PeerMessage,
}

/// An open connection to a peer.
#[derive(Clone, Debug)]
struct OpenConnection {
    name: String,
    address: SocketAddr,
    connection: Connection,
}

/// The endpoint and its open outgoing connections, shared by the tasks of the thread.
struct Connections {
    endpoint: Endpoint,
    shared: Arc<Shared>,
    open: Mutex<Vec<OpenConnection>>,
}

/// Binds the socket for peers; returns it with its address.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<(UdpSocket, SocketAddr)> {
    let socket = UdpSocket::bind(address)?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// Starts the thread; returns the channel for messages to send.
///
/// # Errors
///
/// Returns a message if the keys can't be read or the runtime can't be created.
pub(crate) fn spawn(
    socket: UdpSocket,
    keys: &Keys,
    shared: &Arc<Shared>,
) -> Result<mpsc::Sender<Outgoing>, String> {
    let configs = tls::read_keys(keys)?;
    let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let shared = Arc::clone(shared);
    named("vk-peer", move || {
        if let Err(e) = runtime.block_on(run(socket, configs, shared, rx)) {
            tracing::error!(error = %e, "failed to open the endpoint for peers; no messages are exchanged");
        }
    });
    Ok(tx)
}

async fn run(
    socket: UdpSocket,
    configs: tls::QuicConfigs,
    shared: Arc<Shared>,
    mut rx: mpsc::Receiver<Outgoing>,
) -> std::io::Result<()> {
    let config = quinn::EndpointConfig::default();
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint = Endpoint::new(config, Some(configs.server), socket, runtime)?;
    endpoint.set_default_client_config(configs.client);
    let connections = Arc::new(Connections {
        endpoint: endpoint.clone(),
        shared,
        open: Mutex::default(),
    });
    let accepting = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Some(incoming) = accepting.endpoint.accept().await {
            tokio::spawn(receive(Arc::clone(&accepting), incoming));
        }
    });
    while let Some(outgoing) = rx.recv().await {
        tokio::spawn(send(Arc::clone(&connections), outgoing));
    }
    endpoint.close(0u32.into(), b"stopped");
    endpoint.wait_idle().await;
    Ok(())
}

impl Connections {
    fn count_refused(&self, kind: &str) {
        Metrics::count(&self.shared.metrics.peer_refused, kind, 1);
    }

    fn find_open(&self, outgoing: &Outgoing) -> Option<Connection> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|o| o.connection.close_reason().is_none());
        open.iter()
            .find(|o| o.name == outgoing.name && o.address == outgoing.address)
            .map(|o| o.connection.clone())
    }

    fn insert(&self, outgoing: &Outgoing, connection: &Connection) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|o| o.name != outgoing.name);
        open.push(OpenConnection {
            name: outgoing.name.clone(),
            address: outgoing.address,
            connection: connection.clone(),
        });
    }

    fn remove(&self, name: &str) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|o| o.name != name);
    }

    /// Returns an open connection to a peer, or opens one; the peer's certificate must carry its name.
    async fn connect(&self, outgoing: &Outgoing) -> Option<Connection> {
        if let Some(connection) = self.find_open(outgoing) {
            return Some(connection);
        }
        let connecting = self.endpoint.connect(outgoing.address, &outgoing.name);
        let connection = match connecting {
            Ok(connecting) => connecting.await.ok(),
            Err(_) => None,
        };
        match &connection {
            Some(connection) => self.insert(outgoing, connection),
            None => self.count_refused("connect"),
        }
        connection
    }
}

async fn send(connections: Arc<Connections>, outgoing: Outgoing) {
    let sent = timeout(SEND_TIMEOUT, try_send(&connections, &outgoing)).await;
    if sent != Ok(Some(())) {
        connections.remove(&outgoing.name);
    }
}

async fn try_send(connections: &Connections, outgoing: &Outgoing) -> Option<()> {
    let connection = connections.connect(outgoing).await?;
    let before = connection.stats();
    let mut stream = connection.open_uni().await.ok()?;
    let bytes = outgoing.message.encode_to_vec();
    stream.write_all(&bytes).await.ok()?;
    stream.finish().ok()?;
    // Waits until the peer has acknowledged all data, so that a dead connection is detected.
    stream.stopped().await.ok()?;
    let after = connection.stats();
    let metrics = &connections.shared.metrics;
    let sent = after.udp_tx.bytes - before.udp_tx.bytes;
    let received = after.udp_rx.bytes - before.udp_rx.bytes;
    metrics.count_peer_bytes(&outgoing.name, "sent", sent);
    metrics.count_peer_bytes(&outgoing.name, "received", received);
    Some(())
}

async fn receive(connections: Arc<Connections>, incoming: Incoming) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(_) => {
            connections.count_refused("handshake");
            return;
        }
    };
    let mut counted = (0, 0);
    while let Ok(mut stream) = connection.accept_uni().await {
        let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_BYTES).await else {
            connections.count_refused("size");
            continue;
        };
        let Ok(message) = PeerMessage::decode(bytes.as_slice()) else {
            connections.count_refused("message");
            continue;
        };
        let stats = connection.stats();
        let metrics = &connections.shared.metrics;
        let (sent, received) = (stats.udp_tx.bytes, stats.udp_rx.bytes);
        metrics.count_peer_bytes(&message.from, "sent", sent - counted.0);
        metrics.count_peer_bytes(&message.from, "received", received - counted.1);
        counted = (sent, received);
        // The message is dropped if the queue of the control thread is full; its sender repeats it.
        let _ = connections
            .shared
            .tx
            .try_send(Input::PeerMessage(Box::new(message)));
    }
}
