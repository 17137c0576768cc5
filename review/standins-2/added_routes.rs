//! The operator adds a streaming route to the service of the plain runners, and a route whose calls have a
//! single answer to the service of the model runners.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::scene::{
    self, CONFIG_APPLY, KEY, MODEL_SERVICE, Scene, receipt, route, route_to, tenant,
};

/// Events of a stream, and the pause between two of them.
const EVENTS: usize = 40;
const EVENT_GAP: Duration = Duration::from_millis(100);

/// Time without an event after which clients abandon a stream: two seconds, four times the objective
/// (500 ms) or eight times the pause (250 ms), whichever is longest.
const ABANDON_AFTER: Duration = Duration::from_secs(2);

/// Requests on each route, and the pause between two of them.
const REQUESTS: usize = 30;
const INTERVAL: Duration = Duration::from_millis(100);

const FIRST_CALLS: &str = "/cufi504/";
const FIRST_STREAMS: &str = "/lohu930/";
const ADDED_STREAMS: &str = "/pufi791/";
const ADDED_CALLS: &str = "/puxa403/";

fn is_stream(path: &str) -> bool {
    path.starts_with(FIRST_STREAMS) || path.starts_with(ADDED_STREAMS)
}

/// Does the work of both kinds of runners: what they answer depends on the route.
fn work(req: &http::Request, to: &mut TcpStream) -> io::Result<()> {
    if is_stream(&req.path) {
        return stream_events(req, to);
    }
    thread::sleep(Duration::from_millis(60));
    let mut headers = receipt(req);
    headers.push(("Content-Type", "application/json".to_owned()));
    http::respond(
        to,
        200,
        &headers,
        b"{\"shift\":\"night\",\"booked\":true}\n",
    )
}

/// Sends the events of a stream, each as soon as it is made.
fn stream_events(req: &http::Request, to: &mut TcpStream) -> io::Result<()> {
    let mut headers = receipt(req);
    headers.push(("Content-Type", "text/event-stream".to_owned()));
    headers.push(("Transfer-Encoding", "chunked".to_owned()));
    http::write_head(to, "HTTP/1.1 200 OK", &headers)?;
    let last = req.header("Last-Event-Id").and_then(|v| v.parse().ok());
    for id in last.unwrap_or(0) + 1..=EVENTS {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        http::write_chunk(to, event.as_bytes())?;
        thread::sleep(EVENT_GAP);
    }
    http::write_chunk(to, b"")
}

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut scene = Scene::open(3, Arc::new(work)).map_err(|e| e.to_string())?;
    for id in ["i-2b0c0001", "i-2b0c0002", "i-2b0c0003"] {
        let added = scene.add_model_runner(id, Arc::new(work));
        added.map_err(|e| e.to_string())?;
    }
    let mut routes = vec![
        route("r-1", FIRST_CALLS, "idempotent", 1_500),
        route_to(MODEL_SERVICE, "r-2", FIRST_STREAMS, "streaming", 20_000),
    ];
    let tenants = tenant("hule930", KEY);
    scene.configure(7, &routes, &tenants);
    let instances = scene.start(3, record)?;
    if trouble {
        routes.push(route("r-3", ADDED_STREAMS, "streaming", 20_000));
        let calls = route_to(MODEL_SERVICE, "r-4", ADDED_CALLS, "non_idempotent", 1_500);
        routes.push(calls);
        scene.configure(9, &routes, &tenants);
        record.write("version 9 adds the routes r-3 and r-4; the store has accepted it");
    }
    thread::sleep(CONFIG_APPLY + Duration::from_secs(2));
    let fronts: Vec<SocketAddr> = instances.iter().map(|i| i.addresses.front).collect();
    let served = |prefix| load(&scene, &fronts, prefix, record);
    let first = served(FIRST_CALLS) + served(FIRST_STREAMS);
    record.write(&format!(
        "first routes: {first} of {} are served",
        2 * REQUESTS
    ));
    if !trouble {
        return Ok(true);
    }
    let (streams, calls) = (served(ADDED_STREAMS), served(ADDED_CALLS));
    record.write(&format!(
        "added routes: {streams} of {REQUESTS} streams and {calls} of {REQUESTS} calls are served"
    ));
    let is_served_enough = |served: usize| served * 2 * 4 >= first;
    Ok(is_served_enough(streams) && is_served_enough(calls))
}

/// Sends requests on a route; returns how many are served.
fn load(scene: &Scene, fronts: &[SocketAddr], prefix: &str, record: &Record) -> usize {
    thread::scope(|threads| {
        let mut sent = Vec::new();
        for i in 0..REQUESTS {
            let front = fronts[i % fronts.len()];
            sent.push(threads.spawn(move || is_served(scene, front, prefix, record)));
            thread::sleep(INTERVAL);
        }
        let ends = sent.into_iter().map(|s| s.join().unwrap_or(false));
        ends.filter(|served| *served).count()
    })
}

fn is_served(scene: &Scene, front: SocketAddr, prefix: &str, record: &Record) -> bool {
    let (id, start) = (scene.next_id(), Instant::now());
    let path = format!("{prefix}2f");
    let end = match is_stream(prefix) {
        true => read_stream(front, &path, &id),
        false => scene::call(front, &path, &id, KEY, 1_500),
    };
    let outcome = match &end {
        Ok(status) => format!("{status}, whole"),
        Err(e) => format!("no whole answer: {e}"),
    };
    record.write(&format!(
        "request {id} {path}: {outcome}, after {:.2} s; ran at {} runners",
        start.elapsed().as_secs_f64(),
        scene.arrivals_of(&id).len()
    ));
    matches!(end, Ok(200))
}

/// Reads a stream as clients do, which leave after a pause that is too long.
fn read_stream(front: SocketAddr, path: &str, id: &str) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(ABANDON_AFTER))?;
    let mut answer = scene::send(stream, "POST", path, id, KEY, 20_000)?;
    let body = answer.read_body()?;
    let events = String::from_utf8_lossy(&body).matches("data:").count();
    match events == EVENTS {
        true => Ok(answer.status),
        false => Err(io::ErrorKind::InvalidData.into()),
    }
}
