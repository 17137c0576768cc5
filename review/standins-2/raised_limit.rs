//! The operator allows longer heads of requests, while clients keep their connections open.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::scene::{self, CONFIG_APPLY, KEY, Scene, receipt, route, tenant};

/// Limits on the head of a request before and after the change, in bytes.
const FIRST_LIMIT: usize = 16_384;
const RAISED_LIMIT: usize = 65_536;

/// Length of the list of prompt parts in the later requests, in bytes.
const LONG_PREFIX: usize = 32_000;

/// Clients, each with one connection, and requests with a long head of each, the first on that connection.
const CLIENTS: usize = 12;
const REQUESTS: usize = 3;

/// Requests that may be denied: five and one in 500.
const ALLOWED: usize = 5;

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let work = |req: &http::Request, to: &mut TcpStream| {
        http::respond(to, 200, &receipt(req), b"shifts of the week\n")
    };
    let scene = Scene::open(3, Arc::new(work)).map_err(|e| e.to_string())?;
    let first = if trouble { FIRST_LIMIT } else { RAISED_LIMIT };
    scene.max_header_bytes.store(first, Ordering::SeqCst);
    let routes = [route("r-1", "/cufi504/", "idempotent", 1_500)];
    let tenants = tenant("hule930", KEY);
    scene.configure(7, &routes, &tenants);
    let instances = scene.start(3, record)?;
    let mut kept = Vec::new();
    for i in 0..CLIENTS {
        let front = instances[i % 3].addresses.front;
        let stream = connect(front).map_err(|e| e.to_string())?;
        let status = exchange(&scene, &stream, 100);
        record.write(&format!("client {i} to {front}, short head: {status:?}"));
        kept.push((front, stream));
    }
    if trouble {
        scene.max_header_bytes.store(RAISED_LIMIT, Ordering::SeqCst);
        scene.configure(9, &routes, &tenants);
        record.write(&format!(
            "version 9 raises maxHeaderBytes from {FIRST_LIMIT} to {RAISED_LIMIT}; the store has accepted it"
        ));
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(2));
    let mut denied = 0;
    for (i, (front, stream)) in kept.iter().enumerate() {
        let on_kept = exchange(&scene, stream, LONG_PREFIX);
        record.write(&format!(
            "client {i}, long head on its connection: {on_kept:?}"
        ));
        let is_denied = |status: &io::Result<u16>| matches!(status, Ok(s) if (300..500).contains(s) && ![408, 421, 429].contains(s));
        denied += usize::from(is_denied(&on_kept));
        for _ in 1..REQUESTS {
            let new = connect(*front).and_then(|stream| exchange(&scene, &stream, LONG_PREFIX));
            record.write(&format!(
                "client {i}, long head on a new connection: {new:?}"
            ));
            denied += usize::from(is_denied(&new));
        }
    }
    let sent = CLIENTS * (REQUESTS + 1);
    record.write(&format!("{denied} of {sent} requests in all were denied"));
    Ok(denied <= ALLOWED + sent / 500)
}

fn connect(front: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
    Ok(stream)
}

/// Sends a request with a list of prompt parts of about `prefix_bytes` bytes; returns its status.
fn exchange(scene: &Scene, stream: &TcpStream, prefix_bytes: usize) -> io::Result<u16> {
    let parts: Vec<String> = (0..prefix_bytes / 12)
        .map(|i| format!("{i:08x}:10"))
        .collect();
    let headers = [
        ("Host", scene::HOST.to_owned()),
        ("X-Jacinthweir-Request-Id", scene.next_id()),
        ("X-Jacinthweir-Deadline-Ms", "1500".to_owned()),
        ("X-Jacinthweir-Key", KEY.to_owned()),
        ("X-Jacinthweir-Prompt-Prefix", parts.join(",")),
    ];
    let stream = stream.try_clone()?;
    let mut answer = http::exchange(stream, "GET /cufi504/2f HTTP/1.1", &headers, &[])?;
    answer.read_body()?;
    Ok(answer.status)
}
