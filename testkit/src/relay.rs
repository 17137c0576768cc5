//! A TCP relay that tests can cut, hang and slow: a network link between two processes.
//!
//! Bytes pass unchanged in both directions while the link passes. A cut closes the connections
//! that stand and every new one at once; a hang leaves them open and moves nothing, as a network
//! that drops packets does. Bytes that wait while the link hangs go on when it passes again.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::Result;

/// Bytes that a relay moves at a time.
const BUF_BYTES: usize = 16 * 1024;

/// How a link is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// It passes.
    #[default]
    Pass,
    /// Connections are closed.
    Cut,
    /// Connections stand, and nothing moves.
    Hang,
    /// Each piece of bytes takes longer, in milliseconds.
    Slow(u64),
}

/// A running relay; ends with its cancellation token.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address to connect to in place of the target.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Relay {
    /// Binds on `listen` and relays to `target` until `token` is cancelled.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
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

    /// Changes the link, for the connections that stand too.
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
    while let Ok((inward, _)) = listener.accept().await {
        if *link.borrow() == Link::Cut {
            continue;
        }
        let connection = relay(inward, target, link.clone());
        let token = token.clone();
        tokio::spawn(async move { token.run_until_cancelled(connection).await });
    }
}

/// Relays one connection until either side ends or the link is cut.
async fn relay(inward: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    let mut cuts = link.clone();
    let Ok(outward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inward.set_nodelay(true);
    let _ = outward.set_nodelay(true);
    let (in_rx, in_tx) = inward.into_split();
    let (out_rx, out_tx) = outward.into_split();
    let there = copy(in_rx, out_tx, link.clone());
    let back = copy(out_rx, in_tx, link);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = cuts.wait_for(|l| *l == Link::Cut) => {}
    }
}

/// Moves bytes one way; the end of one side's bytes is passed on as such.
async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut link: watch::Receiver<Link>) {
    let mut buf = vec![0; BUF_BYTES];
    while let Ok(n) = rx.read(&mut buf).await {
        if wait(&mut link).await.is_err() || n == 0 {
            break;
        }
        if tx.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = tx.shutdown().await;
}

/// Waits as the link says.
async fn wait(
    link: &mut watch::Receiver<Link>,
) -> std::result::Result<(), watch::error::RecvError> {
    let now = *link.wait_for(|l| *l != Link::Hang).await?;
    if let Link::Slow(ms) = now {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    Ok(())
}
