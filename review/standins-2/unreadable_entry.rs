//! Another writer stores an entry with bytes that cannot be read. Then a runner is replaced as planned: a new
//! one starts, the old one reports that it is draining, and leaves. At the end all processes are killed and
//! start again.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Instance;
use crate::record::Record;
use crate::scene::{self, DRAIN, KEY, RECOVER, Scene, receipt, route, tenant};
use crate::store::UNREADABLE;
use crate::{http, sys};

/// Runners, and how many of them are replaced: a share of 0.33, of 0.45 at most.
const RUNNERS: usize = 3;
const REPLACED: usize = 1;

/// How long a runner goes on after its report: somewhat longer than it has to.
const STAYING: Duration = Duration::from_millis(5_000);

/// How long requests are sent after the runner has left, and after the recovery.
const AFTERWARDS: Duration = Duration::from_secs(4);

/// Interval between two requests of the clients.
const INTERVAL: Duration = Duration::from_millis(20);

/// What became of requests.
#[derive(Default)]
struct Tally {
    sent: usize,
    served: usize,
    /// Requests that reached a runner after it had left the time that its report gives.
    late: usize,
}

/// Does the work of a runner.
fn work(req: &http::Request, to: &mut TcpStream) -> std::io::Result<()> {
    thread::sleep(Duration::from_millis(20));
    http::respond(to, 200, &receipt(req), b"shifts of the week\n")
}

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut scene = Scene::open(RUNNERS, Arc::new(work)).map_err(|e| e.to_string())?;
    let routes = [route("r-1", "/cufi504/", "idempotent", 1_500)];
    scene.configure(7, &routes, &tenant("hule930", KEY));
    let mut instances = scene.start(3, record)?;
    if trouble {
        let entry = format!(r#"{{"service":"{UNREADABLE}{UNREADABLE}","state":"ready"}}"#);
        scene.store.put("servers", "i-0b5d77e0", &entry);
        record.write("another writer stores servers/i-0b5d77e0: \"service\" is the bytes ff ff");
        thread::sleep(Duration::from_secs(1));
    }
    let drain_held = replace_runners(&mut scene, &instances, record)?;
    let recover_held = recover(&scene, &mut instances, record)?;
    record.write(&format!(
        "DRAIN held: {drain_held}; RECOVER held: {recover_held}"
    ));
    Ok(drain_held)
}

/// Replaces runners as planned. Returns whether no request reached one of the old ones later than
/// `drainMs` after its report.
fn replace_runners(
    scene: &mut Scene,
    instances: &[Instance],
    record: &Record,
) -> Result<bool, String> {
    let old = scene.runners()[..REPLACED].to_vec();
    for i in 1..=REPLACED {
        let added = scene.add_runner(&format!("i-02d9e6b{i}"), Arc::new(work));
        added.map_err(|e| e.to_string())?;
    }
    thread::sleep(Duration::from_secs(1));
    old.iter().for_each(|id| scene.beat(id, "draining"));
    let reported = Instant::now();
    record.write(&format!(
        "{REPLACED} new runner is there; {} reports draining; the store has accepted all",
        old.join(" ")
    ));
    let tally = load(scene, instances, STAYING, Some((&old, reported)), record);
    record.write(&format!(
        "until they leave: {} requests, {} served, {} at an old runner later than {} ms after its report",
        tally.sent,
        tally.served,
        tally.late,
        DRAIN.as_millis()
    ));
    old.iter().for_each(|id| scene.end_runner(id));
    record.write("the old runner has left");
    let after = load(scene, instances, AFTERWARDS, None, record);
    record.write(&format!(
        "afterwards: {} requests, {} served",
        after.sent, after.served
    ));
    Ok(tally.late == 0)
}

/// Kills all processes, starts them again, and returns whether a quarter of the requests is served
/// later than `recoverS`.
fn recover(scene: &Scene, instances: &mut [Instance], record: &Record) -> Result<bool, String> {
    instances.iter().for_each(|i| i.signal(sys::SIGKILL));
    thread::sleep(Duration::from_millis(1_500));
    for instance in instances.iter_mut() {
        instance.start().map_err(|e| e.to_string())?;
    }
    record.write("all processes were killed and start again");
    thread::sleep(RECOVER);
    let tally = load(scene, instances, AFTERWARDS, None, record);
    record.write(&format!(
        "later than {} s after that: {} requests, {} served",
        RECOVER.as_secs(),
        tally.sent,
        tally.served
    ));
    Ok(tally.served * 4 >= tally.sent)
}

/// Sends requests to the instances in turn. `leaving` are runners that have reported that they are
/// draining, and when they did.
fn load(
    scene: &Scene,
    instances: &[Instance],
    duration: Duration,
    leaving: Option<(&[String], Instant)>,
    record: &Record,
) -> Tally {
    let mut tally = Tally::default();
    let until = Instant::now() + duration;
    while Instant::now() < until {
        let instance = &instances[tally.sent % instances.len()];
        let id = scene.next_id();
        let front = instance.addresses.front;
        let answer = scene::call(front, "/cufi504/fi50/2f", &id, KEY, 1_500);
        let arrivals = scene.arrivals_of(&id);
        let ran_at: Vec<&str> = arrivals.iter().map(|a| a.runner.as_str()).collect();
        let outcome = match &answer {
            Ok(status) => status.to_string(),
            Err(e) => e.to_string(),
        };
        record.write(&format!(
            "request {id} to {}: {outcome}, ran at {}",
            instance.addresses.name,
            ran_at.join(" ")
        ));
        tally.sent += 1;
        tally.served += usize::from(matches!(answer, Ok(200)));
        if let Some((ids, reported)) = leaving {
            let is_late = |a: &scene::Arrival| ids.contains(&a.runner) && a.at > reported + DRAIN;
            tally.late += usize::from(arrivals.iter().any(is_late));
        }
        thread::sleep(INTERVAL);
    }
    tally
}
