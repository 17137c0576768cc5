//! Listening sockets of a process that starts.
//!
//! An address may be in use for a moment: by a predecessor in its grace, or as the local end of an
//! outgoing connection, since the kernel gives such ports away while no instance runs. A process that
//! ended for it would not serve although nothing is wrong, so it is waited for. All addresses are waited
//! for at the same time.
//!
//! Sockets are bound first and listen once all are bound. A socket that listens accepts connections in
//! the kernel, and their callers would wait for as long as another address is in use; one that is
//! only bound refuses them at once, and its address is taken by nobody else.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Interval between two attempts to bind an address.
const RETRY: Duration = Duration::from_millis(50);

/// How much longer than a predecessor's grace an address is waited for: a platform may be late to kill it.
const GRACE_MARGIN: Duration = Duration::from_secs(5);

/// Error that an address cannot be listened on.
#[derive(Debug, Display, Error)]
#[display("cannot listen for {clients} at {address}: {cause}")]
pub struct BindError {
    /// Clients that the listener serves.
    pub clients: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub cause: std::io::Error,
}

impl BindError {
    /// Whether the cause may pass by itself: the address is in use, or not assigned to an interface yet.
    #[must_use]
    pub fn may_pass(&self) -> bool {
        matches!(
            self.cause.kind(),
            ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
        )
    }
}

/// Returns how long addresses are waited for if an instance may take `grace` to stop.
#[must_use]
pub fn wait_bound(grace: Duration) -> Duration {
    grace + GRACE_MARGIN
}

/// Opens a listener for each pair of clients and address, in this order. Addresses that cannot be used
/// yet are waited for until `bound` has passed.
///
/// # Errors
/// An address cannot be listened on, for a cause that does not pass or has not passed in time.
pub async fn listen_all<C: ToString, const N: usize>(
    wanted: [(C, SocketAddr); N],
    bound: Duration,
) -> Result<Vec<TcpListener>, BindError> {
    let start = Instant::now();
    let mut pending = wanted.map(|(clients, address)| PendingListener::new(&clients, address));
    while let Err(e) = listen_now(&mut pending) {
        if !e.may_pass() || start.elapsed() >= bound {
            return Err(e);
        }
        sleep(RETRY).await;
    }
    Ok(pending.into_iter().filter_map(|p| p.listener).collect())
}

/// Opens a listener at `address`.
///
/// # Errors
/// The address cannot be listened on.
pub fn listen(clients: &impl ToString, address: SocketAddr) -> Result<TcpListener, BindError> {
    let listener = open_socket(address).and_then(|socket| socket.listen(BACKLOG));
    listener.map_err(|cause| BindError {
        clients: clients.to_string(),
        address,
        cause,
    })
}

/// Binds what is not bound yet and listens if all is bound.
fn listen_now(pending: &mut [PendingListener]) -> Result<(), BindError> {
    let mut failed = Ok(());
    for p in &mut *pending {
        match p.bind() {
            Err(e) if !e.may_pass() => return Err(e),
            Err(e) if failed.is_ok() => failed = Err(e),
            Ok(()) | Err(_) => {}
        }
    }
    failed?;
    for i in 0..pending.len() {
        if let Err(e) = pending[i].listen() {
            // Another socket was bound to the same address and listens. Until it is gone, none may.
            pending.iter_mut().for_each(PendingListener::close);
            return Err(e);
        }
    }
    Ok(())
}

/// A listener that is being opened.
struct PendingListener {
    clients: String,
    address: SocketAddr,
    socket: Option<TcpSocket>,
    listener: Option<TcpListener>,
    waits_since: Option<Instant>,
    /// Whether a wait was logged: one that comes again after each attempt must not fill the log.
    is_logged: bool,
}

impl PendingListener {
    fn new(clients: &impl ToString, address: SocketAddr) -> PendingListener {
        PendingListener {
            clients: clients.to_string(),
            address,
            socket: None,
            listener: None,
            waits_since: None,
            is_logged: false,
        }
    }

    /// Binds its socket unless it is bound.
    fn bind(&mut self) -> Result<(), BindError> {
        if self.socket.is_some() {
            return Ok(());
        }
        let socket = open_socket(self.address).map_err(|cause| self.failed(cause))?;
        self.socket = Some(socket);
        if let Some(since) = self.waits_since.take() {
            let waited_ms = since.elapsed().as_millis() as u64;
            let (clients, address) = (self.clients.as_str(), self.address);
            log::info!(clients, address:%, waited_ms; "listening address is free");
        }
        Ok(())
    }

    /// Listens with its bound socket.
    fn listen(&mut self) -> Result<(), BindError> {
        let Some(socket) = self.socket.take() else {
            return Ok(());
        };
        let listener = socket.listen(BACKLOG).map_err(|cause| self.failed(cause))?;
        self.listener = Some(listener);
        Ok(())
    }

    fn close(&mut self) {
        self.socket = None;
        self.listener = None;
    }

    /// Returns the error for `cause`, and logs a wait that begins with it.
    fn failed(&mut self, cause: std::io::Error) -> BindError {
        let e = BindError {
            clients: self.clients.clone(),
            address: self.address,
            cause,
        };
        if !self.is_logged && e.may_pass() {
            self.is_logged = true;
            self.waits_since = Some(Instant::now());
            let BindError {
                clients,
                address,
                cause,
            } = &e;
            log::warn!(clients, address:%, cause:%; "waiting for a listening address");
        }
        e
    }
}

/// Opens a bound socket with `TCP_NODELAY` set.
///
/// With Nagle's algorithm enabled, the second token of a stream waits for the peer's delayed
/// acknowledgement of the first, 40 ms on Linux. Accepted sockets inherit the option.
fn open_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    Ok(socket)
}
