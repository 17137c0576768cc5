//! The operator moves a route to a new service, leaves the old service out of the desired state, and has its
//! runners leave as planned, while streams that began before are still on their way.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::scene::{
    self, CONFIG_APPLY, DRAIN, KEY, MODEL_SERVICE, NEW_MODEL_SERVICE, Scene, receipt, route_to,
    tenant,
};

/// Events of a stream, and the pause between two of them.
const EVENTS: usize = 120;
const EVENT_GAP: Duration = Duration::from_millis(100);

const STREAMS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(50);

/// How much longer than `drainMs` the first old runner goes on after its report.
const STAYING: Duration = Duration::from_millis(1_000);

/// Time without an event after which clients abandon a stream.
const ABANDON_AFTER: Duration = Duration::from_secs(2);

const OLD_RUNNERS: [&str; 2] = ["i-2b0c0001", "i-2b0c0002"];

/// How far a runner's departure is.
#[derive(Default)]
struct Departure {
    is_draining: AtomicBool,
    has_left: AtomicBool,
}

/// Sends the events of a stream, until the runner has left. A runner that is draining refuses new ones.
fn stream_events(departure: &Departure, req: &http::Request, to: &mut TcpStream) -> io::Result<()> {
    if departure.is_draining.load(Ordering::SeqCst) {
        let mut headers = receipt(req);
        headers.push(("X-Jacinthweir-Not-Run", "1".to_owned()));
        return http::respond(to, 503, &headers, b"");
    }
    let mut headers = receipt(req);
    headers.push(("Content-Type", "text/event-stream".to_owned()));
    headers.push(("Transfer-Encoding", "chunked".to_owned()));
    http::write_head(to, "HTTP/1.1 200 OK", &headers)?;
    let last = req.header("Last-Event-Id").and_then(|v| v.parse().ok());
    for id in last.unwrap_or(0) + 1..=EVENTS {
        if departure.has_left.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        http::write_chunk(to, event.as_bytes())?;
        thread::sleep(EVENT_GAP);
    }
    http::write_chunk(to, b"")
}

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let work = |departure: &Arc<Departure>| -> Arc<scene::Work> {
        let departure = Arc::clone(departure);
        Arc::new(move |req: &http::Request, to: &mut TcpStream| stream_events(&departure, req, to))
    };
    let (first, second, stays) = (Arc::default(), Arc::default(), Arc::default());
    let mut scene = Scene::open(0, work(&stays)).map_err(|e| e.to_string())?;
    let added = scene.add_model_runner(OLD_RUNNERS[0], work(&first));
    let added = added.and_then(|()| scene.add_model_runner(OLD_RUNNERS[1], work(&second)));
    let added = added.and_then(|()| scene.add_new_model_runner("i-9f11d0a1", work(&stays)));
    let added = added.and_then(|()| scene.add_new_model_runner("i-9f11d0a2", work(&stays)));
    added.map_err(|e| e.to_string())?;
    let tenants = tenant("hule930", KEY);
    let old = route_to(MODEL_SERVICE, "r-1", "/lohu930/", "streaming", 20_000);
    scene.configure(7, &[old], &tenants);
    let instances = scene.start(3, record)?;
    let fronts: Vec<SocketAddr> = instances.iter().map(|i| i.addresses.front).collect();
    let reported = thread::scope(|threads| {
        for i in 0..STREAMS {
            let (front, scene) = (fronts[i % fronts.len()], &scene);
            threads.spawn(move || read_stream(scene, front, record));
            thread::sleep(INTERVAL);
        }
        let new = route_to(NEW_MODEL_SERVICE, "r-1", "/lohu930/", "streaming", 20_000);
        if trouble {
            scene.configure_without(MODEL_SERVICE, 9, &[new], &tenants);
            record.write("version 9 moves r-1 to the new service and has the old one no more");
        } else {
            scene.configure(9, &[new], &tenants);
            record.write("version 9 moves r-1 to the new service; the old one stays declared");
        }
        thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
        OLD_RUNNERS.iter().for_each(|id| scene.beat(id, "draining"));
        let reported = Instant::now();
        for departure in [&first, &second] {
            departure.is_draining.store(true, Ordering::SeqCst);
        }
        record.write("both runners of the old service report draining; the store has accepted it");
        thread::sleep(DRAIN + STAYING);
        first.has_left.store(true, Ordering::SeqCst);
        scene.end_runner(OLD_RUNNERS[0]);
        record.write(&format!("{} has left", OLD_RUNNERS[0]));
        reported
    });
    let arrivals = scene.arrivals.lock().unwrap();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|a| a.at > reported + DRAIN) {
        let after = arrival.at - reported;
        record.write(&format!(
            "request {} reached {} {:.2} s after its report",
            arrival.id,
            arrival.runner,
            after.as_secs_f64()
        ));
        late += usize::from(OLD_RUNNERS.contains(&arrival.runner.as_str()));
    }
    record.write(&format!(
        "{late} requests reached a runner later than {} ms after its report",
        DRAIN.as_millis()
    ));
    Ok(late == 0)
}

fn read_stream(scene: &Scene, front: SocketAddr, record: &Record) {
    let (id, mut events) = (scene.next_id(), 0);
    let end = read_events(front, &id, &mut events);
    record.write(&format!(
        "request {id}: {events} of {EVENTS} events, then: {end:?}"
    ));
}

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
