//! A model runner whose streams have neither a length nor chunks is killed while it writes them.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::scene::{self, KEY, MODEL_SERVICE, Scene, receipt, route_to, tenant};

/// Events of a stream, and the pause between two of them.
const EVENTS: usize = 40;
const EVENT_GAP: Duration = Duration::from_millis(100);

/// Model runners. One is killed for good: a share of 0.125, of 0.14 at most.
const RUNNERS: usize = 8;

/// Streams that are sent, one after the other, and the pause between two of them.
const STREAMS: usize = 32;
const INTERVAL: Duration = Duration::from_millis(25);

/// When a runner is killed, after the last request.
const KILL_AFTER: Duration = Duration::from_millis(1_500);

/// Time without an event after which clients abandon a stream.
const ABANDON_AFTER: Duration = Duration::from_secs(2);

/// Sends the events of a stream; the answer ends with its connection.
fn stream_events(req: &http::Request, to: &mut TcpStream) -> io::Result<()> {
    let mut headers = receipt(req);
    headers.push(("Content-Type", "text/event-stream".to_owned()));
    headers.push(("Connection", "close".to_owned()));
    http::write_head(to, "HTTP/1.1 200 OK", &headers)?;
    let last = req.header("Last-Event-Id").and_then(|v| v.parse().ok());
    for id in last.unwrap_or(0) + 1..=EVENTS {
        let event = format!("id: {id}\ndata: piece {id} of {EVENTS}\n\n");
        io::Write::write_all(to, event.as_bytes())?;
        thread::sleep(EVENT_GAP);
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Runs a model runner as a process of its own.
pub fn run_model_runner(id: &str, born: &str) -> ExitCode {
    match scene::run_model_runner(id, born, Arc::new(stream_events)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// How a stream ended for its client.
struct End {
    events: usize,
    /// Whether the answer ended as a complete one.
    is_complete: bool,
}

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut scene = Scene::open(0, Arc::new(stream_events)).map_err(|e| e.to_string())?;
    let mut runners = Vec::new();
    for i in 1..=RUNNERS {
        let runner = scene.add_model_process(&format!("i-2b0c000{i}"));
        let runner = runner.map_err(|e| e.to_string())?;
        runners.push(runner);
    }
    let routes = [route_to(
        MODEL_SERVICE,
        "r-1",
        "/lohu930/",
        "streaming",
        20_000,
    )];
    scene.configure(7, &routes, &tenant("hule930", KEY));
    let instances = scene.start(3, record)?;
    let fronts: Vec<SocketAddr> = instances.iter().map(|i| i.addresses.front).collect();
    let ends: Vec<End> = thread::scope(|threads| {
        let mut sent = Vec::new();
        for i in 0..STREAMS {
            let (front, scene) = (fronts[i % fronts.len()], &scene);
            sent.push(threads.spawn(move || read_stream(scene, front, record)));
            thread::sleep(INTERVAL);
        }
        thread::sleep(KILL_AFTER);
        if trouble {
            let killed = runners[0].kill();
            record.write(&format!("i-2b0c0001 is killed (SIGKILL): {killed:?}"));
        }
        let ends = sent.into_iter().filter_map(|s| s.join().ok());
        ends.collect()
    });
    for mut runner in runners {
        let _ = runner.kill();
        let _ = runner.wait();
    }
    let is_short = |e: &&End| e.is_complete && e.events < EVENTS;
    let short = ends.iter().filter(is_short).count();
    let whole = ends.iter().filter(|e| e.events == EVENTS).count();
    record.write(&format!(
        "of {STREAMS} streams {whole} came whole, and {short} ended as complete before their last piece"
    ));
    Ok(short == 0)
}

fn read_stream(scene: &Scene, front: SocketAddr, record: &Record) -> End {
    let (id, start) = (scene.next_id(), Instant::now());
    let mut events = 0;
    let ended = read_events(front, &id, &mut events);
    record.write(&format!(
        "request {id}: {events} of {EVENTS} events after {:.2} s, then: {}",
        start.elapsed().as_secs_f64(),
        match &ended {
            Ok(()) => "the regular end of the answer".to_owned(),
            Err(e) => e.to_string(),
        }
    ));
    End {
        events,
        is_complete: ended.is_ok(),
    }
}

/// Reads events up to the last chunk of the answer.
fn read_events(front: SocketAddr, id: &str, events: &mut usize) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(ABANDON_AFTER))?;
    let mut answer = scene::send(stream, "POST", "/lohu930/2f", id, KEY, 20_000)?;
    if answer.status != 200 {
        return Err(io::Error::other(format!("status {}", answer.status)));
    }
    loop {
        let chunk = http::read_chunk(&mut answer.reader)?;
        if chunk.is_empty() {
            return Ok(());
        }
        *events += String::from_utf8_lossy(&chunk).matches("data:").count();
    }
}
