//! The thread that sends and receives messages.

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

/// Messages that may wait to be sent; more are dropped, since all of them are repeated.
const QUEUE: usize = 256;

/// Time after which sending a message is given up.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest message in bytes, which leaves room for a text.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// A message to another instance.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) message: PeerMessage,
}

#[derive(Clone, Debug)]
struct Open {
    name: String,
    address: SocketAddr,
    connection: Connection,
}

/// What the tasks of the thread share.
struct Links {
    endpoint: Endpoint,
    shared: Arc<Shared>,
    open: Mutex<Vec<Open>>,
}

/// Opens the socket for peers; returns it with its address.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<(UdpSocket, SocketAddr)> {
    let socket = UdpSocket::bind(address)?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// Starts the thread; returns the channel to it.
///
/// # Errors
///
/// Returns a text if the keys can't be read.
pub(crate) fn spawn(
    socket: UdpSocket,
    keys: &Keys,
    shared: &Arc<Shared>,
) -> Result<mpsc::Sender<Outgoing>, String> {
    let ends = tls::read(keys)?;
    let (tx, rx) = mpsc::channel(QUEUE);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let shared = Arc::clone(shared);
    named("vk-peer", move || {
        if let Err(e) = runtime.block_on(run(socket, ends, shared, rx)) {
            tracing::error!(error = %e, "no talk with peers");
        }
    });
    Ok(tx)
}

async fn run(
    socket: UdpSocket,
    ends: tls::Ends,
    shared: Arc<Shared>,
    mut rx: mpsc::Receiver<Outgoing>,
) -> std::io::Result<()> {
    let config = quinn::EndpointConfig::default();
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint = Endpoint::new(config, Some(ends.server), socket, runtime)?;
    endpoint.set_default_client_config(ends.client);
    let links = Arc::new(Links {
        endpoint: endpoint.clone(),
        shared,
        open: Mutex::default(),
    });
    let accepting = Arc::clone(&links);
    tokio::spawn(async move {
        while let Some(incoming) = accepting.endpoint.accept().await {
            tokio::spawn(receive(Arc::clone(&accepting), incoming));
        }
    });
    while let Some(outgoing) = rx.recv().await {
        tokio::spawn(send(Arc::clone(&links), outgoing));
    }
    endpoint.close(0u32.into(), b"stopped");
    endpoint.wait_idle().await;
    Ok(())
}

impl Links {
    fn refused(&self, kind: &str) {
        Metrics::count(&self.shared.metrics.peer_refused, kind, 1);
    }

    fn cached(&self, outgoing: &Outgoing) -> Option<Connection> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|o| o.connection.close_reason().is_none());
        open.iter()
            .find(|o| o.name == outgoing.name && o.address == outgoing.address)
            .map(|o| o.connection.clone())
    }

    fn keep(&self, outgoing: &Outgoing, connection: &Connection) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|o| o.name != outgoing.name);
        open.push(Open {
            name: outgoing.name.clone(),
            address: outgoing.address,
            connection: connection.clone(),
        });
    }

    fn forget(&self, name: &str) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|o| o.name != name);
    }

    /// The connection to a peer, whose certificate has to carry its name.
    async fn connect(&self, outgoing: &Outgoing) -> Option<Connection> {
        if let Some(connection) = self.cached(outgoing) {
            return Some(connection);
        }
        let connecting = self.endpoint.connect(outgoing.address, &outgoing.name);
        let connection = match connecting {
            Ok(connecting) => connecting.await.ok(),
            Err(_) => None,
        };
        match &connection {
            Some(connection) => self.keep(outgoing, connection),
            None => self.refused("connect"),
        }
        connection
    }
}

async fn send(links: Arc<Links>, outgoing: Outgoing) {
    let sent = timeout(SEND_TIMEOUT, try_send(&links, &outgoing)).await;
    if sent != Ok(Some(())) {
        links.forget(&outgoing.name);
    }
}

async fn try_send(links: &Links, outgoing: &Outgoing) -> Option<()> {
    let connection = links.connect(outgoing).await?;
    let before = connection.stats();
    let mut stream = connection.open_uni().await.ok()?;
    let bytes = outgoing.message.encode_to_vec();
    stream.write_all(&bytes).await.ok()?;
    stream.finish().ok()?;
    // The peer acknowledges all data, so that a dead connection is noticed.
    stream.stopped().await.ok()?;
    let after = connection.stats();
    let metrics = &links.shared.metrics;
    let sent = after.udp_tx.bytes - before.udp_tx.bytes;
    let received = after.udp_rx.bytes - before.udp_rx.bytes;
    metrics.on_peer_bytes(&outgoing.name, "sent", sent);
    metrics.on_peer_bytes(&outgoing.name, "received", received);
    Some(())
}

async fn receive(links: Arc<Links>, incoming: Incoming) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(_) => {
            links.refused("handshake");
            return;
        }
    };
    let mut counted = (0, 0);
    while let Ok(mut stream) = connection.accept_uni().await {
        let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_BYTES).await else {
            links.refused("size");
            continue;
        };
        let Ok(message) = PeerMessage::decode(bytes.as_slice()) else {
            links.refused("message");
            continue;
        };
        let stats = connection.stats();
        let metrics = &links.shared.metrics;
        let (sent, received) = (stats.udp_tx.bytes, stats.udp_rx.bytes);
        metrics.on_peer_bytes(&message.from, "sent", sent - counted.0);
        metrics.on_peer_bytes(&message.from, "received", received - counted.1);
        counted = (sent, received);
        // A full control thread loses the message; its sender repeats it.
        let _ = links.shared.tx.try_send(Input::Peer(Box::new(message)));
    }
}
