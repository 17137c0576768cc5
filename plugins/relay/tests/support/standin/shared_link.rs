//! Link of limited bandwidth in front of the store, which all connections share equally.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes that a connection sends before the next one has its turn.
const TURN_BYTES: usize = 4 << 10;

/// Opens a link to `target` that carries up to `bytes_per_s` bytes of responses, and returns its address.
pub async fn open_shared_link(target: SocketAddr, bytes_per_s: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let turn = Rc::new(Mutex::new(()));
    spawn_local(async move {
        while let Ok((client, _)) = listener.accept().await {
            spawn_local(forward(client, target, bytes_per_s, Rc::clone(&turn)));
        }
    });
    address
}

async fn forward(client: TcpStream, target: SocketAddr, bytes_per_s: f64, turn: Rc<Mutex<()>>) {
    let server = TcpStream::connect(target).await.expect("a connection");
    let (mut requests, mut to_client) = client.into_split();
    let (mut responses, mut to_server) = server.into_split();
    let sent = spawn_local(async move { copy(&mut requests, &mut to_server).await });
    let mut buf = vec![0; TURN_BYTES];
    while let Ok(n) = responses.read(&mut buf).await
        && n > 0
    {
        // The mutex is fair, so that connections take turns.
        let taken = turn.lock().await;
        sleep(Duration::from_secs_f64(n as f64 / bytes_per_s)).await;
        drop(taken);
        if to_client.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    sent.abort();
}
