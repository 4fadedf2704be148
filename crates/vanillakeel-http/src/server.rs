//! Server sockets and a small server that runs a thread for each request.

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

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// A caller that takes nothing for this long is dropped.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens a server socket at `address`.
///
/// The sockets that it accepts inherit its settings: parts are sent without delay, and a send
/// that makes no progress for 20 s fails.
///
/// # Errors
///
/// Returns the error of the system, such as for an address in use.
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

/// A server that runs a thread for each request.
#[derive(Debug)]
pub struct Server {
    server: Arc<ServerHandle>,
    address: SocketAddr,
    thread: Option<thread::JoinHandle<()>>,
}

/// The library's server, which has no `Debug` of its own.
struct ServerHandle(tiny_http::Server);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Server")
    }
}

impl Server {
    /// Starts a server at `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, such as for an address in use.
    pub fn start<F>(address: SocketAddr, handle: F) -> io::Result<Self>
    where
        F: Fn(tiny_http::Request) + Send + Sync + 'static,
    {
        let server = Arc::new(ServerHandle(listen(address)?));
        let address = server.0.server_addr().to_ip().unwrap_or(address);
        let handle = Arc::new(handle);
        let inner = Arc::clone(&server);
        let thread = thread::spawn(move || {
            while let Ok(req) = inner.0.recv() {
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

    /// The address that it listens at.
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

/// The value of a key in the query of a path.
#[must_use]
pub fn query<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let (_, pairs) = path.split_once('?')?;
    pairs
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(k, _)| *k == key)
        .map(|(_, value)| value)
}
