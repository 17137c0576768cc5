//! A key is taken away while clients that hold it send the bodies of their requests.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::scene::{self, KEY, Scene, receipt, route, tenant};

const REVOKE: Duration = Duration::from_millis(5_000);

/// Length of a body, and of the pieces in which it is sent, one each [`PIECE_GAP`].
const BODY_BYTES: usize = 80 * PIECE_BYTES;
const PIECE_BYTES: usize = 2_500;
const PIECE_GAP: Duration = Duration::from_millis(100);

/// Clients, and the time from their first byte to the new desired state.
const CLIENTS: usize = 6;
const REVOKE_AFTER: Duration = Duration::from_millis(500);

const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";

pub fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let work = |req: &http::Request, to: &mut TcpStream| {
        thread::sleep(Duration::from_millis(60));
        http::respond(to, 200, &receipt(req), b"booked\n")
    };
    let scene = Scene::open(3, Arc::new(work)).map_err(|e| e.to_string())?;
    let routes = [route("r-1", "/puxa403/", "non_idempotent", 20_000)];
    let other = tenant("sita417", OTHER_KEY);
    let both = format!("{},{other}", tenant("hule930", KEY));
    scene.configure(7, &routes, &both);
    let instances = scene.start(3, record)?;
    let ran_late = thread::scope(|threads| {
        let mut sent = Vec::new();
        for i in 0..CLIENTS {
            let (front, scene) = (instances[i % 3].addresses.front, &scene);
            sent.push(threads.spawn(move || upload(scene, front, record)));
        }
        thread::sleep(REVOKE_AFTER);
        if trouble {
            scene.configure(9, &routes, &other);
            record.write("version 9 takes the key away; the store has accepted it");
        }
        let acked = Instant::now();
        let ids: Vec<String> = sent.into_iter().filter_map(|s| s.join().ok()).collect();
        let arrivals = ids.iter().flat_map(|id| scene.arrivals_of(id));
        let mut ran_late = 0;
        for arrival in arrivals {
            let after = arrival.at.saturating_duration_since(acked);
            record.write(&format!(
                "request {} ran at {}, {:.2} s after the ack",
                arrival.id,
                arrival.runner,
                after.as_secs_f64()
            ));
            ran_late += usize::from(trouble && after > REVOKE);
        }
        ran_late
    });
    record.write(&format!(
        "{ran_late} requests ran with the key later than {} ms after it was taken away",
        REVOKE.as_millis()
    ));
    Ok(ran_late == 0)
}

/// Sends a request whose body takes eight seconds. Returns its identity.
fn upload(scene: &Scene, front: SocketAddr, record: &Record) -> String {
    let id = scene.next_id();
    let answer = try_upload(front, &id, record);
    record.write(&format!("request {id}: {answer:?}"));
    id
}

fn try_upload(front: SocketAddr, id: &str, record: &Record) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let headers = [
        ("Host", scene::HOST.to_owned()),
        ("X-Jacinthweir-Request-Id", id.to_owned()),
        ("X-Jacinthweir-Deadline-Ms", "20000".to_owned()),
        ("X-Jacinthweir-Key", KEY.to_owned()),
        ("Content-Length", BODY_BYTES.to_string()),
    ];
    http::write_head(&mut stream, "POST /puxa403/2f HTTP/1.1", &headers)?;
    record.write(&format!("request {id}: head sent"));
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        stream.write_all(&[b'x'; PIECE_BYTES])?;
        thread::sleep(PIECE_GAP);
    }
    record.write(&format!("request {id}: last byte sent"));
    let mut answer = http::read_answer(stream)?;
    answer.read_body()?;
    Ok(answer.status)
}
