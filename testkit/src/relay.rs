//! TCP relay that injects network faults on the link between two processes.
//!
//! Bytes are forwarded unchanged in both directions. A cut closes established connections and
//! every new one at once. A hang keeps connections open and forwards nothing, like a network that
//! drops packets; bytes held back during a hang are forwarded once it ends.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::Result;

/// Size of the copy buffer per direction, in bytes.
const COPY_BUF_BYTES: usize = 16 * 1024;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Forwards bytes.
    #[default]
    Pass,
    /// Closes established and new connections.
    Cut,
    /// Keeps connections open and forwards nothing.
    Hang,
    /// Delays each chunk, in milliseconds.
    Slow(u64),
}

/// A running relay; stops when its cancellation token is cancelled.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address that clients connect to instead of the target.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Relay {
    /// Binds on `listen` and relays to `target` until `token` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        listen: SocketAddr,
        target: SocketAddr,
        token: CancellationToken,
    ) -> Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (link, rx) = watch::channel(Link::Pass);
        tokio::spawn(async move {
            token
                .run_until_cancelled(accept(listener, target, rx, token.clone()))
                .await;
        });
        Ok(Self { address, link })
    }

    /// Sets the link state, also for established connections.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    link: watch::Receiver<Link>,
    token: CancellationToken,
) {
    while let Ok((downstream, _)) = listener.accept().await {
        if *link.borrow() == Link::Cut {
            continue;
        }
        let connection = relay(downstream, target, link.clone());
        let token = token.clone();
        tokio::spawn(async move { token.run_until_cancelled(connection).await });
    }
}

/// Relays one connection until both directions have ended or the link is cut.
async fn relay(downstream: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    let mut cuts = link.clone();
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = downstream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (downstream_rx, downstream_tx) = downstream.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    let forward = copy(downstream_rx, upstream_tx, link.clone());
    let backward = copy(upstream_rx, downstream_tx, link);
    tokio::select! {
        _ = async { tokio::join!(forward, backward) } => {}
        _ = cuts.wait_for(|l| *l == Link::Cut) => {}
    }
}

/// Copies bytes in one direction and forwards end of stream as a half-close.
async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut link: watch::Receiver<Link>) {
    let mut buf = vec![0; COPY_BUF_BYTES];
    while let Ok(n) = rx.read(&mut buf).await {
        if wait_for_link(&mut link).await.is_err() || n == 0 {
            break;
        }
        if tx.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = tx.shutdown().await;
}

/// Waits while the link hangs, then for the delay of a slow link.
async fn wait_for_link(
    link: &mut watch::Receiver<Link>,
) -> std::result::Result<(), watch::error::RecvError> {
    let state = *link.wait_for(|l| *l != Link::Hang).await?;
    if let Link::Slow(ms) = state {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    Ok(())
}
