//! Another writer stores entries of runners whose last layer is far beyond the model's.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Instance;
use crate::http;
use crate::record::Record;
use crate::scene::{self, KEY, MODEL_SERVICE, Scene, receipt, route, tenant};

/// Entries of the other writer. Their last layer is the largest number of 32 bits.
const ENTRIES: usize = 2;
const LAST_LAYER: u32 = u32::MAX;

/// The route's `timeoutMs`, and when the last answer is due.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const DUE: Duration = Duration::from_millis(2_000);

/// Clients, how long they send requests, and the pause between two of them.
const CLIENTS: usize = 9;
const DURATION: Duration = Duration::from_secs(20);
const INTERVAL: Duration = Duration::from_millis(100);

/// What became of requests.
#[derive(Clone, Copy, Default)]
struct Tally {
    sent: usize,
    served: usize,
    unanswered_at_timeout: usize,
    unanswered_when_due: usize,
}

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let work = |req: &http::Request, to: &mut TcpStream| {
        thread::sleep(Duration::from_millis(20));
        http::respond(to, 200, &receipt(req), b"shifts of the week\n")
    };
    let mut scene = Scene::open(3, Arc::new(work)).map_err(|e| e.to_string())?;
    for id in ["i-2b0c0001", "i-2b0c0002"] {
        let added = scene.add_model_runner(id, Arc::new(work));
        added.map_err(|e| e.to_string())?;
    }
    let routes = [route("r-1", "/cufi504/", "idempotent", 1_500)];
    scene.configure(7, &routes, &tenant("hule930", KEY));
    let instances = scene.start(3, record)?;
    if trouble {
        store_entries(&scene, record)?;
    }
    let fronts: Vec<SocketAddr> = instances.iter().map(|i| i.addresses.front).collect();
    let tallies: Vec<Tally> = thread::scope(|threads| {
        let clients = (0..CLIENTS).map(|i| {
            let (front, scene) = (fronts[i % fronts.len()], &scene);
            threads.spawn(move || send_requests(scene, front, record))
        });
        let clients: Vec<_> = clients.collect();
        let ends = clients.into_iter().filter_map(|c| c.join().ok());
        ends.collect()
    });
    let sum = |count: fn(&Tally) -> usize| tallies.iter().map(count).sum::<usize>();
    let unanswered = sum(|t| t.unanswered_at_timeout);
    let overdue = sum(|t| t.unanswered_when_due);
    record.write(&format!(
        "{} requests, {} served, {unanswered} unanswered after {} ms, {overdue} after {} ms",
        sum(|t| t.sent),
        sum(|t| t.served),
        TIMEOUT.as_millis(),
        DUE.as_millis()
    ));
    instances.iter().for_each(|i| record_readiness(i, record));
    Ok(overdue * 2 <= unanswered)
}

/// Stores the entries of the other writer, at addresses where nobody listens.
fn store_entries(scene: &Scene, record: &Record) -> Result<(), String> {
    for i in 0..ENTRIES {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
        let address = free.map_err(|e| e.to_string())?;
        let entry = format!(
            r#"{{"service":"{MODEL_SERVICE}","address":"{address}","zone":"kesklinn","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"sequence":1,"born":1,"kind":"a100","layers":{{"from":0,"target":{LAST_LAYER},"version":1}}}}"#
        );
        let id = format!("i-0b5d77e{i}");
        scene.store.put("servers", &id, &entry);
        record.write(&format!("another writer stores servers/{id}: {entry}"));
    }
    Ok(())
}

fn send_requests(scene: &Scene, front: SocketAddr, record: &Record) -> Tally {
    let (mut tally, until) = (Tally::default(), Instant::now() + DURATION);
    while Instant::now() < until {
        let (id, start) = (scene.next_id(), Instant::now());
        let answer = call(front, &id);
        let took = start.elapsed();
        record.write(&format!(
            "request {id} to {front}: {answer:?} after {:.2} s; ran at {} runners",
            took.as_secs_f64(),
            scene.arrivals_of(&id).len()
        ));
        tally.sent += 1;
        tally.served += usize::from(matches!(answer, Ok(200)));
        tally.unanswered_at_timeout += usize::from(took >= TIMEOUT);
        tally.unanswered_when_due += usize::from(answer.is_err() && took >= DUE);
        thread::sleep(INTERVAL);
    }
    tally
}

/// Sends a request and waits until its answer is due.
fn call(front: SocketAddr, id: &str) -> std::io::Result<u16> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(DUE))?;
    let mut answer = scene::send(stream, "GET", "/cufi504/fi50/2f", id, KEY, 1_500)?;
    answer.read_body()?;
    Ok(answer.status)
}

fn record_readiness(instance: &Instance, record: &Record) {
    let ready = http::get(
        instance.addresses.ready,
        "/api/ready",
        Duration::from_secs(1),
    );
    let outcome = match ready {
        Ok((status, _)) => status.to_string(),
        Err(e) => format!("no answer within a second: {e}"),
    };
    record.write(&format!(
        "{}: GET /api/ready: {outcome}; {:.1} s of processor time",
        instance.addresses.name,
        instance.processor_time().as_secs_f64()
    ));
}
