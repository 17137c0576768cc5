//! Paths from one instance to the runners, which can be cut while everything else stays connected.
//!
//! Each path is a gateway in front of a runner, at which the instance is set to reach it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Cluster, unique_loopback_ip};

/// Port of the first gateway; each gateway has its own.
const FIRST_PORT: u16 = 7_101;

/// Time after which a connection that is not established hangs.
const HANGS_AFTER: Duration = Duration::from_millis(120);

/// What happens to new connections while a path is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewConnections {
    Refused,
    Hang,
}

/// What happens to open connections when a path is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenConnections {
    Reset,
    Hang,
    LiveOn,
}

/// How a path is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    pub new: NewConnections,
    pub open: OpenConnections,
}

/// Paths from one instance to all runners.
pub struct Paths {
    /// State of the path to each runner, in the order of the cluster: model runners, then plain ones.
    cuts: Vec<watch::Sender<Option<Cut>>>,
    /// Address of the gateway for each runner's address.
    pub addresses: BTreeMap<SocketAddr, SocketAddr>,
}

impl Paths {
    /// Opens intact paths to all runners of a cluster.
    pub async fn open(cluster: &Cluster) -> Paths {
        let mut cuts = Vec::new();
        let ip = unique_loopback_ip();
        let mut addresses = BTreeMap::new();
        let runners = cluster.runners.iter().chain(&cluster.plain);
        for (port, runner) in (FIRST_PORT..).zip(runners) {
            let address: SocketAddr = (ip, port).into();
            let listener = TcpListener::bind(address).await.expect("a gateway");
            let (cut, state) = watch::channel(None);
            spawn_local(run_gateway(listener, runner.address, state));
            cuts.push(cut);
            addresses.insert(runner.address, address);
        }
        Paths { cuts, addresses }
    }

    /// Cuts all paths.
    pub fn cut(&self, cut: Cut) {
        self.cut_first(self.cuts.len(), cut);
    }

    /// Cuts the paths to the first `count` runners.
    pub fn cut_first(&self, count: usize, cut: Cut) {
        for path in &self.cuts[..count] {
            path.send_replace(Some(cut));
        }
    }

    /// Restores all paths.
    pub fn restore(&self) {
        for path in &self.cuts {
            path.send_replace(None);
        }
    }
}

/// Runs a gateway, which is intact at first.
async fn run_gateway(
    mut listener: TcpListener,
    target: SocketAddr,
    mut state: watch::Receiver<Option<Cut>>,
) {
    let address = listener.local_addr().expect("an address");
    loop {
        let accepting = accept(&listener, target, state.clone());
        let cut = tokio::select! {
            () = accepting => return,
            changed = state.wait_for(Option::is_some) => match changed {
                Ok(cut) => cut.expect("a cut"),
                Err(_) => return,
            },
        };
        drop(listener);
        let hanging = match cut.new {
            NewConnections::Hang => Some(HangingPort::open(address).await),
            NewConnections::Refused => None,
        };
        if state.wait_for(Option::is_none).await.is_err() {
            return;
        }
        drop(hanging);
        listener = TcpListener::bind(address).await.expect("the same port");
    }
}

async fn accept(listener: &TcpListener, target: SocketAddr, state: watch::Receiver<Option<Cut>>) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(forward(stream, target, state.clone()));
    }
}

/// Forwards a connection until it ends or a cut affects it.
async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<Option<Cut>>,
) {
    let Ok(mut runner) = TcpStream::connect(target).await else {
        return;
    };
    loop {
        let cut = tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut runner) => return,
            changed = state.changed() => match changed {
                Ok(()) => *state.borrow_and_update(),
                Err(_) => return,
            },
        };
        match cut.map(|c| c.open) {
            None | Some(OpenConnections::LiveOn) => {}
            Some(OpenConnections::Reset) => {
                let _ = stream.set_zero_linger();
                return;
            }
            Some(OpenConnections::Hang) => {
                let _ = state.wait_for(Option::is_none).await;
            }
        }
    }
}

/// Port at which connections are neither established nor refused: the backlog of its listener is
/// full.
struct HangingPort {
    _listener: TcpListener,
    _pending: Vec<TcpStream>,
}

impl HangingPort {
    async fn open(address: SocketAddr) -> HangingPort {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option");
        socket.bind(address).expect("the same port");
        let listener = socket.listen(1).expect("a listener");
        let mut pending = Vec::new();
        while let Ok(Ok(stream)) = timeout(HANGS_AFTER, TcpStream::connect(address)).await {
            pending.push(stream);
        }
        HangingPort {
            _listener: listener,
            _pending: pending,
        }
    }
}
