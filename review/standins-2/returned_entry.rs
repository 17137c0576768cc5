//! The entry of a runner is removed, since it leaves; later the store comes back from a copy that still has
//! the entry.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::scene::{self, DRAIN, KEY, STABLE_WINDOW, Scene, receipt, route, tenant};

/// When the store goes away after the removal, and for how long.
const AWAY_AFTER: Duration = Duration::from_millis(4_000);
const AWAY_FOR: Duration = Duration::from_millis(500);

/// When the entry lapses after the store's return: three check-ins of 1,200 ms without a sign of the runner.
const LAPSE_AFTER: Duration = Duration::from_millis(3_600);

const INTERVAL: Duration = Duration::from_millis(20);

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let work = |req: &http::Request, to: &mut TcpStream| {
        thread::sleep(Duration::from_millis(20));
        http::respond(to, 200, &receipt(req), b"shifts of the week\n")
    };
    let scene = Scene::open(3, Arc::new(work)).map_err(|e| e.to_string())?;
    let routes = [route("r-1", "/cufi504/", "idempotent", 1_500)];
    scene.configure(7, &routes, &tenant("hule930", KEY));
    let instances = scene.start(3, record)?;
    let leaving = scene.runners()[0].clone();
    let copy = scene.store.copy();
    scene.store.delete("servers", &leaving);
    let removed = Instant::now();
    record.write(&format!("the entry of {leaving} is removed"));
    let mut copy = Some(copy);
    let (mut is_back, mut is_again, mut late, mut sent) = (false, false, 0, 0);
    let mut in_touch = 0;
    let back_at = AWAY_AFTER + AWAY_FOR;
    let again_at = back_at + LAPSE_AFTER;
    let in_touch_at = back_at + STABLE_WINDOW;
    while removed.elapsed() < again_at + Duration::from_secs(3) {
        let passed = removed.elapsed();
        if trouble && passed >= AWAY_AFTER && !is_back {
            scene.store.go_away();
            record.write("the store is away");
            is_back = true;
        }
        if passed >= back_at
            && trouble
            && let Some(copy) = copy.take()
        {
            scene.store.come_back(copy);
            record.write("the store is back from the copy, which still has the entry");
        }
        if passed >= again_at && trouble && !is_again {
            scene.store.delete("servers", &leaving);
            record.write("the entry lapses");
            is_again = true;
        }
        let id = scene.next_id();
        let front = instances[sent % 3].addresses.front;
        let answer = scene::call(front, "/cufi504/fi50/2f", &id, KEY, 1_500);
        for arrival in scene.arrivals_of(&id) {
            let after = arrival.at.saturating_duration_since(removed);
            if arrival.runner == leaving && after > DRAIN {
                late += 1;
                in_touch += usize::from(after > in_touch_at);
                record.write(&format!(
                    "request {id}: {answer:?}, reached {leaving} {:.2} s after its removal",
                    after.as_secs_f64()
                ));
            }
        }
        sent += 1;
        thread::sleep(INTERVAL);
    }
    record.write(&format!(
        "of {sent} requests {late} reached the runner later than {} ms after its removal",
        DRAIN.as_millis()
    ));
    record.write(&format!(
        "{in_touch} of them later than stableWindowMs after the store's return"
    ));
    Ok(in_touch == 0)
}
