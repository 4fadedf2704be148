//! Server sockets, and a small server that runs each request in its own thread.

use socket2::{
    Domain,
    Protocol,
    Socket,
    Type, //
};
use std::{
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

/// Connections that the system queues until they are accepted.
const BACKLOG: i32 = 1_024;

/// Time after which a send to a client that reads nothing fails, so that it can't block
/// a thread forever.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens a server socket that listens at `address`.
///
/// The sockets that it accepts inherit its options: small writes are sent without delay
/// (`TCP_NODELAY`), and a send that makes no progress for 20 s fails.
///
/// # Errors
///
/// Returns the error of the system, for example if the address is in use.
pub fn listen(address: SocketAddr) -> io::Result<tiny_http::Server> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(SEND_TIMEOUT))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener: TcpListener = socket.into();
    tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)
}

/// A server that runs a handler for each request, each in its own thread.
///
/// Dropping it stops accepting requests; handlers that are running are not waited for.
#[derive(Debug)]
pub struct Server {
    server: Arc<ServerHandle>,
    address: SocketAddr,
    thread: Option<thread::JoinHandle<()>>,
}

/// The server of the HTTP library, wrapped since it does not implement `Debug`.
struct ServerHandle(tiny_http::Server);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Server")
    }
}

impl Server {
    /// Starts a server at `address` that calls `handle` for each request.
    ///
    /// Port 0 selects a free port; see [`Self::address`].
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example if the address is in use.
    pub fn start<F>(address: SocketAddr, handle: F) -> io::Result<Self>
    where
        F: Fn(tiny_http::Request) + Send + Sync + 'static,
    {
        let server = Arc::new(ServerHandle(listen(address)?));
        let address = server.0.server_addr().to_ip().unwrap_or(address);
        let handle = Arc::new(handle);
        let accepting = Arc::clone(&server);
        let thread = thread::spawn(move || {
            while let Ok(req) = accepting.0.recv() {
                let handle = Arc::clone(&handle);
                thread::spawn(move || handle(req));
            }
        });
        Ok(Self {
            server,
            address,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.server.0.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns the value of `key` in the query of `path`, without percent-decoding.
#[must_use]
pub fn query_value<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let (_, pairs) = path.split_once('?')?;
    pairs
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(k, _)| *k == key)
        .map(|(_, value)| value)
}
