//! A client downloads an answer over a slow link while its instance is stopped as planned.

use std::io::Read;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::scene::{self, GRACE, KEY, Scene, receipt, route, tenant};
use crate::{http, sys};

/// Length of the answer.
const ANSWER_BYTES: usize = 6_000_000;

/// Speed of the client's link, in bytes per second: 8 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_000_000.0;

/// Receive buffer of the client, in bytes.
const RECEIVE_BYTES: i32 = 64 << 10;

/// When SIGTERM is sent, after the request.
const TERM_AFTER: Duration = Duration::from_millis(300);

/// Clients that download at the same time.
const CLIENTS: usize = 4;

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let work = |req: &http::Request, to: &mut std::net::TcpStream| {
        let length = match req.path.ends_with("/report") {
            true => ANSWER_BYTES,
            false => 800,
        };
        http::respond(to, 200, &receipt(req), &vec![b'x'; length])
    };
    let scene = Scene::open(3, Arc::new(work)).map_err(|e| e.to_string())?;
    let routes = [route("r-1", "/cufi504/", "idempotent", 20_000)];
    scene.configure(7, &routes, &tenant("hule930", KEY));
    let instances = scene.start(3, record)?;
    let front = instances[0].addresses.front;
    let complete: Vec<bool> = thread::scope(|threads| {
        let scene = &scene;
        let downloads: Vec<_> = (0..CLIENTS)
            .map(|_| threads.spawn(move || download(scene, front, record)))
            .collect();
        thread::sleep(TERM_AFTER);
        if trouble {
            instances[0].signal(sys::SIGTERM);
            record.write(&format!("SIGTERM to {}", instances[0].addresses.name));
        }
        let ends = downloads.into_iter();
        ends.map(|d| d.join().unwrap_or(Ok(false)))
            .collect::<Result<_, String>>()
    })?;
    record.write(&format!(
        "end of {}: {}",
        instances[0].addresses.name,
        instances[0].last_line()
    ));
    Ok(complete.iter().all(|c| *c))
}

/// Downloads an answer at the speed of the link. Returns whether it came complete.
fn download(scene: &Scene, front: std::net::SocketAddr, record: &Record) -> Result<bool, String> {
    let (id, start) = (scene.next_id(), Instant::now());
    let stream = sys::connect_as_over_network(front, RECEIVE_BYTES).map_err(|e| e.to_string())?;
    let _ = stream.set_read_timeout(Some(GRACE));
    let answer = scene::send(stream, "GET", "/cufi504/report", &id, KEY, 20_000);
    let mut answer = answer.map_err(|e| e.to_string())?;
    record.write(&format!("request {id}: status {}", answer.status));
    let (mut read, mut buf, mut end) = (0, vec![0; 16 << 10], "complete".to_owned());
    while read < ANSWER_BYTES {
        match answer.reader.read(&mut buf) {
            Ok(0) => {
                end = "the connection ended".to_owned();
                break;
            }
            Ok(n) => read += n,
            Err(e) => {
                end = e.to_string();
                break;
            }
        }
        let due = Duration::from_secs_f64(read as f64 / LINK_BYTES_PER_S);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    let ran = scene.arrivals_of(&id).len();
    record.write(&format!(
        "request {id}: {read} of {ANSWER_BYTES} bytes after {:.2} s: {end}; ran {ran} times",
        start.elapsed().as_secs_f64()
    ));
    Ok(read == ANSWER_BYTES)
}
